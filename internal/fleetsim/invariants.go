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

// Violation describes the first invariant that failed in a run.
type Violation struct {
	Seed        uint64
	At          time.Duration // true time
	Description string
	Trace       []string // latest entries before the violation
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d, at %s: %s\n  %s", v.Seed, v.At, v.Description, strings.Join(v.Trace, "\n  "))
}

// violate records a violation, which ends the run. It ignores all violations after the first.
func (f *Fleet) violate(format string, args ...any) {
	if f.Violation == nil {
		description := fmt.Sprintf(format, args...)
		f.engine.Trace("!", "violation", 0, description)
		f.Violation = &Violation{f.Seed, f.engine.now, description, f.engine.RecentTrace()}
	}
}

// invariants checks the invariants that the package comment lists, and stores the history that the checks need.
type invariants struct {
	fleet *Fleet

	placementCount  uint64                            // connections placed by a version, at all proxies
	firstPlacements map[placementKey][]firstPlacement // of each version, in the order of time
	overlaps        map[versionPair]*overlap          // longest overlap of each pair

	snapshots      map[uint64][]byte        // encoded state by the index of its latest command
	digests        map[uint64]string        // by number; of versions that were active at a proxy or a replica
	resolutions    map[string]string        // what the names of a version resolve to, by the version's digest
	highestActive  uint64                   // highest version number that was active at any replica
	acknowledged   map[string]uint64        // version number that the operator received, by proposal ID
	acknowledgedAt map[uint64]time.Duration // true time at which the operator first received a version number

	publications   map[string]receivedPublication // latest publication of each mesh that a leader received
	owners         map[string]nameOwner           // latest owner of each name in active versions
	checkedVersion uint64                         // latest version whose names are in owners
}

// placementKey holds the inputs of a routing decision.
type placementKey struct{ zone, key string }

// firstPlacement records the first placement by a version for a placementKey.
type firstPlacement struct {
	version uint64
	pool    string        // selected by the version
	at      time.Duration // true time
}

// versionPair identifies two contradicting versions by their numbers.
type versionPair struct{ older, newer uint64 }

// overlap is the period in which proxies acted on two contradicting versions for one key. It starts with the first placement by
// the newer version and ends with the last placement by the older version, both in true time.
type overlap struct{ start, end time.Duration }

func (o *overlap) duration() time.Duration { return o.end - o.start }

// receivedPublication records when a leader received a mesh's publication, in true time, and the leader's term.
type receivedPublication struct {
	at   time.Duration
	term uint64
}

// nameOwner is the owner of a name in an active version.
type nameOwner struct {
	owner string
	at    time.Duration // agreed time at which an active version last had this owner
}

func newInvariants(f *Fleet) *invariants {
	return &invariants{
		fleet:           f,
		firstPlacements: map[placementKey][]firstPlacement{},
		overlaps:        map[versionPair]*overlap{},
		snapshots:       map[uint64][]byte{},
		digests:         map[uint64]string{},
		resolutions:     map[string]string{},
		acknowledged:    map[string]uint64{},
		acknowledgedAt:  map[uint64]time.Duration{},
		publications:    map[string]receivedPublication{},
		owners:          map[string]nameOwner{},
	}
}

// checkPlacement checks I1 and I4 when a proxy places a connection with a key by its active version.
func (c *invariants) checkPlacement(p *Proxy, key, pool string) {
	c.placementCount++
	now, number := c.fleet.engine.now, p.active.Number
	routed := placementKey{p.Zone, key}
	placements := c.firstPlacements[routed]
	for _, newer := range placements {
		if newer.version <= number || newer.pool == pool {
			continue
		}
		c.recordOverlap(versionPair{number, newer.version}, newer.at)
		if limit := p.active.Body.Fleet.AgreementTimeout; now-newer.at > limit {
			c.fleet.violate("I1: %s sends %q to %s by version %d, %s after a proxy first acted on version %d, which sends it to "+
				"%s; the limit is %s", p.Name, key, pool, number, now-newer.at, newer.version, newer.pool, limit)
		}
	}
	i := slices.IndexFunc(placements, func(placed firstPlacement) bool { return placed.version == number })
	if i < 0 {
		c.firstPlacements[routed] = append(placements, firstPlacement{number, pool, now})
	} else if placements[i].pool != pool {
		c.fleet.violate("I4: %s sends %q to %s by version %d, but another proxy of its zone sends it to %s",
			p.Name, key, pool, number, placements[i].pool)
	}
}

// recordOverlap records an overlap that ends now, if it is the longest one of the pair.
func (c *invariants) recordOverlap(pair versionPair, start time.Duration) {
	now := c.fleet.engine.now
	if longest := c.overlaps[pair]; longest == nil || now-start > longest.duration() {
		c.overlaps[pair] = &overlap{start, now}
	}
}

// longestOverlaps returns the duration of the longest overlap of each pair of versions, shortest first.
func (c *invariants) longestOverlaps() []time.Duration {
	var durations []time.Duration
	for _, longest := range c.overlaps {
		durations = append(durations, longest.duration())
	}
	slices.Sort(durations)
	return durations
}

// checkPrepared checks I5 when a proxy has prepared a version and still holds its active one. A limit that is lowered later
// cannot violate I5, because the proxy already holds both versions.
func (c *invariants) checkPrepared(p *Proxy, prepared *compiledVersion) {
	if required := c.fleet.requiredBytes(p.active, prepared); p.MemoryLimit > 0 && required > p.MemoryLimit {
		c.fleet.violate("I5: %s loads version %d, which requires %d bytes; its memory limit is %d bytes",
			p.Name, prepared.Number, required, p.MemoryLimit)
	}
}

