package proxy

import (
	"maps"
	"slices"

	"example.org/micafront/internal/config"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/routing"
	"golang.org/x/sys/unix"
)

// connAcceptor is the part of the proxy that listeners depend on.
type connAcceptor interface {
	// canAccept reports whether one more connection may be accepted now. Otherwise it waits in the kernel's accept queue.
	canAccept() bool
	acceptClient(conn *evloop.Conn, listener string) evloop.Handler
	onAcceptError(error)
}

// listenerSet holds the listening sockets for clients. They do not change while the process runs.
type listenerSet struct {
	main  *evloop.Listener
	extra []namedListener // in the order of their names
}

type namedListener struct {
	*evloop.Listener
	name string
}

// open opens the listeners of a configuration. inherited maps listener names to the sockets that a predecessor handed over.
// Listeners use their inherited sockets; the remaining ones are closed.
func (l *listenerSet) open(loop *evloop.Loop, acceptor connAcceptor, c *config.Config, inherited map[string]int) error {
	main, err := openListener(loop, acceptor, routing.MainListener, c.Listen, inherited)
	if err != nil {
		return err
	}
	l.main = main
	for _, name := range slices.Sorted(maps.Keys(c.Routes.Set.Listeners)) {
		listener, err := openListener(loop, acceptor, name, c.Routes.Set.Listeners[name], inherited)
		if err != nil {
			return err
		}
		l.extra = append(l.extra, namedListener{listener, name})
	}
	for _, fd := range inherited {
		_ = unix.Close(fd)
	}
	return nil
}

// openListener opens one listener. If inherited has a socket for it, the listener uses that one and removes it from inherited.
func openListener(loop *evloop.Loop, acceptor connAcceptor, name, addr string, inherited map[string]int) (*evloop.Listener, error) {
	accept := func(conn *evloop.Conn) evloop.Handler { return acceptor.acceptClient(conn, name) }
	var listener *evloop.Listener
	var err error
	if fd, ok := inherited[name]; ok {
		delete(inherited, name)
		listener, err = loop.ListenFD(fd, accept, acceptor.onAcceptError)
	} else {
		listener, err = loop.Listen(addr, accept, acceptor.onAcceptError)
	}
	if err != nil {
		return nil, err
	}
	listener.CanAccept = acceptor.canAccept
	return listener, nil
}

// all returns all listeners, the main one first.
func (l *listenerSet) all() []*evloop.Listener {
	listeners := []*evloop.Listener{l.main}
	for _, extra := range l.extra {
		listeners = append(listeners, extra.Listener)
	}
	return listeners
}

// descriptors returns the descriptors of all listeners, the main one's first.
func (l *listenerSet) descriptors() []int {
	var fds []int
	for _, listener := range l.all() {
		fds = append(fds, listener.FD())
	}
	return fds
}

// extraNames returns the names of the extra listeners, in the order of descriptors.
func (l *listenerSet) extraNames() []string {
	var names []string
	for _, extra := range l.extra {
		names = append(names, extra.name)
	}
	return names
}

// extraAddrs returns the addresses of the extra listeners by name.
func (l *listenerSet) extraAddrs() map[string]string {
	addrs := map[string]string{}
	for _, extra := range l.extra {
		addrs[extra.name] = extra.Addr()
	}
	return addrs
}

// pause stops accepting, so that another process serves the accept queues, or resumes it.
func (l *listenerSet) pause(paused bool) {
	for _, listener := range l.all() {
		listener.SetPaused(paused)
	}
}

// close stops accepting. If the accept queues are shared with another process, they stay open.
func (l *listenerSet) close(shared bool) {
	for _, listener := range l.all() {
		if shared {
			listener.Detach()
		} else {
			listener.Close()
		}
	}
}

func (p *Proxy) pauseListeners(paused bool) { p.listeners.pause(paused) }
