package fleetsim

import "time"

// Link is one direction between two processes.
type Link struct {
	MinDelay, MaxDelay time.Duration // delay of a message; each draws its own, so messages overtake one another
	LossRate           float64       // share of messages lost
	DuplicateRate      float64       // share of messages delivered twice
	ExtraDelayRate     float64       // share of messages with an extra delay of at most MaxExtraDelay
	MaxExtraDelay      time.Duration
	Disconnected       bool
}

// HealthyLink is a link within a healthy site.
var HealthyLink = Link{MinDelay: 200 * time.Microsecond, MaxDelay: 3 * time.Millisecond}

// Network carries messages between processes.
type Network struct {
	Default Link   // of all directions that Link has not been called for
	Sent    uint64 // messages, the lost ones included
	Lost    uint64 // messages

	engine *Engine
	links  map[direction]*Link
}

// direction is from one process to another, by name.
type direction struct{ from, to string }

func newNetwork(engine *Engine, defaultLink Link) *Network {
	return &Network{Default: defaultLink, engine: engine, links: map[direction]*Link{}}
}

// Link returns the link from one process to another, to be changed. Later changes of Default do not apply to it.
func (n *Network) Link(from, to string) *Link {
	link := n.links[direction{from, to}]
	if link == nil {
		link = new(Link)
		*link = n.Default
		n.links[direction{from, to}] = link
	}
	return link
}

// Heal makes every link the default one.
func (n *Network) Heal() { clear(n.links) }

// Send sends a message. receive runs in the receiving process, whichever generation it has then; not at all where the message
// is lost or the process is down, and twice where the message is duplicated.
func (n *Network) Send(from string, to *Process, receive func()) {
	link, ok := n.links[direction{from, to.Name}]
	if !ok {
		link = &n.Default
	}
	n.Sent++
	if link.Disconnected || n.engine.Chance(link.LossRate) {
		n.Lost++
		return
	}
	copies := 1
	if n.engine.Chance(link.DuplicateRate) {
		copies = 2
	}
	for range copies {
		delay := n.engine.RandomDuration(link.MinDelay, link.MaxDelay)
		if n.engine.Chance(link.ExtraDelayRate) {
			delay += n.engine.RandomDuration(0, link.MaxExtraDelay)
		}
		n.engine.Schedule(n.engine.now+delay, func() { to.deliver(receive) })
	}
}
