package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// setMaxTimeout reloads the settings with this timeout of requests, in seconds. The process is then expected to be killed
// 0.7 s after the timeout, counted from the stop signal.
func (p *proxyProcess) setMaxTimeout(seconds float64) {
	p.t.Helper()
	p.reload(`"Aim":30,"GiveUp":60`, fmt.Sprintf(`"Aim":%g,"GiveUp":%g`, seconds/2, seconds))
	p.waitForCounter("reloads=1")
}

// beginStop sends SIGTERM, waits until the shutdown has started, and returns when the signal was sent.
func (p *proxyProcess) beginStop() time.Time {
	p.t.Helper()
	stopAt := p.sendStop()
	p.waitForLog("shutdown started")
	return stopAt
}

// sendStop sends SIGTERM and returns the time.
func (p *proxyProcess) sendStop() time.Time {
	p.t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
	return time.Now()
}

// expectExit checks that the process exits with code 0 before the kill, which is due the given time after stopAt. It
// tolerates 1.8 s more, for a busy machine.
func (p *proxyProcess) expectExit(stopAt time.Time, kill time.Duration) {
	p.t.Helper()
	err := fakes.Await(p.t, p.exited)
	if took := time.Since(stopAt); err != nil || took > kill+1800*time.Millisecond {
		p.t.Errorf("exited after %v, with the kill due after %v: %v", took, kill, err)
	}
}

// openPending sends a request, reads it at the endpoint and leaves it unanswered.
func (p *proxyProcess) openPending(conns chan *fakes.Peer, key string) (client, upstream *fakes.Peer) {
	p.t.Helper()
	client = p.dial()
	client.Send(openLine(key))
	upstream = fakes.Await(p.t, conns)
	upstream.ReadLine()
	return client, upstream
}

// stop sends SIGTERM and waits until the process exits with code 0.
func (p *proxyProcess) stop() {
	p.t.Helper()
	p.command.Process.Signal(syscall.SIGTERM)
	if err := fakes.Await(p.t, p.exited); err != nil {
		p.t.Errorf("exit: %v", err)
	}
}

// TestStopWaitsForPartialRequest checks that a stop waits for a client whose first line is incomplete even if nothing else
// is left, because the client must get an answer.
func TestStopWaitsForPartialRequest(t *testing.T) {
	proxy, _ := startWithEndpoint(t, withAdminListener)
	client := proxy.dial()
	client.Send("OPEN slow k c=feed,")
	testkit.Equal(t, "readiness of a later client", "PONG", proxy.ping())
	proxy.command.Process.Signal(syscall.SIGTERM)
	testkit.Equal(t, "answer at the client's idle timeout", []string{"ERR SYNTAX", "EOF"}, []string{client.ReadLine(), client.ReadLine()})
	client.Close()
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestStop checks that a stop moves all clients, including those that connect during the stop, and that the process then
// exits.
func TestStop(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client, _ := proxy.connect(conns, "a")
	proxy.command.Process.Signal(syscall.SIGTERM)
	lateClient, _ := proxy.connect(conns, "b") // the proxy accepts connections during the first part of a stop
	for _, p := range []*fakes.Peer{client, lateClient} {
		testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, []string{p.ReadLine(), p.ReadLine()})
		p.Close()
	}
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
	proxy.waitForLog("moves_stop=2")
}

// TestStopUnderLoad checks a stop with many connections just after a reload: every client, including those that connect
// during the stop, is moved between two lines and loses none of them.
func TestStopUnderLoad(t *testing.T) {
	proxy, conns := startWithEndpoints(t, 3)
	next := fakes.NewScriptedDiscovery(t)
	type connection struct{ client, upstream *fakes.Peer }
	var connections []connection
	add := func(n int) {
		for range n {
			client, upstream := proxy.connect(conns, fmt.Sprint("k", len(connections)))
			connections = append(connections, connection{client, upstream})
		}
	}
	add(150)
	fakes.Await(t, proxy.discovery.Watches)
	proxy.reload(proxy.discovery.Addr, next.Addr)
	fakes.Await(t, next.Watches)
	for i, c := range connections {
		c.upstream.Send(fmt.Sprintf("last %d\r\nhalf", i))
	}
	proxy.command.Process.Signal(syscall.SIGTERM)
	early := len(connections)
	add(5)
	for i, c := range connections {
		if i < early {
			testkit.Equal(t, "last line before the move", fmt.Sprint("last ", i), c.client.ReadLine())
		}
		testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, []string{c.client.ReadLine(), c.client.ReadLine()})
		c.client.Close()
	}
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
	proxy.waitForLog("moves_stop=155")
}

