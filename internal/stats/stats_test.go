package stats

import (
	"runtime/debug"
	"slices"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
)

func TestQuantile(t *testing.T) {
	var hundred []time.Duration
	for i := range 100 {
		hundred = append(hundred, time.Duration(100-i))
	}
	for _, c := range []struct {
		name     string
		values   []time.Duration
		fraction float64
		want     time.Duration
	}{
		{"no values", nil, 0.5, 0},
		{"minimum", hundred, 0, 1},
		{"median", hundred, 0.5, 51},
		{"0.99 of 100 values", hundred, 0.99, 100},
		{"maximum", hundred, 1, 100},
		{"one value", []time.Duration{7}, 0.99, 7},
		{"two values", []time.Duration{9, 3}, 0.5, 9},
	} {
		testkit.Equal(t, c.name, c.want, Quantile(c.values, c.fraction))
	}
	isDescending := slices.IsSortedFunc(hundred, func(a, b time.Duration) int { return int(b - a) })
	testkit.Equal(t, "the order of the values is unchanged", true, hundred[0] == 100 && isDescending)
}

func TestCommit(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "0123456789abcdef"}
	changed := debug.BuildSetting{Key: "vcs.modified", Value: "true"}
	testkit.Equal(t, "uncommitted changes", "0123456 with changes", commit([]debug.BuildSetting{changed, revision}, 7))
	testkit.Equal(t, "no uncommitted changes", "0123456789abcdef", commit([]debug.BuildSetting{revision}, 40))
	testkit.Equal(t, "a build without a recorded commit", "", commit([]debug.BuildSetting{changed}, 7))
}
