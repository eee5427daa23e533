package fleetsim

import (
	"fmt"
	"slices"
)

// Crash ends a process without warning. The methods of this file that take the name of a process panic where there is none.
func (f *Fleet) Crash(name string) { f.process(name).crash() }

// Start starts a replica or a proxy that is down; any other name is ignored.
func (f *Fleet) Start(name string) {
	for _, r := range f.Replicas {
		if r.Name == name && !r.up {
			r.boot()
		}
	}
	for _, p := range f.Proxies {
		if p.Name == name && !p.up {
			p.boot()
		}
	}
}

// Pause stops a process until Resume.
func (f *Fleet) Pause(name string) { f.process(name).pause() }

// Resume lets a paused process go on. A proxy then gets the connections that arrived meanwhile.
func (f *Fleet) Resume(name string) {
	process := f.process(name)
	if !process.paused {
		return
	}
	process.resume()
	if proxy := f.Proxy(name); proxy != nil && f.LoadInterval > 0 && !proxy.draining {
		proxy.placeBacklog()
	}
}

// Disconnect disconnects the links from each process of one side to each of the other, and with back also the opposite ones.
func (f *Fleet) Disconnect(from, to []string, back bool) {
	f.setDisconnected(from, to, back, true)
	f.engine.Trace("network", "disconnect", 0, fmt.Sprint(from, to, back))
}

// Reconnect is the reverse of Disconnect.
func (f *Fleet) Reconnect(from, to []string, back bool) {
	f.setDisconnected(from, to, back, false)
	f.engine.Trace("network", "connect", 0, fmt.Sprint(from, to, back))
}

func (f *Fleet) setDisconnected(from, to []string, back, disconnected bool) {
	for _, a := range from {
		for _, b := range to {
			f.Network.Link(a, b).Disconnected = disconnected
			if back {
				f.Network.Link(b, a).Disconnected = disconnected
			}
		}
	}
}

// Heal makes every link the default one, resumes paused processes and starts those that are down, but for proxies that drain.
func (f *Fleet) Heal() {
	f.engine.Trace("network", "heal", 0, "")
	f.Network.Heal()
	for _, process := range f.processes() {
		f.Resume(process.Name)
	}
	for _, r := range f.Replicas {
		f.Start(r.Name)
	}
	for _, p := range f.Proxies {
		p.pauseAfterRenewal = 0
		if !p.draining {
			f.Start(p.Name)
		}
	}
}

// processes are the operator, the replicas, the proxies and the meshes.
func (f *Fleet) processes() []*Process {
	all := []*Process{f.Operator}
	for _, r := range f.Replicas {
		all = append(all, &r.Process)
	}
	for _, p := range f.Proxies {
		all = append(all, &p.Process)
	}
	for _, m := range f.Meshes {
		all = append(all, &m.Process)
	}
	return all
}

// HasProcess reports whether there is a process of that name.
func (f *Fleet) HasProcess(name string) bool {
	return slices.ContainsFunc(f.processes(), func(p *Process) bool { return p.Name == name })
}

func (f *Fleet) process(name string) *Process {
	for _, p := range f.processes() {
		if p.Name == name {
			return p
		}
	}
	panic("fleetsim: no process " + name)
}

// Proxy returns the proxy of that name, or nil.
func (f *Fleet) Proxy(name string) *Proxy {
	for _, p := range f.Proxies {
		if p.Name == name {
			return p
		}
	}
	return nil
}
