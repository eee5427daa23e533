package sitelang

import (
	"fmt"
	"math"
	"strings"
)

// maxSuggestionBytes is the length of the longest names that are compared for a suggestion.
const maxSuggestionBytes = 64

// incomparableDistance is the distance between names if one of them is too long to compare.
const incomparableDistance = math.MaxInt

// closestName returns the known name that is most similar to a mistyped one; "" if none is similar enough.
func closestName(name string, known []string) string {
	closest := ""
	closestDistance := len(name)/3 + 2 // the distance is at most a third of the name's bytes plus one
	for _, candidate := range known {
		distance := editDistance(strings.ToLower(name), strings.ToLower(candidate))
		if distance < closestDistance || distance == closestDistance && closest != "" && candidate < closest {
			closest = candidate
			closestDistance = distance
		}
	}
	return closest
}

// editDistance is the optimal string alignment distance: the number of bytes to insert, delete, replace or swap with
// their neighbor. It returns incomparableDistance if a name is longer than maxSuggestionBytes.
func editDistance(a, b string) int {
	if len(a) > maxSuggestionBytes || len(b) > maxSuggestionBytes {
		return incomparableDistance
	}
	rows := [3][]int{make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)}
	for j := range rows[1] {
		rows[1][j] = j
	}
	for i := 1; i <= len(a); i++ {
		beforeLast, last, row := rows[0], rows[1], rows[2]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			replaced := last[j-1]
			if a[i-1] != b[j-1] {
				replaced++
			}
			row[j] = min(last[j]+1, row[j-1]+1, replaced)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], beforeLast[j-2]+1)
			}
		}
		rows = [3][]int{last, row, beforeLast}
	}
	return rows[1][len(b)]
}

// maxListedNames is the number of names that a finding lists at most.
const maxListedNames = 8

// quotedList lists the first maxListedNames names, quoted, and the number of the others.
func quotedList(names []string) string {
	quoted := make([]string, 0, maxListedNames)
	for i, name := range names {
		if i == maxListedNames {
			quoted = append(quoted, fmt.Sprintf("%d more", len(names)-maxListedNames))
			break
		}
		quoted = append(quoted, fmt.Sprintf("%q", name))
	}
	return strings.Join(quoted, ", ")
}

// suggestName returns the resolution for a name that does not exist.
func suggestName(name string, known []string) string {
	if closest := closestName(name, known); closest != "" {
		return fmt.Sprintf("is %q meant?", closest)
	}
	if len(known) == 0 {
		return ""
	}
	return "there is " + quotedList(known)
}
