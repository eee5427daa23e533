package controlplane

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"example.org/micafront/internal/consensus"
	"example.org/micafront/internal/endpointlist"
	"example.org/micafront/internal/fleetconfig"
	"go.uber.org/zap"
)

// listPublisher is the event loop's part in the endpoint list. On the leader it follows service discovery, commits each
// change to the replicated list, and publishes the list to the watches. Drains and removals are published early, before
// they are committed, since a quorum may be lost while an endpoint stops.
type listPublisher struct {
	term       uint64           // the term that it serves in; 0: it does not serve
	baseNumber uint64           // the committed list's number when it began to serve
	client     *discoveryClient // nil while it does not serve
	// previousDone is closed once the client before has ended; nil: there was none.
	previousDone <-chan struct{}
	closing      bool // the replica shuts down

	pending         []json.RawMessage // entries from discovery that are not yet proposed
	pendingIsFull   bool              // pending is discovery's whole list, not changes to it
	inFlight        consensus.ProposalID
	earlyEntries    map[string]json.RawMessage // published and not yet committed, by instance id
	earlyCount      uint64                     // how often earlyEntries has grown
	publishedNumber uint64                     // of the list that the watches were given last
}

// step follows the outcome of the node's work: it begins or ends serving, and proposes and publishes changes.
func (p *listPublisher) step(loop *eventLoop, outcome consensus.Outcome) {
	addr := *loop.replica.discovery.addr.Load()
	serves := loop.node.LeaderReady() && addr != "" && !p.closing
	if p.term != 0 && (!serves || p.term != loop.node.Term()) {
		p.stopServing(loop)
	}
	if !serves {
		return
	}
	if p.term == 0 {
		p.startServing(loop)
	}
	if p.client == nil || p.client.addr != addr {
		p.stopClient()
		p.dropPending()
		p.client = loop.replica.followDiscovery(addr, p.previousDone)
	}
	for _, applied := range outcome.Applied {
		if !p.inFlight.IsZero() && applied.ProposalID == p.inFlight {
			p.completeProposal(loop, applied, addr)
		}
	}
	if p.publishedNumber != loop.state.EndpointList().Number() {
		p.publish(loop)
	}
	p.proposeChange(loop)
}

func (p *listPublisher) startServing(loop *eventLoop) {
	*p = listPublisher{
		term:         loop.node.Term(),
		baseNumber:   loop.state.EndpointList().Number(),
		earlyEntries: map[string]json.RawMessage{},
		previousDone: p.previousDone,
	}
	loop.replica.discovery.recordContact()
	p.publish(loop)
}

// stopServing ends the watches, when this replica has lost its leadership or stops.
func (p *listPublisher) stopServing(loop *eventLoop) {
	p.stopClient()
	*p = listPublisher{previousDone: p.previousDone, closing: p.closing}
	loop.replica.discovery.publish(&listSnapshot{superseded: make(chan struct{})})
}

// stopClient cancels the discovery client, which ends on its own goroutine.
func (p *listPublisher) stopClient() {
	if p.client != nil {
		p.client.cancel()
		p.previousDone = p.client.done
		p.client = nil
	}
}

func (p *listPublisher) dropPending() {
	p.pending = nil
	p.pendingIsFull = false
}

// completeProposal handles the application of the change in flight.
func (p *listPublisher) completeProposal(loop *eventLoop, applied consensus.Applied, addr string) {
	p.inFlight = consensus.ProposalID{}
	if applied.Answer.Err != nil { // a defect: the change was made for this very list
		loop.replica.log.Error("micafront-controlplane: endpoint list change rejected", zap.Error(applied.Answer.Err))
		p.stopClient()
		p.client = loop.replica.followDiscovery(addr, p.previousDone)
		return
	}
	for _, entry := range applied.Command.EndpointChange.Entries {
		delete(p.earlyEntries, instanceID(entry))
	}
}

func instanceID(text json.RawMessage) string {
	var entry struct {
		ID string `json:"instanceId"`
	}
	_ = json.Unmarshal(text, &entry) // the entry was decoded when it was received
	return entry.ID
}

// publish gives the watches the committed list and the early entries.
func (p *listPublisher) publish(loop *eventLoop) {
	list := loop.state.EndpointList().View()
	early := endpointlist.Object{Generation: list.Number()}
	for _, id := range slices.Sorted(maps.Keys(p.earlyEntries)) {
		early.Instances = append(early.Instances, p.earlyEntries[id])
	}
	p.publishedNumber = list.Number()
	loop.replica.discovery.publish(&listSnapshot{
		list:        list,
		term:        p.term,
		baseNumber:  p.baseNumber,
		earlyUpdate: early,
		earlyCount:  p.earlyCount,
		superseded:  make(chan struct{}),
		fullText:    sync.OnceValue(func() []byte { return encodeObject(list.FullObject()) }),
	})
}

// applyObject takes an object from service discovery. One that is rejected changes nothing.
func (p *listPublisher) applyObject(loop *eventLoop, source *discoveryClient, object endpointlist.Object) error {
	if p.client != source {
		return Stopping.New("discovery "+source.addr, "it is no longer followed")
	}
	list := loop.state.EndpointList()
	change, changed, err := list.NextChange(object.Instances, object.Reset)
	if err != nil {
		return err
	}
	if object.Reset {
		p.pending = object.Instances
		p.pendingIsFull = true
	} else if p.pending, err = endpointlist.Merge(p.pending, object.Instances); err != nil {
		return err
	}
	if changed && p.addEarlyEntries(list.EarlyEntries(change)) {
		p.earlyCount++
		loop.replica.metrics.endpointList.earlyUpdates.Inc()
		p.publish(loop)
	}
	p.proposeChange(loop)
	return nil
}

// addEarlyEntries reports whether any of the entries was not published early yet.
func (p *listPublisher) addEarlyEntries(entries map[string]json.RawMessage) bool {
	added := false
	for id, text := range entries {
		if !bytes.Equal(p.earlyEntries[id], text) {
			p.earlyEntries[id] = text
			added = true
		}
	}
	return added
}

// proposeChange proposes the pending change, unless there is none or another one is in flight.
func (p *listPublisher) proposeChange(loop *eventLoop) {
	nothingToPropose := p.pending == nil && len(p.earlyEntries) == 0
	if !p.inFlight.IsZero() || nothingToPropose {
		return
	}
	list := loop.state.EndpointList()
	change, changed, err := list.NextChange(p.pending, p.pendingIsFull)
	if err != nil { // each object was accepted, but not all of them together
		loop.replica.discovery.recordFailure(err)
		p.dropPending()
		return
	}
	change = list.RepeatChange(change, slices.Collect(maps.Keys(p.earlyEntries)))
	if !changed && len(change.Entries) == 0 {
		p.dropPending()
		return
	}
	id, err := loop.node.Propose(fleetconfig.Command{EndpointChange: &change})
	if err != nil {
		return // the next turn tries again, while this replica is the leader
	}
	p.inFlight = id
	p.dropPending()
}
