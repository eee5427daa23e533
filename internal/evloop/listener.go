package evloop

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"github.com/panjf2000/gnet/v2/pkg/socket"
	"golang.org/x/sys/unix"
)

const (
	// maxAcceptsPerTurn bounds what one turn accepts, so that earlier connections are read in between.
	maxAcceptsPerTurn = 16
	// acceptRetryDelay is how long accepting pauses when descriptors or kernel memory have run out. Connections wait in the
	// kernel's queue meanwhile.
	acceptRetryDelay = 10 * time.Millisecond
	// maxCloseAttempts is how often a queue is read at the end while descriptors or kernel memory have run out.
	maxCloseAttempts = 10
	// maxCloseBatches bounds what is accepted at the end in one turn: more than a queue holds.
	maxCloseBatches = 512
)

// maxRegisterAttempts is how often an accepted connection is offered to the poller.
const maxRegisterAttempts = 100

var errNotRegistered = errors.New("the poller has no memory for the connection")

// Listener accepts connections.
type Listener struct {
	// CanAccept reports whether one more connection may be accepted; nil: always.
	CanAccept func() bool

	loop     *Loop
	fd       int
	addr     string
	onAccept func(*Conn) Handler
	onError  func(error)

	acceptScheduled bool // a later turn accepts
	queueHasMore    bool // that turn comes at once, since more connections may wait
	paused          bool // another process accepts from the same queue
	acceptFailed    bool // for a lack of descriptors or memory
	closing         bool // it stops listening once the queue is empty
	closeAttempts   int
}

// Listen accepts connections at addr and passes each to onAccept, which returns its handler. A failure to accept, such as a
// lack of descriptors, goes to onError; the listener then tries again by itself.
func (l *Loop) Listen(addr string, onAccept func(*Conn) Handler, onError func(error)) (*Listener, error) {
	options := []socket.Option[int]{
		{SetSockOpt: socket.SetReuseAddr, Opt: 1},
		{SetSockOpt: socket.SetReuseport, Opt: 1},
	}
	fd, bound, err := socket.TCPSocket("tcp", addr, true, options, nil)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	if sockaddr, err := unix.Getsockname(fd); err == nil {
		bound = socket.SockaddrToTCPOrUnixAddr(sockaddr)
	}
	listener, err := l.listen(fd, bound.String(), onAccept, onError)
	if err != nil {
		_ = unix.Close(fd)
		return nil, fmt.Errorf("listen %s: %w", addr, err)
	}
	return listener, nil
}

// ListenFD is Listen on a listening descriptor. On an error it stays the caller's.
func (l *Loop) ListenFD(fd int, onAccept func(*Conn) Handler, onError func(error)) (*Listener, error) {
	sockaddr, err := unix.Getsockname(fd)
	if err != nil {
		return nil, os.NewSyscallError("getsockname", err)
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, os.NewSyscallError("setnonblock", err)
	}
	return l.listen(fd, socket.SockaddrToTCPOrUnixAddr(sockaddr).String(), onAccept, onError)
}

func (l *Loop) listen(fd int, addr string, onAccept func(*Conn) Handler, onError func(error)) (*Listener, error) {
	listener := &Listener{loop: l, fd: fd, addr: addr, onAccept: onAccept, onError: onError}
	if err := l.poller.AddRead(&netpoll.PollAttachment{FD: fd}, true); err != nil {
		return nil, err
	}
	l.listeners[fd] = listener
	return listener, nil
}

// Addr is the address that the listener is bound to.
func (listener *Listener) Addr() string { return listener.addr }

// FD is the listening descriptor, to be passed to a successor process.
func (listener *Listener) FD() int { return listener.fd }

// SetPaused leaves the queue to another process that has the same descriptor, or accepts from it again.
func (listener *Listener) SetPaused(paused bool) {
	if listener.paused != paused && listener.listening() {
		listener.paused = paused
		listener.scheduleAccept(0)
	}
}