// TestStopWhileEndpointsHang checks that requests at endpoints that hang get exactly one final answer before the kill, which
// is due earlier with shorter timeouts. The answer depends on whether the request may have run.
func TestStopWhileEndpointsHang(t *testing.T) {
	for _, seconds := range []float64{0.3, 1} {
		t.Run(fmt.Sprint(seconds), func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoints(t, 3)
			proxy.setMaxTimeout(seconds)
			var clients []*fakes.Peer
			for i := range 6 {
				c, _ := proxy.openPending(conns, fmt.Sprint(i))
				clients = append(clients, c)
			}
			early := len(clients)
			stopAt := proxy.beginStop()
			for range 2 {
				c, _ := proxy.openPending(conns, "late")
				clients = append(clients, c)
			}
			for i, c := range clients {
				// The deadline of the late requests is within the stop, so that the balancer may reject them: their class is safe
				// to repeat.
				if got := readToEnd(c); got[0] != "ERR" && (i < early || !strings.HasPrefix(got[0], "BUSY ")) || !slices.Equal(got[1:], []string{"EOF"}) {
					t.Errorf("answer %d: %q", i, got)
				}
			}
			proxy.expectExit(stopAt, time.Duration(seconds*1e9)+700*time.Millisecond)
		})
	}
}

// TestStopWhileDialing checks that a stop while an attempt is dialing answers BUSY: nothing has been sent, so a repeat is
// harmless.
func TestStopWhileDialing(t *testing.T) {
	proxy, _, _ := startWithDelayedEndpoint(t)
	proxy.setMaxTimeout(1)
	client := proxy.dial()
	client.Send(openLine("key"))
	testkit.Equal(t, "readiness of a later client", "PONG", proxy.ping())
	stopAt := proxy.beginStop()
	testkit.Equal(t, "answer", []string{"BUSY", "EOF"}, readToEnd(client))
	proxy.expectExit(stopAt, 1700*time.Millisecond)
}

// TestStopWhileResuming checks that the retries of a resumed connection that its endpoint does not accept end before the
// kill, although they would otherwise continue for long.
func TestStopWhileResuming(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	proxy.setMaxTimeout(1)
	client := proxy.dial()
	client.Send("OPEN id key c=feed,d=60000,at=s-1\r\n")
	go func() {
		for upstream := range conns {
			upstream.Close()
		}
	}()
	proxy.waitForCounter("standing=1")
	stopAt := proxy.beginStop()
	if got := readToEnd(client); len(got) != 2 || got[0] != "ERR" && got[0] != "BUSY" || got[1] != "EOF" {
		t.Errorf("answer %q", got)
	}
	proxy.expectExit(stopAt, 1700*time.Millisecond)
}

// TestStopBoundsNewRequests checks that a request that arrives during a stop is sent with a deadline within the time left of
// the stop.
func TestStopBoundsNewRequests(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	proxy.setMaxTimeout(1)
	stopAt := proxy.beginStop()
	client := proxy.dial()
	client.Send(openLine("key"))
	upstream := fakes.Await(t, conns)
	first := upstream.ReadLine()
	if !regexp.MustCompile(`,d=(\d{1,3}|1[0-3]\d\d|1400)$`).MatchString(first) {
		t.Errorf("first line %q: the deadline exceeds the time left of 1.4 s", first)
	}
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "served, and moved", []string{"UP r", "MOVE", "EOF"}, readToEnd(client))
	proxy.expectExit(stopAt, 1700*time.Millisecond)
}

// TestStopInOneIterationWithRequests checks that requests are served if they or their answers arrive in the same iteration
// of the event loop as the stop signal.
func TestStopInOneIterationWithRequests(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	idle := proxy.dial()
	idle.Send("PING\r\n")
	testkit.Equal(t, "readiness", "PONG", idle.ReadLine())
	partial := proxy.dial()
	partial.Send("OPEN half key c=feed,d=60")
	pending, upstream := proxy.openPending(conns, "key")
	var fresh *fakes.Peer
	var stopAt time.Time
	proxy.whileSuspended(func() {
		upstream.Send("UP r\r\n")
		idle.Send(openLine("a"))
		fresh = proxy.dial()
		fresh.Send(openLine("b"))
		stopAt = proxy.sendStop()
		proxy.sendStop() // a second signal changes nothing
		partial.Send("000\r\n")
	})
	for range 3 {
		upstream := fakes.Await(t, conns)
		upstream.ReadLine()
		upstream.Send("UP r\r\n")
	}
	for _, c := range []*fakes.Peer{pending, idle, fresh, partial} {
		testkit.Equal(t, "served, and moved", []string{"UP r", "MOVE", "EOF"}, readToEnd(c))
	}
	proxy.expectExit(stopAt, 3700*time.Millisecond)
}

