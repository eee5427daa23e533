package proxy

import (
	"time"

	"example.org/micafront"
)

// Admit: from here on the request is owed one final answer; the module decides which.

// spareSockets are kept for what is not a flow: discovery, the loop's own descriptors, standard files, and a
// request's own way to a next hop.
const spareSockets = 24

// noRoomAfter is when a client may come again that met a proxy with no room.
const noRoomAfter = time.Second

func (p *Proxy) admit(f *flow) {
	o := f.opening
	// Beyond the limits requests are sent back before they reach the module.
	if p.sockets > 0 && p.loop.Open()+spareSockets > p.sockets ||
		p.set.Limits.MaxOpen > 0 && len(p.flows) > p.set.Limits.MaxOpen {
		p.count.NoRoom++
		p.refuse(f, min(noRoomAfter, p.set.Limits.MaxRetryAfter))
		return
	}
	if !o.HasWait {
		o.Wait = p.classOf(o.Class).GiveUp
	}
	f.deadline = p.loop.Now() + o.Wait
	if o.MidFlow {
		p.count.MidFlow++
	}
	p.tell(p.request(f))
}

func (p *Proxy) classOf(name string) micafront.Class {
	for _, c := range p.set.Classes {
		if c.Name == name {
			return c
		}
	}
	return p.set.Classes[0]
}

func (p *Proxy) request(f *flow) micafront.Request {
	o := f.opening
	return micafront.Request{ID: f.id, Class: o.Class, Group: o.Group, Key: o.Key, Deadline: f.deadline,
		Hint: o.Hint, MidFlow: o.MidFlow, Repeat: o.Repeat, Returned: o.Again}
}

// refuse and fail give the final answer at once, whatever time the client would still wait.
func (p *Proxy) refuse(f *flow, after time.Duration) {
	if !f.answered {
		p.count.Deferred++
		f.answer(p.protocol.Defer(after))
	}
}

func (p *Proxy) fail(f *flow) {
	if !f.answered {
		p.count.Failed++
		f.answer(p.protocol.Fail())
	}
}

func (f *flow) answer(b []byte) {
	f.answered = true
	f.in = nil
	f.endClient(b)
	f.p.forget(f)
}

// gone books a client that left before its answer.
func (f *flow) gone() {
	if f.answered {
		return
	}
	f.p.count.ClientGone++
	f.answer(f.p.protocol.Defer(0))
	if f.deadline == 0 { // standing connections are not the module's yet
		f.callOff()
		return
	}
	f.p.tell(micafront.ClientGone{ID: f.id})
}
