// Package evloop serves stream sockets and timers from one goroutine. The proxy's connections, listeners and timers all belong
// to one Loop, so their state needs no locks. Handlers are called one at a time and must not block. A turn is the processing
// of one event: of a connection, a listener, the timers or a posted function.
//
// The package uses gnet's poller and socket helpers but not its engine, which has three faults for the proxy: its acceptor
// stops the whole engine when the process runs out of descriptors, it closes a half-closed connection before the response is
// sent, and its output buffers are unbounded.
package evloop

import (
	"errors"
	"os"
	"time"

	gneterrors "github.com/panjf2000/gnet/v2/pkg/errors"
	"github.com/panjf2000/gnet/v2/pkg/netpoll"
	"github.com/panjf2000/gnet/v2/pkg/queue"
	"golang.org/x/sys/unix"
)

// readBufferBytes is the size of the read buffer that all connections share.
const readBufferBytes = 64 << 10

// Loop is an event loop. All methods except Post and Stop must be called on the loop's goroutine, or before Run. The poller's
// and the timer's descriptors are never closed.
type Loop struct {
	system    System
	poller    *netpoll.Poller
	conns     map[int]*Conn     // by descriptor
	listeners map[int]*Listener // by descriptor

	timers          timerHeap
	timerFD         int
	timerFDDeadline time.Duration // when timerFD fires; 0 if it is not armed

	startedAt time.Time
	startUnix time.Duration // Unix time at startedAt
	now       time.Duration // the clock at the start of this turn

	observer     Observer // may be nil
	turnCause    Cause
	turnCauseSet bool // SetTurnCause was called in this turn

	holdUp           holdUp
	acceptsScheduled int // listeners whose queue may hold more connections, which a later turn accepts

	readBuffer      []byte
	readBufferInUse bool
}

// New returns a loop whose clock starts at the current wall-clock time. Its errors are those of the system calls that create
// the poller and the timer descriptor.
func New() (*Loop, error) {
	poller, err := netpoll.OpenPoller()
	if err != nil {
		return nil, err
	}
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("timerfd_create", err)
	}
	l := &Loop{
		system:     DefaultSystem,
		poller:     poller,
		conns:      map[int]*Conn{},
		listeners:  map[int]*Listener{},
		timerFD:    fd,
		startedAt:  time.Now(),
		readBuffer: make([]byte, readBufferBytes),
	}
	l.startUnix = time.Duration(l.system.WallClock().UnixNano()).Truncate(time.Microsecond)
	l.updateClock()
	return l, poller.AddRead(&netpoll.PollAttachment{FD: fd}, false)
}

// updateClock reads the clock for a turn. Only New reads the wall clock, because the balancers' epochs are shared with other
// proxies and must not jump when the wall clock is set.
func (l *Loop) updateClock() {
	l.now = l.clock()
}

// clock returns the current time of the loop's clock.
func (l *Loop) clock() time.Duration {
	return l.startUnix + time.Since(l.startedAt).Truncate(time.Microsecond)
}

// ClockReading is a simultaneous reading of a loop's clock and of the host's monotonic clock, which all processes on the host
// share.
type ClockReading struct {
	Loop      time.Duration
	Monotonic time.Duration
}

// ReadClock returns a reading of the current time. Its error is that of clock_gettime.
func (l *Loop) ReadClock() (ClockReading, error) {
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return ClockReading{}, os.NewSyscallError("clock_gettime", err)
	}
	return ClockReading{Loop: l.clock(), Monotonic: time.Duration(monotonic.Nano())}, nil
}

// ContinueClock synchronizes the loop's clock with that of another process on this host, from which the reading comes,
// regardless of changes to the wall clock since the reading. It must be called before any timer is set. Its error is that of
// clock_gettime.
func (l *Loop) ContinueClock(reading ClockReading) error {
	current, err := l.ReadClock()
	if err != nil {
		return err
	}
	elapsed := current.Monotonic - reading.Monotonic
	l.startUnix += (reading.Loop + elapsed - current.Loop).Truncate(time.Microsecond)
	l.updateClock()
	return nil
}

// Now returns the time at the start of this turn: the Unix time at which the loop was created plus the monotonic time since
// then, in whole microseconds.
func (l *Loop) Now() time.Duration { return l.now }

// WallClock returns the current time of the host's wall clock. It may jump; use Now for deadlines and waits.
func (l *Loop) WallClock() time.Time { return l.system.WallClock() }

// ConnCount returns the number of connections, including those that are still dialing.
func (l *Loop) ConnCount() int { return len(l.conns) }

// Run processes events until Stop. It returns nil after Stop, or the error with which the poller failed.
func (l *Loop) Run() error {
	err := l.poller.Polling(l.handleEvent)
	if errors.Is(err, gneterrors.ErrEngineShutdown) {
		return nil
	}
	return err
}

// Stop makes Run return after the current turn. It may be called from any goroutine. Its error is like that of Post.
func (l *Loop) Stop() error {
	return l.poller.Trigger(queue.LowPriority, func(any) error { return gneterrors.ErrEngineShutdown }, nil)
}

// Post schedules f to run in a separate turn, unless the loop stops first. It may be called from any goroutine. An error means
// that the loop could not be woken up, which does not happen in practice, because its wake-up descriptor is never closed.
func (l *Loop) Post(f func()) error {
	return l.poller.Trigger(queue.HighPriority, func(any) error {
		l.beginTurn(CausePosted)
		f()
		l.endTurn()
		return nil
	}, nil)
}

// handleEvent runs one turn: it passes an event to the connection, listener or timer with the descriptor. It ignores events of
// descriptors that were closed earlier in the same batch.
func (l *Loop) handleEvent(fd int, event netpoll.IOEvent, _ netpoll.IOFlags) error {
	if conn := l.conns[fd]; conn != nil {
		l.beginTurn(CauseConnection)
		conn.handleEvent(event)
	} else if listener := l.listeners[fd]; listener != nil {
		l.beginTurn(CauseAccept)
		listener.acceptTurn()
	} else if fd == l.timerFD {
		l.beginTurn(CauseTimers)
		l.runTimers()
	} else {
		return nil
	}
	l.endTurn()
	return nil
}