// TestStopDuringPartialRequest checks that a stop answers a client whose first line is incomplete when final answers are
// due, and that the rest of the line is no longer read.
func TestStopDuringPartialRequest(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	proxy.setMaxTimeout(1)
	client := proxy.dial()
	client.Send("OPEN slow key c=feed,d=60")
	testkit.Equal(t, "readiness of a later client", "PONG", proxy.ping())
	stopAt := proxy.beginStop()
	testkit.Equal(t, "answer", "BUSY", client.ReadLine())
	_, _ = io.WriteString(client, "000\r\n") // sent after the answer, so the proxy does not read it
	testkit.Equal(t, "end", []string{"EOF"}, readToEnd(client))
	proxy.expectExit(stopAt, 1700*time.Millisecond)
	testkit.Equal(t, "requests sent", 0, len(conns))
}

// TestStopWithIdleClients checks that idle clients do not delay a stop and are answered, so that a request sent at that
// moment has its answer.
func TestStopWithIdleClients(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	var clients []*fakes.Peer
	for i := range 60 {
		client := proxy.dial()
		if clients = append(clients, client); i%2 == 0 {
			client.Send("PING\r\n")
			testkit.Equal(t, "readiness", "PONG", client.ReadLine())
		}
	}
	proxy.beginStop()
	for i, client := range clients {
		testkit.Equal(t, "answer", "BUSY", client.ReadLine())
		if i%3 == 0 {
			_, _ = io.WriteString(client, openLine("key")) // the proxy may have closed it
		}
		testkit.Equal(t, "end", []string{"EOF"}, readToEnd(client))
	}
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
	testkit.Equal(t, "requests sent", 0, len(conns))
}

