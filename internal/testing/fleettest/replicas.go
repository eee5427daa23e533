package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/faultinject"
)

// replicaName returns the name of the i-th replica, counted from 0, in links and files. A link's name is part of the seed of its
// faults, so other names would change the random faults of a seed.
func replicaName(i int) string { return fmt.Sprint("keeper", i+1) }

// replicaID returns the ID of the i-th replica, counted from 0.
func replicaID(i int) uint64 { return uint64(i + 1) }

// Replica is a replica of the control plane.
type Replica struct {
	*Process
	ID   uint64
	addr atomic.Value // string
}

// Addr returns the address at which the current or last run serves. It bypasses the links.
func (r *Replica) Addr() string { return r.addr.Load().(string) }

// acknowledgedVersion is a version whose proposal a replica acknowledged as committed.
type acknowledgedVersion struct {
	number uint64
	digest string
}

// maxVerifiedVersions bounds how many versions VerifyVersions requests. It is slightly below the number of versions that replicas
// retain for rollbacks.
const maxVerifiedVersions = 60

const (
	statusTimeout     = time.Second           // timeout of a request for a replica's status
	retryDelay        = 50 * time.Millisecond // delay before a request is retried
	pollInterval      = 20 * time.Millisecond // interval of polls of another process's state
	localPollInterval = 5 * time.Millisecond  // interval of polls of state in this process
)

// callTimeout is the timeout of a request to one replica, after which a proposal goes to the next replica.
const callTimeout = 3 * time.Second

// startReplicas writes the replicas' configurations, opens their links, starts them and proposes the first version.
func (f *Fleet) startReplicas() error {
	for i := range f.ReplicaCount {
		if err := f.addReplica(i); err != nil {
			return err
		}
	}
	for _, replica := range f.Replicas {
		if err := f.StartReplica(replica); err != nil {
			return err
		}
	}
	if len(f.Replicas) == 0 {
		return nil
	}
	return f.propose(1)
}

// addReplica opens the links of the i-th replica, counted from 0, and writes its configuration. It does not start the replica.
func (f *Fleet) addReplica(i int) error {
	name := replicaName(i)
	config := replicaConfig{ID: replicaID(i), Listen: replicaHost + ":0", Data: filepath.Join(f.Dir, name, "data")}
	var err error
	if config.Peers, err = f.replicaPeers(i); err != nil {
		return err
	}
	if f.ReplicasServeLists {
		if config.Discovery, err = f.replicaDiscovery(name); err != nil {
			return err
		}
	}
	path := filepath.Join(f.Dir, name+".json")
	if err := writeJSON(path, config); err != nil {
		return err
	}
	replica := &Replica{ID: config.ID}
	replica.addr.Store(unusedAddress)
	if replica.Process, err = newProcess(name, f.Programs["micafront-controlplane"], f.Dir, " serves at "); err != nil {
		return err
	}
	replica.args = []string{"--config", path}
	f.Replicas = append(f.Replicas, replica)
	return nil
}

// replicaPeers opens the i-th replica's links to all others, and returns the addresses of all replicas by ID.
func (f *Fleet) replicaPeers(i int) (map[string]string, error) {
	peers := map[string]string{}
	for j := range f.ReplicaCount {
		id := strconv.FormatUint(replicaID(j), 10)
		if j == i {
			peers[id] = unusedAddress // a replica sends nothing to itself
			continue
		}
		link, err := f.link(replicaName(i), replicaName(j), unusedAddress)
		if err != nil {
			return nil, err
		}
		peers[id] = link.Addr()
	}
	return peers, nil
}

// KillReplica ends a replica with SIGKILL, and makes the links to it refuse connections.
func (f *Fleet) KillReplica(replica *Replica) error {
	return errors.Join(replica.Kill(f.ctx), f.Network.Set("*/"+replica.Name, faultinject.Fault{Kind: faultinject.Refuse}))
}

// StartReplica starts a run of a replica and points the links to it at its address.
func (f *Fleet) StartReplica(replica *Replica) error {
	addr, err := replica.Start(f.ctx)
	if err != nil {
		return err
	}
	replica.addr.Store(strings.TrimSpace(addr))
	f.retarget(replica.Name, replica.Addr())
	if len(f.Replicas) > 1 {
		return f.Network.Clear("*/"+replica.Name, faultinject.Refuse)
	}
	return nil
}

// pause waits for a duration, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// call sends a request to a replica and decodes the response. A status other than 200 is an error.
func call(ctx context.Context, replica *Replica, timeout time.Duration, method, path string, body []byte, to any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+replica.Addr()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true // after a restart another process may listen on this port
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", replica.Name, resp.Status, text)
	}
	return json.Unmarshal(text, to)
}

