package fakes

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Values of an entry's lifecycle field in discovery's JSON.
const (
	lifecycleInService  = "in_service"
	lifecycleTerminated = "terminated"
)

// Entry is an entry of an endpoint list. Zero values have defaults: "a" for Zone, "m" for MachineType, "in_service" for
// Lifecycle and 1 for Weight.
type Entry struct {
	ID          string
	Addr        string
	Zone        string
	MachineType string
	Lifecycle   string
	Cell        int
	Weight      float64
	StartedAt   time.Time // zero: sent as 0
}

// String returns the entry as discovery's JSON.
func (e Entry) String() string {
	startedAtMs := int64(0)
	if !e.StartedAt.IsZero() {
		startedAtMs = e.StartedAt.UnixMilli()
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":%d,"lifecycle":%q,"weight":%g,"startedAtMs":%d}`,
		e.ID, e.Addr, cmp.Or(e.Zone, "a"), cmp.Or(e.MachineType, "m"), e.Cell, cmp.Or(e.Lifecycle, lifecycleInService),
		cmp.Or(e.Weight, 1), startedAtMs)
}

// List returns an endpoint list as discovery's JSON. The entries are JSON texts, as Entry.String returns them.
func List(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Join(entries, ","))
}