// Detach stops listening. Connections that wait in the queue are left to other processes that have the same descriptor.
func (listener *Listener) Detach() {
	if listener.listening() {
		delete(listener.loop.listeners, listener.fd)
		_ = listener.loop.poller.Delete(listener.fd) // else it stays registered while another process has the descriptor
		_ = unix.Close(listener.fd)
	}
}

// Close accepts what still waits in the queue, then stops listening.
func (listener *Listener) Close() {
	if !listener.listening() {
		return
	}
	listener.CanAccept = nil
	listener.closing = true
	listener.closeTurn()
}

// closeTurn accepts what waits, and stops listening unless a lack of descriptors or memory has left something: a connection in the
// queue would be reset, with a request in it maybe.
func (listener *Listener) closeTurn() {
	for range maxCloseBatches {
		listener.acceptFailed = false
		if !listener.acceptBatch() {
			break
		}
	}
	listener.closeAttempts++
	if !listener.acceptFailed || listener.closeAttempts >= maxCloseAttempts {
		listener.Detach()
	}
}

func (listener *Listener) listening() bool { return listener.loop.listeners[listener.fd] == listener }

func (listener *Listener) acceptTurn() {
	if !listener.acceptScheduled && !listener.paused && listener.acceptBatch() {
		listener.scheduleAccept(0)
	}
}

// scheduleAccept accepts in a later turn, once the delay has passed.
func (listener *Listener) scheduleAccept(delay time.Duration) {
	listener.acceptScheduled = true
	if delay == 0 && !listener.queueHasMore {
		listener.queueHasMore = true
		listener.loop.acceptsScheduled++
	}
	listener.loop.After(delay, func() {
		listener.acceptScheduled = false
		if listener.queueHasMore {
			listener.queueHasMore = false
			listener.loop.acceptsScheduled--
		}
		switch {
		case !listener.listening():
		case listener.closing:
			listener.closeTurn()
		default:
			listener.acceptTurn()
		}
	})
}

// acceptBatch accepts up to maxAcceptsPerTurn connections and reports whether more may wait.
func (listener *Listener) acceptBatch() (more bool) {
	var connectionErr error // of the latest connection that was gone
	for range maxAcceptsPerTurn {
		if listener.CanAccept != nil && !listener.CanAccept() {
			listener.scheduleAccept(acceptRetryDelay)
			return false
		}
		fd, _, err := listener.loop.system.Accept(listener.fd)
		switch {
		case err == nil:
			connectionErr = nil
			listener.serve(fd)
		case errors.Is(err, unix.EAGAIN):
			return false
		case isAcceptedError(err):
			connectionErr = err
		default: // EMFILE, ENFILE, ENOBUFS, ENOMEM
			listener.acceptFailed = true
			listener.onError(err)
			listener.scheduleAccept(acceptRetryDelay)
			return false
		}
	}
	if connectionErr != nil { // it goes on in this way, perhaps for ever
		listener.onError(connectionErr)
		listener.scheduleAccept(acceptRetryDelay)
		return false
	}
	return true
}

// serve hands an accepted connection to its handler.
func (listener *Listener) serve(fd int) {
	conn := &Conn{loop: listener.loop, fd: fd, writable: true}
	if conn.handler = listener.onAccept(conn); conn.closed {
		return
	}
	conn.registerOrRetry(maxRegisterAttempts)
}

// registerOrRetry registers an accepted connection, later where the kernel has no memory for it now: it may have a request, which is
// owed an answer.
func (c *Conn) registerOrRetry(attempts int) {
	if c.closed || c.register() == nil {
		return
	}
	if attempts <= 1 {
		c.closeWithError(errNotRegistered)
		return
	}
	c.loop.conns[c.fd] = c // it still counts, and is found by nobody else
	c.loop.After(acceptRetryDelay, func() { c.registerOrRetry(attempts - 1) })
}
