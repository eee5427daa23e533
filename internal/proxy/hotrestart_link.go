package proxy

import (
	"errors"
	"os"
	"time"

	"example.org/micafront/internal/config"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/hotrestart"
	"example.org/micafront/internal/logging"
	"example.org/micafront/internal/routing"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// A process is linked with its predecessor and its successor. From the handover until the older process exits, both exchange
// heartbeats, so that limits apply to the two processes as one proxy.

const (
	heartbeatInterval = 100 * time.Millisecond
	// baseDescriptors is the number of descriptors that another process holds besides its connections: event loop,
	// listeners and standard files.
	baseDescriptors = 14
)

// restartHost is the part of the proxy that a hotRestart depends on.
type restartHost interface {
	// starting reports whether this process has no usable configuration yet.
	starting() bool
	isStopping() bool
	pauseListeners(paused bool)
	listenerDescriptors() []int
	captureState() *capturedState
	// establishedEndpoints maps clients to the endpoints of their established connections.
	establishedEndpoints() map[uint64]string
	restoreEstablished(endpoints map[uint64]string)
	// adoptConnection continues a connection of the predecessor.
	adoptConnection(conn *transferredConn, downstreamFD, upstreamFD int)
	onPeersChanged()
	onPredecessorExit()
}

// hotRestart takes over from a predecessor, and hands its listeners, state and connections over to a successor.
type hotRestart struct {
	host   restartHost
	loop   *evloop.Loop
	log    *logging.Logger
	socket handoverSocket

	predecessor      *predecessorProcess // nil: no predecessor
	successor        *successorProcess   // nil: no successor
	heartbeatRunning bool
}

// receivedHandover holds the listeners, state and link received from a predecessor, if there is one.
type receivedHandover struct {
	listeners map[string]int // descriptors by name
	state     *handoverState // nil: none, or unreadable
	link      int            // the connected socket; -1: no predecessor
}

// continueClock makes the loop continue the predecessor's clock, so that the times in the handover keep their meaning.
func (h *receivedHandover) continueClock(loop *evloop.Loop) error {
	if h.state == nil || h.state.Clock == nil {
		return nil
	}
	return loop.ContinueClock(*h.state.Clock)
}

// requestHandover requests the listeners and state of the process that serves under the same name at the same address. If
// none does or the handover fails, this process starts without one.
func (r *hotRestart) requestHandover(c *config.Config) receivedHandover {
	noHandover := receivedHandover{link: -1}
	r.socket.path = hotrestart.SocketPath(c.TempDir, c.Name, c.Listen)
	if r.socket.path == "" {
		return noHandover
	}
	handover, err := hotrestart.Request(r.socket.path)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, unix.ECONNREFUSED) {
			r.warn("hot restart: no handover, starting without it", err)
		}
		return noHandover
	}
	state := &handoverState{}
	if err := json.Unmarshal(handover.State, state); err != nil {
		r.warn("hot restart: handover unreadable, starting without it", err)
		state = nil
	}
	listeners := map[string]int{routing.MainListener: handover.Listeners[0]}
	for i, fd := range handover.Listeners[1:] {
		if state == nil || i >= len(state.Listeners) {
			_ = unix.Close(fd) // its listener name is unknown
			continue
		}
		listeners[state.Listeners[i]] = fd
	}
	return receivedHandover{listeners: listeners, state: state, link: handover.Link}
}

// linkPredecessor starts the heartbeats with the process that handed over.
func (r *hotRestart) linkPredecessor(handover receivedHandover) {
	if handover.link < 0 {
		return
	}
	predecessor := &predecessorProcess{restart: r, clientIDs: map[string]bool{}}
	predecessor.link = peerLink{loop: r.loop, process: predecessor, lastHeartbeat: r.loop.Now()}
	if handover.state != nil {
		for _, id := range handover.state.ClientIDs {
			predecessor.clientIDs[id] = true
		}
	}
	conn, err := r.loop.Adopt(handover.link, &predecessor.link)
	if err != nil {
		r.warn("hot restart: no link to the predecessor", err)
		return
	}
	conn.AcceptDescriptors()
	predecessor.link.conn = conn
	r.predecessor = predecessor
	r.host.onPeersChanged()
	r.startHeartbeats()
}

// offerHandover opens the socket at which a successor connects.
func (r *hotRestart) offerHandover() {
	if err := r.socket.open(r.loop, r.handOver); err != nil {
		r.warn("hot restart: no socket for a successor", err)
	}
}

// withdrawOffer closes the socket for successors because no listeners are left to hand over.
func (r *hotRestart) withdrawOffer() {
	r.socket.removeFile()
	r.socket.close()
}

