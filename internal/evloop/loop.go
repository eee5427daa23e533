// Package evloop serves stream sockets and timers from one goroutine. The proxy's connections, listeners and timers all live
// on one Loop, so its state needs no locks; handlers are called one at a time and must not block.
//
// It is built on gnet's poller and socket helpers, not on gnet's engine, which cannot keep three of the proxy's limits: its
// acceptor ends the whole engine when descriptors run out, a peer that ends only its sending is cut off before its answer is
// sent, and its output buffers have no bound.
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

// readBufferBytes is the size of the buffer that all connections read into.
const readBufferBytes = 64 << 10

// Loop is an event loop. All methods but Post and Stop must be called from the loop's own goroutine, or before Run. It keeps
// its own descriptors for as long as the process lives.
type Loop struct {
	system    System
	poller    *netpoll.Poller
	conns     map[int]*Conn     // by descriptor
	listeners map[int]*Listener // by descriptor

	timers    timerHeap
	timerFD   int
	timerFDAt time.Duration // when timerFD fires; 0: not armed

	startedAt time.Time
	startUnix time.Duration // Unix time at startedAt
	now       time.Duration // of this turn

	observer  Observer // nil: none
	turnCause Cause
	turnNamed bool // by SetTurnCause

	holdUp           holdUp
	acceptsScheduled int // listeners whose queue may hold more and which accept in a later turn

	readBuffer      []byte
	readBufferInUse bool
}

// New makes a loop whose clock starts at the wall clock's present time.
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

// updateClock reads the clock for a turn. The wall clock is read only once, at the start: the balancers' epochs are shared
// with other proxies and must not jump when a clock is set.
func (l *Loop) updateClock() {
	l.now = l.clock()
}

func (l *Loop) clock() time.Duration {
	return l.startUnix + time.Since(l.startedAt).Truncate(time.Microsecond)
}

// ClockReading is the loop's clock at a moment, with the host's monotonic clock, which all its processes share.
type ClockReading struct {
	Loop      time.Duration
	Monotonic time.Duration
}

// ReadClock returns the present reading. Its error is that of the system's clock.
func (l *Loop) ReadClock() (ClockReading, error) {
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return ClockReading{}, os.NewSyscallError("clock_gettime", err)
	}
	return ClockReading{Loop: l.clock(), Monotonic: time.Duration(monotonic.Nano())}, nil
}

// ContinueClock has the clock go on from a reading of another process on this host, whatever the wall clock has been set to since. It
// must be called before any timer is set. Its error is that of the system's clock.
func (l *Loop) ContinueClock(reading ClockReading) error {
	present, err := l.ReadClock()
	if err != nil {
		return err
	}
	elapsed := present.Monotonic - reading.Monotonic
	l.startUnix += (reading.Loop + elapsed - present.Loop).Truncate(time.Microsecond)
	l.updateClock()
	return nil
}

// Now is the time of this turn: Unix time at the start plus monotonic time, in whole microseconds.
func (l *Loop) Now() time.Duration { return l.now }

// WallClock is the time that the host's clock shows now. It may jump; deadlines and waits go by Now.
func (l *Loop) WallClock() time.Time { return l.system.WallClock() }

// ConnCount is how many connections the loop has, those that are still dialing included.
func (l *Loop) ConnCount() int { return len(l.conns) }

// Run serves until Stop. An error is the poller's, which then cannot go on.
func (l *Loop) Run() error {
	err := l.poller.Polling(l.handleEvent)
	if errors.Is(err, gneterrors.ErrEngineShutdown) {
		return nil
	}
	return err
}

// Stop ends Run after the present turn. It may be called from any goroutine. Its error is that of Post.
func (l *Loop) Stop() error {
	return l.poller.Trigger(queue.LowPriority, func(any) error { return gneterrors.ErrEngineShutdown }, nil)
}

// Post runs f in a turn of its own, or never where the loop stops before. It may be called from any goroutine. An error says
// that the loop could not be woken up, which does not happen: the descriptor for that is the loop's own, and stays open.
func (l *Loop) Post(f func()) error {
	return l.poller.Trigger(queue.HighPriority, func(any) error {
		l.beginTurn(CausePosted)
		f()
		l.endTurn()
		return nil
	}, nil)
}

// handleEvent is one turn: it hands a descriptor's event to whoever owns the descriptor. An event of a descriptor that was
// closed earlier in the same batch has no owner.
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
