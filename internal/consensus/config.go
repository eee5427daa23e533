package consensus

import (
	"fmt"
	"slices"
)

// Default values of Config fields.
const (
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 1
	defaultSnapshotEvery  = 1024 // entries
	defaultKeepEntries    = 256  // entries
)

// Config describes a replica and its group.
type Config struct {
	ID    uint64   // not 0
	Peers []uint64 // all replicas, including this one
	// Seed seeds the random election timeouts.
	Seed uint64
	// Incarnation counts the starts of this replica, so that each of its processes has distinct ProposalIDs.
	Incarnation uint64
	// ElectionTicks is the minimum number of ticks without a message from the leader before an election; 0: 10.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats; 0: 1.
	HeartbeatTicks int
	// SnapshotEvery is the number of applied entries between snapshots, which truncate the log; 0: 1,024.
	SnapshotEvery uint64
	// KeepEntries is the number of entries before a snapshot that stay in memory, so that a peer that lags by fewer
	// entries does not need the snapshot; 0: 256.
	KeepEntries uint64
	// Rejoin is set for a replica that lost its stored data. It must not vote at first because it may have voted in a term
	// and acknowledged entries that it no longer knows of. It votes again once all other replicas have reported their
	// terms, and a leader elected after that has sent it all committed entries. Leave Rejoin unset in a new fleet, where
	// all logs are empty.
	Rejoin bool
	// Log receives the log lines of the raft library; nil: they are dropped.
	Log func(level LogLevel, text string)
}

// fillDefaults sets unset fields to their defaults, sorts Peers and validates the result. It returns BadConfig errors.
func (c *Config) fillDefaults() error {
	if c.ElectionTicks == 0 {
		c.ElectionTicks = defaultElectionTicks
	}
	if c.HeartbeatTicks == 0 {
		c.HeartbeatTicks = defaultHeartbeatTicks
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeepEntries
	}
	c.Peers = slices.Sorted(slices.Values(c.Peers))
	place := fmt.Sprintf("replica %d", c.ID)
	switch {
	case c.ID == 0 || slices.Contains(c.Peers, 0):
		return BadConfig.New(place, "an id must not be 0")
	case !slices.Contains(c.Peers, c.ID):
		return BadConfig.New(place, "it is not among the peers %d", c.Peers)
	case len(slices.Compact(slices.Clone(c.Peers))) != len(c.Peers):
		return BadConfig.New(place, "the peers %d contain a duplicate", c.Peers)
	case c.Rejoin && len(c.Peers) == 1:
		return BadConfig.New(place, "it cannot rejoin: it is the only replica, so no other has the data")
	case c.HeartbeatTicks < 1 || c.ElectionTicks <= c.HeartbeatTicks:
		return BadConfig.New(place, "a heartbeat every %d ticks is too rare for elections after %d ticks", c.HeartbeatTicks,
			c.ElectionTicks)
	}
	return nil
}
