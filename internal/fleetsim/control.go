package fleetsim

import (
	"fmt"
	"slices"
)

// Crash ends a process abruptly. It panics if no process has the name, as do Pause and Resume.
func (f *Fleet) Crash(name string) { f.process(name).crash() }

// Start starts the named replica or proxy if it is down. It ignores all other names.
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

// Pause suspends the named process until Resume.
func (f *Fleet) Pause(name string) { f.process(name).pause() }

// Resume continues the named process if it is paused. A proxy then places the load's connections that arrived during the pause,
// unless it is draining.
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

// Disconnect cuts the links from each process in from to each process in to and, if bidirectional is set, also the reverse
// links.
func (f *Fleet) Disconnect(from, to []string, bidirectional bool) {
	f.setDisconnected(from, to, bidirectional, true)
	f.engine.Trace("network", "disconnect", 0, fmt.Sprint(from, to, bidirectional))
}

// Reconnect restores the links that a Disconnect with the same arguments cut.
func (f *Fleet) Reconnect(from, to []string, bidirectional bool) {
	f.setDisconnected(from, to, bidirectional, false)
	f.engine.Trace("network", "connect", 0, fmt.Sprint(from, to, bidirectional))
}

func (f *Fleet) setDisconnected(from, to []string, bidirectional, disconnected bool) {
	for _, a := range from {
		for _, b := range to {
			f.Network.Link(a, b).Disconnected = disconnected
			if bidirectional {
				f.Network.Link(b, a).Disconnected = disconnected
			}
		}
	}
}

// Heal resets every link to the default, resumes all paused processes, and starts all replicas and proxies that are down, except
// draining proxies.
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

// processes returns the operator, the replicas, the proxies and the meshes.
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

// HasProcess reports whether a process has the name.
func (f *Fleet) HasProcess(name string) bool {
	return slices.ContainsFunc(f.processes(), func(p *Process) bool { return p.Name == name })
}

func (f *Fleet) process(name string) *Process {
	for _, p := range f.processes() {
		if p.Name == name {
			return p
		}
	}
	panic("fleetsim: no process is named " + name)
}

// Proxy returns the proxy with the name, or nil if there is none.
func (f *Fleet) Proxy(name string) *Proxy {
	for _, p := range f.Proxies {
		if p.Name == name {
			return p
		}
	}
	return nil
}
