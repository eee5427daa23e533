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
// meshes, and proposes the merged catalog as a version. It is pure, and runs beside a LeaseServer on the same node:
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

	term           uint64 // in which publishers was last told that it leads; 0: it does not lead
	inFlight       map[ProposalID]federation.Change
	checkDue       bool   // changes may be due
	upToDate       bool   // the state has not changed since nextVersion looked at it
	lastProposalID string // of the latest version that Step returned in this term
	blockedReason  string // why the merged catalog cannot become active; empty: it can
}

// PublisherTracker is a federation.LeaderTracker that also assigns times to the operators' changes.
type PublisherTracker interface {
	federation.LeaderTracker
	// AssignTime returns the change with its place in agreed time.
	AssignTime(now time.Duration, c federation.Change) federation.Change
	// AgreedTime is the replicas' agreed time at now.
	AgreedTime(now time.Duration) time.Duration
	// BatchComplete reports whether no more changes of the latest agreed time can follow, so that the merged catalog is
	// complete.
	BatchComplete() bool
}

var _ PublisherTracker = (*federation.PublisherTracker)(nil)

// CatalogAuthor is the ProposedBy of versions that a CatalogProposer proposes.
const CatalogAuthor = "catalog"

// shortDigestChars is how many characters of a catalog's digest the ID and the Reason of its version have.
const shortDigestChars = 16

// NewCatalogProposer returns a proposer beside a node.
func NewCatalogProposer(node *Node, state fleetconfig.ReplicatedState, publishers PublisherTracker) *CatalogProposer {
	return &CatalogProposer{node: node, state: state, publishers: publishers, inFlight: map[ProposalID]federation.Change{}}
}

// followLeadership starts and stops the publisher tracker with the node's leadership.
func (p *CatalogProposer) followLeadership(now time.Duration) {
	settled := p.node.LeaderReady()
	if settled && p.term == p.node.Term() {
		return
	}
	if p.term != 0 {
		p.term = 0
		p.publishers.StepDown()
		clear(p.inFlight)
	}
	if settled {
		p.term = p.node.Term()
		p.checkDue = true
		p.upToDate = false
		p.lastProposalID = ""
		p.blockedReason = ""
		p.publishers.BecomeLeader(now)
	}
}

// Publish takes a mesh's publication. It is in effect once all returned proposals are applied, or already where none is
// returned. It fails with NotLeading or as Node.Propose.
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

// SubmitChange proposes an operator's change of the federation. It fails with NotLeading or as Node.Propose.
func (p *CatalogProposer) SubmitChange(now time.Duration, change federation.Change) (ProposalID, error) {
	if p.followLeadership(now); p.term == 0 {
		return ProposalID{}, p.node.notLeading()
	}
	return p.proposeChange(p.publishers.AssignTime(now, change))
}

func (p *CatalogProposer) proposeChange(change federation.Change) (ProposalID, error) {
	id, err := p.node.Propose(fleetconfig.Command{MeshChange: &change})
	if err != nil {
		p.publishers.ChangeDone(change)
		return id, err
	}
	p.inFlight[id] = change
	return id, nil
}

// Tick makes the next Step look for changes that time has made due, and try again what could not be proposed.
func (p *CatalogProposer) Tick() {
	p.checkDue = true
	p.upToDate = p.upToDate && p.lastProposalID != ""
}

// HandleOutcome handles the outcome of the node's work.
func (p *CatalogProposer) HandleOutcome(now time.Duration, outcome Outcome) {
	for _, applied := range outcome.Applied {
		p.changeDone(applied.ProposalID)
		if applied.Command.AddMember == nil && applied.Command.RemoveMember == nil {
			p.upToDate = false
		}
	}
	for _, failure := range outcome.Failed {
		p.changeDone(failure.ProposalID)
	}
	if outcome.Restored {
		p.upToDate = false
	}
	p.followLeadership(now)
}

// changeDone tells the publisher tracker that a change was applied or has failed.
func (p *CatalogProposer) changeDone(id ProposalID) {
	if change, ok := p.inFlight[id]; ok {
		delete(p.inFlight, id)
		p.publishers.ChangeDone(change)
	}
}

// Step proposes the due changes. It returns the version that the merged catalog calls for, each one once in a term: the
// caller validates it and passes it to Propose. nil: none.
func (p *CatalogProposer) Step(now time.Duration) *fleetconfig.Propose {
	p.followLeadership(now)
	if p.checkDue {
		p.checkDue = false
		for _, change := range p.publishers.DueChanges(now) { // a replica that does not lead only follows agreed time
			_, _ = p.proposeChange(change) // it is found due again
		}
	}
	if p.term == 0 || p.upToDate {
		return nil
	}
	return p.nextVersion()
}

// nextVersion returns the version with the merged catalog, unless it is active, was withdrawn, or cannot be proposed now.
// The texts of its ID and Reason are stored: later leaders find the versions of a catalog by them.
func (p *CatalogProposer) nextVersion() *fleetconfig.Propose {
	active, hasActive := p.state.Active()
	_, hasProposed := p.state.Proposed()
	if !hasActive || hasProposed {
		return nil
	}
	text, cause := p.publishers.CatalogUpdate(active.Body.Catalog)
	p.upToDate = p.publishers.BatchComplete()
	if text == nil {
		p.blockedReason = ""
		return nil
	}
	_, digest := p.state.Federation().EncodedCatalog()
	shortDigest := digest[:shortDigestChars]
	marker := "catalog " + shortDigest + ": "
	latest, withdrawn := p.versionsSince(active.Number, marker)
	if withdrawn != nil { // by nodes or an operator: the next try needs another catalog or other terms
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

// versionsSince looks through the history after the active version. It returns the latest number, and the withdrawal of
// the first version whose reason has the marker, or nil.
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

// Propose proposes a validated version, where it is still the latest one and made on the active version.
func (p *CatalogProposer) Propose(now time.Duration, proposal fleetconfig.Propose) error {
	active, _ := p.state.Active()
	if p.followLeadership(now); p.term == 0 || active.Number != proposal.Base || p.lastProposalID != proposal.ID {
		return nil
	}
	_, err := p.node.Propose(fleetconfig.Command{Propose: &proposal})
	if err != nil { // the node is busy: Tick lets the version be tried again
		p.RecordValidationFailure(err)
		p.lastProposalID = ""
	}
	return err
}

// RecordValidationFailure notes why a version of Step's was not proposed, most often that it failed its validation.
func (p *CatalogProposer) RecordValidationFailure(err error) { p.blockedReason = err.Error() }

// BlockedReason is why the merged catalog cannot become active without an operator; empty where it can.
func (p *CatalogProposer) BlockedReason() string { return p.blockedReason }

// WithCatalog completes an operator's body that has no catalog with the merged one, or with the active one while changes
// of the latest agreed time may follow.
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

// AgreedTime is the replicas' agreed time by this replica's clock.
func (p *CatalogProposer) AgreedTime(now time.Duration) time.Duration {
	return p.publishers.AgreedTime(now)
}
