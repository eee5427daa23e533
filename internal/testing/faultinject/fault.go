package faultinject

import (
	"fmt"
	"slices"
)

var (
	directions = []Direction{"", Both, Up, Down}
	kinds      = []Kind{Delay, Blackhole, Refuse, Reset, HalfClose, Rate, Corrupt, Split}
)

// validate returns an invalidFault error if a field is out of range or missing for the kind.
func (f Fault) validate() error {
	problem := ""
	switch {
	case f.Duration < 0 || f.Jitter < 0 || f.Offset < 0 || f.Every < 0 || f.BytesPerSecond < 0 || f.Connection < 0:
		problem = "a number is negative"
	case !slices.Contains(directions, f.Direction):
		problem = fmt.Sprintf("unknown direction %q", f.Direction)
	case f.Kind == Refuse && (f.Connection > 0 || f.Direction != "" && f.Direction != Both):
		problem = "refuse takes neither a connection nor a direction"
	case f.Kind == Delay && f.Duration+f.Jitter == 0:
		problem = "for or jitter must be set"
	case f.Kind == Rate && f.BytesPerSecond == 0:
		problem = "bytes_per_second must be set"
	case f.Kind == Corrupt && f.Every == 0:
		problem = "every must be set"
	case !slices.Contains(kinds, f.Kind):
		problem = "unknown kind"
	}
	if problem != "" {
		return invalidFault.New(string(f.Kind), "%s", problem)
	}
	return nil
}

// activeFault is a fault that is set on a link. Its id distinguishes it from an equal fault that was set earlier.
type activeFault struct {
	Fault
	id uint64
}

// appliesTo reports whether the fault applies to a direction of the connection with the given number.
func (f activeFault) appliesTo(connection int, d Direction) bool {
	return (f.Connection == 0 || f.Connection == connection) && (f.Direction == Both || f.Direction == d)
}

// specificity ranks faults of one kind. The highest value takes precedence: a fault for one connection ranks above a fault
// for all connections, and then a fault for one direction above a fault for both.
func (f activeFault) specificity() int {
	specificity := 0
	if f.Connection != 0 {
		specificity += 2
	}
	if f.Direction != Both {
		specificity++
	}
	return specificity
}
