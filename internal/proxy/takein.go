package proxy

import (
	"container/list"
	"strconv"
	"time"

	"example.org/micafront/internal/evloop"
)

// Take in: a client's connection, up to its first message understood.

// greetTime is how long after connecting a client may take to say what it wants, however many bytes trickle in
// meanwhile; a bad client is owed an end within 3 s. A readiness check is answered at once and needs no longer.
const greetTime = 2500 * time.Millisecond

// maxPings is how many readiness checks one connection may ask.
const maxPings = 8

// strangers are connections that have no request here: those that have yet to say what they want, and those that
// have had their last message. Both kinds come in floods, and must leave descriptors to requests, whose clients may
// take a third and their next hops another: beyond a sixth the eldest of them goes.
type strangers struct {
	waiting, leaving list.List // of *flow, of *farewell
}

func (p *Proxy) maxStrangers() int {
	if p.sockets == 0 {
		return 4096
	}
	return max(p.sockets/6, 8)
}

func (p *Proxy) makeRoom() {
	for p.strangers.waiting.Len()+p.strangers.leaving.Len() > p.maxStrangers() {
		p.count.Evicted++
		// Those who have had their answer go first, unless most are silent: who has only just connected must
		// not make way for them.
		e := p.strangers.waiting.Front()
		if e != nil && (p.strangers.leaving.Len() == 0 || p.strangers.waiting.Len() > p.maxStrangers()/2) {
			f := e.Value.(*flow)
			c := f.client
			p.count.NoRoom++
			f.noStranger()
			f.client = nil
			c.Write(p.protocol.Defer(min(noRoomAfter, p.set.Limits.MaxRetryAfter)))
			c.Close()
			continue
		}
		p.strangers.leaving.Front().Value.(*farewell).end()
	}
}

// noStranger takes a flow off the strangers: it asked for something, or its client is on the way out.
func (f *flow) noStranger() {
	f.p.loop.Cancel(f.limit)
	f.limit = nil
	if f.stranger != nil {
		f.p.strangers.waiting.Remove(f.stranger)
		f.stranger = nil
	}
}

// senderSide hears a client's connection.
type senderSide struct{ *flow }

func (p *Proxy) accept(c *evloop.Conn, listener string) evloop.Handler {
	p.count.Accepted++
	f := &flow{p: p, client: c, place: -1, listener: listener, came: p.loop.Now()}
	f.stranger = p.strangers.waiting.PushBack(f)
	f.limit = p.loop.After(greetTime, func() {
		p.count.NoFirstLine++
		if len(f.in) > 0 {
			f.malformed()
			return
		}
		f.noStranger()
		f.client = nil
		c.Close()
	})
	p.makeRoom()
	return senderSide{f}
}

func (p *Proxy) acceptFailed(error) { p.count.AcceptErrors++ }

func (s senderSide) Opened() {}

func (s senderSide) Data(b []byte) {
	f := s.flow
	if f.opening == nil && f.id == "" {
		f.in = append(f.in, b...)
		f.greet()
		return
	}
	if f.place >= 0 {
		f.toNextHop(b)
		return
	}
	if !f.opening.MidFlow && f.opening.Standing == "" {
		// A client waits after its first line. One that sends more at once, such as several commands, gets one
		// definite answer for all of them.
		f.overtalked()
		return
	}
	// Early, of a connection that was open elsewhere: kept until it stands here, within bounds.
	if f.in = append(f.in, b...); len(f.in) >= f.p.protocol.MaxMessage() {
		f.client.Pause()
	}
}

func (f *flow) greet() {
	p := f.p
	for len(f.in) > 0 {
		n, o, err := p.protocol.Greet(f.in)
		if err != nil {
			if err == errOverlong {
				p.count.Overlong++
			} else {
				p.count.BadLines++
			}
			f.malformed()
			return
		}
		if n == 0 {
			return
		}
		if f.in = f.in[n:]; len(f.in) == 0 {
			f.in = nil
		}
		if o != nil {
			p.takeIn(f, o)
			return
		}
		if p.count.Pings++; f.pings == maxPings {
			p.count.Overtalked++
			f.malformed()
			return
		}
		f.pings++
		f.client.Write(p.protocol.Ready(!p.life.unready && !p.starting()))
	}
}

// malformed ends a client that is not understood.
func (f *flow) malformed() {
	f.in = nil
	f.endClient(f.p.protocol.Malformed())
}

// overtalked ends a request whose client did not wait for its answer.
func (f *flow) overtalked() {
	f.p.count.Overtalked++
	f.final(failed)
	f.answer(f.p.protocol.Malformed())
	f.giveUp()
}

