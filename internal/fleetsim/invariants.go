package fleetsim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
)

// Violation is an invariant that did not hold.
type Violation struct {
	Seed        uint64
	At          time.Duration // true time
	Description string
	Trace       []string // the last entries
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d, at %s: %s\n  %s", v.Seed, v.At, v.Description, strings.Join(v.Trace, "\n  "))
}

// violate records the first violation, which ends the run, and ignores further ones.
func (f *Fleet) violate(format string, args ...any) {
	if f.Violation == nil {
		description := fmt.Sprintf(format, args...)
		f.engine.Trace("!", "violation", 0, description)
		f.Violation = &Violation{f.Seed, f.engine.now, description, f.engine.RecentTrace()}
	}
}

// invariants checks a fleet's invariants and remembers what the checks need. The package comment lists them.
type invariants struct {
	fleet *Fleet

	actCount  uint64                   // acts on versions, by all proxies
	firstActs map[actKey][]firstAct    // versions in the order of their first act
	overlaps  map[versionPair]*overlap // the longest one of each pair

	snapshots      map[uint64][]byte        // by the index of the latest command in them
	digests        map[uint64]string        // by version: of each that a proxy acted on or that was active at a replica
	meanings       map[string]string        // of all names of a version, by its digest
	highestActive  uint64                   // the latest version that was active at any replica
	acknowledged   map[string]uint64        // version numbers that the operator got, by the proposal's ID
	acknowledgedAt map[uint64]time.Duration // by version number: when the operator first got it, in true time

	publications   map[string]receivedPublication // the latest one of each mesh at a leader
	owners         map[string]nameOwner           // of names in active versions
	checkedVersion uint64                         // the latest version whose names are in owners
}

// actKey is what a version's routes decide by.
type actKey struct{ zone, key string }

// firstAct is when a version was first acted on for a key, and the pool that it selects.
type firstAct struct {
	version uint64
	pool    string
	at      time.Duration
}

// versionPair is two contradicting versions.
type versionPair struct{ older, newer uint64 }

// overlap is the time in which an older version was acted on after a newer one that contradicts it, for one key: from the
// first act on the newer one to the last on the older one.
type overlap struct{ start, end time.Duration }

func (o *overlap) duration() time.Duration { return o.end - o.start }

// receivedPublication is when a mesh's publication arrived, and the term of the leader that received it.
type receivedPublication struct {
	at   time.Duration
	term uint64
}

// nameOwner is a name's owner in an active version.
type nameOwner struct {
	owner string
	at    time.Duration // agreed time
}

func newInvariants(f *Fleet) *invariants {
	return &invariants{
		fleet:          f,
		firstActs:      map[actKey][]firstAct{},
		overlaps:       map[versionPair]*overlap{},
		snapshots:      map[uint64][]byte{},
		digests:        map[uint64]string{},
		meanings:       map[string]string{},
		acknowledged:   map[string]uint64{},
		acknowledgedAt: map[uint64]time.Duration{},
		publications:   map[string]receivedPublication{},
		owners:         map[string]nameOwner{},
	}
}

// checkAct checks I1 and I4 where a proxy acts on its version for a key.
func (c *invariants) checkAct(p *Proxy, key, pool string) {
	c.actCount++
	now, number := c.fleet.engine.now, p.active.Number
	decision := actKey{p.Zone, key}
	acts := c.firstActs[decision]
	for _, newer := range acts {
		if newer.version <= number || newer.pool == pool {
			continue
		}
		c.recordOverlap(versionPair{number, newer.version}, newer.at)
		if limit := p.active.Body.Fleet.AgreementTimeout; now-newer.at > limit {
			c.fleet.violate("I1: %s sends %q to %s by version %d, %s after version %d was first acted on, which sends it to %s; "+
				"%s is allowed", p.Name, key, pool, number, now-newer.at, newer.version, newer.pool, limit)
		}
	}
	i := slices.IndexFunc(acts, func(a firstAct) bool { return a.version == number })
	if i < 0 {
		c.firstActs[decision] = append(acts, firstAct{number, pool, now})
	} else if acts[i].pool != pool {
		c.fleet.violate("I4: %s sends %q to %s by version %d, another proxy of its zone to %s", p.Name, key, pool, number, acts[i].pool)
	}
}