// handOver hands listeners and state over to a process that connects. A newer process replaces a successor that does not
// serve yet.
func (r *hotRestart) handOver(conn *evloop.Conn) evloop.Handler {
	successor := &successorProcess{restart: r}
	successor.link = peerLink{loop: r.loop, conn: conn, process: successor, lastHeartbeat: r.loop.Now()}
	if !hotrestart.SameUser(conn.FD()) || r.successor != nil && r.successor.serving {
		conn.Close()
		return &successor.link
	}
	r.loop.SetTurnCause(turnHandover)
	state := r.host.captureState()
	go func() { // ends after encoding; the captured state shares nothing with the loop
		text, err := state.encode()
		_ = r.loop.Post(func() { r.sendHandover(successor, text, err) }) // cannot fail, see evloop.Loop.Post
	}()
	return &successor.link
}

// sendHandover sends the listeners and the encoded state to a process that has connected.
func (r *hotRestart) sendHandover(successor *successorProcess, text []byte, err error) {
	conn := successor.link.conn
	if r.successor != nil && r.successor.serving {
		conn.Close()
		return
	}
	if err == nil {
		err = conn.WriteWithDescriptors(append(text, '\n'), r.host.listenerDescriptors()...)
	}
	if err != nil {
		r.warn("hot restart: handover not sent", err)
		conn.Close()
		return
	}
	if r.successor != nil {
		r.successor.link.conn.Close()
	}
	r.log.Info("hot restart: successor connected")
	successor.link.lastHeartbeat = r.loop.Now()
	r.successor = successor
	r.host.onPeersChanged()
	r.startHeartbeats()
}

// startHeartbeats sends heartbeats while a predecessor or successor is linked.
func (r *hotRestart) startHeartbeats() {
	if !r.heartbeatRunning {
		r.heartbeatRunning = true
		r.heartbeatTick()
	}
}

func (r *hotRestart) heartbeatTick() {
	r.heartbeatRunning = r.hasPeer()
	if !r.heartbeatRunning {
		return
	}
	r.sendHeartbeat(heartbeat{OpenDescriptors: r.loop.ConnCount(), Serving: !r.host.starting()})
	if r.successor != nil {
		r.successor.checkLiveness()
	}
	r.loop.After(heartbeatInterval, r.heartbeatTick)
}

func (r *hotRestart) sendHeartbeat(h heartbeat) {
	text, err := json.Marshal(h)
	if err != nil {
		return // impossible: a heartbeat holds neither cycles nor channels
	}
	for _, link := range r.links() {
		link.send(append(text, '\n'))
	}
}

// sendEstablishedEndpoints sends the successor the endpoints of this process's connections, because it receives their packets
// next.
func (r *hotRestart) sendEstablishedEndpoints() {
	if r.successor != nil {
		endpoints := r.host.establishedEndpoints()
		r.sendHeartbeat(heartbeat{OpenDescriptors: r.loop.ConnCount(), Serving: true, Established: endpoints})
	}
}

// canTransfer reports whether the successor takes over connections.
func (r *hotRestart) canTransfer() bool {
	return r.successorServes() && !r.successor.refusesTransfers
}

// successorServes reports whether a successor accepts clients from the same accept queues.
func (r *hotRestart) successorServes() bool {
	return r.successor != nil && r.successor.serving && r.successor.link.heartbeatAge() <= successorTimeout
}

func (r *hotRestart) hasPeer() bool { return r.predecessor != nil || r.successor != nil }

// links returns the links to the other processes, the predecessor's first.
func (r *hotRestart) links() []*peerLink {
	var links []*peerLink
	if r.predecessor != nil {
		links = append(links, &r.predecessor.link)
	}
	if r.successor != nil {
		links = append(links, &r.successor.link)
	}
	return links
}

// peerDescriptors returns the number of descriptors that the other processes have open.
func (r *hotRestart) peerDescriptors() int {
	n := 0
	if r.predecessor != nil {
		n += r.predecessor.link.openDescriptors + baseDescriptors
	}
	if r.successor != nil {
		n += r.successor.link.openDescriptors + baseDescriptors
	}
	return n
}

// predecessorHasClient reports whether the predecessor still runs and had a session with clientID at the handover.
func (r *hotRestart) predecessorHasClient(clientID string) bool {
	return r.predecessor != nil && r.predecessor.clientIDs[clientID]
}

// warn logs a failure with its cause.
func (r *hotRestart) warn(message string, err error) { r.log.Warn(message, zap.Error(err)) }
