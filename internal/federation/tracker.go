package federation

import (
	"bytes"
	"encoding/json"
	"time"

	"example.org/micafront/internal/catalog"
)

// DefaultMeshTimeout is how long a mesh may publish nothing, not even an unchanged publication, before it counts as lost.
const DefaultMeshTimeout = 30 * time.Second

// LeaderTracker is a leader's local view of when each mesh last published, by the replica's own monotonic clock. Nothing
// that was received before the replica led counts, so a change of leaders loses no mesh.
type LeaderTracker interface {
	// BecomeLeader is called when the replica leads and has applied everything that was committed before.
	BecomeLeader(now time.Duration)
	// StepDown is called when the replica no longer leads.
	StepDown()
	// HandlePublication notes a publication, new or unchanged, and returns the changes to propose: the publication itself
	// where it is new, and the mesh's return where it was lost.
	HandlePublication(now time.Duration, p catalog.Publication) []Change
	// DueChanges returns the changes that are due by time: losses of meshes, and a Tick where State.NextDue has been
	// reached. A change that is in flight is not returned again before ChangeDone.
	DueChanges(now time.Duration) []Change
	// ChangeDone is called when a proposed change was applied, or will never be.
	ChangeDone(c Change)
	// CatalogUpdate returns the catalog text that the active version should have, and the reason for the change; nil
	// where the active version has it. The leader then proposes a version with the active body and that text, unless
	// another version is pending.
	CatalogUpdate(active json.RawMessage) (text json.RawMessage, reason string)
}

// PublisherTracker implements LeaderTracker. It also derives the current agreed time: the State's, advanced by the local
// clock since the latest change was applied here. A replica that was paused measures too little time, so names are kept
// longer, never shorter.
type PublisherTracker struct {
	// MeshTimeout is how long a mesh may publish nothing before it counts as lost. NewPublisherTracker sets
	// DefaultMeshTimeout.
	MeshTimeout time.Duration

	state ReplicatedState

	// The State's agreed time when it last changed, and the local time at which that was seen; 0: it was not looked at yet.
	stateTime   time.Duration
	stateSeenAt time.Duration

	// The rest is set while the replica leads.
	leading           bool
	lastPoll          time.Duration            // latest call of BecomeLeader or DueChanges
	lastPublished     map[string]time.Duration // local time by mesh
	inFlight          map[inFlightChange]bool  // changes that must not be proposed twice
	inFlightPerMoment map[time.Duration]int    // changes in flight by their agreed time
}

// inFlightChange identifies a proposed change that must not be proposed twice. The zero value is a Tick.
type inFlightChange struct {
	markLost     string
	markReturned string
}

var _ LeaderTracker = (*PublisherTracker)(nil)

// NewPublisherTracker makes a tracker that does not lead yet.
func NewPublisherTracker(state ReplicatedState) *PublisherTracker {
	return &PublisherTracker{MeshTimeout: DefaultMeshTimeout, state: state}
}

// BecomeLeader starts tracking: each mesh of the terms has a full timeout from now on.
func (t *PublisherTracker) BecomeLeader(now time.Duration) {
	t.observeStateTime(now)
	t.leading = true
	t.lastPoll = now
	t.lastPublished = map[string]time.Duration{}
	t.inFlight = map[inFlightChange]bool{}
	t.inFlightPerMoment = map[time.Duration]int{}
	for _, mesh := range t.state.Terms().Meshes {
		t.lastPublished[mesh.Name] = now
	}
}

// StepDown ends tracking.
func (t *PublisherTracker) StepDown() {
	t.leading = false
	t.lastPublished = nil
	t.inFlight = nil
	t.inFlightPerMoment = nil
}

// observeStateTime notes the State's agreed time where it has changed.
func (t *PublisherTracker) observeStateTime(now time.Duration) {
	if at := t.state.AgreedTime(); at != t.stateTime || t.stateSeenAt == 0 {
		t.stateTime = at
		t.stateSeenAt = now
	}
}

// AgreedTime returns the current agreed time by the local clock, in whole microseconds. It is always later than the latest
// change's, whose batch may have been used already and must not grow. It may be called on any replica.
func (t *PublisherTracker) AgreedTime(now time.Duration) time.Duration {
	t.observeStateTime(now)
	return (t.stateTime + now - t.stateSeenAt).Truncate(time.Microsecond) + time.Microsecond
}

// AssignTime returns a change with the current agreed time. On a leader the change is in flight until ChangeDone.
func (t *PublisherTracker) AssignTime(now time.Duration, c Change) Change {
	c.At = t.AgreedTime(now)
	if t.leading {
		t.inFlightPerMoment[c.At]++
	}
	return c
}