// recordOverlap keeps the longest overlap of a pair of versions.
func (c *invariants) recordOverlap(pair versionPair, start time.Duration) {
	now := c.fleet.engine.now
	if longest := c.overlaps[pair]; longest == nil || now-start > longest.duration() {
		c.overlaps[pair] = &overlap{start, now}
	}
}

// longestOverlaps are the longest overlaps of each pair of versions, shortest first.
func (c *invariants) longestOverlaps() []time.Duration {
	var durations []time.Duration
	for _, longest := range c.overlaps {
		durations = append(durations, longest.duration())
	}
	slices.Sort(durations)
	return durations
}

// checkPrepared checks I5 where a proxy prepares a version beside its active one. A proxy whose limit falls later has both
// already.
func (c *invariants) checkPrepared(p *Proxy, prepared *loadedVersion) {
	if required := c.fleet.requiredBytes(p.active, prepared); p.MemoryLimit > 0 && required > p.MemoryLimit {
		c.fleet.violate("I5: %s loads version %d, which needs %d bytes of its %d", p.Name, prepared.Number, required, p.MemoryLimit)
	}
}

// checkSwitch checks I4 where a proxy switches to a version.
func (c *invariants) checkSwitch(p *Proxy, version *loadedVersion) {
	c.checkDigest(p.Name, version.Version)
	if version.catalog == nil {
		return
	}
	var all strings.Builder
	for i := range version.catalog.Entries {
		name := version.catalog.Entries[i].Name
		fmt.Fprintf(&all, "%s: %s\n", name, describeName(version.catalog, name))
	}
	if known, ok := c.meanings[version.Digest]; ok && known != all.String() {
		c.fleet.violate("I4: names of version %d mean something else at %s", version.Number, p.Name)
	}
	c.meanings[version.Digest] = all.String()
}

// checkDigest checks I4 where a process has a version.
func (c *invariants) checkDigest(process string, v fleetconfig.Version) {
	if known, ok := c.digests[v.Number]; ok && known != v.Digest {
		c.fleet.violate("I4: version %d is %s at %s, and was %s elsewhere", v.Number, v.Digest, process, known)
	}
	c.digests[v.Number] = v.Digest
}

// checkApplied checks I3, and I4 and I7 of the active version, where a replica has applied a command.
func (c *invariants) checkApplied(r *Replica, index uint64) {
	snapshot, err := r.state.Snapshot()
	if err != nil {
		c.fleet.violate("I3: %s returns no snapshot: %v", r.Name, err)
		return
	}
	if known, ok := c.snapshots[index]; !ok {
		c.snapshots[index] = snapshot
	} else if !bytes.Equal(known, snapshot) {
		c.fleet.violate("I3: the state of %s differs at %d: %s", r.Name, index, describeDifference(known, snapshot))
	}
	if active, ok := r.state.Active(); ok {
		c.checkDigest(r.Name, active)
		c.highestActive = max(c.highestActive, active.Number)
		c.checkCatalog(r, active)
	}
}

// checkLease checks I2 where a replica grants a lease.
func (c *invariants) checkLease(r *Replica, renewal pendingRenewal, lease fleetconfig.Lease) {
	if lease.ActiveVersion < renewal.activeAtReceipt {
		c.fleet.violate("I2: %s grants a lease on version %d to a renewal that arrived when %d was active",
			r.Name, lease.ActiveVersion, renewal.activeAtReceipt)
	}
	if digest, ok := c.digests[lease.ActiveVersion]; ok && digest != lease.ActiveDigest {
		c.fleet.violate("I2: %s grants a lease on version %d as %s, which is %s", r.Name, lease.ActiveVersion, lease.ActiveDigest, digest)
	}
	for _, number := range slices.Sorted(maps.Keys(c.acknowledgedAt)) {
		if c.acknowledgedAt[number] < renewal.receivedAt && number > lease.ActiveVersion && !inHistory(r, number) {
			c.fleet.violate("I2: %s leads in term %d and does not know proposal %d, which was acknowledged", r.Name, lease.Term, number)
		}
	}
}

// inHistory reports whether a replica's history has a version.
func inHistory(r *Replica, number uint64) bool {
	return slices.ContainsFunc(r.state.History(), func(h fleetconfig.HistoryEntry) bool { return h.Number == number })
}