// checkSwitch checks I4 when a proxy switches to a version.
func (c *invariants) checkSwitch(p *Proxy, version *compiledVersion) {
	c.checkDigest(p.Name, version.Version)
	if version.catalog == nil {
		return
	}
	var all strings.Builder
	for i := range version.catalog.Entries {
		name := version.catalog.Entries[i].Name
		fmt.Fprintf(&all, "%s: %s\n", name, describeName(version.catalog, name))
	}
	if known, ok := c.resolutions[version.Digest]; ok && known != all.String() {
		c.fleet.violate("I4: names of version %d resolve differently at %s", version.Number, p.Name)
	}
	c.resolutions[version.Digest] = all.String()
}

// checkDigest checks I4 for the version that a process uses.
func (c *invariants) checkDigest(process string, v fleetconfig.Version) {
	if known, ok := c.digests[v.Number]; ok && known != v.Digest {
		c.fleet.violate("I4: version %d is %s at %s, but was recorded as %s before", v.Number, v.Digest, process, known)
	}
	c.digests[v.Number] = v.Digest
}

// checkApplied checks I3, and I4 and I7 for the active version, after a replica has applied a command.
func (c *invariants) checkApplied(r *Replica, index uint64) {
	snapshot, err := r.state.Snapshot()
	if err != nil {
		c.fleet.violate("I3: %s returns no snapshot: %v", r.Name, err)
		return
	}
	if known, ok := c.snapshots[index]; !ok {
		c.snapshots[index] = snapshot
	} else if !bytes.Equal(known, snapshot) {
		c.fleet.violate("I3: the state of %s differs at index %d from the first one recorded there: %s",
			r.Name, index, describeDifference(known, snapshot))
	}
	if active, ok := r.state.Active(); ok {
		c.checkDigest(r.Name, active)
		c.highestActive = max(c.highestActive, active.Number)
		c.checkCatalog(r, active)
	}
}

// checkLease checks I2 when a replica grants a lease.
func (c *invariants) checkLease(r *Replica, renewal pendingRenewal, lease fleetconfig.Lease) {
	if lease.ActiveVersion < renewal.activeAtReceipt {
		c.fleet.violate("I2: %s grants a lease on version %d to a renewal that arrived when version %d was active",
			r.Name, lease.ActiveVersion, renewal.activeAtReceipt)
	}
	if digest, ok := c.digests[lease.ActiveVersion]; ok && digest != lease.ActiveDigest {
		c.fleet.violate("I2: %s grants a lease on version %d with digest %s, but the version has digest %s",
			r.Name, lease.ActiveVersion, lease.ActiveDigest, digest)
	}
	for _, number := range slices.Sorted(maps.Keys(c.acknowledgedAt)) {
		if c.acknowledgedAt[number] < renewal.receivedAt && number > lease.ActiveVersion && !inHistory(r, number) {
			c.fleet.violate("I2: %s leads in term %d and lacks version %d, which was acknowledged to the operator",
				r.Name, lease.Term, number)
		}
	}
}

// inHistory reports whether a replica's history contains a version.
func inHistory(r *Replica, number uint64) bool {
	return slices.ContainsFunc(r.state.History(), func(h fleetconfig.HistoryEntry) bool { return h.Number == number })
}

// checkAnswer checks I2 when the operator receives the version number of a proposal.
func (c *invariants) checkAnswer(id string, number uint64) {
	if known, ok := c.acknowledged[id]; ok && known != number {
		c.fleet.violate("I2: proposal %s is answered with number %d, but was answered with %d before", id, number, known)
	}
	if _, ok := c.acknowledgedAt[number]; !ok {
		c.acknowledgedAt[number] = c.fleet.engine.now
	}
	c.acknowledged[id] = number
}

// checkMerge checks I4 after the inputs of a catalog have been merged: the catalog does not depend on the order of the inputs,
// and a name keeps its owner unless an override changes it or the owner no longer publishes the name.
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
			c.fleet.violate("I4: the owner of %q changed from %s to %s (cause %s) without an override",
				entry.Name, entry.Owner, now.Owner, now.Cause)
		}
	}
}

// overridden reports whether an override sets the owner of a name.
func overridden(overrides []catalog.Override, name string) bool {
	return slices.ContainsFunc(overrides, func(o catalog.Override) bool { return o.Name == name })
}

// checkLoss checks I7 when a leader proposes to mark a mesh lost. It allows for clock drift, and ignores leaders of earlier terms:
// a change that a deposed leader proposes is never committed.
func (c *invariants) checkLoss(change federation.Change, term uint64) {
	if change.MarkLost == "" {
		return
	}
	const driftAllowance = meshTimeout / 100
	received, ok := c.publications[change.MarkLost]
	if since := c.fleet.engine.now - received.at; ok && received.term <= term && since < meshTimeout-driftAllowance {
		c.fleet.violate("I7: %s is marked lost only %s after its last publication", change.MarkLost, since)
	}
}

// checkCatalog checks I7 for the names of an active version: a name keeps its owner unless an override changes it, or the periods
// of its tombstone and quarantine have ended.
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
			c.fleet.violate("I7: the owner of %q changed from %s to %s in version %d (cause %s) without an override",
				entry.Name, previous.owner, entry.Owner, active.Number, entry.Cause)
		}
		c.owners[entry.Name] = nameOwner{entry.Owner, fed.AgreedTime()}
	}
}

// describeDifference returns an excerpt of both texts around the first byte that differs.
func describeDifference(a, b []byte) string {
	const context = 60
	i := 0
	for i < min(len(a), len(b)) && a[i] == b[i] {
		i++
	}
	from := max(i-context, 0)
	return fmt.Sprintf("%q and %q", a[from:min(i+context, len(a))], b[from:min(i+context, len(b))])
}
