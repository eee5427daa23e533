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

// This file links a process with its predecessor and its successor. From the handover to the end of the former both
// exchange heartbeats, so that limits and rules see one proxy.

const (
	heartbeatInterval = 100 * time.Millisecond
	// baseDescriptors are the descriptors of another process beside its connections: event loop, listeners, standard
	// files.
	baseDescriptors = 14
)

// restartHost is what a hotRestart needs of the proxy.
type restartHost interface {
	// starting reports whether this process has no configuration to act on yet.
	starting() bool
	isStopping() bool
	pauseListeners(paused bool)
	listenerDescriptors() []int
	captureState() *capturedState
	// establishedEndpoints are the endpoints of established connections by client.
	establishedEndpoints() map[uint64]string
	restoreEstablished(endpoints map[uint64]string)
	// adoptConnection goes on with a connection of the predecessor's.
	adoptConnection(conn *transferredConn, downstreamFD, upstreamFD int)
	onPeersChanged()
	onPredecessorExit()
}

// hotRestart is the place of this process between a predecessor, which has handed over to it, and a successor, to which
// it hands over its listeners, state and connections.
type hotRestart struct {
	host   restartHost
	loop   *evloop.Loop
	log    *logging.Logger
	socket handoverSocket

	predecessor      *predecessorProcess // nil: there is none
	successor        *successorProcess   // nil: there is none
	heartbeatRunning bool
}

// receivedHandover is what a predecessor has handed over, if there is one.
type receivedHandover struct {
	listeners map[string]int // descriptors by name
	state     *handoverState // nil where it cannot be read
	link      int            // the connected socket; -1: there is no predecessor
}

// continueClock has the loop go on with the predecessor's clock, so that its times keep their meaning.
func (h *receivedHandover) continueClock(loop *evloop.Loop) error {
	if h.state == nil || h.state.Clock == nil {
		return nil
	}
	return loop.ContinueClock(*h.state.Clock)
}

// requestHandover asks a process that serves as the same name at the same address for its listeners and state. Without
// one, this process starts by itself.
func (r *hotRestart) requestHandover(c *config.Config) receivedHandover {
	none := receivedHandover{link: -1}
	r.socket.path = hotrestart.SocketPath(c.TempDir, c.Name, c.Listen)
	if r.socket.path == "" {
		return none
	}
	handover, err := hotrestart.Request(r.socket.path)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, unix.ECONNREFUSED) {
			r.warn("hot restart: no handover, starting without it", err)
		}
		return none
	}
	state := &handoverState{}
	if err := json.Unmarshal(handover.State, state); err != nil {
		r.warn("hot restart: handover unreadable, starting without it", err)
		state = nil
	}
	listeners := map[string]int{routing.MainListener: handover.Listeners[0]}
	for i, fd := range handover.Listeners[1:] {
		if state == nil || i >= len(state.Listeners) {
			_ = unix.Close(fd) // nobody knows its name
			continue
		}
		listeners[state.Listeners[i]] = fd
	}
	return receivedHandover{listeners: listeners, state: state, link: handover.Link}
}

// linkPredecessor links this process with the one that has handed over.
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

// offerHandover waits for a successor at the socket.
func (r *hotRestart) offerHandover() {
	if err := r.socket.open(r.loop, r.handOver); err != nil {
		r.warn("hot restart: no socket for a successor", err)
	}
}

// withdrawOffer ends the wait for a successor, as there are no listeners to hand over any more.
func (r *hotRestart) withdrawOffer() {
	r.socket.removeFile()
	r.socket.close()
}

// handOver hands everything to a process that connects. A newer one replaces a successor that does not serve yet.
func (r *hotRestart) handOver(conn *evloop.Conn) evloop.Handler {
	successor := &successorProcess{restart: r}
	successor.link = peerLink{loop: r.loop, conn: conn, process: successor, lastHeartbeat: r.loop.Now()}
	if !hotrestart.SameUser(conn.FD()) || r.successor != nil && r.successor.serving {
		conn.Close()
		return &successor.link
	}
	r.loop.NameTurn(turnHandover)
	state := r.host.captureState()
	go func() { // ends with the text, which shares nothing with the loop
		text, err := state.encode()
		_ = r.loop.Post(func() { r.sendHandover(successor, text, err) }) // cannot fail, see evloop.Loop.Post
	}()
	return &successor.link
}

// sendHandover sends a process that has connected the listeners and the encoded state.
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

// startHeartbeats sends heartbeats for as long as there are other processes.
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
		return // cannot be: it has neither cycles nor channels
	}
	for _, link := range r.links() {
		link.send(append(text, '\n'))
	}
}

// sendEstablishedEndpoints tells the successor the endpoints of this process's connections, whose packets come to it next.
func (r *hotRestart) sendEstablishedEndpoints() {
	if r.successor != nil {
		endpoints := r.host.establishedEndpoints()
		r.sendHeartbeat(heartbeat{OpenDescriptors: r.loop.ConnCount(), Serving: true, Established: endpoints})
	}
}

// canTransfer reports whether the successor takes connections over.
func (r *hotRestart) canTransfer() bool {
	return r.successorServes() && !r.successor.refusesTransfers
}

// successorServes reports whether a successor accepts clients from the same queues.
func (r *hotRestart) successorServes() bool {
	return r.successor != nil && r.successor.serving && r.successor.link.heartbeatAge() <= successorTimeout
}

func (r *hotRestart) hasPeer() bool { return r.predecessor != nil || r.successor != nil }

// links are those to the other processes, the predecessor's first.
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

// peerDescriptors is how many descriptors the other processes have open.
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

// predecessorHasClient reports whether the predecessor had a session with that client ID at the handover.
func (r *hotRestart) predecessorHasClient(clientID string) bool {
	return r.predecessor != nil && r.predecessor.clientIDs[clientID]
}

// warn logs what failed and why.
func (r *hotRestart) warn(message string, err error) { r.log.Warn(message, zap.Error(err)) }
