package faultinject

import (
	"fmt"
	"net"
	"slices"
	"sync"
)

// link is one relay. If its target refuses a connection, the client sees a reset right after it connected.
type link struct {
	owner    *Net
	name     string
	accepted int // connections so far, guarded by owner.mu

	listenMu sync.Mutex // held while the listener is opened or closed
	port     int        // set by the first listen

	mu            sync.Mutex
	reservedFD    int // a socket that is bound to the port and does not listen, so that no one else gets it; 0: none
	target        string
	observe       func(Segment) // nil: no tap
	listener      net.Listener  // nil: connections are refused
	closed        bool
	faults        []activeFault
	lastFaultID   uint64
	conns         map[*conn]bool
	faultsChanged chan struct{} // closed and replaced at each change of faults
}

// Name returns the link's name.
func (l *link) Name() string { return l.name }

// Addr returns the address at which the link listens, also while it refuses connections.
func (l *link) Addr() string { return fmt.Sprintf("127.0.0.1:%d", l.port) }

// Retarget sets the address for new connections.
func (l *link) Retarget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = addr
}

// OpenConns returns the number of connections.
func (l *link) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// addConn begins to relay a connection.
func (l *link) addConn(client *net.TCPConn) {
	c := newConn(l, l.owner.connectionArrived(l), client)
	l.mu.Lock()
	l.conns[c] = true
	closed := l.closed
	l.mu.Unlock()
	if closed {
		c.abort()
	}
	l.owner.wg.Go(c.run)
}

// removeConn drops a connection that has ended.
func (l *link) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// connsLocked returns the connections; l.mu is held.
func (l *link) connsLocked() []*conn {
	var conns []*conn
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// activeFaults returns the faults that apply to one direction of a connection, and a channel that is closed when they
// change.
func (l *link) activeFaults(connection int, d Direction) (faults map[Kind]activeFault, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.faults {
		if !f.appliesTo(connection, d) {
			continue
		}
		if faults == nil {
			faults = map[Kind]activeFault{}
		}
		if other, ok := faults[f.Kind]; !ok || f.specificity() >= other.specificity() {
			faults[f.Kind] = f
		}
	}
	return faults, l.faultsChanged
}

// setFault puts a fault on the link. A Refuse and an immediate Reset have taken effect when it returns.
func (l *link) setFault(f Fault) error {
	l.listenMu.Lock()
	defer l.listenMu.Unlock()
	if f.Direction == "" {
		f.Direction = Both
	}
	l.changeFaults(func(other activeFault) bool {
		return other.Kind == f.Kind && other.Direction == f.Direction && other.Connection == f.Connection
	}, f)
	if f.Kind == Refuse {
		return l.stopListening()
	}
	return nil
}

// clearFaults removes the faults of a kind; "" and allKinds are all.
func (l *link) clearFaults(kind Kind) error {
	l.listenMu.Lock()
	defer l.listenMu.Unlock()
	all := kind == "" || kind == allKinds
	l.changeFaults(func(f activeFault) bool { return all || f.Kind == kind })
	if all || kind == Refuse {
		return l.resumeListening()
	}
	return nil
}

// changeFaults removes and adds faults and notifies the connections.
func (l *link) changeFaults(remove func(activeFault) bool, added ...Fault) {
	l.mu.Lock()
	l.faults = slices.DeleteFunc(l.faults, remove)
	for _, f := range added {
		l.lastFaultID++
		l.faults = append(l.faults, activeFault{Fault: f, id: l.lastFaultID})
	}
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
	conns := l.connsLocked()
	l.mu.Unlock()
	for _, c := range conns {
		c.applyImmediateReset()
	}
}

// close ends the listener and resets all connections.
func (l *link) close() {
	l.listenMu.Lock()
	defer l.listenMu.Unlock()
	l.mu.Lock()
	l.closed = true
	listener := l.listener
	conns := l.connsLocked()
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // a second close fails
	}
	l.releasePort()
	for _, c := range conns {
		c.abort()
	}
}
