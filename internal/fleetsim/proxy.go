package fleetsim

import (
	"slices"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
)

const (
	fetchTimeout   = 300 * time.Millisecond // to fetch a version's body from one replica
	minPrepareTime = time.Millisecond
	maxPrepareTime = 20 * time.Millisecond
)

// Proxy is the process of a proxy. It passes events to its LeaseClient and executes the actions that the client returns, as the
// program's event loop does.
type Proxy struct {
	Process
	Zone        string
	MemoryLimit uint64 // in bytes; 0: unlimited. It persists across restarts.

	// Counters of the load's connections, across all restarts.
	Attempts           uint64
	Allowed            uint64
	ServedDisconnected uint64                            // included in Allowed: placed while the active version was unknown
	RejectedByState    map[fleetconfig.LeaseState]uint64 // by the client's state at the rejection, or superseded

	fleet             *Fleet
	incarnation       uint64
	client            fleetconfig.Leaseholder
	renewalsSentAt    map[uint64]time.Duration   // time by Renewal.Seq, on the proxy's clock; holds unanswered renewals
	timerAt           time.Duration              // the client's timer, on the proxy's clock; 0: no timer is set
	preparing         fleetconfig.PrepareVersion // version being fetched or compiled; zero: none
	prepared          map[uint64]*compiledVersion
	active            *compiledVersion // nil: none
	draining          bool
	pauseAfterRenewal time.Duration // pause duration after the next renewal is sent; 0: no pause
}

// boot starts a new process, which has no version yet.
func (p *Proxy) boot() {
	p.start()
	p.incarnation++
	p.client = p.fleet.Hooks.wrapClient(fleetconfig.NewLeaseClient(p.Name, p.incarnation, p.fleet.Terms))
	p.renewalsSentAt = map[uint64]time.Duration{}
	p.timerAt = 0
	p.preparing = fleetconfig.PrepareVersion{}
	p.prepared = map[uint64]*compiledVersion{}
	p.active = nil
	p.draining = false
	p.handle(fleetconfig.HeadroomChanged{Headroom: fleetconfig.MemoryHeadroom{Limit: p.MemoryLimit}})
	p.handle(fleetconfig.Tick{})
	if p.fleet.LoadInterval > 0 {
		p.generateLoad()
	}
}

// SetMemoryLimit sets the memory limit in bytes; 0 means unlimited.
func (p *Proxy) SetMemoryLimit(bytes uint64) {
	p.MemoryLimit = bytes
	if p.up {
		p.Post(p.engine.now, func() { p.reportHeadroom(bytes) })
	}
}

func (p *Proxy) reportHeadroom(limit uint64) {
	headroom := fleetconfig.MemoryHeadroom{Limit: limit}
	if p.active != nil {
		headroom.InUse = p.active.estimate.LiveBytes
	}
	p.handle(fleetconfig.HeadroomChanged{Headroom: headroom})
}

// Drain makes the proxy reject new connections. The process ends after the given duration on its own clock.
func (p *Proxy) Drain(after time.Duration) {
	p.Post(p.engine.now, func() {
		p.draining = true
		p.handle(fleetconfig.StartDrain{})
		p.Timer(p.Now()+after, p.crash)
	})
}

// Draining reports whether the proxy is draining.
func (p *Proxy) Draining() bool { return p.draining }

// Status returns the status of the proxy's LeaseClient.
func (p *Proxy) Status() fleetconfig.LeaseStatus { return p.client.Status(p.Now()) }

// ActiveVersion returns the number of the version that the proxy acts on, or 0 if there is none.
func (p *Proxy) ActiveVersion() uint64 {
	if number, ok := p.client.ActiveVersion(); ok && p.up {
		return number
	}
	return 0
}

// handle passes an event to the client and executes the actions that it returns.
func (p *Proxy) handle(event fleetconfig.Event) {
	for _, action := range p.client.Handle(p.Now(), event) {
		p.execute(action)
	}
}

