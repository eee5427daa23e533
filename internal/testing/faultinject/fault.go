package faultinject

import (
	"fmt"
	"slices"
)

var (
	directions = []Direction{"", Both, Up, Down}
	kinds      = []Kind{Delay, Blackhole, Refuse, Reset, HalfClose, Rate, Corrupt, Split}
)

// check returns an error if the fault makes no sense.
func (f Fault) check() error {
	problem := ""
	switch {
	case f.Duration < 0 || f.Jitter < 0 || f.Offset < 0 || f.Every < 0 || f.BytesPerSecond < 0 || f.Connection < 0:
		problem = "a number is below 0"
	case !slices.Contains(directions, f.Direction):
		problem = fmt.Sprintf("the direction is %q", f.Direction)
	case f.Kind == Refuse && (f.Connection > 0 || f.Direction != "" && f.Direction != Both):
		problem = "a refused connection has no number and no direction"
	case f.Kind == Delay && f.Duration+f.Jitter == 0:
		problem = "neither for nor jitter is set"
	case f.Kind == Rate && f.BytesPerSecond == 0:
		problem = "bytes_per_second is not set"
	case f.Kind == Corrupt && f.Every == 0:
		problem = "every is not set"
	case !slices.Contains(kinds, f.Kind):
		problem = "there is no such kind"
	}
	if problem != "" {
		return invalidFault.New(string(f.Kind), "%s", problem)
	}
	return nil
}

// activeFault is a fault on a link. Its id tells it from an equal one that was set before.
type activeFault struct {
	Fault
	id uint64
}

// appliesTo reports whether the fault applies to a direction of a connection.
func (f activeFault) appliesTo(connection int, d Direction) bool {
	return (f.Connection == 0 || f.Connection == connection) && (f.Direction == Both || f.Direction == d)
}

// specificity orders faults of one kind by precedence: the highest has one for a connection, then one for a direction.
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
