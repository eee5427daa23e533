package fleetsim

import "time"

// Link is the connection from one process to another, in one direction.
type Link struct {
	MinDelay, MaxDelay time.Duration // bounds of a message's random delay; messages may overtake one another
	LossRate           float64       // fraction of messages lost
	DuplicateRate      float64       // fraction of messages delivered twice
	ExtraDelayRate     float64       // fraction of messages with an extra delay of at most MaxExtraDelay
	MaxExtraDelay      time.Duration
	Disconnected       bool
}

// HealthyLink has the properties of a link within a healthy site.
var HealthyLink = Link{MinDelay: 200 * time.Microsecond, MaxDelay: 3 * time.Millisecond}

// Network delivers messages between processes.
type Network struct {
	Default Link   // applies to all directions for which Link has not been called
	Sent    uint64 // number of messages sent, including lost ones
	Lost    uint64 // number of messages lost

	engine *Engine
	links  map[direction]*Link
}

// direction identifies a link by the names of the sending and the receiving process.
type direction struct{ from, to string }

func newNetwork(engine *Engine, defaultLink Link) *Network {
	return &Network{Default: defaultLink, engine: engine, links: map[direction]*Link{}}
}

// Link returns the link from one process to another. The caller may modify it; later changes of Default do not apply to it.
func (n *Network) Link(from, to string) *Link {
	link := n.links[direction{from, to}]
	if link == nil {
		link = new(Link)
		*link = n.Default
		n.links[direction{from, to}] = link
	}
	return link
}

// Heal resets every link to Default.
func (n *Network) Heal() { clear(n.links) }

// Send sends a message to a process, which runs receive on delivery. receive does not run if the message is lost or the process
// is down on delivery, and runs twice if the message is duplicated. A process that restarted in the meantime still receives
// the message.
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
