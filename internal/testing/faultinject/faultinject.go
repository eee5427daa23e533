// Package faultinject injects network faults between processes on loopback. A TCP relay for each link delays, drops,
// resets, throttles, splits and corrupts what passes, by a schedule or on command.
//
// The tests of whole fleets use it. Every random choice depends on the seed, the link, the connection, the direction and
// the byte's offset alone, so a schedule repeats on the same traffic, and the log of two runs can be compared.
package faultinject

import "time"

// Injector injects faults on links; Net implements it.
type Injector interface {
	// Link opens a relay to a target, an address, and returns it. Clients of the target connect to the relay's address instead.
	Link(name, target string) (Link, error)
	// Set puts a fault on all links whose name matches the pattern (path.Match). It replaces the fault of the same kind,
	// direction and connection. If several faults of a kind apply to a connection, one for the connection takes
	// precedence over others, and one for the direction over one for both. It applies to bytes that have not been
	// forwarded yet.
	Set(pattern string, f Fault) error
	// Clear removes faults of a kind from matching links; the kinds "" and "all" are all kinds. A connection that lost bytes
	// or its end to a Blackhole is reset then, like a connection to a host that has restarted. All others go on.
	Clear(pattern string, kind Kind) error
	// RunSchedule executes a schedule and returns after its last step, or with the error of the context that ended before.
	RunSchedule(steps []Step) error
	// Log returns what was injected so far, sorted by link, connection, direction and offset.
	Log() []LogEntry
	// Tap passes all bytes that matching links receive to observe, before any fault applies. It takes effect for new
	// connections. observe is called concurrently and must not retain the data.
	Tap(pattern string, observe func(Segment)) error
	// Close resets all connections and ends all links.
	Close()
}

// Link is one relay.
type Link interface {
	// Name is the name that patterns match.
	Name() string
	// Addr is the address at which the relay listens.
	Addr() string
	// Retarget sets the address for new connections. Open connections stay.
	Retarget(addr string)
	// OpenConns returns the number of connections through the relay now.
	OpenConns() int
}

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// Delay forwards each chunk Fault.Duration later, plus up to Fault.Jitter, in order.
	Delay Kind = "delay"
	// Blackhole discards bytes and ends; connections stay open, and new ones are accepted.
	Blackhole Kind = "mute"
	// Refuse closes the listener, so that the system refuses new connections.
	Refuse Kind = "refuse"
	// Reset resets connections at offset Fault.Offset of the direction, or at once.
	Reset Kind = "reset"
	// HalfClose ends the direction at offset Fault.Offset, even within a line; the other direction goes on.
	HalfClose Kind = "half-end"
	// Rate limits the direction to Fault.BytesPerSecond.
	Rate Kind = "rate"
	// Corrupt changes one byte in Fault.Every on average.
	Corrupt Kind = "garble"
	// Split forwards bytes one by one.
	Split Kind = "split"
)

// Direction is the direction of a connection in which a fault applies.
type Direction string

// The directions. The zero value of Fault.Direction means Both.
const (
	// Both is up and down.
	Both Direction = "both"
	// Up is from the client to the target.
	Up Direction = "up"
	// Down is from the target to the client.
	Down Direction = "down"
)

// Fault is a fault on a link.
type Fault struct {
	Kind           Kind          `json:"kind"`
	Direction      Direction     `json:"direction,omitempty"`        // "": both
	Duration       time.Duration `json:"for,omitempty"`              // of Delay
	Jitter         time.Duration `json:"jitter,omitempty"`           // of Delay
	Offset         int64         `json:"at,omitempty"`               // offset in the direction, of Reset and HalfClose; 0: at once
	Every          int64         `json:"every,omitempty"`            // of Corrupt: bytes for each changed one
	BytesPerSecond int64         `json:"bytes_per_second,omitempty"` // of Rate
	Connection     int           `json:"connection,omitempty"`       // number of the only connection, from 1; 0: all
}

// allKinds is the kind that clears faults of every kind in a schedule, where "" clears none.
const allKinds Kind = "all"

// Step is a step of a schedule. It waits for After and for Connections, and then clears and sets faults.
type Step struct {
	After       time.Duration `json:"after,omitempty"`       // since the step before
	Connections int           `json:"connections,omitempty"` // how many there were on all matching links, since they were opened
	Links       string        `json:"links"`                 // a pattern of path.Match
	Set         *Fault        `json:"set,omitempty"`
	Clear       Kind          `json:"clear,omitempty"` // "all": every kind; "": none
}

// LogEntry is an injected fault. It has no time, so that the logs of two runs can be compared.
type LogEntry struct {
	Link       string    `json:"link"`
	Connection int       `json:"connection"` // 0 if the fault concerns none
	Direction  Direction `json:"direction,omitempty"`
	Offset     int64     `json:"byte"`
	Kind       Kind      `json:"kind"`
}

// Segment is bytes that a link received.
type Segment struct {
	Link       string
	Connection int
	Direction  Direction
	Offset     int64 // offset of the first byte in the direction
	// At is when the kernel received the bytes, however late this process read them. It is comparable with other times
	// of this process.
	At   time.Time
	Data []byte
}
