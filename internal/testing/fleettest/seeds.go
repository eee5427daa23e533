package fleettest

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"example.org/micafront/internal/apperror"
)

// errSeeds is the kind of errors that ParseSeeds returns.
var errSeeds = apperror.NewKind("fleettest/seeds", "write numbers and ranges with commas between them, such as 1-20 or 1-4,9; "+
	"each seed once")

// maxSeeds bounds the number of seeds that ParseSeeds returns.
const maxSeeds = 10_000

// ParseSeeds parses comma-separated numbers and ranges, such as 1-20 or 1-4,9. Each seed may appear only once.
func ParseSeeds(text string) (seeds []uint64, err error) {
	seen := map[uint64]bool{}
	for i, part := range strings.Split(text, ",") {
		place := fmt.Sprintf("seeds %.40q, part %d", text, i+1)
		first, last, err := parseSeedRange(part, place)
		if err != nil {
			return nil, err
		}
		if last-first >= maxSeeds-uint64(len(seeds)) {
			return nil, errSeeds.New(place, "more than %d seeds", maxSeeds)
		}
		for n := range last - first + 1 {
			seed := first + n
			if seen[seed] {
				return nil, errSeeds.New(place, "seed %d comes twice", seed)
			}
			seen[seed] = true
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// parseSeedRange parses a number or a range of numbers. place names the text's origin in errors.
func parseSeedRange(text, place string) (first, last uint64, err error) {
	firstText, lastText, isRange := strings.Cut(text, "-")
	if first, err = parseSeed(firstText, place); err != nil {
		return 0, 0, err
	}
	if !isRange {
		return first, first, nil
	}
	if last, err = parseSeed(lastText, place); err != nil {
		return 0, 0, err
	}
	if last < first {
		return 0, 0, errSeeds.New(place, "%d comes after %d", first, last)
	}
	return first, last, nil
}

func parseSeed(text, place string) (uint64, error) {
	seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0, errSeeds.New(place, "%.40q is not a number from 0 to %d", text, uint64(math.MaxUint64))
	}
	return seed, nil
}