// HandlePublication implements LeaderTracker. A mesh that the terms do not name is not tracked, and the State refuses its
// publication.
func (t *PublisherTracker) HandlePublication(now time.Duration, p catalog.Publication) (due []Change) {
	if !t.leading {
		return nil
	}
	if t.isMember(p.Mesh) {
		t.lastPublished[p.Mesh] = now
	}
	markReturned := inFlightChange{markReturned: p.Mesh}
	if t.isLost(p.Mesh) && !t.inFlight[markReturned] {
		t.inFlight[markReturned] = true
		due = append(due, t.AssignTime(now, Change{MarkReturned: p.Mesh}))
	}
	if !t.isCurrent(p) {
		due = append(due, t.AssignTime(now, Change{Publish: &p}))
	}
	return due
}

// isMember reports whether the terms name a mesh.
func (t *PublisherTracker) isMember(mesh string) bool {
	for _, m := range t.state.Terms().Meshes {
		if m.Name == mesh {
			return true
		}
	}
	return false
}

// isLost reports whether the State has a mesh as lost.
func (t *PublisherTracker) isLost(mesh string) bool {
	for _, loss := range t.state.Inputs().Lost {
		if loss.Mesh == mesh {
			return true
		}
	}
	return false
}

// isCurrent reports whether the State has a publication of this number with these contents.
func (t *PublisherTracker) isCurrent(p catalog.Publication) bool {
	for _, q := range t.state.Inputs().Publications {
		if q.Mesh == p.Mesh && q.Epoch == p.Epoch && q.Seq == p.Seq && q.Digest() == p.Digest() {
			return true
		}
	}
	return false
}

// DueChanges implements LeaderTracker. A mesh without an accepted publication has nothing to lose.
func (t *PublisherTracker) DueChanges(now time.Duration) (due []Change) {
	t.observeStateTime(now)
	if !t.leading {
		return nil
	}
	t.extendAfterPause(now)
	t.lastPoll = now
	hasPublished := map[string]bool{}
	if state := t.state.Catalog(); state != nil {
		for _, mesh := range state.Meshes {
			hasPublished[mesh.Mesh] = mesh.Digest != ""
		}
	}
	for _, mesh := range t.state.Terms().Meshes {
		publishedAt, known := t.lastPublished[mesh.Name]
		if !known { // the terms name it since the last call
			t.lastPublished[mesh.Name] = now
			continue
		}
		markLost := inFlightChange{markLost: mesh.Name}
		timedOut := now-publishedAt > t.MeshTimeout && hasPublished[mesh.Name]
		if timedOut && !t.isLost(mesh.Name) && !t.inFlight[markLost] {
			t.inFlight[markLost] = true
			due = append(due, t.AssignTime(now, Change{MarkLost: mesh.Name}))
		}
	}
	tick := inFlightChange{}
	if nextDue := t.state.NextDue(); nextDue > 0 && t.AgreedTime(now) > nextDue && !t.inFlight[tick] {
		t.inFlight[tick] = true
		due = append(due, t.AssignTime(now, Change{Tick: true}))
	}
	return due
}

// pauseDivisor is the part of the mesh timeout beyond which a time between two polls counts as a pause of the process.
const pauseDivisor = 4

// extendAfterPause gives meshes more time after a pause of the process: publications that arrived meanwhile may still be
// queued behind this call.
func (t *PublisherTracker) extendAfterPause(now time.Duration) {
	pause := now - t.lastPoll
	if pause <= t.MeshTimeout/pauseDivisor {
		return
	}
	for mesh := range t.lastPublished {
		t.lastPublished[mesh] = min(t.lastPublished[mesh]+pause, now)
	}
}

// ChangeDone implements LeaderTracker.
func (t *PublisherTracker) ChangeDone(c Change) {
	if !t.leading {
		return
	}
	t.inFlightPerMoment[c.At]--
	if t.inFlightPerMoment[c.At] <= 0 {
		delete(t.inFlightPerMoment, c.At)
	}
	if c.Publish == nil && c.Terms == nil {
		delete(t.inFlight, inFlightChange{markLost: c.MarkLost, markReturned: c.MarkReturned})
	}
}

// BatchComplete reports whether no change in flight can join the State's current batch any more, so that the batch's catalog is
// final. An unfinished batch must not become active: what two meshes publish at the same agreed time counts as a set.
func (t *PublisherTracker) BatchComplete() bool {
	for at := range t.inFlightPerMoment {
		if at <= t.state.AgreedTime() {
			return false
		}
	}
	return true
}

// CatalogUpdate implements LeaderTracker.
func (t *PublisherTracker) CatalogUpdate(active json.RawMessage) (text json.RawMessage, reason string) {
	text, _ = t.state.EncodedCatalog()
	if !t.leading || text == nil || !t.BatchComplete() || bytes.Equal(text, active) {
		return nil, ""
	}
	var previous *catalog.State
	if len(active) > 0 {
		previous = &catalog.State{}
		if err := json.Unmarshal(active, previous); err != nil {
			// The text is proposed all the same, so that a readable catalog takes the place of this one.
			return text, "the catalog in force cannot be read"
		}
	}
	return text, summarizeChanges(previous, t.state.Catalog())
}