// TestRequestsDuringStop checks that a request at any time of a stop, on an idle connection or from the listener's queue, is
// served or rejected, never dropped, and never sent after its rejection.
func TestRequestsDuringStop(t *testing.T) {
	for _, delay := range []time.Duration{0, 400, 600, 690, 740, 900} {
		t.Run((delay * time.Millisecond).String(), func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoint(t)
			go func() {
				for upstream := range conns {
					go func() {
						_, _ = upstream.ReadLineErr() // the proxy may close the connection at any time
						_, _ = io.WriteString(upstream, "UP r\r\n")
					}()
				}
			}()
			idle := proxy.dial()
			idle.Send("PING\r\n")
			testkit.Equal(t, "readiness", "PONG", idle.ReadLine())
			partial := proxy.dial() // keeps the process from exiting early
			partial.Send("OPEN hold key c=fe")
			proxy.beginStop()
			time.Sleep(delay * time.Millisecond) // the answers are the same at any time of the stop
			var queued *fakes.Peer
			proxy.whileSuspended(func() {
				queued = proxy.dial()
				queued.Send(openLine("a"))
				_, _ = io.WriteString(idle, openLine("b")) // the proxy may have closed it
				partial.CloseWrite()
				time.Sleep(700 * time.Millisecond) // until the next step of the stop is due as well
			})
			for name, c := range map[string]*fakes.Peer{"idle": idle, "queued": queued} {
				got := readToEnd(c)
				if !slices.Equal(got, []string{"BUSY", "EOF"}) && !slices.Equal(got, []string{"UP r", "MOVE", "EOF"}) {
					t.Errorf("the %s client got %q", name, got)
				}
			}
			testkit.Equal(t, "partial line", []string{"ERR SYNTAX", "EOF"}, readToEnd(partial))
			if err := fakes.Await(t, proxy.exited); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// TestStopAfterLongSuspension checks that clients in the listener's queue are still rejected if the process was suspended
// past all deadlines of the stop.
func TestStopAfterLongSuspension(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	proxy.setMaxTimeout(0.3)
	pending, _ := proxy.openPending(conns, "key")
	idle := proxy.dial()
	idle.Send("PING\r\n")
	testkit.Equal(t, "readiness", "PONG", idle.ReadLine())
	var queued *fakes.Peer
	proxy.beginStop()
	proxy.whileSuspended(func() {
		idle.Send(openLine("b")) // read before the due step of the stop, but too late to be sent
		queued = proxy.dial()
		queued.Send(openLine("a"))
		time.Sleep(1500 * time.Millisecond) // past every deadline
	})
	testkit.Equal(t, "pending", []string{"ERR", "EOF"}, readToEnd(pending))
	testkit.Equal(t, "queued", []string{"BUSY", "EOF"}, readToEnd(queued))
	testkit.Equal(t, "idle", []string{"BUSY", "EOF"}, readToEnd(idle))
	testkit.Equal(t, "requests sent", 0, len(conns))
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestStopBeforeFirstList checks a stop before the first endpoint list.
func TestStopBeforeFirstList(t *testing.T) {
	proxy := startProxy(t, fakes.List(0, true))
	proxy.setMaxTimeout(1)
	stopAt := proxy.beginStop()
	client := proxy.dial()
	client.Send(openLine("key"))
	if l := client.ReadLine(); !strings.HasPrefix(l, "BUSY") {
		t.Errorf("answer %q", l)
	}
	client.Close()
	proxy.expectExit(stopAt, 1700*time.Millisecond)
}

// TestStopDuringReload checks a stop that is followed immediately by a reload: the kill may be due by the settings before or
// after the reload, and the process exits before the earlier one.
func TestStopDuringReload(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	proxy.setMaxTimeout(1)
	pending, _ := proxy.openPending(conns, "key")
	stopAt := proxy.sendStop()
	proxy.reload(`"GiveUp":1`, `"GiveUp":60`)
	proxy.waitForCounter("reloads=2")
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, readToEnd(pending))
	proxy.expectExit(stopAt, 1700*time.Millisecond)
}

// TestStopAndReloadPending checks a stop and a later reload that are signaled while the process is suspended. Both signals
// are pending when the process resumes, and the kernel delivers the reload's first. The stop must still use the settings
// before the reload.
func TestStopAndReloadPending(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	proxy.setMaxTimeout(1)
	pending, _ := proxy.openPending(conns, "key")
	var stopAt time.Time
	proxy.whileSuspended(func() {
		stopAt = proxy.sendStop()
		proxy.reload(`"GiveUp":1`, `"GiveUp":60`)
	})
	proxy.waitForCounter("reloads=2")
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, readToEnd(pending))
	proxy.expectExit(stopAt, 1700*time.Millisecond)
	testkit.Equal(t, "schedule", true, strings.Contains(proxy.stderr.String(), logLine("shutdown started", `"answers_within": "1.4s"`)))
}

// TestStopWhileDrained checks that a rejoin does not undo a stop during a drain: readiness checks still fail.
func TestStopWhileDrained(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	client, _ := proxy.connect(conns, "a")
	pending, _ := proxy.openPending(conns, "b")
	if status, _ := proxy.adminCall("PUT", "/api/evacuate"); status != 200 {
		t.Errorf("status %d", status)
	}
	stopAt := proxy.beginStop()
	testkit.Equal(t, "drained", "ERR DRAINED", proxy.ping())
	if status, _ := proxy.adminCall("PUT", "/api/rejoin"); status != 200 {
		t.Errorf("status %d", status)
	}
	testkit.Equal(t, "still drained after the rejoin", "ERR DRAINED", proxy.ping())
	testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, readToEnd(client))
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, readToEnd(pending))
	proxy.expectExit(stopAt, 3700*time.Millisecond)
}

// TestStopDuringHotRestart checks a stop after a successor has connected but before it serves, and that the process does not
// remove a socket with which another process has replaced its own.
func TestStopDuringHotRestart(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	fakes.Await(t, proxy.discovery.Watches)
	client, _ := proxy.connect(conns, "a")
	sockets, _ := filepath.Glob(filepath.Join(proxy.tempDir(), "*.sock"))
	if len(sockets) != 1 {
		t.Fatalf("sockets %v", sockets)
	}
	successor, err := net.Dial("unix", sockets[0])
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	proxy.waitForLog(logSuccessorConnected)
	if err := os.Remove(sockets[0]); err != nil {
		t.Fatal(err)
	}
	successorListener, err := net.Listen("unix", sockets[0])
	if err != nil {
		t.Fatal(err)
	}
	defer successorListener.Close()
	stopAt := proxy.beginStop()
	lateClient, _ := proxy.connect(conns, "b")
	for _, p := range []*fakes.Peer{client, lateClient} {
		testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, readToEnd(p))
	}
	proxy.expectExit(stopAt, 3700*time.Millisecond)
	if _, err := os.Stat(sockets[0]); err != nil {
		t.Errorf("the successor's socket: %v", err)
	}
}

