package proxy

import (
	"fmt"

	"example.org/loompick"
	"example.org/loompick/internal/registry"
)

// Route: events go to the module and its actions are carried out, in order.

// tell queues an event. What the module's actions cause in turn is queued behind, so that the module is never
// entered twice.
func (p *Proxy) tell(e loompick.Event) {
	p.news = append(p.news, e)
	if p.turning {
		return
	}
	p.turning = true
	for len(p.news) > 0 {
		e := p.news[0]
		if p.news = p.news[1:]; len(p.news) == 0 {
			p.news = nil
		}
		for _, a := range p.module.Handle(p.loop.Now(), e) {
			p.do(a)
		}
	}
	p.turning = false
}

func (p *Proxy) do(a loompick.Action) {
	switch a := a.(type) {
	case loompick.Send:
		if f := p.flows[a.ID]; f != nil {
			p.send(f, a)
		}
	case loompick.Refuse:
		if f := p.flows[a.ID]; f != nil {
			p.refuse(f, a.After)
		}
	case loompick.Fail:
		if f := p.flows[a.ID]; f != nil {
			p.fail(f)
		}
	case loompick.Cancel:
		if f := p.flows[a.ID]; f != nil && f.attempt != nil && f.attempt.no == a.Attempt && f.place < 0 {
			f.callOff()
		}
	case loompick.Move:
		if f := p.flows[a.ID]; f != nil && f.place >= 0 {
			p.count.Moves++
			p.move(f, loompick.Cancelled)
		}
	case loompick.SetTimer:
		p.loop.After(a.Delay, func() { p.tell(loompick.Timer{Token: a.Token}) })
	case loompick.Watch:
		p.registry.Watch(a.On)
	case loompick.Fetch:
		p.registry.Fetch()
	case loompick.Log:
		fmt.Fprintln(p.log, a.Text)
	case loompick.Probe:
		// The module asks for none today; one that does hears that it never went out.
		p.tell(loompick.Probed{Server: a.Server, Status: loompick.Moot})
	}
}

// hearList takes the transport map's news.
func (p *Proxy) hearList(l registry.List, kind loompick.ListKind) {
	p.count.Lists++
	p.count.ListChanges++
	for _, e := range l.Instances {
		h := p.hops[e.ID]
		if h == nil {
			h = &hop{id: e.ID}
			p.hops[e.ID] = h
		}
		if e.HostPort != "" {
			h.addr = e.HostPort
		}
		h.zone = e.Zone
	}
	p.tell(l.Members(kind))
}

func (p *Proxy) listFailed(err error) {
	p.count.ListFailures++
	fmt.Fprintln(p.log, err)
	p.tell(loompick.Members{Kind: loompick.ListFailed})
}
