package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A higher rank is admitted at least as much as a lower one, at any admission rate and any load.
func TestHigherRanksAreAdmittedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		best := rapid.Float64Range(0.1, 10).Draw(t, "best")
		lower := rapid.Float64Range(0, best).Draw(t, "lower")
		higher := rapid.Float64Range(lower, best).Draw(t, "higher")
		rate := rapid.Float64Range(0.1, 1).Draw(t, "rate")
		lowerRank, higherRank := PriorityRank(lower, best), PriorityRank(higher, best)
		if AdmittedFraction(rate, lowerRank) > AdmittedFraction(rate, higherRank) || LoadLimit(lowerRank) > LoadLimit(higherRank) {
			t.Fatalf("density %v is admitted more than density %v, best density %v", lower, higher, best)
		}
	})
}

// A reset must not count twice as stress: if the endpoint reports its latency, the report counts and the reset does
// not.
func TestResetStress(t *testing.T) {
	reported := ResetStress(time.Minute, time.Minute-time.Second, time.Second)
	unreported := ResetStress(time.Minute, 0, time.Second)
	if reported != 0 || unreported <= 0 {
		t.Errorf("stress of a reset: %v with latency reports, %v without", reported, unreported)
	}
}
