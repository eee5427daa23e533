package proxy

import (
	"strconv"
	"time"

	"example.org/micafront/internal/evloop"
)

// Take in: a client's connection, up to its first message understood.

// greetTime is how long a client may take to say what it wants. A readiness check may come again on the same
// connection after it, so this also ends idle ones.
const greetTime = 15 * time.Second

// senderSide hears a client's connection.
type senderSide struct{ *flow }

func (p *Proxy) accept(c *evloop.Conn) evloop.Handler {
	p.count.Accepted++
	f := &flow{p: p, client: c, place: -1}
	f.limit = p.loop.After(greetTime, func() {
		p.count.NoFirstLine++
		f.client = nil
		c.Close()
	})
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
	// Early: kept until the connection stands, within bounds.
	if f.in = append(f.in, b...); len(f.in) >= f.p.protocol.MaxMessage() {
		f.client.Pause()
	}
}

func (f *flow) greet() {
	p := f.p
	for len(f.in) > 0 {
		n, o, reply, err := p.protocol.Greet(f.in)
		if err != nil {
			if err == errOverlong {
				p.count.Overlong++
			} else {
				p.count.BadLines++
			}
			f.in = nil
			f.endClient(p.protocol.Malformed())
			return
		}
		if n == 0 {
			return
		}
		if f.in = f.in[n:]; len(f.in) == 0 {
			f.in = nil
		}
		if o != nil {
			p.loop.Cancel(f.limit)
			f.limit = nil
			p.takeIn(f, o)
			return
		}
		p.count.Pings++
		f.client.Write(reply)
	}
}

// takeIn books a request under an id of the proxy's own: ids that clients make up may repeat.
func (p *Proxy) takeIn(f *flow, o *Opening) {
	p.count.TakenIn++
	p.lastTakenIn = p.loop.Now()
	p.lastID++
	f.id = strconv.FormatUint(p.lastID, 36)
	f.opening, f.class = o, o.Class
	p.flows[f.id] = f
	if o.Standing != "" {
		p.count.Standing++
		p.resume(f)
		return
	}
	p.admit(f)
}

func (s senderSide) Ended() {
	f := s.flow
	switch {
	case f.id == "": // nothing was asked
		f.in = nil
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
	f.p.loop.Cancel(f.limit)
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
	p.loop.Cancel(f.limit)
	f.limit = nil
	if c == nil {
		return
	}
	f.client = nil
	c.Write(last)
	if c.IsEnded() && c.Pending() == 0 {
		c.Close()
		return
	}
	l := &farewell{conn: c}
	l.limit = p.loop.After(farewellTime, c.Close)
	l.loop = p.loop
	c.SetHandler(l)
	c.Resume()
	c.CloseWrite()
}

const farewellTime = time.Second

// farewell hears a connection that has had its last message.
type farewell struct {
	conn  *evloop.Conn
	loop  *evloop.Loop
	limit *evloop.Timer
}

func (l *farewell) Opened()     {}
func (l *farewell) Data([]byte) {}
func (l *farewell) Drained()    { l.check() }
func (l *farewell) Ended()      { l.check() }
func (l *farewell) check() {
	if l.conn.IsEnded() && l.conn.Pending() == 0 {
		l.loop.Cancel(l.limit)
		l.conn.Close()
	}
}
func (l *farewell) Closed(error) { l.loop.Cancel(l.limit) }