// propose sends a version to one replica after another until a replica commits it. All requests for a version have the same ID, so
// that a replica repeats the response of an earlier request whose response was lost.
func (f *Fleet) propose(number uint64) error {
	body := fleetconfig.Body{
		Settings: json.RawMessage(settings),
		Routing:  routes(number),
		Fleet: fleetconfig.Terms{
			AgreementTimeout: f.AgreementTimeout,
			MemberTimeout:    f.MemberTimeout,
			OnLeaseExpiry:    f.OnLeaseExpiry,
		},
	}
	checked, err := body.Validated("proposal")
	if err != nil {
		return err
	}
	text, err := json.Marshal(fleetconfig.Propose{ID: fmt.Sprintf("%d-%d", f.Seed, number), ProposedBy: "fleettest", Body: &body})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(f.ctx, fakes.WaitTimeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		for _, replica := range f.Replicas {
			var version struct{ Number uint64 }
			if lastErr = call(ctx, replica, callTimeout, http.MethodPost, "/v1/propose", text, &version); lastErr != nil {
				continue
			}
			if version.Number != number {
				return fmt.Errorf("%s committed version %d under number %d", replica.Name, number, version.Number)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.acknowledged = append(f.acknowledged, acknowledgedVersion{number, checked.Digest()})
			return nil
		}
		pause(ctx, retryDelay)
	}
	return fmt.Errorf("no replica committed version %d: %w", number, lastErr)
}

// replicaStatus contains the fields of a replica's status about versions.
type replicaStatus struct {
	Leader    uint64                   `json:"leader"`
	Active    *struct{ Number uint64 } `json:"active"`
	Proposed  *struct{ Number uint64 } `json:"proposed"`
	BlockedBy []string                 `json:"holds_up"`
}

// awaitLeader waits until a replica reports itself as the leader with a status that satisfies a condition, and returns the replica.
// what describes the condition in the error.
func (f *Fleet) awaitLeader(what string, satisfied func(replicaStatus) bool) (*Replica, error) {
	ctx, cancel := context.WithTimeout(f.ctx, fakes.WaitTimeout)
	defer cancel()
	for ; ctx.Err() == nil; pause(ctx, pollInterval) {
		for _, replica := range f.Replicas {
			var status replicaStatus
			err := call(ctx, replica, statusTimeout, http.MethodGet, "/v1/status?local=1", nil, &status)
			if err == nil && status.Leader == replica.ID && satisfied(status) {
				return replica, nil
			}
		}
	}
	return nil, fmt.Errorf("no leader reported that %s: %w", what, ctx.Err())
}

// Leader waits until a replica reports itself as the leader, and returns it.
func (f *Fleet) Leader() (*Replica, error) {
	return f.awaitLeader("it leads", func(replicaStatus) bool { return true })
}

// AwaitActive waits until the leader reports that a version or a later one is active.
func (f *Fleet) AwaitActive(number uint64) error {
	_, err := f.awaitLeader(fmt.Sprintf("version %d is active", number), func(s replicaStatus) bool {
		return s.Active != nil && s.Active.Number >= number
	})
	return err
}

// AwaitBlockedBy waits until the leader reports that only the named proxy blocks a proposed version.
func (f *Fleet) AwaitBlockedBy(number uint64, by string) error {
	_, err := f.awaitLeader(fmt.Sprintf("version %d is blocked by %s alone", number, by), func(s replicaStatus) bool {
		return s.Proposed != nil && s.Proposed.Number == number && slices.Equal(s.BlockedBy, []string{by})
	})
	return err
}

// awaitVersion requests a version from a replica and retries, because a replica that was down may have to catch up.
func awaitVersion(ctx context.Context, replica *Replica, number uint64) (fleetconfig.Version, error) {
	path := fmt.Sprintf("/v1/version/%d", number)
	for {
		var version fleetconfig.Version
		err := call(ctx, replica, callTimeout, http.MethodGet, path, nil, &version)
		if err == nil || ctx.Err() != nil {
			return version, err
		}
		pause(ctx, retryDelay)
	}
}

// VerifyVersions waits until each replica returns the latest acknowledged versions, and compares their digests to those of the
// proposals.
func (f *Fleet) VerifyVersions() error {
	f.mu.Lock()
	versions := slices.Clone(f.acknowledged[max(0, len(f.acknowledged)-maxVerifiedVersions):])
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.ctx, fakes.WaitTimeout)
	defer cancel()
	for _, replica := range f.Replicas {
		for _, version := range versions {
			got, err := awaitVersion(ctx, replica, version.number)
			if err != nil {
				return fmt.Errorf("acknowledged version %d was lost: %w", version.number, err)
			}
			if got.Digest != version.digest || got.Body.Digest() != version.digest {
				return fmt.Errorf("%s has version %d with digests %s and %s, not the proposed %s", replica.Name, version.number, got.Digest,
					got.Body.Digest(), version.digest)
			}
		}
	}
	return nil
}