func (p *Proxy) execute(action fleetconfig.Action) {
	switch action := action.(type) {
	case fleetconfig.SendRenewal:
		p.sendRenewal(action)
	case fleetconfig.PrepareVersion:
		p.engine.Trace(p.Name, "prepare", action.Number, "")
		p.preparing = action
		p.fetch(action, 0)
	case fleetconfig.SwitchVersion:
		p.switchTo(action.Number)
	case fleetconfig.DiscardVersion:
		p.engine.Trace(p.Name, "discard", action.Number, "")
		delete(p.prepared, action.Number)
		if p.preparing.Number == action.Number {
			p.preparing = fleetconfig.PrepareVersion{}
		}
	case fleetconfig.SetTimer:
		p.setTimer(action.At)
	case fleetconfig.StatusChanged:
		p.engine.Trace(p.Name, "status", p.ActiveVersion(), string(action.State)+": "+action.Description)
	default:
		p.fleet.violate("unknown action %T", action)
	}
}

// setTimer replaces the client's timer. Earlier timers have no effect when they expire.
func (p *Proxy) setTimer(at time.Duration) {
	if p.timerAt == at {
		return
	}
	p.timerAt = at
	p.Timer(at, func() {
		if p.timerAt == at {
			p.timerAt = 0
			p.handle(fleetconfig.Tick{})
		}
	})
}

// replica returns the replica to which the proxy sends an attempt. Proxies start with different replicas.
func (p *Proxy) replica(attempt int) *Replica {
	first := slices.Index(p.fleet.Proxies, p)
	return p.fleet.Replicas[(first+attempt)%len(p.fleet.Replicas)]
}

func (p *Proxy) sendRenewal(action fleetconfig.SendRenewal) {
	now, renewal := p.Now(), action.Renewal
	p.renewalsSentAt[renewal.Seq] = now
	replica := p.replica(action.Attempt)
	reply := func(lease fleetconfig.Lease) {
		p.fleet.Network.Send(replica.Name, &p.Process, func() { p.handleLease(lease) })
	}
	p.fleet.Network.Send(p.Name, &replica.Process, func() {
		replica.handleRenewal(pendingRenewal{Renewal: renewal, reply: reply})
	})
	if p.pauseAfterRenewal > 0 {
		p.pause()
		p.engine.Schedule(p.engine.now+p.pauseAfterRenewal, func() { p.fleet.Resume(p.Name) })
		p.pauseAfterRenewal = 0
	}
	p.Timer(now+action.Timeout, func() {
		if _, pending := p.renewalsSentAt[renewal.Seq]; pending {
			p.handle(fleetconfig.RenewalFailed{Seq: renewal.Seq})
		}
	})
}

// handleLease handles an answer to a renewal. It ignores duplicates and answers to an earlier incarnation of the proxy.
func (p *Proxy) handleLease(lease fleetconfig.Lease) {
	sentAt, ok := p.renewalsSentAt[lease.Seq]
	if !ok || lease.Incarnation != p.incarnation {
		return
	}
	if p.fleet.Hooks.LeaseFromAnswerTime {
		sentAt = p.Now()
	}
	delete(p.renewalsSentAt, lease.Seq)
	p.handle(fleetconfig.LeaseGranted{Lease: lease, SentAt: sentAt})
}

// fetch requests a version's body from a replica, and prepares the version when the body arrives. Without an answer within
// fetchTimeout it asks the next replica, until the client discards the version or prepares another one.
func (p *Proxy) fetch(wanted fleetconfig.PrepareVersion, attempt int) {
	if p.preparing != wanted {
		return
	}
	replica := p.replica(attempt)
	received := false
	p.fleet.Network.Send(p.Name, &replica.Process, func() {
		version, ok := replica.state.Version(wanted.Number)
		if !ok || version.Digest != wanted.Digest {
			return // the replica lags behind, or the version was withdrawn
		}
		p.fleet.Network.Send(replica.Name, &p.Process, func() {
			if !received && p.preparing == wanted {
				received = true
				p.prepare(version)
			}
		})
	})
	p.Timer(p.Now()+fetchTimeout, func() {
		if !received {
			p.fetch(wanted, attempt+1)
		}
	})
}

