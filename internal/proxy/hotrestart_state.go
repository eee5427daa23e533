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

// json encodes and decodes the messages between processes, compatibly with encoding/json.
var json = jsoniter.ConfigCompatibleWithStandardLibrary

// handoverState is the state that a process hands to its successor together with the listening sockets. Processes of
// different releases exchange it, so the names of its JSON members must not change.
type handoverState struct {
	Discovery      string                    // the address that supplied the endpoint list
	EndpointList   jsoniter.RawMessage       `json:"List"`   // encoded as by service discovery
	Balancer       balancer.State            `json:"Module"` // state of the only pool, if the configuration names no pools
	Pools          map[string]balancer.State // state of each pool by name, if the configuration names pools
	Reserved       map[string]time.Duration  `json:"Held"` // by endpoint, the time until which it belongs to no pool
	Listeners      []string                  // names of the extra listeners, in the order of their descriptors
	DroppedClasses map[string]balancer.Class `json:"Dropped"`
	ClientIDs      []string                  `json:"Open"` // client IDs of all sessions

	// Clock is the process's clock, to which all times in the state refer. Older releases send none: their clock started at
	// wall-clock time.
	Clock *evloop.ClockReading `json:",omitempty"`
}

// poolStates returns the states of this process's pools by their positions in set. Each state is continued by one pool at most,
// the same as on a reload.
func (h *handoverState) poolStates(set *routing.Set) map[int]balancer.State {
	states := map[int]balancer.State{}
	if len(h.Pools) == 0 {
		if len(set.Pools) == 1 {
			states[0] = h.Balancer
		}
		return states
	}
	names := slices.Sorted(maps.Keys(h.Pools))
	for i, successor := range routing.SuccessorsOf(names, set) {
		if successor >= 0 {
			states[successor] = h.Pools[names[i]]
		}
	}
	return states
}

// capturedState is a handoverState whose endpoint list is not encoded yet. It shares no mutable data with the event loop.
type capturedState struct {
	handoverState
	list discovery.List
}

// encode returns the JSON text for a successor. With thousands of endpoints it takes tens of milliseconds, so it runs outside
// the event loop.
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

// captureState copies the state for a successor.
func (p *Proxy) captureState() *capturedState {
	list := discovery.List{
		Generation: p.discoveryClient.Generation,
		Reset:      true,
		Instances:  make([]discovery.Entry, 0, len(p.endpoints)),
	}
	for _, e := range p.endpoints {
		entry := e.entry
		entry.StartedAtMs = e.announcedStartMs // the successor converts it to its own clock
		list.Instances = append(list.Instances, entry)
	}
	state := handoverState{
		Discovery:      p.discoveryClient.Addr,
		DroppedClasses: maps.Clone(p.droppedClasses),
		Reserved:       p.pools.membership.Reservations(),
		Listeners:      p.listeners.extraNames(),
	}
	if p.pools.isSingle() && p.pools.active[0].name == routing.SinglePoolSet().Pools[0].Name {
		state.Balancer = p.pools.active[0].balancer.CaptureState()
	} else {
		state.Pools = map[string]balancer.State{}
		for _, pool := range p.pools.active {
			state.Pools[pool.name] = pool.balancer.CaptureState()
		}
	}
	if clock, err := p.loop.ReadClock(); err == nil { // on an error the successor's clock starts at wall-clock time
		state.Clock = &clock
	}
	for id := range p.sessions.byClientID {
		state.ClientIDs = append(state.ClientIDs, id)
	}
	return &capturedState{state, list}
}

// startBalancers starts the pools' balancers from the predecessor's state, or else with the endpoint list of the
// configuration.
func (p *Proxy) startBalancers(c *config.Config, state *handoverState) {
	if state == nil || !p.restoreState(state) {
		p.onList(c.InitialEndpoints, balancer.CachedList)
	}
}

// restoreState restores a predecessor's state. It returns false if no balancer could resume from it.
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
		p.discoveryClient.Generation = 0 // generations of different sources are not comparable
	}
	p.updateEndpoints(&list, balancer.CachedList)
	p.pools.membership.RestoreReservations(state.Reserved)
	updates := p.pools.membership.ApplyList(p.loop.Now(), balancer.CachedList, list.Generation, list.Entries())
	hasPoolStates := len(state.Pools) > 0 // otherwise the only pool's state already holds the whole list
	for i, pool := range p.pools.active {
		if restored[i].ok {
			p.events.executeActions(pool, restored[i].actions)
			updates[i].Members.Kind = balancer.FullList // the pool may have had other endpoints before
		}
		if !restored[i].ok || hasPoolStates {
			p.events.handle(pool, updates[i].Members)
		}
	}
	p.pools.distribute(nil) // logs ownership changes and sets the timer for reserved endpoints
	return true
}

// restoredBalancer is the result of a balancer's Resume.
type restoredBalancer struct {
	actions []balancer.Action
	ok      bool
}

// resumeBalancers resumes the balancer of each pool that has a state. The results are in the order of the pools. anyRestored
// reports whether any balancer resumed.
func (p *Proxy) resumeBalancers(state *handoverState) (restored []restoredBalancer, anyRestored bool) {
	states := state.poolStates(&p.pools.table.Set)
	for i, pool := range p.pools.active {
		var result restoredBalancer
		if poolState, ok := states[i]; ok {
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