// TestStopWhileSuccessorDies checks that the old process serves and moves new clients if the successor dies during a stop.
func TestStopWhileSuccessorDies(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	pending, upstream := proxy.openPending(conns, "a")
	successor := proxy.startSuccessor()
	proxy.waitForLog(logSuccessorServes)
	stopAt := proxy.beginStop()
	successor.command.Process.Kill()
	_ = fakes.Await(t, successor.exited) // it was killed
	proxy.waitForLog(logSuccessorExited)
	lateClient, _ := proxy.connect(conns, "b")
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", pending.ReadLine())
	for _, p := range []*fakes.Peer{pending, lateClient} {
		testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, readToEnd(p))
	}
	proxy.expectExit(stopAt, 3700*time.Millisecond)
}

// TestStopWithSuccessorWhileEndpointsHang checks that during a stop with a serving successor, requests at endpoints that
// hang are answered in time and established connections continue at the successor.
func TestStopWithSuccessorWhileEndpointsHang(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	proxy.setMaxTimeout(1)
	pending, _ := proxy.openPending(conns, "a")
	client, upstream := proxy.connect(conns, "b")
	successor := proxy.startSuccessor()
	proxy.waitForLog(logSuccessorServes)
	stopAt := proxy.beginStop()
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, readToEnd(pending))
	proxy.expectExit(stopAt, 1700*time.Millisecond)
	client.Send("M 1\r\n")
	testkit.Equal(t, "continues", "M 1", upstream.ReadLine())
	successor.connect(conns, "c")
}

// TestLogReaderCloses checks that the proxy continues to serve when the reader of its standard error closes.
func TestLogReaderCloses(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	r, stderr, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	next := *proxy
	next.exited = make(chan error, 1)
	next.command = exec.Command(proxy.command.Path)
	next.command.Env = proxy.command.Env
	next.command.Stderr = stderr
	if err := next.command.Start(); err != nil {
		t.Fatal(err)
	}
	stderr.Close()
	go func() { next.exited <- next.command.Wait() }()
	t.Cleanup(func() { next.command.Process.Kill() })
	output := make([]byte, 4096)
	n := 0
	for !strings.Contains(string(output[:n]), " serves at ") {
		m, err := r.Read(output[n:])
		if n += m; err != nil {
			t.Fatal(err)
		}
	}
	r.Close()
	_, rest, _ := strings.Cut(string(output[:n]), " serves at ")
	next.addr, _, _ = strings.Cut(rest, "\n")
	proxy.command.Process.Kill()
	_ = fakes.Await(t, proxy.exited)             // it was killed
	next.command.Process.Signal(syscall.SIGUSR1) // makes the process write to standard error
	next.connect(conns, "a")
	next.command.Process.Signal(syscall.SIGUSR1)
	next.stop()
}

// TestAcceptedAfterClientLeft checks that if attempts may not be canceled, the proxy closes an attempt that is accepted
// after its client has disconnected or got its final answer in a stop, and continues to serve or exits normally.
func TestAcceptedAfterClientLeft(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	proxy.reload(`"MayCancel":true`, `"MayCancel":false`)
	proxy.waitForCounter("reloads=1")
	leaving, upstream := proxy.openPending(conns, "a")
	leaving.Close()
	proxy.waitForCounter("client_gone=1")
	upstream.Send("UP r\r\n")
	testkit.Equal(t, "the endpoint's side", "EOF", upstream.ReadLine())
	proxy.waitForMetrics(map[string]string{"svc.pending": "0"})
	leaving, upstream = proxy.openPending(conns, "a")
	leaving.Close()
	proxy.waitForCounter("client_gone=2")
	upstream.Send("BYE\r\n")
	testkit.Equal(t, "the endpoint's side", "EOF", upstream.ReadLine())
	proxy.waitForMetrics(map[string]string{"svc.pending": "0", "svc.downstream_requests.feed.completed": "0"})
	client, upstreamB := proxy.connect(conns, "b")
	client.Send("M 1\r\n")
	testkit.Equal(t, "relayed", "M 1", upstreamB.ReadLine())
	client.Close()

	proxy.reload(`"Aim":30,"GiveUp":60`, `"Aim":0.5,"GiveUp":1`)
	proxy.waitForCounter("reloads=2")
	pending, lateUpstream := proxy.openPending(conns, "c")
	stopAt := proxy.beginStop()
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, readToEnd(pending))
	_, _ = io.WriteString(lateUpstream, "UP r\r\n") // the proxy may have closed it
	proxy.expectExit(stopAt, 1700*time.Millisecond)
}