// prepare validates and compiles a version after a random delay that simulates the duration of this work.
func (p *Proxy) prepare(version fleetconfig.Version) {
	wanted := p.preparing
	p.Timer(p.Now()+p.engine.RandomDuration(minPrepareTime, maxPrepareTime), func() {
		if p.preparing != wanted {
			return
		}
		p.preparing = fleetconfig.PrepareVersion{}
		compiled, rejection := p.compileWithinLimit(version)
		if rejection == nil {
			p.fleet.invariants.checkPrepared(p, compiled)
			p.prepared[version.Number] = compiled
		} else {
			p.engine.Trace(p.Name, "rejects", version.Number, rejection.Cause)
		}
		p.handle(fleetconfig.PrepareDone{Number: version.Number, Rejection: rejection})
	})
}

// compileWithinLimit compiles a version for the proxy's zone. It rejects a version that requires more memory than the limit.
func (p *Proxy) compileWithinLimit(version fleetconfig.Version) (*compiledVersion, *fleetconfig.Rejection) {
	compiled, rejection := p.fleet.compileCached(version, p.Zone)
	if rejection != nil {
		return nil, rejection
	}
	required := p.fleet.Hooks.adjustEstimate(p.fleet.requiredBytes(p.active, compiled))
	if p.MemoryLimit > 0 && required > p.MemoryLimit && !p.fleet.Hooks.SkipMemoryCheck {
		return nil, tooLargeRejection(compiled, required, p.MemoryLimit)
	}
	return compiled, nil
}

// tooLargeRejection returns the rejection of a version that requires more memory than the limit. Both are in bytes.
func tooLargeRejection(version *compiledVersion, required, limit uint64) *fleetconfig.Rejection {
	rejection := &fleetconfig.Rejection{
		Kind:           kindTooLarge,
		Cause:          "the table does not fit",
		EstimatedBytes: required,
		LimitBytes:     limit,
	}
	for _, route := range version.estimate.LargestRoutes {
		rejection.LargestRoutes = append(rejection.LargestRoutes, route.Route)
	}
	return rejection
}

// switchTo activates a prepared version and drops all earlier ones.
func (p *Proxy) switchTo(number uint64) {
	version := p.prepared[number]
	if version == nil {
		p.fleet.violate("%s switches to version %d, which it has not prepared", p.Name, number)
		return
	}
	p.engine.Trace(p.Name, "switch", number, version.Digest)
	p.fleet.invariants.checkSwitch(p, version)
	p.active = version
	for earlier := range p.prepared {
		if earlier < number {
			delete(p.prepared, earlier)
		}
	}
	p.reportHeadroom(p.MemoryLimit)
}

// nextVersion returns the prepared version that is not active yet, or nil.
func (p *Proxy) nextVersion() *compiledVersion {
	if number := p.Status().PreparedVersion; number != 0 && (p.active == nil || number != p.active.Number) {
		return p.prepared[number]
	}
	return nil
}

// Catalog returns the catalog of the active version, or nil.
func (p *Proxy) Catalog() *catalog.State {
	if p.active == nil {
		return nil
	}
	return p.active.catalog
}

// Pool returns the pool that the active version selects for a key, or "" if there is none.
func (p *Proxy) Pool(key string) string {
	if p.active == nil {
		return ""
	}
	return p.active.pool(key)
}

// Resolve describes the catalog entry to which a name resolves in the active version, or returns "" if there is none.
func (p *Proxy) Resolve(name string) string {
	if p.active == nil || p.active.catalog == nil {
		return ""
	}
	return describeName(p.active.catalog, name)
}
