package fleetsim

import "time"

// Link is one direction between two processes.
type Link struct {
	Min, Max time.Duration // of the delay; each message draws its own, so messages overtake one another
	Loss     float64       // share that is lost
	Twice    float64       // share that comes twice
	Late     float64       // share that is held up for LateBy at most
	LateBy   time.Duration
	Cut      bool
}

// Quiet is a link of a healthy site.
var Quiet = Link{Min: 200 * time.Microsecond, Max: 3 * time.Millisecond}

// Net carries messages between processes.
type Net struct {
	Usual Link
	Lost  uint64 // messages that a loss or a cut took
	Sent  uint64

	e     *Engine
	links map[[2]string]*Link
}

// Link is the direction between two processes, to be changed.
func (n *Net) Link(from, to string) *Link {
	l := n.links[[2]string{from, to}]
	if l == nil {
		copied := n.Usual
		l = &copied
		n.links[[2]string{from, to}] = l
	}
	return l
}

// Heal makes every link usual.
func (n *Net) Heal() { clear(n.links) }

// Send carries a message; deliver runs in the receiving process, whichever life it then has.
func (n *Net) Send(from string, to *Proc, deliver func()) {
	l, ok := n.links[[2]string{from, to.Name}]
	if !ok {
		l = &n.Usual
	}
	n.Sent++
	if l.Cut || n.e.Chance(l.Loss) {
		n.Lost++
		return
	}
	times := 1
	if n.e.Chance(l.Twice) {
		times = 2
	}
	for range times {
		delay := n.e.Between(l.Min, l.Max)
		if n.e.Chance(l.Late) {
			delay += n.e.Between(0, l.LateBy)
		}
		n.e.At(n.e.now+delay, func() {
			switch {
			case !to.up:
			case to.paused:
				to.waits = append(to.waits, deliver)
			default:
				deliver()
			}
		})
	}
}
