package fleetsim

import (
	"fmt"
	"time"

	"example.org/micafront/internal/fleetconfig"
)

const (
	backlogSize  = 6                    // number of connections that arrive while a proxy is paused
	maxPlaceTime = 4 * time.Millisecond // from the decision to the first write
)

// superseded is the state under which RejectedByState counts connections that the proxy rejected because, between the routing
// decision and the first write, it switched to a version that routes them differently. The lease client has no such state.
const superseded fleetconfig.LeaseState = "superseded"

// randomKey returns a random key of the load.
func (f *Fleet) randomKey() string { return KeyName(f.engine.Rand.IntN(f.KeyCount)) }

// KeyName returns the load's connection key number i.
func KeyName(i int) string { return fmt.Sprint("key", i) }

// generateLoad places connections with random keys at random intervals while the process runs and is not draining.
func (p *Proxy) generateLoad() {
	interval := p.fleet.LoadInterval
	p.Timer(p.Now()+p.engine.RandomDuration(interval/2, interval*3/2), func() {
		if !p.draining {
			p.Place(p.fleet.randomKey())
		}
		p.generateLoad()
	})
}

// placeBacklog places the connections that arrived during a pause, as soon as the proxy resumes.
func (p *Proxy) placeBacklog() {
	for range backlogSize {
		p.Post(p.engine.now, func() { p.Place(p.fleet.randomKey()) })
	}
}

// Authorize asks the LeaseClient whether a connection with the key may be placed now.
func (p *Proxy) Authorize(key string) fleetconfig.Authorization {
	return p.client.Authorize(p.Now(), func() bool { return conflicting(p.active, p.nextVersion(), key) })
}

// Place places a connection with a key. It routes the connection now and writes to it up to maxPlaceTime later, if the client
// still allows the placement then.
func (p *Proxy) Place(key string) {
	p.Attempts++
	if authorization := p.Authorize(key); !authorization.Allowed {
		p.countRejection(authorization.State)
		return
	}
	decidedBy := p.active
	p.Timer(p.Now()+p.engine.RandomDuration(0, maxPlaceTime), func() {
		authorization := p.Authorize(key)
		switch {
		case !authorization.Allowed:
			p.countRejection(authorization.State)
		case decidedBy != p.active && conflicting(decidedBy, p.active, key):
			p.countRejection(superseded)
		default:
			p.Allowed++
			p.write(key)
		}
	})
}

// countRejection counts a rejected connection by state.
func (p *Proxy) countRejection(state fleetconfig.LeaseState) {
	p.RejectedByState[state]++
}

// write simulates the first write to an endpoint of the key's pool, by which the proxy acts on the active version.
func (p *Proxy) write(key string) {
	if p.active == nil { // the proxy uses its own settings, which only ServeOnExpiry allows
		p.ServedDisconnected++
		if p.fleet.Terms.OnLeaseExpiry != fleetconfig.ServeOnExpiry {
			p.fleet.violate("%s places a connection by its own settings, which policy %s forbids", p.Name, p.fleet.Terms.OnLeaseExpiry)
		}
		return
	}
	pool := p.active.pool(key)
	p.engine.Trace(p.Name, "act", p.active.Number, key+" "+pool)
	disconnected := p.Status().State == fleetconfig.Disconnected
	if disconnected && p.active.Body.Fleet.OnLeaseExpiry == fleetconfig.ServeOnExpiry {
		p.ServedDisconnected++
		return
	}
	p.fleet.invariants.checkPlacement(p, key, pool)
}
