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
	// maxAcceptsPerTurn bounds the connections that one turn accepts, so that established connections are read in between.
	maxAcceptsPerTurn = 16
	// acceptRetryDelay is the delay before accepting is retried when descriptors or kernel memory have run out, or CanAccept
	// returned false. Connections wait in the kernel's accept queue meanwhile.
	acceptRetryDelay = 10 * time.Millisecond
	// maxCloseAttempts is how often a closing listener tries to empty its accept queue while descriptors or kernel memory have
	// run out.
	maxCloseAttempts = 10
	// maxCloseBatches bounds the batches that a closing listener accepts in one turn. It covers more connections than an accept
	// queue holds.
	maxCloseBatches = 512
)

// maxRegisterAttempts bounds the attempts to register an accepted connection with the poller.
const maxRegisterAttempts = 100

var errNotRegistered = errors.New("registering the connection with the poller failed: the kernel is out of memory")

// Listener accepts connections.
type Listener struct {
	// CanAccept reports whether one more connection may be accepted. If it is nil, every connection is accepted.
	CanAccept func() bool

	loop     *Loop
	fd       int
	addr     string
	onAccept func(*Conn) Handler
	onError  func(error)

	acceptScheduled bool // a later turn accepts
	queueHasMore    bool // the scheduled turn has no delay, because more connections may wait
	paused          bool // another process accepts from the same queue
	acceptFailed    bool // because descriptors or kernel memory have run out
	closing         bool // the listener stops listening once the queue is empty
	closeAttempts   int
}

// Listen accepts connections at a TCP address and passes each to onAccept, which returns its handler. Errors of accept, such as
// a lack of descriptors, are passed to onError, and the listener retries after acceptRetryDelay. Listen returns the errors of
// the system calls that create the listening socket.
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

// ListenFD is like Listen for a descriptor that is already listening. The listener owns the descriptor, unless ListenFD returns
// an error.
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

// listen registers a listening descriptor with the poller.
func (l *Loop) listen(fd int, addr string, onAccept func(*Conn) Handler, onError func(error)) (*Listener, error) {
	listener := &Listener{loop: l, fd: fd, addr: addr, onAccept: onAccept, onError: onError}
	if err := l.poller.AddRead(&netpoll.PollAttachment{FD: fd}, true); err != nil {
		return nil, err
	}
	l.listeners[fd] = listener
	return listener, nil
}

// Addr returns the address that the listener is bound to.
func (listener *Listener) Addr() string { return listener.addr }

// FD returns the listening descriptor, for transfer to a successor process.
func (listener *Listener) FD() int { return listener.fd }

// SetPaused pauses or resumes accepting. During a pause, connections are left to another process with the same descriptor.
func (listener *Listener) SetPaused(paused bool) {
	if listener.paused != paused && listener.listening() {
		listener.paused = paused
		listener.scheduleAccept(0)
	}
}

// Detach stops listening. Connections in the accept queue are left to other processes with the same descriptor.
func (listener *Listener) Detach() {
	if listener.listening() {
		delete(listener.loop.listeners, listener.fd)
		_ = listener.loop.poller.Delete(listener.fd) // otherwise it stays registered while another process holds the descriptor
		_ = unix.Close(listener.fd)
	}
}

// Close accepts the connections that wait in the accept queue, then stops listening.
func (listener *Listener) Close() {
	if !listener.listening() {
		return
	}
	listener.CanAccept = nil
	listener.closing = true
	listener.closeTurn()
}

// closeTurn accepts the connections in the accept queue, then stops listening. If descriptors or memory have run out, a later
// turn retries, maxCloseAttempts times at most, because the kernel resets connections that are left in the queue, and they may
// already carry a request.
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

// listening reports whether the listener is still registered with the loop.
func (listener *Listener) listening() bool { return listener.loop.listeners[listener.fd] == listener }

// acceptTurn accepts one batch of connections, unless accepting is paused or a later turn does it.
func (listener *Listener) acceptTurn() {
	if !listener.acceptScheduled && !listener.paused && listener.acceptBatch() {
		listener.scheduleAccept(0)
	}
}

// scheduleAccept accepts connections in a later turn, once the delay has passed.
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
	var connectionErr error // why the latest connection in the queue could not be accepted
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
		case isQueuedConnError(err):
			connectionErr = err
		default: // EMFILE, ENFILE, ENOBUFS, ENOMEM
			listener.acceptFailed = true
			listener.onError(err)
			listener.scheduleAccept(acceptRetryDelay)
			return false
		}
	}
	if connectionErr != nil { // accept may continue to fail like this
		listener.onError(connectionErr)
		listener.scheduleAccept(acceptRetryDelay)
		return false
	}
	return true
}

// serve gets a handler for an accepted connection and registers the connection with the poller.
func (listener *Listener) serve(fd int) {
	conn := &Conn{loop: listener.loop, fd: fd, writable: true}
	if conn.handler = listener.onAccept(conn); conn.closed {
		return
	}
	conn.registerWithRetry(maxRegisterAttempts)
}

// registerWithRetry registers an accepted connection with the poller. While the kernel is out of memory it retries, because the
// connection may already carry a request, which needs a response.
func (c *Conn) registerWithRetry(attempts int) {
	if c.closed || c.register() == nil {
		return
	}
	if attempts <= 1 {
		c.closeWithError(errNotRegistered)
		return
	}
	c.loop.conns[c.fd] = c // counted as a connection, but receives no events until it is registered
	c.loop.After(acceptRetryDelay, func() { c.registerWithRetry(attempts - 1) })
}
