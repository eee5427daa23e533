package fleetconfig

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"
)

// boundRejections returns the rejections that a history entry may hold: those of the first maxRejections nodes by name,
// with truncated texts.
func boundRejections(all map[string]Rejection) map[string]Rejection {
	if len(all) == 0 {
		return nil
	}
	bounded := map[string]Rejection{}
	for _, node := range slices.Sorted(maps.Keys(all)) {
		if len(bounded) == maxRejections {
			break
		}
		rejection := all[node]
		rejection.Kind = truncate(rejection.Kind, maxNameBytes)
		rejection.Cause = truncate(rejection.Cause, maxTextBytes)
		var routes []string
		for _, route := range rejection.LargestRoutes[:min(len(rejection.LargestRoutes), maxLargestRoutes)] {
			routes = append(routes, truncate(route, maxNameBytes))
		}
		rejection.LargestRoutes = routes
		bounded[truncate(node, MaxNodeNameBytes)] = rejection
	}
	return bounded
}

// rejectionSummary returns the reason for a withdrawal. The text is replicated, so its wording cannot change.
func rejectionSummary(rejections map[string]Rejection) string {
	const maxNodes, maxShortName = 3, 64
	nodes := sortedNodes(rejections)
	var parts []string
	for _, node := range nodes[:min(maxNodes, len(nodes))] {
		rejection := rejections[node]
		parts = append(parts, fmt.Sprintf("%s: %s (%s)",
			truncate(node, maxShortName), truncate(rejection.Cause, maxNameBytes), truncate(rejection.Kind, maxShortName)))
	}
	if more := len(nodes) - maxNodes; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return fmt.Sprintf("refused by %d: %s", len(nodes), strings.Join(parts, "; "))
}

func sortedNodes(rejections map[string]Rejection) []string {
	return slices.Sorted(maps.Keys(rejections))
}

// truncate shortens a text to at most maxBytes without splitting a character. It first replaces invalid UTF-8, since the
// JSON encoding of a snapshot would replace it.
func truncate(text string, maxBytes int) string {
	if text = strings.ToValidUTF8(text, string(utf8.RuneError)); len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return text[:maxBytes]
}
