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

// listPublisher maintains the endpoint list on the event loop. On the leader it receives updates from service discovery,
// commits each change to the replicated list, and publishes the list to the watches. It publishes drains and removals
// early, before they are committed, because the quorum may be lost while an endpoint shuts down.
type listPublisher struct {
	term       uint64           // the term in which this replica serves the list; 0: it does not
	baseNumber uint64           // number of the committed list when the replica started to serve
	client     *discoveryClient // nil while the replica does not serve the list
	// previousDone is closed when the previous client has ended; nil: there was none.
	previousDone <-chan struct{}
	closing      bool // the replica is shutting down

	pending         []json.RawMessage // entries from discovery that are not yet proposed
	pendingIsFull   bool              // pending is discovery's whole list, not changes to it
	inFlight        consensus.ProposalID
	earlyEntries    map[string]json.RawMessage // published and not yet committed, by instance id
	earlyCount      uint64                     // number of times that entries were added to earlyEntries
	publishedNumber uint64                     // number of the list that was published last
}

// step handles the outcome of the node's work: it starts or stops serving the list, and proposes and publishes changes.
func (p *listPublisher) step(loop *eventLoop, outcome consensus.Outcome) {
	addr := *loop.replica.discovery.addr.Load()
	shouldServe := loop.node.LeaderReady() && addr != "" && !p.closing
	if p.term != 0 && (!shouldServe || p.term != loop.node.Term()) {
		p.stopServing(loop)
	}
	if !shouldServe {
		return
	}
	if p.term == 0 {
		p.startServing(loop)
	}
	if p.client == nil || p.client.addr != addr {
		p.stopClient()
		p.dropPending()
		p.client = loop.replica.startDiscoveryClient(addr, p.previousDone)
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

// stopServing ends the watches. It is called when this replica loses its leadership, shuts down, or has no discovery address.
func (p *listPublisher) stopServing(loop *eventLoop) {
	p.stopClient()
	*p = listPublisher{previousDone: p.previousDone, closing: p.closing}
	loop.replica.discovery.publish(&listSnapshot{superseded: make(chan struct{})})
}

// stopClient cancels the discovery client without waiting for it to end.
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

// completeProposal handles the result of the change in flight after it was applied.
func (p *listPublisher) completeProposal(loop *eventLoop, applied consensus.Applied, addr string) {
	p.inFlight = consensus.ProposalID{}
	if applied.Answer.Err != nil { // a defect: the change was based on the current list
		loop.replica.log.Error("micafront-controlplane: endpoint list change rejected", zap.Error(applied.Answer.Err))
		p.stopClient()
		p.client = loop.replica.startDiscoveryClient(addr, p.previousDone)
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

// publish publishes the committed list and the early entries to the watches.
func (p *listPublisher) publish(loop *eventLoop) {
	list := loop.state.EndpointList().View()
	early := endpointlist.Update{Generation: list.Number()}
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
		fullText:    sync.OnceValue(func() []byte { return encodeUpdate(list.FullUpdate()) }),
	})
}

// applyUpdate handles an update from service discovery. A rejected update changes nothing.
func (p *listPublisher) applyUpdate(loop *eventLoop, source *discoveryClient, update endpointlist.Update) error {
	if p.client != source {
		return Stopping.New("discovery "+source.addr, "it is no longer watched")
	}
	list := loop.state.EndpointList()
	change, changed, err := list.NextChange(update.Instances, update.Reset)
	if err != nil {
		return err
	}
	if update.Reset {
		p.pending = update.Instances
		p.pendingIsFull = true
	} else if p.pending, err = endpointlist.Merge(p.pending, update.Instances); err != nil {
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

// addEarlyEntries adds to the early entries. It reports whether any of the given entries is new or changed.
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
	if err != nil { // each update is valid, but their combination is not
		loop.replica.discovery.recordFailure(err)
		p.dropPending()
		return
	}
	change = list.AddCommittedEntries(change, slices.Collect(maps.Keys(p.earlyEntries)))
	if !changed && len(change.Entries) == 0 {
		p.dropPending()
		return
	}
	id, err := loop.node.Propose(fleetconfig.Command{EndpointChange: &change})
	if err != nil {
		return // the next turn retries while this replica is the leader
	}
	p.inFlight = id
	p.dropPending()
}
