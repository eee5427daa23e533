package faultinject

import (
	"fmt"
	"net"
	"slices"
	"sync"
)

// link implements Link. If the target refuses a connection, the client is reset right after it has connected.
type link struct {
	owner    *Net
	name     string
	accepted int // number of connections accepted so far; guarded by owner.mu

	listenMu sync.Mutex // serializes opening and closing the listener
	port     int        // set by the first call of listen

	mu            sync.Mutex
	reservedFD    int // socket bound to the port without listening, which keeps the port from other processes; 0: none
	target        string
	observe       func(Segment) // nil: no tap
	listener      net.Listener  // nil while connections are refused
	closed        bool
	faults        []activeFault
	lastFaultID   uint64
	conns         map[*conn]bool
	faultsChanged chan struct{} // closed and replaced whenever faults changes
}

// Name implements Link.
func (l *link) Name() string { return l.name }

// Addr implements Link. The address stays the same while connections are refused.
func (l *link) Addr() string { return fmt.Sprintf("127.0.0.1:%d", l.port) }

// Retarget implements Link.
func (l *link) Retarget(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = addr
}

// OpenConns implements Link.
func (l *link) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// addConn starts to relay an accepted connection.
func (l *link) addConn(client *net.TCPConn) {
	c := newConn(l, l.owner.registerConnection(l), client)
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

// connsLocked returns the open connections. The caller holds l.mu.
func (l *link) connsLocked() []*conn {
	var conns []*conn
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// activeFaults returns the fault of each kind that applies to one direction of a connection, and a channel that is closed
// when the faults of the link change.
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

// setFault sets a fault on the link. When it returns, a Refuse or an immediate Reset has taken effect.
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

// clearFaults removes the faults of a kind; "" and allKinds mean all kinds.
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

// changeFaults removes and adds faults, notifies the connections, and applies immediate resets.
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

// close closes the listener, releases the port and resets all connections.
func (l *link) close() {
	l.listenMu.Lock()
	defer l.listenMu.Unlock()
	l.mu.Lock()
	l.closed = true
	listener := l.listener
	conns := l.connsLocked()
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // already closed if close was called before
	}
	l.releasePort()
	for _, c := range conns {
		c.abort()
	}
}
