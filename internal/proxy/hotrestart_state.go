package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/routing"
	jsoniter "github.com/json-iterator/go"
	"go.uber.org/zap"
)

// This file encodes the state that a process hands to its successor, and restores it there.

// json writes and reads the texts that processes exchange, in the same manner as encoding/json.
var json = jsoniter.ConfigCompatibleWithStandardLibrary

// handoverState is what a process hands to its successor beside the listening sockets. Processes of different releases
// exchange it: the names of its JSON members stay.
type handoverState struct {
	Discovery      string                    // the address that the endpoint list is from
	EndpointList   jsoniter.RawMessage       `json:"List"`   // in the form of service discovery
	Balancer       balancer.State            `json:"Module"` // of an undivided fleet's pool
	Pools          map[string]balancer.State // of each pool, where the fleet is divided
	Reserved       map[string]time.Duration  `json:"Held"` // endpoints that belong to no pool until then
	Listeners      []string                  // the names of the extra listeners, in the order of their descriptors
	DroppedClasses map[string]balancer.Class `json:"Dropped"`
	ClientIDs      []string                  `json:"Open"` // of all sessions

	// Clock is that of the process, by which all times here are. Older releases have none: theirs began with the wall clock.
	Clock *evloop.ClockReading `json:",omitempty"`
}

// poolState is the state of a pool, by its name or a former one; ok is false where there is none. single is set where the
// fleet is undivided here.
func (h *handoverState) poolState(pool *routing.Pool, single bool) (state balancer.State, ok bool) {
	if len(h.Pools) == 0 {
		return h.Balancer, single
	}
	for _, name := range append([]string{pool.Name}, pool.Was...) {
		if state, ok := h.Pools[name]; ok {
			return state, true
		}
	}
	return balancer.State{}, false
}

// capturedState is a handoverState whose endpoint list has yet to be encoded. It shares nothing that changes.
type capturedState struct {
	handoverState
	list discovery.List
}

// encode returns the text for a successor. With thousands of endpoints that takes tens of milliseconds.
func (c *capturedState) encode() ([]byte, error) {
	slices.SortFunc(c.list.Instances, func(a, b discovery.Entry) int { return cmp.Compare(a.ID, b.ID) })
	c.Balancer.ComputeOwners()
	for name, state := range c.Pools {
		state.ComputeOwners()
		c.Pools[name] = state
	}
	encodedList, err := json.Marshal(c.list)
	if err != nil {
		return nil, err
	}
	c.EndpointList = encodedList
	return json.Marshal(c.handoverState)
}

// captureState takes the state for a successor.
func (p *Proxy) captureState() *capturedState {
	list := discovery.List{
		Generation: p.discoveryClient.Generation,
		Reset:      true,
		Instances:  make([]discovery.Entry, 0, len(p.endpoints)),
	}
	for _, e := range p.endpoints {
		entry := e.entry
		entry.StartedAtMs = e.announcedStartMs // the successor converts it by its own clock
		list.Instances = append(list.Instances, entry)
	}
	state := handoverState{
		Discovery:      p.discoveryClient.Addr,
		DroppedClasses: maps.Clone(p.droppedClasses),
		Reserved:       p.pools.owners.Reservations(),
		Listeners:      p.listeners.extraNames(),
	}
	if p.pools.isSingle() && p.pools.active[0].name == routing.Single().Pools[0].Name {
		state.Balancer = p.pools.active[0].balancer.CaptureState()
	} else {
		state.Pools = map[string]balancer.State{}
		for _, pool := range p.pools.active {
			state.Pools[pool.name] = pool.balancer.CaptureState()
		}
	}
	if clock, err := p.loop.ReadClock(); err == nil { // else the successor begins with the wall clock
		state.Clock = &clock
	}
	for id := range p.sessions.byClientID {
		state.ClientIDs = append(state.ClientIDs, id)
	}
	return &capturedState{state, list}
}

// startBalancers starts the pools' balancers: from the predecessor's state, else with the endpoint list of the
// configuration.
func (p *Proxy) startBalancers(c *config.Config, state *handoverState) {
	if state == nil || !p.restoreState(state) {
		p.onList(c.KnownEndpoints, balancer.CachedList)
	}
}

// restoreState restores a predecessor's state. It returns false where no balancer goes on with it.
func (p *Proxy) restoreState(state *handoverState) bool {
	p.droppedClasses = map[string]balancer.Class{}
	maps.Copy(p.droppedClasses, state.DroppedClasses)
	p.removeActiveFromDropped()
	list, err := discovery.ParseList(state.EndpointList)
	if err != nil {
		p.log.Warn("hot restart: handover rejected", zap.Error(err))
		return false
	}
	restored, ok := p.resumeBalancers(state)
	if !ok {
		return false
	}
	p.discoveryClient.SeenEndpoints = len(list.Instances) > 0
	p.discoveryClient.Generation = list.Generation
	if state.Discovery != p.discoveryClient.Addr {
		p.discoveryClient.Generation = 0 // generations of different sources do not compare
	}
	p.updateEndpoints(&list, balancer.CachedList)
	p.pools.owners.RestoreReservations(state.Reserved)
	updates := p.pools.owners.ApplyList(p.loop.Now(), balancer.CachedList, list.Generation, list.Entries())
	divided := len(state.Pools) > 0 // else the only pool's state has the whole list already
	for i, pool := range p.pools.active {
		if restored[i].ok {
			p.events.executeActions(pool, restored[i].actions)
			updates[i].Members.Kind = balancer.FullList // the pool may have had other endpoints before
		}
		if !restored[i].ok || divided {
			p.events.handle(pool, updates[i].Members)
		}
	}
	p.pools.distribute(nil) // logs changes of owners, and sets the timer for endpoints that are reserved
	return true
}

// restoredBalancer is the result of a balancer's Resume.
type restoredBalancer struct {
	actions []balancer.Action
	ok      bool
}

// resumeBalancers has the balancers of all pools that have a state go on with it. The result is in the order of the
// pools; anyRestored is false where none does.
func (p *Proxy) resumeBalancers(state *handoverState) (restored []restoredBalancer, anyRestored bool) {
	for i, pool := range p.pools.active {
		var result restoredBalancer
		if poolState, ok := state.poolState(&p.pools.table.Set.Pools[i], p.pools.isSingle()); ok {
			actions, err := pool.balancer.Resume(p.loop.Now(), poolState)
			if err != nil {
				p.log.Warn("hot restart: handover rejected", zap.Error(err))
			}
			result = restoredBalancer{actions, err == nil}
		}
		restored = append(restored, result)
		anyRestored = anyRestored || result.ok
	}
	return restored, anyRestored
}
