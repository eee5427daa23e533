package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
)

const (
	largeListEndpoints = 3200 // endpoints in the largest list in operation
	releaseParts       = 12   // parts in which a release replaces the endpoints
)

// answeringEndpoint accepts every connection, answers its request immediately and records the request's time of arrival.
type answeringEndpoint struct {
	addr string

	mu       sync.Mutex
	attempts map[string]time.Time // arrival of the request, by its id
}

// newAnsweringEndpoint starts an endpoint that runs until the end of the test.
func newAnsweringEndpoint(t *testing.T) *answeringEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &answeringEndpoint{addr: listener.Addr().String(), attempts: map[string]time.Time{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// serve answers load queries and the first request of a connection, and waits until the proxy closes the connection.
func (e *answeringEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	for err == nil && strings.HasPrefix(line, "STATS") {
		_, _ = conn.Write([]byte("PONG outstanding=1,x0=0.1\r\n"))
		line, err = reader.ReadString('\n')
	}
	if err != nil {
		return
	}
	e.mu.Lock()
	e.attempts[strings.Fields(line)[1]] = time.Now()
	e.mu.Unlock()
	_, _ = conn.Write([]byte("UP r\r\n"))
	_, _ = reader.ReadString('\n') // until the client disconnects
}

// attemptOf returns when a request arrived, and whether it did.
func (e *answeringEndpoint) attemptOf(id string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	arrival, attempted := e.attempts[id]
	return arrival, attempted
}

// attemptCount returns how many requests have arrived.
func (e *answeringEndpoint) attemptCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts)
}

// entries returns count entries of an endpoint list, numbered from first. They are in three zones and all have this
// endpoint's address.
func (e *answeringEndpoint) entries(first, count int, lifecycle string) []string {
	entries := make([]string, 0, count)
	for i := first; i < first+count; i++ {
		entries = append(entries, fakes.Entry{
			ID:        fmt.Sprintf("s-%05d", i),
			Addr:      e.addr,
			Zone:      string(rune('a' + i%3)),
			Lifecycle: lifecycle,
		}.String())
	}
	return entries
}

// requestTiming is a request with its answer and the time until the answer.
type requestTiming struct {
	id     string
	sentAt time.Time
	answer string
	wait   time.Duration
}

// sendPeriodically sends a request on a new connection every interval until stop is closed, and returns the timings of all
// requests.
func sendPeriodically(t *testing.T, addr string, interval, timeout time.Duration, stop <-chan struct{}) []requestTiming {
	var mu sync.Mutex
	var timings []requestTiming
	var clients sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			clients.Wait()
			return timings
		case <-ticker.C:
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			timing := sendRequest(t, addr, timeout)
			mu.Lock()
			timings = append(timings, timing)
			mu.Unlock()
		}()
	}
}

// sendRequest sends a request with a timeout and reads the answer, even a late one.
func sendRequest(t *testing.T, addr string, timeout time.Duration) requestTiming {
	id := fakes.NextID()
	timing := requestTiming{id: id, sentAt: time.Now(), answer: "none"}
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Errorf("request %s: %v", id, err)
		return timing
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(fakes.WaitTimeout))
	_, _ = fmt.Fprintf(conn, "OPEN %s key%s c=feed,d=%d\r\n", id, id, timeout.Milliseconds())
	if line, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
		timing.answer = strings.TrimSpace(line)
	}
	timing.wait = time.Since(timing.sentAt)
	return timing
}

// answerTolerance is how long after a request's deadline its answer may arrive; a later answer is lost.
const answerTolerance = 500 * time.Millisecond

// TestDeadlinesDuringLargeListUpdates checks that clients with short timeouts are answered in time while a list of 3,200
// endpoints is replaced in parts, and that no attempt starts after a request's deadline.
func TestDeadlinesDuringLargeListUpdates(t *testing.T) {
	const timeout = 100 * time.Millisecond
	endpoint := newAnsweringEndpoint(t)
	entries := endpoint.entries(0, largeListEndpoints, "in_service")
	proxy := startProxy(t, fakes.List(1, true, entries...))
	stop := make(chan struct{})
	results := make(chan []requestTiming)
	go func() { results <- sendPeriodically(t, proxy.addr, 20*time.Millisecond, timeout, stop) }()

	fakes.Await(t, proxy.discovery.Watches)
	const partSize = largeListEndpoints / releaseParts
	generation := 1
	send := func(entries []string) {
		generation++
		proxy.discovery.Lists <- fakes.List(generation, false, entries...)
		time.Sleep(350 * time.Millisecond)
	}
	for i := range 4 {
		send(endpoint.entries(i*partSize, partSize, "terminating"))
		send(endpoint.entries(i*partSize, partSize, "terminated"))
		send(endpoint.entries(largeListEndpoints+i*partSize, partSize, "in_service"))
	}
	time.Sleep(time.Second)
	close(stop)
	_ = proxy.command.Process.Signal(syscall.SIGUSR1)
	_, longTurns, _ := strings.Cut(proxy.waitForLog(" long_turns="), " long_turns=")
	longTurns, _, _ = strings.Cut(longTurns, "\n")
	t.Logf("long_turns=%s", longTurns)

	longest := time.Duration(0)
	for _, timing := range <-results {
		longest = max(longest, timing.wait)
		if timing.wait > timeout+answerTolerance {
			t.Errorf("request %s waited %v for %q", timing.id, timing.wait, timing.answer)
		}
		if at, attempted := endpoint.attemptOf(timing.id); attempted && at.Sub(timing.sentAt) > timeout+answerTolerance {
			t.Errorf("request %s reached the endpoint %v after it was sent", timing.id, at.Sub(timing.sentAt))
		}
	}
	t.Logf("longest wait for an answer: %v", longest)
}

