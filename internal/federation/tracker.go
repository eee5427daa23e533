package federation

import (
	"bytes"
	"encoding/json"
	"time"

	"example.org/micafront/internal/catalog"
)

// DefaultMeshTimeout is the default of PublisherTracker.MeshTimeout.
const DefaultMeshTimeout = 30 * time.Second

// LeaderTracker is a leader's local record of when each mesh last published, by the replica's monotonic clock. The record
// starts when the replica becomes leader, so a change of leaders never makes a mesh time out early.
type LeaderTracker interface {
	// BecomeLeader is called when the replica leads and has applied all previously committed entries.
	BecomeLeader(now time.Duration)
	// StepDown is called when the replica no longer leads.
	StepDown()
	// HandlePublication records that a mesh has published and returns the changes to propose: the publication if it is
	// new, and the mesh's return if it was lost.
	HandlePublication(now time.Duration, p catalog.Publication) []Change
	// DueChanges returns the changes that have become due: losses of meshes that have timed out, and a Tick if
	// State.NextDue has been reached. It does not return a change again before ChangeDone is called for it.
	DueChanges(now time.Duration) []Change
	// ChangeDone is called when a proposed change was applied or has failed.
	ChangeDone(c Change)
	// CatalogUpdate returns the encoded catalog that should replace the active version's, and the reason for the change,
	// or nil if the active version is up to date. The leader then proposes a version with the active body and that
	// catalog, unless another version is pending.
	CatalogUpdate(active json.RawMessage) (text json.RawMessage, reason string)
}

// PublisherTracker implements LeaderTracker. It also computes the current agreed time: that of the State plus the local
// time since the State's agreed time was last seen to change. A replica that was paused measures too little time, so names
// are kept longer, never shorter.
type PublisherTracker struct {
	// MeshTimeout is the time without any publication, even an unchanged one, after which a mesh counts as lost.
	// NewPublisherTracker sets it to DefaultMeshTimeout.
	MeshTimeout time.Duration

	state ReplicatedState

	// stateTime is the last observed agreed time of the State. stateObservedAt is the local time at which that value was
	// first observed; 0: none was observed yet.
	stateTime       time.Duration
	stateObservedAt time.Duration

	// The following fields are set while the replica leads.
	leading        bool
	lastPoll       time.Duration            // local time of the latest BecomeLeader or DueChanges
	lastPublished  map[string]time.Duration // local time of the latest publication, by mesh
	inFlight       map[inFlightChange]bool  // changes that must not be proposed twice
	inFlightByTime map[time.Duration]int    // number of changes in flight, by agreed time
}

// inFlightChange identifies a proposed loss, return or Tick. The zero value identifies a Tick.
type inFlightChange struct {
	markLost     string
	markReturned string
}

var _ LeaderTracker = (*PublisherTracker)(nil)

// NewPublisherTracker returns a PublisherTracker of a replica that does not lead.
func NewPublisherTracker(state ReplicatedState) *PublisherTracker {
	return &PublisherTracker{MeshTimeout: DefaultMeshTimeout, state: state}
}

// BecomeLeader starts tracking. The timeout of each mesh in the terms starts now.
func (t *PublisherTracker) BecomeLeader(now time.Duration) {
	t.observeStateTime(now)
	t.leading = true
	t.lastPoll = now
	t.lastPublished = map[string]time.Duration{}
	t.inFlight = map[inFlightChange]bool{}
	t.inFlightByTime = map[time.Duration]int{}
	for _, mesh := range t.state.Terms().Meshes {
		t.lastPublished[mesh.Name] = now
	}
}

// StepDown stops tracking.
func (t *PublisherTracker) StepDown() {
	t.leading = false
	t.lastPublished = nil
	t.inFlight = nil
	t.inFlightByTime = nil
}

// observeStateTime records the State's agreed time if it has changed.
func (t *PublisherTracker) observeStateTime(now time.Duration) {
	if at := t.state.AgreedTime(); at != t.stateTime || t.stateObservedAt == 0 {
		t.stateTime = at
		t.stateObservedAt = now
	}
}

// AgreedTime returns the current agreed time according to the local clock, in whole microseconds. It is always later than
// that of the latest change, because that change's batch may already be in use and must not grow. It may be called on any
// replica.
func (t *PublisherTracker) AgreedTime(now time.Duration) time.Duration {
	t.observeStateTime(now)
	return (t.stateTime + now - t.stateObservedAt).Truncate(time.Microsecond) + time.Microsecond
}

// AssignTime returns c with At set to the current agreed time. On a leader the change then counts as in flight until
// ChangeDone is called.
func (t *PublisherTracker) AssignTime(now time.Duration, c Change) Change {
	c.At = t.AgreedTime(now)
	if t.leading {
		t.inFlightByTime[c.At]++
	}
	return c
}

// HandlePublication implements LeaderTracker. A mesh that the terms do not list is not tracked, and the State rejects its
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

// isMember reports whether the terms list a mesh.
func (t *PublisherTracker) isMember(mesh string) bool {
	for _, m := range t.state.Terms().Meshes {
		if m.Name == mesh {
			return true
		}
	}
	return false
}

// isLost reports whether a mesh is lost according to the State.
func (t *PublisherTracker) isLost(mesh string) bool {
	for _, loss := range t.state.Inputs().Lost {
		if loss.Mesh == mesh {
			return true
		}
	}
	return false
}

// isCurrent reports whether the State already contains a publication with this number and these contents.
func (t *PublisherTracker) isCurrent(p catalog.Publication) bool {
	for _, q := range t.state.Inputs().Publications {
		if q.Mesh == p.Mesh && q.Epoch == p.Epoch && q.Seq == p.Seq && q.Digest() == p.Digest() {
			return true
		}
	}
	return false
}

// DueChanges implements LeaderTracker. It does not report a mesh without an accepted publication as lost, because the
// catalog contains no names of it.
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
		if !known { // the terms list the mesh only since the last call
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

// pauseDivisor defines a pause of the process: a time between two polls that exceeds MeshTimeout/pauseDivisor.
const pauseDivisor = 4

// extendAfterPause extends the timeouts of all meshes by the length of a pause of the process, because publications that
// arrived during the pause may not be handled yet.
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
	t.inFlightByTime[c.At]--
	if t.inFlightByTime[c.At] <= 0 {
		delete(t.inFlightByTime, c.At)
	}
	if c.Publish == nil && c.Terms == nil {
		delete(t.inFlight, inFlightChange{markLost: c.MarkLost, markReturned: c.MarkReturned})
	}
}

// BatchComplete reports whether the catalog of the State's current batch is final because no change in flight can still
// join the batch. An incomplete batch must not become active, because publications with the same agreed time count as an
// unordered set.
func (t *PublisherTracker) BatchComplete() bool {
	for at := range t.inFlightByTime {
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
			// The text is still proposed, so that a readable catalog replaces the unreadable one.
			return text, "the catalog in force cannot be read"
		}
	}
	return text, summarizeChanges(previous, t.state.Catalog())
}
