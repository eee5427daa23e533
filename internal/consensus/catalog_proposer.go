package consensus

import (
	"fmt"
	"strings"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/federation"
	"example.org/micafront/internal/fleetconfig"
)

// CatalogProposer serves the federation's meshes while its Node leads: it replicates their publications, detects lost
// meshes, and proposes the merged catalog as a version. It performs no I/O and reads no clock. It shares its node with a
// LeaseServer:
//
//	ids, err := proposer.Publish(now, publication)   // as publications arrive
//	proposer.HandleOutcome(now, outcome)             // the outcome of LeaseServer.Run
//	if proposal := proposer.Step(now); proposal != nil { // after each batch of events
//		err := proposer.Propose(now, *proposal)      // once it is validated
//	}
type CatalogProposer struct {
	node       *Node
	state      fleetconfig.ReplicatedState
	publishers PublisherTracker

	term           uint64 // term in which this replica leads, as last reported to publishers; 0: it does not lead
	inFlight       map[ProposalID]federation.Change
	checkDue       bool   // the next Step asks publishers for due changes
	stateEvaluated bool   // nextVersion has examined the current state
	lastProposalID string // ID of the latest version that Step returned in this term
	blockedReason  string // why the merged catalog cannot become active; empty: it can
}

// PublisherTracker is a federation.LeaderTracker that also assigns times to the operators' changes.
type PublisherTracker interface {
	federation.LeaderTracker
	// AssignTime returns the change with At set to the current agreed time.
	AssignTime(now time.Duration, c federation.Change) federation.Change
	// AgreedTime returns the replicas' agreed time at the local time now.
	AgreedTime(now time.Duration) time.Duration
	// BatchComplete reports whether the merged catalog is final because no change in flight can still take effect at the
	// latest agreed time.
	BatchComplete() bool
}

var _ PublisherTracker = (*federation.PublisherTracker)(nil)

// CatalogAuthor is the value of Propose.ProposedBy in versions that a CatalogProposer proposes.
const CatalogAuthor = "catalog"

// shortDigestChars is the length of the digest prefix in the ID and the Reason of a catalog's version.
const shortDigestChars = 16

// NewCatalogProposer returns a CatalogProposer that proposes through node.
func NewCatalogProposer(node *Node, state fleetconfig.ReplicatedState, publishers PublisherTracker) *CatalogProposer {
	return &CatalogProposer{node: node, state: state, publishers: publishers, inFlight: map[ProposalID]federation.Change{}}
}

// followLeadership starts the publisher tracker once the node is ready to lead in a new term, and stops it when the node's
// leadership in that term ends.
func (p *CatalogProposer) followLeadership(now time.Duration) {
	ready := p.node.LeaderReady()
	if ready && p.term == p.node.Term() {
		return
	}
	if p.term != 0 {
		p.term = 0
		p.publishers.StepDown()
		clear(p.inFlight)
	}
	if ready {
		p.term = p.node.Term()
		p.checkDue = true
		p.stateEvaluated = false
		p.lastProposalID = ""
		p.blockedReason = ""
		p.publishers.BecomeLeader(now)
	}
}

// Publish proposes the changes that a mesh's publication requires and returns their proposal IDs. The publication takes
// effect once all of them are applied; if there are none, it is already in effect. Errors are NotLeading and those of
// Node.Propose.
func (p *CatalogProposer) Publish(now time.Duration, publication catalog.Publication) ([]ProposalID, error) {
	if p.followLeadership(now); p.term == 0 {
		return nil, p.node.notLeading()
	}
	var ids []ProposalID
	var lastErr error
	for _, change := range p.publishers.HandlePublication(now, publication) {
		id, err := p.proposeChange(change)
		if lastErr = err; err == nil {
			ids = append(ids, id)
		}
	}
	return ids, lastErr
}

// SubmitChange proposes an operator's change to the federation. Errors are NotLeading and those of Node.Propose.
func (p *CatalogProposer) SubmitChange(now time.Duration, change federation.Change) (ProposalID, error) {
	if p.followLeadership(now); p.term == 0 {
		return ProposalID{}, p.node.notLeading()
	}
	return p.proposeChange(p.publishers.AssignTime(now, change))
}

// proposeChange proposes a change and tracks it until it is applied or fails.
func (p *CatalogProposer) proposeChange(change federation.Change) (ProposalID, error) {
	id, err := p.node.Propose(fleetconfig.Command{MeshChange: &change})
	if err != nil {
		p.publishers.ChangeDone(change)
		return id, err
	}
	p.inFlight[id] = change
	return id, nil
}

// Tick makes the next Step check for changes that have become due, and retry a version that could not be proposed.
func (p *CatalogProposer) Tick() {
	p.checkDue = true
	p.stateEvaluated = p.stateEvaluated && p.lastProposalID != ""
}

// HandleOutcome updates the proposer with an outcome of the node.
func (p *CatalogProposer) HandleOutcome(now time.Duration, outcome Outcome) {
	for _, applied := range outcome.Applied {
		p.changeDone(applied.ProposalID)
		if applied.Command.AddMember == nil && applied.Command.RemoveMember == nil {
			p.stateEvaluated = false
		}
	}
	for _, failure := range outcome.Failed {
		p.changeDone(failure.ProposalID)
	}
	if outcome.Restored {
		p.stateEvaluated = false
	}
	p.followLeadership(now)
}

