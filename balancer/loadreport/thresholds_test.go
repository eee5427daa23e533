package loadreport

import (
	"math"
	"testing"
)

func TestExcessFraction(t *testing.T) {
	for load, want := range map[float64]float64{0.3: 0, 1: 0, 1.25: 0.4, 3: 0.75} {
		if got := ExcessFraction(load); math.Abs(got-want) > 1e-9 {
			t.Errorf("ExcessFraction(%v) = %v, want %v", load, got, want)
		}
	}
}

func TestLoadBound(t *testing.T) {
	for mean, want := range map[float64]float64{0: 0.3, 0.5: 0.55, 2: 0.65} {
		if got := LoadBound(mean); math.Abs(got-want) > 1e-9 {
			t.Errorf("LoadBound(%v) = %v, want %v", mean, got, want)
		}
	}
}
