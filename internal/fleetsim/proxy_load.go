package fleetsim

import (
	"fmt"
	"time"

	"example.org/micafront/internal/fleetconfig"
)

const (
	backlogSize  = 6                    // connections that arrive while a proxy is paused
	maxPlaceTime = 4 * time.Millisecond // from the decision to the first write
)

// superseded is a state beside the client's, for connections that were decided by a version that is no longer the proxy's.
const superseded fleetconfig.LeaseState = "superseded"

// randomKey draws a key for the load.
func (f *Fleet) randomKey() string { return KeyName(f.engine.Rand.IntN(f.KeyCount)) }

// KeyName is the load's key number i.
func KeyName(i int) string { return fmt.Sprint("key", i) }

// generateLoad places a connection of a random key now and then, as long as the process runs and does not drain.
func (p *Proxy) generateLoad() {
	interval := p.fleet.LoadInterval
	p.Timer(p.Now()+p.engine.RandomDuration(interval/2, interval*3/2), func() {
		if !p.draining {
			p.Place(p.fleet.randomKey())
		}
		p.generateLoad()
	})
}

// placeBacklog places the connections that arrived while the proxy was paused, in the turn in which it goes on.
func (p *Proxy) placeBacklog() {
	for range backlogSize {
		p.Post(p.engine.now, func() { p.Place(p.fleet.randomKey()) })
	}
}

// Authorize asks the LeaseClient whether a key's connection may be placed now.
func (p *Proxy) Authorize(key string) fleetconfig.Authorization {
	return p.client.Authorize(p.Now(), func() bool { return conflicting(p.active, p.nextVersion(), key) })
}

// Place places a connection: it decides now and writes a little later, if it is then still allowed.
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

// countRejection counts a connection that was not placed.
func (p *Proxy) countRejection(state fleetconfig.LeaseState) {
	p.RejectedByState[state]++
}

// write acts on the active version: it writes to an endpoint of the key's pool.
func (p *Proxy) write(key string) {
	if p.active == nil { // by its own settings, which only ServeOnExpiry allows
		p.ServedDisconnected++
		if p.fleet.Terms.OnLeaseExpiry != fleetconfig.ServeOnExpiry {
			p.fleet.violate("%s acts by its own settings under %s", p.Name, p.fleet.Terms.OnLeaseExpiry)
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
	p.fleet.invariants.checkAct(p, key, pool)
}