// changeDone notifies the publisher tracker that a change was applied or has failed.
func (p *CatalogProposer) changeDone(id ProposalID) {
	if change, ok := p.inFlight[id]; ok {
		delete(p.inFlight, id)
		p.publishers.ChangeDone(change)
	}
}

// Step proposes the due changes. If the merged catalog requires a new version, Step returns it for the caller to validate
// and pass to Propose; otherwise it returns nil. It returns each version once per term.
func (p *CatalogProposer) Step(now time.Duration) *fleetconfig.Propose {
	p.followLeadership(now)
	if p.checkDue {
		p.checkDue = false
		for _, change := range p.publishers.DueChanges(now) { // a follower has none, but must track agreed time
			_, _ = p.proposeChange(change) // DueChanges returns a failed change again
		}
	}
	if p.term == 0 || p.stateEvaluated {
		return nil
	}
	return p.nextVersion()
}

// nextVersion returns a version with the merged catalog. It returns nil if that catalog is already active, its version was
// withdrawn, no version is active yet, or another one is pending. The ID and Reason are stored in the log, and later
// leaders use them to recognize earlier versions of the same catalog, so their format must not change.
func (p *CatalogProposer) nextVersion() *fleetconfig.Propose {
	active, hasActive := p.state.Active()
	_, hasProposed := p.state.Proposed()
	if !hasActive || hasProposed {
		return nil
	}
	text, cause := p.publishers.CatalogUpdate(active.Body.Catalog)
	p.stateEvaluated = p.publishers.BatchComplete()
	if text == nil {
		p.blockedReason = ""
		return nil
	}
	_, digest := p.state.Federation().EncodedCatalog()
	shortDigest := digest[:shortDigestChars]
	marker := "catalog " + shortDigest + ": "
	latest, withdrawn := p.versionsSince(active.Number, marker)
	if withdrawn != nil { // by nodes or an operator: a new attempt requires a different catalog or different terms
		p.blockedReason = fmt.Sprintf("version %d with it was withdrawn: %s", withdrawn.Number, withdrawn.Reason)
		return nil
	}
	id := fmt.Sprintf("catalog %s on %d after %d", shortDigest, active.Number, latest)
	if id == p.lastProposalID {
		return nil
	}
	p.lastProposalID = id
	body := active.Body
	body.Catalog = text
	return &fleetconfig.Propose{
		ID:         id,
		Base:       active.Number,
		ProposedBy: CatalogAuthor,
		Reason:     marker + cause,
		Body:       &body,
	}
}

// versionsSince searches the history after the active version. It returns the latest version number, and the withdrawal of
// the first version whose reason starts with marker, or nil if there is none.
func (p *CatalogProposer) versionsSince(active uint64, marker string) (uint64, *fleetconfig.HistoryEntry) {
	latest := active
	marked := map[uint64]bool{}
	for _, entry := range p.state.History() {
		latest = max(latest, entry.Number)
		switch {
		case entry.Number <= active:
		case entry.IsProposal():
			marked[entry.Number] = strings.HasPrefix(entry.Reason, marker)
		case entry.IsWithdrawal() && marked[entry.Number]:
			return latest, &entry
		}
	}
	return latest, nil
}

// Propose proposes a version that Step returned and the caller has validated. It does nothing if the replica no longer
// leads, the active version has changed, or Step has returned a later version.
func (p *CatalogProposer) Propose(now time.Duration, proposal fleetconfig.Propose) error {
	active, _ := p.state.Active()
	if p.followLeadership(now); p.term == 0 || active.Number != proposal.Base || p.lastProposalID != proposal.ID {
		return nil
	}
	_, err := p.node.Propose(fleetconfig.Command{Propose: &proposal})
	if err != nil { // the node is busy; the version is retried after the next Tick
		p.RecordValidationFailure(err)
		p.lastProposalID = ""
	}
	return err
}

// RecordValidationFailure records why a version from Step was not proposed, usually because validation failed.
// BlockedReason then returns it.
func (p *CatalogProposer) RecordValidationFailure(err error) { p.blockedReason = err.Error() }

// BlockedReason returns why the merged catalog cannot become active without an operator's action, or "" if it can.
func (p *CatalogProposer) BlockedReason() string { return p.blockedReason }

// WithCatalog returns an operator's body with the merged catalog filled in if the body has none. While the merged catalog
// is not final, it fills in the active version's catalog instead.
func (p *CatalogProposer) WithCatalog(body fleetconfig.Body) fleetconfig.Body {
	if len(body.Catalog) > 0 {
		return body
	}
	text, _ := p.state.Federation().EncodedCatalog()
	if active, ok := p.state.Active(); ok && text != nil && !p.publishers.BatchComplete() {
		text = active.Body.Catalog
	}
	body.Catalog = text
	return body
}

// AgreedTime returns the replicas' agreed time at the local time now.
func (p *CatalogProposer) AgreedTime(now time.Duration) time.Duration {
	return p.publishers.AgreedTime(now)
}