// takeIn books a request under an id of the proxy's own: ids that clients make up may repeat. What no next hop
// could serve is answered here: sent on, it would be turned away by one next hop after the other, as if they
// failed.
func (p *Proxy) takeIn(f *flow, o *Opening) {
	f.noStranger()
	elsewhere := o.MidFlow || o.Standing != "" // such a connection comes with the id that it has
	_, known := p.classOf(o)
	switch other := p.ids[o.ID]; {
	case !known && p.starting(): // the fleet's rules may know it; the file's are not in force
		p.fleet.count.RefusedHeld++
		f.in = nil
		f.endClient(p.protocol.Defer(min(noRoomAfter, p.set.Limits.MaxRetryAfter)))
		return
	case !known:
		p.count.UnknownClass++
	case (other != nil || p.openThere(o.ID)) && !elsewhere:
		p.count.SameID++
	case len(f.in) > 0 && !elsewhere:
		p.count.Overtalked++
	default:
		p.count.TakenIn++
		p.lastTakenIn = p.loop.Now()
		p.lastID++
		f.id = strconv.FormatUint(p.lastID, 36)
		f.opening, f.class, f.clientID = o, o.Class, o.ID
		f.figures, f.partner = p.count.Class(o.Class), p.partnerOf(o.Tenant)
		p.flows[f.id], p.ids[o.ID] = f, f
		if o.Standing != "" {
			p.count.Standing++
			l := p.line(f)
			if d, ok := p.table.Decide(&l); ok {
				f.table, f.load = p.table, p.loadOf(p.table.Set.Routes[d.Route].Name)
			}
			p.resume(f)
			return
		}
		p.admit(f)
		return
	}
	f.malformed()
}

func (s senderSide) Ended() {
	f := s.flow
	switch {
	case f.id == "" && len(f.in) > 0: // half a message
		p := f.p
		p.count.BadLines++
		f.malformed()
	case f.id == "": // nothing was asked
		f.endClient(nil)
	case f.place >= 0:
		f.clientEnded()
	default:
		// Ending its sending gives the request up, as on the side of the next hops; if it only did half
		// of that, it still hears how this ended.
		f.in = nil
		f.gone()
	}
}

func (s senderSide) Drained() {
	if a := s.attempt; a != nil && a.conn != nil {
		a.conn.Resume()
	}
}

func (s senderSide) Closed(error) {
	f := s.flow
	f.noStranger()
	f.client = nil
	switch {
	case f.id == "":
	case f.place >= 0:
		f.clientBroke()
	default:
		f.gone()
	}
}

// endClient gives the last message to the sender side and ends it once that has gone. The connection is read to
// its end for a while: closing over unread bytes would reset it and could take the message along.
func (f *flow) endClient(last []byte) {
	p, c := f.p, f.client
	f.noStranger()
	if c == nil {
		return
	}
	f.client = nil
	c.Write(last)
	if c.IsEnded() && c.Pending() == 0 {
		c.Close()
		return
	}
	l := &farewell{p: p, conn: c, since: p.loop.Now()}
	l.place = p.strangers.leaving.PushBack(l)
	l.limit = p.loop.After(farewellTime, l.look)
	c.SetHandler(l)
	c.Resume()
	c.CloseWrite()
	p.makeRoom()
}

const (
	farewellTime = time.Second     // without a byte from the client
	drainTime    = 5 * time.Second // for one that goes on sending; it has had its answer
)

// farewell hears a connection that has had its last message. Tens of megabytes may be on their way still.
type farewell struct {
	p     *Proxy
	conn  *evloop.Conn
	limit *evloop.Timer
	place *list.Element
	since time.Duration
	came  bool // bytes, since the last look
}

func (l *farewell) Opened()     {}
func (l *farewell) Data([]byte) { l.came = true }
func (l *farewell) Drained()    { l.check() }
func (l *farewell) Ended()      { l.check() }
func (l *farewell) check() {
	if l.conn.IsEnded() && l.conn.Pending() == 0 {
		l.end()
	}
}

func (l *farewell) look() {
	if !l.came || l.p.loop.Now()-l.since >= drainTime {
		l.end()
		return
	}
	l.came = false
	l.limit = l.p.loop.After(farewellTime, l.look)
}

func (l *farewell) end() {
	l.Closed(nil)
	l.conn.Close()
}

func (l *farewell) Closed(error) {
	l.p.loop.Cancel(l.limit)
	if l.place != nil {
		l.p.strangers.leaving.Remove(l.place)
		l.place = nil
	}
}
