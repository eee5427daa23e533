package fleetsim

import (
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
)

// newCatalogProposer returns a catalog proposer for the replica's node, wrapped by the fleet's hooks.
func (r *Replica) newCatalogProposer(machine *fleetconfig.StateMachine) *consensus.CatalogProposer {
	state := machine.Federation().(*federation.State)
	state.Merger = r.fleet.Hooks.wrapMerger(r.fleet.Merger)
	publishers := federation.NewPublisherTracker(state)
	publishers.MeshTimeout = meshTimeout
	tracker := checkedPublisherTracker{r.fleet.Hooks.wrapPublishers(publishers), r}
	return consensus.NewCatalogProposer(r.node, r.state, tracker)
}

// checkedPublisherTracker checks I7 for the losses that a tracker reports.
type checkedPublisherTracker struct {
	consensus.PublisherTracker
	replica *Replica
}

// DueChanges implements federation.LeaderTracker.
func (t checkedPublisherTracker) DueChanges(now time.Duration) []federation.Change {
	due := t.PublisherTracker.DueChanges(now)
	for _, change := range due {
		t.replica.fleet.invariants.checkLoss(change, t.replica.node.Term())
	}
	return due
}

// handlePublication proposes a publication if the replica leads, and otherwise forwards it to the leader, at most once. A
// publication that cannot be proposed is not answered, and the mesh retries it.
func (r *Replica) handlePublication(p catalog.Publication, forwarded bool, reply func([]catalog.Finding, error)) {
	if leader, ok := r.forwardTarget(); ok && !r.node.Leading() && !forwarded {
		r.fleet.Network.Send(r.Name, &leader.Process, func() {
			leader.handlePublication(p, true, func(findings []catalog.Finding, err error) {
				r.fleet.Network.Send(leader.Name, &r.Process, func() { reply(findings, err) })
			})
		})
		return
	}
	ids, err := r.proposer.Publish(r.Now(), p)
	if err != nil {
		return
	}
	if r.fleet.Leader() == r { // a deposed leader that still considers itself the leader is ignored
		r.fleet.invariants.publications[p.Mesh] = receivedPublication{r.engine.now, r.node.Term()}
	}
	if len(ids) == 0 { // the publication is already in effect
		reply(r.findingsFor(p.Mesh), nil)
	}
	pending := len(ids)
	var lastErr error
	for _, id := range ids {
		r.answerHandlers[id] = func(answer fleetconfig.Answer) {
			if answer.Err != nil {
				lastErr = answer.Err
			}
			pending--
			if pending == 0 {
				reply(r.findingsFor(p.Mesh), lastErr)
			}
		}
	}
	r.processPending()
}

// findingsFor returns the findings of the merged catalog that concern a mesh.
func (r *Replica) findingsFor(mesh string) []catalog.Finding {
	return slices.DeleteFunc(slices.Clone(r.state.Federation().Findings()),
		func(f catalog.Finding) bool { return f.Mesh != mesh })
}

// stepCatalog passes an outcome to the proposer, and proposes the version that the proposer requests, if any. It reports whether
// the node then has pending work.
func (r *Replica) stepCatalog(outcome consensus.Outcome) bool {
	r.proposer.HandleOutcome(r.Now(), outcome)
	if proposal := r.proposer.Step(r.Now()); proposal != nil {
		if r.fleet.compiles(proposal.Body) {
			r.reportError(r.proposer.Propose(r.Now(), *proposal))
		} else {
			r.proposer.RecordValidationFailure(
				catalog.UnknownService.New("catalog", "a route refers to a service that the catalog does not contain"))
		}
	}
	return r.node.HasWork()
}

// withCatalog adds the leader's catalog to a proposal that has none, in runs with publishing meshes.
func (r *Replica) withCatalog(c fleetconfig.Command) fleetconfig.Command {
	if c.Propose == nil || c.Propose.Body == nil || len(r.fleet.Meshes) == 0 {
		return c
	}
	proposal := *c.Propose
	body := r.proposer.WithCatalog(*proposal.Body)
	proposal.Body = &body
	c.Propose = &proposal
	return c
}

// Federation returns the federation's state at the replica that is up and has applied the most commands.
func (f *Fleet) Federation() federation.ReplicatedState {
	var latest federation.ReplicatedState
	applied := uint64(0)
	for _, r := range f.Replicas {
		if r.up && (latest == nil || r.node.AppliedIndex() > applied) {
			latest = r.state.Federation()
			applied = r.node.AppliedIndex()
		}
	}
	return latest
}