// TestExpiredRequestsAfterSuspension checks that requests whose deadline passes while the process is suspended are rejected
// without an attempt, and that a request whose deadline has not passed is served.
func TestExpiredRequestsAfterSuspension(t *testing.T) {
	t.Parallel()
	endpoint := newAnsweringEndpoint(t)
	proxy := startProxy(t, fakes.List(1, true, endpoint.entries(0, 3, "in_service")...))
	accepted := proxy.dial() // sends its request on an accepted connection
	partial := proxy.dial()  // sends its request in two parts
	partial.Send("OPEN half key c=feed,")
	time.Sleep(50 * time.Millisecond)
	waiting := make(chan requestTiming, 1)
	proxy.whileSuspended(func() {
		accepted.Send("OPEN accepted key c=feed,d=300\r\n")
		partial.Send("d=300\r\n")
		time.Sleep(400 * time.Millisecond)
		go func() { waiting <- sendRequest(t, proxy.addr, 5*time.Second) }()
		time.Sleep(200 * time.Millisecond)
	})
	for name, client := range map[string]*fakes.Peer{"accepted": accepted, "half": partial} {
		if got := client.ReadLine(); !strings.HasPrefix(got, "BUSY") {
			t.Errorf("the expired request %q got %q, want BUSY", name, got)
		}
		if _, attempted := endpoint.attemptOf(name); attempted {
			t.Errorf("the expired request %q was attempted", name)
		}
	}
	if timing := <-waiting; timing.answer != "UP r" {
		t.Errorf("the request with time left got %q", timing.answer)
	}
}

// TestDisconnectedClientsAfterSuspension checks that no attempt is made for clients that disconnect while the process is
// suspended, whether their request is new or waits for a connection to its endpoint.
func TestDisconnectedClientsAfterSuspension(t *testing.T) {
	t.Parallel()
	endpoint := newAnsweringEndpoint(t)
	proxy := startProxy(t, fakes.List(1, true, endpoint.entries(0, 3, "in_service")...))
	proxy.whileSuspended(func() {
		for range 20 {
			client := proxy.dial()
			client.Send(openLine("key"))
			_ = client.Close()
		}
		time.Sleep(150 * time.Millisecond)
	})
	if timing := sendRequest(t, proxy.addr, 5*time.Second); timing.answer != "UP r" {
		t.Errorf("a client that stayed connected got %q", timing.answer)
	}
	if count := endpoint.attemptCount(); count != 1 {
		t.Errorf("%d attempts, want 1: %d were for disconnected clients", count, count-1)
	}
}

// TestLoadQueriesLeaveDescriptorsForRequests checks that clients are served while the proxy queries the load of several
// times as many endpoints as it may have descriptors.
func TestLoadQueriesLeaveDescriptorsForRequests(t *testing.T) {
	t.Parallel()
	const maxDescriptors = 400
	endpoint := newAnsweringEndpoint(t)
	entries := endpoint.entries(0, largeListEndpoints, "in_service")
	proxy := startProxy(t, fakes.List(1, true, entries...), withSettings(loadReportSettings), withMaxDescriptors(maxDescriptors))
	time.Sleep(time.Second) // several rounds of queries
	for range 20 {
		if timing := sendRequest(t, proxy.addr, time.Second); timing.answer != "UP r" {
			t.Errorf("a request got %q", timing.answer)
		}
	}
	t.Logf("%d descriptors are open", proxy.countDescriptors())
	if open := proxy.countDescriptors(); open > maxDescriptors/2 {
		t.Errorf("%d descriptors are open, with %d endpoints", open, largeListEndpoints)
	}
}
