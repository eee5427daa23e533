package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/micafront/internal/fakes"
	"golang.org/x/sys/unix"
)

// endpointBehavior is how the endpoints of a listener respond to a request.
type endpointBehavior int

const (
	behaviorNormal endpointBehavior = iota
	behaviorSlow
	behaviorHang
	behaviorReset
	behaviorBusy
	behaviorError
	behaviorRefuse
	behaviorCount
)

// String returns the name of a behavior in logs.
func (b endpointBehavior) String() string {
	return [...]string{"normal", "slow", "hang", "reset", "busy", "error", "refuse"}[b]
}

// slowAnswerDelay is how long an endpoint with behaviorSlow waits before it answers.
const slowAnswerDelay = 120 * time.Millisecond

// attemptRecord is one attempt that an endpoint received.
type attemptRecord struct {
	requestID string
	at        time.Time
}

// endpoints simulates all endpoints of a run with a few listeners.
type endpoints struct {
	addrs    []string // of the listeners
	closers  []func()
	accepted atomic.Int64 // number of connections

	mu       sync.Mutex
	attempts []attemptRecord
	ended    map[string]bool // IDs of requests whose connection an endpoint closed
}

// startEndpoints starts one listener for each behavior.
func startEndpoints(behaviors []endpointBehavior) (*endpoints, error) {
	e := &endpoints{ended: map[string]bool{}}
	for _, behavior := range behaviors {
		if behavior == behaviorRefuse {
			port, err := reservePort()
			if err != nil {
				e.close()
				return nil, err
			}
			e.addrs = append(e.addrs, port.addr)
			e.closers = append(e.closers, port.close)
			continue
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.close()
			return nil, err
		}
		e.addrs = append(e.addrs, listener.Addr().String())
		e.closers = append(e.closers, func() { _ = listener.Close() })
		go e.accept(listener, behavior)
	}
	return e, nil
}

func (e *endpoints) close() {
	for _, closeOne := range e.closers {
		closeOne()
	}
}

// reservedPort is a port that refuses connections and that no other socket can bind.
type reservedPort struct {
	addr  string
	close func()
}

// reservePort binds a socket that does not listen. A closed listener would free its port, and another process that got the port would
// accept the connections that must be refused.
func reservePort() (reservedPort, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservedPort{}, os.NewSyscallError("socket", err)
	}
	release := func() { _ = unix.Close(fd) }
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		release()
		return reservedPort{}, os.NewSyscallError("bind", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		release()
		return reservedPort{}, os.NewSyscallError("getsockname", err)
	}
	return reservedPort{addr: fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port), close: release}, nil
}

// entry returns the list entry of an endpoint. Its number selects its listener and its zone.
func (e *endpoints) entry(number int, lifecycle string, startedAt time.Time) fakes.Entry {
	return fakes.Entry{
		ID:        fmt.Sprintf("s-%05d", number),
		Addr:      e.addrs[number%len(e.addrs)],
		Zone:      string(rune('a' + number/len(e.addrs)%3)),
		Lifecycle: lifecycle,
		StartedAt: startedAt,
	}
}

// entries returns the list entries of the endpoints from first to first+count-1.
func (e *endpoints) entries(first, count int, lifecycle string, startedAt time.Time) []fakes.Entry {
	entries := make([]fakes.Entry, 0, count)
	for i := first; i < first+count; i++ {
		entries = append(entries, e.entry(i, lifecycle, startedAt))
	}
	return entries
}

func (e *endpoints) accept(listener net.Listener, behavior endpointBehavior) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.accepted.Add(1)
		go e.serve(conn, behavior)
	}
}

// serve reads one request from a connection, answers according to the behavior, and echoes lines once the client is connected.
func (e *endpoints) serve(conn net.Conn, behavior endpointBehavior) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	for err == nil && line == "STATS\r\n" && behavior != behaviorHang {
		_, _ = conn.Write([]byte("PONG outstanding=3,x0=0.2\r\n"))
		line, err = reader.ReadString('\n')
	}
	fields := strings.Fields(line)
	if err != nil || len(fields) < 2 {
		return
	}
	id := fields[1]
	e.mu.Lock()
	e.attempts = append(e.attempts, attemptRecord{id, time.Now()})
	e.mu.Unlock()
	answer := "UP r\r\n"
	switch behavior {
	case behaviorSlow:
		time.Sleep(slowAnswerDelay)
	case behaviorHang:
		_, _ = reader.ReadString('\n')
		return
	case behaviorReset:
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	case behaviorBusy:
		answer = "BUSY\r\n"
	case behaviorError:
		answer = "ERR\r\n"
	}
	_, _ = conn.Write([]byte(answer))
	if answer != "UP r\r\n" {
		return
	}
	for {
		message, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(message))
	}
}

// attemptsByRequest returns the arrival times of the attempts for each request ID.
func (e *endpoints) attemptsByRequest() map[string][]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	byRequest := map[string][]time.Time{}
	for _, attempt := range e.attempts {
		byRequest[attempt.requestID] = append(byRequest[attempt.requestID], attempt.at)
	}
	return byRequest
}
