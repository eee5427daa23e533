package proxy

import (
	"time"

	"example.org/micafront"
	"example.org/micafront/internal/evloop"
)

// Send: one delivery attempt, from the dial to the next hop's first word. Each ends in exactly one outcome.

type attempt struct {
	f      *flow
	no     int
	hop    *hop
	conn   *evloop.Conn
	sentAt time.Duration
	until  time.Duration // when the proxy stops waiting
	up     bool          // dialled
	wrote  bool          // the first message has gone in full
	over   bool
	last   Sign
	tail   []byte // the start of a message whose end has not come
	limit  *evloop.Timer
}

func (p *Proxy) send(f *flow, s micafront.Send) {
	if f.client != nil {
		f.client.Look() // it may have left while others had their turn
	}
	now := p.loop.Now()
	a := &attempt{f: f, no: f.journey.Number(f.attempts), hop: p.hops[s.Server], sentAt: now, until: f.deadline}
	f.attempts++
	f.journey.Sent()
	if a.hop == nil {
		a.hop = &hop{id: s.Server}
	}
	if s.Timeout != 0 {
		a.until = min(now+s.Timeout, f.deadline)
	}
	if f.answered || f.attempt != nil || f.attempts > p.set.Limits.Attempts || a.until <= now {
		// Never two at once, none past the end: what must not go out is reported as never sent.
		a.over = true
		p.book(a, micafront.Moot)
		return
	}
	if after, ok := p.permitted(f, false); !ok {
		a.over = true
		p.withhold(f, after)
		p.book(a, micafront.Moot)
		return
	}
	f.attempt = a
	a.dial()
}

// dial begins the attempt. It must come up within the settings' time.
func (a *attempt) dial() {
	p := a.f.p
	if !p.room(keptSockets) {
		p.count.DialErrors++
		a.end(micafront.Moot)
		return
	}
	conn, err := p.loop.Dial(a.hop.addr, a)
	if err != nil {
		p.count.DialErrors++
		status := micafront.Moot
		if evloop.Refused(err) {
			status = micafront.ConnectFailed
		}
		a.end(status)
		return
	}
	a.conn = conn
	wait := min(p.set.Limits.ConnectTimeout, a.until-p.loop.Now())
	a.limit = p.loop.After(wait, func() { a.end(micafront.ConnectFailed) })
}

// Opened and the methods below are evloop's Handler.
func (a *attempt) Opened() {
	p := a.f.p
	a.up = true
	if a.f.client != nil {
		a.f.client.Look()
	}
	if a.f.answered { // nobody waits for it any more, and the settings may not allow a cancel
		a.end(micafront.Cancelled)
		return
	}
	if after, ok := p.permitted(a.f, true); !ok { // the rules may have changed, or a lease ended, since it was dialled
		p.withhold(a.f, after)
		a.end(micafront.Moot)
		return
	}
	p.loop.Cancel(a.limit)
	left := a.until - p.loop.Now()
	a.limit = p.loop.After(left, a.expired)
	b := a.f.opening.Forward(left)
	p.count.BytesToNextHops += counter(len(b))
	a.conn.Write(b)
	if a.conn.Pending() == 0 {
		a.written()
	}
}

// written books the attempt: from here on it may have run.
func (a *attempt) written() {
	if !a.wrote {
		a.wrote = true
		a.f.p.count.Attempts++
	}
}

func (a *attempt) expired() {
	if !a.wrote {
		a.end(micafront.ConnectFailed)
		return
	}
	a.end(micafront.Timeout)
}

func (a *attempt) Drained() {
	a.written()
	if a.f.place >= 0 && a.f.client != nil {
		a.f.client.Resume()
	}
}

func (a *attempt) Data(b []byte) {
	if a.f.place >= 0 {
		a.fromNextHop(b)
		return
	}
	a.tail = append(a.tail, b...)
	b = a.tail
	p := a.f.p
	whole := p.protocol.Whole(b)
	for len(b) > 0 && whole > 0 && !a.over {
		m, rest := p.protocol.Cut(b)
		whole -= len(m)
		sign, _ := p.protocol.Read(m)
		a.last = sign
		switch sign {
		case SignUp:
			if a.f.client == nil { // its client has gone or was answered, and attempts may not be called off: nobody is left to stand for
				a.end(micafront.Cancelled)
				return
			}
			a.tail = nil
			a.f.stand(a)
			a.fromNextHop(b) // the message itself and what follows
			return
		case SignBye:
			if !a.f.answered { // else its final answer has been counted
				a.f.answered = true
				a.f.hold(holdsNothing)
				p.count.Served++
				a.f.final(completed)
				a.f.endClient(m)
			}
			a.end(micafront.OK)
		case SignMove:
			a.end(micafront.Cancelled)
		case SignFull:
			a.end(micafront.Full)
		case SignError:
			a.end(micafront.AppError)
		case SignOther:
			p.count.BadLines++
			a.end(micafront.AppError)
		}
		b = rest
	}
	if a.over {
		return
	}
	if len(b) > p.protocol.MaxMessage() {
		p.count.Overlong++
		a.end(micafront.AppError)
		return
	}
	a.tail = append(a.tail[:0], b...)
}

func (a *attempt) Ended() {
	if a.f.place >= 0 {
		a.f.hopEnded()
		return
	}
	a.broke()
}

func (a *attempt) Closed(error) {
	if a.f.place >= 0 {
		a.f.hopBroke()
		return
	}
	a.broke()
}

func (a *attempt) broke() {
	if !a.wrote {
		a.end(micafront.ConnectFailed)
		return
	}
	a.end(micafront.Reset)
}

// callOff ends the attempt that is out, if one is. One that still dials never writes its line.
func (f *flow) callOff() {
	if f.attempt != nil {
		f.attempt.end(micafront.Cancelled)
	}
}

// end closes the attempt's connection before its outcome is told: the module may send the next one at once.
func (a *attempt) end(s micafront.Status) {
	if a.over {
		return
	}
	a.over = true
	p, f := a.f.p, a.f
	p.loop.Cancel(a.limit)
	if a.conn != nil {
		a.conn.Close()
	}
	f.attempt = nil
	if f.opening != nil && f.opening.Standing != "" {
		p.resumeAgain(f, a)
		return
	}
	p.book(a, s)
}

// Connections that stood before the proxy started come back to the next hop that they name. They are tried
// again for a while: the world they come from counts them as lost only after 40 s.
const (
	resumeFor   = 35 * time.Second
	resumeEvery = 250 * time.Millisecond
	resumeTry   = 5 * time.Second
)

func (p *Proxy) resume(f *flow) {
	now := p.loop.Now()
	a := &attempt{f: f, hop: p.hops[f.opening.Standing], sentAt: now, until: now + resumeTry}
	if a.hop == nil {
		p.fail(f)
		return
	}
	f.attempt, f.attempts = a, 1
	f.enter(p.poolOf(a.hop.id))
	a.dial()
}

func (p *Proxy) resumeAgain(f *flow, a *attempt) {
	if f.answered {
		p.forget(f)
		return
	}
	if f.stuck == 0 {
		f.stuck = a.sentAt
	}
	if p.loop.Now()-f.stuck > resumeFor {
		p.fail(f)
		return
	}
	p.loop.After(resumeEvery, func() {
		if !f.answered {
			p.resume(f)
		}
	})
}
