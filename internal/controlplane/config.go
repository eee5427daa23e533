package controlplane

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"example.org/micafront/internal/config"
	"example.org/micafront/internal/federation"
)

// Bounds of the configuration.
const (
	maxReplicas      = 7
	minTick          = time.Millisecond
	maxTick          = 10 * time.Second
	maxElectionTicks = 10_000
	maxMeshTimeout   = time.Hour
)

// defaultTick is the length of a tick if the configuration sets none.
const defaultTick = 50 * time.Millisecond

// Config is a replica's configuration. Its JSON encoding is the format of the configuration file.
type Config struct {
	// ID identifies this replica among the peers. Ids start at 1.
	ID uint64 `json:"id"`
	// Listen is the numeric address and port to listen on; with port 0 the system chooses a port.
	Listen string `json:"listen"`
	// Data is the directory that holds the replicated log. It is created if it does not exist.
	Data string `json:"data"`
	// Peers maps the ids of all replicas, this one included, to the addresses at which the others reach them.
	Peers map[string]string `json:"peers"`
	// TickMS is the length of a tick in milliseconds; 0 means 50.
	TickMS int `json:"tick_ms,omitempty"`
	// ElectionTicks is how many ticks a follower waits for the leader's heartbeat before it campaigns; 0 means 10.
	ElectionTicks int `json:"election_ticks,omitempty"`
	// HeartbeatTicks is the interval between the leader's heartbeats, in ticks; 0 means 1.
	HeartbeatTicks int `json:"heartbeat_ticks,omitempty"`
	// SnapshotEvery is the number of log entries after which a snapshot is made and the log is compacted; 0 means 1,024.
	SnapshotEvery uint64 `json:"snapshot_every,omitempty"`
	// Discovery is the numeric address of service discovery, which the leader watches on behalf of all proxies. If it is
	// empty, no replica watches discovery.
	Discovery string `json:"discovery,omitempty"`
	// MeshTimeoutMS is how long a mesh may publish nothing before it counts as lost, in milliseconds; 0
	// means federation.DefaultMeshTimeout.
	MeshTimeoutMS int `json:"mesh_silence_ms,omitempty"`
	// Rejoin must be set when a replica starts after it lost its data directory: see consensus.Config. It has no effect if
	// there is a log.
	Rejoin bool `json:"-"`
}

// ReadConfig reads a JSON file and rejects unknown members. It does not check the values, since flags may override them;
// call Check afterwards. The error is a BadConfig.
func ReadConfig(path string) (Config, error) {
	var c Config
	text, err := os.ReadFile(path)
	if err != nil {
		return c, BadConfig.Wrap("file", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return c, BadConfig.Wrap(path, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return c, BadConfig.New(path, "trailing data after the configuration")
	}
	return c, nil
}

// Check returns all errors in the configuration, each a BadConfig that names the member.
func (c Config) Check() error {
	var errs []error
	report := func(member, format string, args ...any) { errs = append(errs, BadConfig.New(member, format, args...)) }
	if c.ID == 0 {
		report("id", "it is 0 or missing")
	}
	if err := config.ValidateAddress(c.Listen, true); err != nil {
		report("listen", "%v", err)
	}
	if c.Data == "" {
		report("data", "no directory is given")
	}
	if n := len(c.Peers); n == 0 || n > maxReplicas {
		report("peers", "%d replicas are listed, not 1 to %d", n, maxReplicas)
	}
	if c.Discovery != "" {
		if err := config.ValidateAddress(c.Discovery, false); err != nil {
			report("discovery", "%v", err)
		}
	}
	c.checkPeers(report)
	if tick := c.tickInterval(); tick < minTick || tick > maxTick {
		report("tick_ms", "%v is not within %v to %v", tick, minTick, maxTick)
	}
	if c.ElectionTicks < 0 || c.ElectionTicks > maxElectionTicks {
		report("election_ticks", "%d is not within 0 to %d", c.ElectionTicks, maxElectionTicks)
	}
	if c.HeartbeatTicks < 0 {
		report("heartbeat_ticks", "%d is below 0", c.HeartbeatTicks)
	}
	if timeout := c.meshTimeout(); timeout < 0 || timeout > maxMeshTimeout {
		report("mesh_silence_ms", "%v is not within 0 to %v", timeout, maxMeshTimeout)
	}
	return errors.Join(errs...)
}

// checkPeers reports invalid ids, invalid or duplicate addresses, and a replica that is missing from its own peers.
func (c Config) checkPeers(report func(member, format string, args ...any)) {
	idsByAddress := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(c.Peers)) {
		place := "peers[" + id + "]"
		addr := c.Peers[id]
		if n, err := strconv.ParseUint(id, 10, 64); err != nil || n == 0 || strconv.FormatUint(n, 10) != id {
			report(place, "%q is not a replica id, which is a number of at least 1", id)
		}
		if err := config.ValidateAddress(addr, false); err != nil {
			report(place, "%v", err)
		} else if other, used := idsByAddress[addr]; used {
			report(place, "%s is also the address of replica %s", addr, other)
		}
		idsByAddress[addr] = id
	}
	if _, ok := c.Peers[strconv.FormatUint(c.ID, 10)]; !ok && c.ID != 0 {
		report("peers", "replica %d itself is not among them", c.ID)
	}
}

func (c Config) meshTimeout() time.Duration {
	if c.MeshTimeoutMS == 0 {
		return federation.DefaultMeshTimeout
	}
	return time.Duration(c.MeshTimeoutMS) * time.Millisecond
}

func (c Config) tickInterval() time.Duration {
	if c.TickMS == 0 {
		return defaultTick
	}
	return time.Duration(c.TickMS) * time.Millisecond
}

// peers returns the addresses of all replicas by id.
func (c Config) peers() map[uint64]string {
	addresses := map[uint64]string{}
	for id, addr := range c.Peers {
		n, _ := strconv.ParseUint(id, 10, 64) // Check has validated it
		addresses[n] = addr
	}
	return addresses
}