// checkAnswer checks I2 where the operator gets a proposal's number.
func (c *invariants) checkAnswer(id string, number uint64) {
	if known, ok := c.acknowledged[id]; ok && known != number {
		c.fleet.violate("I2: proposal %s is answered with number %d, and was with %d", id, number, known)
	}
	if _, ok := c.acknowledgedAt[number]; !ok {
		c.acknowledgedAt[number] = c.fleet.engine.now
	}
	c.acknowledged[id] = number
}

// checkMerge checks I4 where a catalog is merged: it does not depend on the order of the inputs, and a name keeps its owner
// unless an override says otherwise or the owner no longer publishes it.
func (c *invariants) checkMerge(previous *catalog.State, in catalog.Inputs, merged *catalog.State, at time.Duration) {
	ordered, _ := c.fleet.Hooks.wrapMerger(c.fleet.Merger).Merge(previous, in, at)
	if a, b := must(json.Marshal(ordered)), must(json.Marshal(merged)); !bytes.Equal(a, b) {
		c.fleet.violate("I4: the catalog depends on the order of its inputs: %s", describeDifference(a, b))
	}
	if previous == nil {
		return
	}
	for _, entry := range previous.Entries {
		keepsOwner := entry.Status == catalog.StatusHeld && entry.AliasOf == "" && entry.Cause != catalog.CauseQualifiedName
		if !keepsOwner || overridden(in.Overrides, entry.Name) {
			continue
		}
		if now, ok := merged.Resolve(entry.Name); ok && now.Owner != entry.Owner {
			c.fleet.violate("I4: %q was %s's and is %s's now, by %s, though no override says so",
				entry.Name, entry.Owner, now.Owner, now.Cause)
		}
	}
}

// overridden reports whether an override says whose a name is.
func overridden(overrides []catalog.Override, name string) bool {
	return slices.ContainsFunc(overrides, func(o catalog.Override) bool { return o.Name == name })
}

// checkLoss checks I7 where a leader finds a mesh lost, with an allowance for clock drift. A loss that a deposed leader
// finds is never committed.
func (c *invariants) checkLoss(change federation.Change, term uint64) {
	if change.MarkLost == "" {
		return
	}
	const driftAllowance = meshTimeout / 100
	received, ok := c.publications[change.MarkLost]
	if since := c.fleet.engine.now - received.at; ok && received.term <= term && since < meshTimeout-driftAllowance {
		c.fleet.violate("I7: %s is marked lost %s after its last publication", change.MarkLost, since)
	}
}

// checkCatalog checks I7 for the names of an active version: a name that had an owner never means another owner's service,
// unless an override says so or its tombstone and quarantine are over.
func (c *invariants) checkCatalog(r *Replica, active fleetconfig.Version) {
	if len(c.fleet.Meshes) == 0 || len(active.Body.Catalog) == 0 || active.Number <= c.checkedVersion {
		return
	}
	c.checkedVersion = active.Number
	var state catalog.State
	if err := json.Unmarshal(active.Body.Catalog, &state); err != nil {
		c.fleet.violate("I7: version %d has an invalid catalog: %v", active.Number, err)
		return
	}
	fed := r.state.Federation()
	overrides := fed.Terms().Overrides
	for i := range state.Entries {
		entry := &state.Entries[i]
		if entry.AliasOf != "" || entry.Status != catalog.StatusHeld {
			continue
		}
		previous, ok := c.owners[entry.Name]
		reserved := fed.AgreedTime() < previous.at+catalog.TombstoneDuration+catalog.QuarantineDuration
		if ok && previous.owner != entry.Owner && reserved && !overridden(overrides, entry.Name) {
			c.fleet.violate("I7: %q was %s's and is %s's by version %d, by %s, though no override says so",
				entry.Name, previous.owner, entry.Owner, active.Number, entry.Cause)
		}
		c.owners[entry.Name] = nameOwner{entry.Owner, fed.AgreedTime()}
	}
}

// describeDifference shows two texts around the first byte that differs.
func describeDifference(a, b []byte) string {
	const context = 60
	i := 0
	for i < min(len(a), len(b)) && a[i] == b[i] {
		i++
	}
	from := max(i-context, 0)
	return fmt.Sprintf("%q against %q", a[from:min(i+context, len(a))], b[from:min(i+context, len(b))])
}
