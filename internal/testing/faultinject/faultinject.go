// Package faultinject injects network faults between processes on loopback. Each link is a TCP relay that can delay, drop,
// reset, throttle, split and corrupt its traffic, on command or by a schedule. The tests of whole fleets use it.
//
// Every random choice depends only on the seed, the link, the connection, the direction and the byte's offset. The same
// schedule on the same traffic therefore has the same effects, and the logs of two runs can be compared.
package faultinject

import "time"

// Injector injects faults on links; Net implements it.
type Injector interface {
	// Link opens a relay to the address target and returns it. Clients connect to the relay's address instead of the target.
	// Link names must be unique.
	Link(name, target string) (Link, error)
	// Set sets a fault on all links whose name matches the pattern (path.Match). It replaces the fault of the same kind,
	// direction and connection. If several faults of a kind apply to a connection, a fault for that connection takes
	// precedence over a fault for all connections, and then a fault for one direction over a fault for both. The fault
	// applies to bytes that have not been forwarded yet.
	Set(pattern string, f Fault) error
	// Clear removes the faults of a kind from matching links; "" and "all" mean all kinds. When a Blackhole is cleared,
	// each connection that lost bytes or the end of the stream to it is reset, like a connection to a host that has restarted.
	// Other connections continue.
	Clear(pattern string, kind Kind) error
	// RunSchedule executes the steps of a schedule and returns after the last one. It returns the context's error if the
	// injector ends first.
	RunSchedule(steps []Step) error
	// Log returns the faults injected so far, sorted by link, connection, direction and offset.
	Log() []LogEntry
	// Tap calls observe with all bytes that new connections of matching links receive, before any fault applies. observe is
	// called concurrently and must not retain the data.
	Tap(pattern string, observe func(Segment)) error
	// Close resets all connections and closes all links.
	Close()
}

// Link is a TCP relay to one target.
type Link interface {
	// Name returns the name that patterns are matched against.
	Name() string
	// Addr returns the address on which the relay listens.
	Addr() string
	// Retarget sets the target address for new connections. Open connections keep their target.
	Retarget(addr string)
	// OpenConns returns the number of open connections through the relay.
	OpenConns() int
}

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// Delay forwards each chunk after Fault.Duration plus a random time below Fault.Jitter, and preserves the order.
	Delay Kind = "delay"
	// Blackhole discards bytes and the end of the stream. Connections stay open, and new ones are accepted.
	Blackhole Kind = "mute"
	// Refuse closes the listener, so that the kernel refuses new connections.
	Refuse Kind = "refuse"
	// Reset resets connections when the direction has forwarded Fault.Offset bytes; 0: immediately.
	Reset Kind = "reset"
	// HalfClose ends the direction after Fault.Offset bytes, even within a line. The other direction continues.
	HalfClose Kind = "half-end"
	// Rate limits the direction to Fault.BytesPerSecond.
	Rate Kind = "rate"
	// Corrupt changes on average one byte in every Fault.Every bytes.
	Corrupt Kind = "garble"
	// Split forwards each byte in a separate write.
	Split Kind = "split"
)

// Direction is a direction of a connection.
type Direction string

// The directions. A Fault with an empty direction applies to Both.
const (
	// Both means Up and Down.
	Both Direction = "both"
	// Up is from the client to the target.
	Up Direction = "up"
	// Down is from the target to the client.
	Down Direction = "down"
)

// Fault describes a fault on a link.
type Fault struct {
	Kind           Kind          `json:"kind"`
	Direction      Direction     `json:"direction,omitempty"`        // "" means Both
	Duration       time.Duration `json:"for,omitempty"`              // for Delay
	Jitter         time.Duration `json:"jitter,omitempty"`           // for Delay
	Offset         int64         `json:"at,omitempty"`               // for Reset and HalfClose: forwarded bytes; 0: immediately
	Every          int64         `json:"every,omitempty"`            // for Corrupt: average number of bytes per changed byte
	BytesPerSecond int64         `json:"bytes_per_second,omitempty"` // for Rate
	Connection     int           `json:"connection,omitempty"`       // number of the affected connection, from 1; 0: all
}

// allKinds clears faults of all kinds. Step.Clear needs it because "" clears none there.
const allKinds Kind = "all"

// Step is one step of a schedule. It waits for After and then for Connections, and then clears and sets faults.
type Step struct {
	After       time.Duration `json:"after,omitempty"`       // wait after the previous step
	Connections int           `json:"connections,omitempty"` // total accepted by matching links; 0: no wait
	Links       string        `json:"links"`                 // pattern for path.Match
	Set         *Fault        `json:"set,omitempty"`
	Clear       Kind          `json:"clear,omitempty"` // "all": all kinds; "": none
}

// LogEntry records an injected fault. It contains no time, so that the logs of two runs can be compared.
type LogEntry struct {
	Link       string    `json:"link"`
	Connection int       `json:"connection"` // 0 for Refuse, which concerns no connection
	Direction  Direction `json:"direction,omitempty"`
	Offset     int64     `json:"byte"`
	Kind       Kind      `json:"kind"`
}

// Segment is a range of bytes that a link received in one read.
type Segment struct {
	Link       string
	Connection int
	Direction  Direction
	Offset     int64 // of the first byte in the direction
	// At is the time when the kernel received the bytes, which may be long before this process read them. It has a monotonic
	// clock reading, so it can be compared with other times of this process.
	At   time.Time
	Data []byte
}
