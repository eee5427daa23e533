// Package stats provides quantiles and the commit of the running program to the commands that measure.
package stats

import (
	"runtime/debug"
	"slices"
	"time"
)

// Quantile returns the value at a fraction, from 0 (the minimum) to 1 (the maximum), of the sorted values. It does not
// interpolate, and returns 0 if there are no values. The values need not be sorted, and Quantile does not modify them.
func Quantile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	if !slices.IsSorted(values) {
		values = slices.Sorted(slices.Values(values))
	}
	return values[min(int(fraction*float64(len(values))), len(values)-1)]
}

// Commit returns up to digits digits of the hash of the commit from which the running program was built, with a suffix if the
// sources had uncommitted changes. It returns "" if the build does not record a commit, as under go run.
func Commit(digits int) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	return commit(info.Settings, digits)
}

// commit implements Commit for the settings of a build.
func commit(settings []debug.BuildSetting, digits int) string {
	revision, suffix := "", ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(digits, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			suffix = " with changes"
		}
	}
	if revision == "" {
		return ""
	}
	return revision + suffix
}
