package proxy

import (
	"time"

	"example.org/micafront/internal/evloop"
)

// Descriptors are reserved in two steps, so that a flood of clients locks out neither operators nor service discovery.
// With fewer than requestReserve left, requests are rejected, because the admitted requests still need descriptors for
// their connections to endpoints. With fewer than internalReserve left, clients wait in the kernel's queue and no
// attempt is dialed. The last descriptors are for the admin server's clients, the calls to service discovery, the
// loop's own descriptors and the standard files.
const (
	requestReserve  = 32
	internalReserve = 24
)

// overloadRetryAfter is the Retry-After of clients that are rejected at a limit.
const overloadRetryAfter = time.Second

// peerDescriptorCounter counts the descriptors that other processes of this proxy hold during a hot restart.
type peerDescriptorCounter interface{ peerDescriptors() int }

// descriptorLimit limits how many descriptors the proxy has open, together with its predecessor and successor.
type descriptorLimit struct {
	max   int // 0 if only the system limits them
	loop  *evloop.Loop
	peers peerDescriptorCounter
}

// allows reports whether at least reserve descriptors are left.
func (l *descriptorLimit) allows(reserve int) bool {
	return l.max == 0 || l.loop.ConnCount()+l.peers.peerDescriptors()+reserve <= l.max
}

// canAccept reports whether another client may be accepted now.
func (p *Proxy) canAccept() bool { return p.limits.allows(internalReserve) }

// overloadDelay returns the Retry-After of a rejection at a limit, capped by the settings.
func (p *Proxy) overloadDelay() time.Duration {
	return min(overloadRetryAfter, p.settings.Limits.MaxRetryAfter)
}
