package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// waitForCompleted waits until the process has completed n requests of the class feed.
func (p *proxyProcess) waitForCompleted(n int) {
	p.t.Helper()
	p.waitForMetrics(map[string]string{"svc.downstream_requests.feed.completed": fmt.Sprint(n)})
}

// tempDir returns the process's $TMPDIR.
func (p *proxyProcess) tempDir() string {
	dir := ""
	for _, variable := range p.command.Env {
		if value, ok := strings.CutPrefix(variable, "TMPDIR="); ok {
			dir = value
		}
	}
	return dir
}

// serveHandover acts as a predecessor whose handover is the given text.
func serveHandover(predecessor *net.UnixListener, text string) {
	c, err := predecessor.AcceptUnix()
	if err != nil {
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return
	}
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		return
	}
	_, _, _ = c.WriteMsgUnix([]byte(text), syscall.UnixRights(int(f.Fd())), nil) // a failed write fails the test's checks
	f.Close()
	l.Close()
}

// TestHotRestartWithPools checks that a hot restart hands over all pools and listeners: connections continue and still count
// as open connections of their pools and routes, and connections in the queue of an extra listener are not lost.
func TestHotRestartWithPools(t *testing.T) {
	t.Parallel()
	text := strings.Replace(twoPools(`"attempts":3`), `"pools":[`, `"listeners":{"lan":"127.0.0.1:0"},"pools":[`, 1)
	text = strings.Replace(text, `"match":{"key":{"prefix":["b"]}}`, `"match":{"listener":["lan"]}`, 1)
	text = strings.Replace(text, `"name":"toA"`, `"name":"toA","max_open":2`, 1)
	proxy, conns, _ := startWithZones(t, []string{"a", "b"}, withRouting(text))
	lan := proxy.listenerAddr("lan")
	client, upstream := proxy.connect(conns["a"], "alpha")
	lanProxy := *proxy
	lanProxy.addr = lan
	other, _ := lanProxy.connect(conns["b"], "gamma")
	successor := proxy.startSuccessor()
	proxy.waitForLog(logSuccessorServes)
	testkit.Equal(t, "address of the extra listener", lan, successor.listenerAddr("lan"))
	proxy.command.Process.Signal(syscall.SIGTERM)
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Fatal(err)
	}
	successor.waitForCounter("taken_over=2")
	client.Send("on\r\n")
	testkit.Equal(t, "relayed by the successor", "on", upstream.ReadLine())
	lanProxy.connect(conns["b"], "gamma")
	successor.connect(conns["a"], "alpha")
	rejected := successor.dial() // transferred connections count towards the route's limit
	rejected.Send(openLine("alpha"))
	if got := rejected.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("answer above the route's limit after the hot restart: %q", got)
	}
	other.Close()
	successor.waitForCounter("open=3")
}

// TestNoHotRestartAfterListenersClose checks that a process that has closed its listeners but still relays connections
// accepts no successor. The next process starts without a handover, which could contain descriptors that were reused.
func TestNoHotRestartAfterListenersClose(t *testing.T) {
	proxy, client, upstream, _ := startPassThrough(t)
	proxy.setMaxTimeout(0.3)
	proxy.beginStop()
	for end := time.Now().Add(fakes.WaitTimeout); ; time.Sleep(5 * time.Millisecond) {
		probe, err := net.Dial("tcp", proxy.addr)
		if err != nil {
			break
		}
		if probe.Close(); time.Now().After(end) {
			t.Fatal("the first process still listens")
		}
	}
	next := proxy.startSuccessor()
	next.connect(proxy.endpointConns, "a")
	if log := next.stderr.String(); strings.Contains(log, "hot restart") {
		t.Errorf("the second process logged %q", log)
	}
	client.Send("M 1\r\n")
	testkit.Equal(t, "the first process relays", "M 1", upstream.ReadLine())
	if log := proxy.stderr.String(); strings.Contains(log, "hot restart") || strings.Contains(log, "successor") {
		t.Errorf("the first process logged %q", log)
	}
}

// TestHotRestart checks that a second process takes over from the first, and a third from the second, without rejecting a
// client, and that the old process continues to serve if its successor dies.
func TestHotRestart(t *testing.T) {
	proxy, conns := startWithEndpoints(t, 3, withAdminListener)
	client, upstream := proxy.connect(conns, "a")
	killed := proxy.startSuccessor()
	proxy.waitForLog(logSuccessorServes)
	killed.command.Process.Kill()
	_ = fakes.Await(t, killed.exited) // it was killed
	proxy.waitForLog(logSuccessorExited)
	proxy.connect(conns, "b")
	proxy.waitForCompleted(2)

	pending := proxy.dial()
	pending.Send(openLine("e"))
	pendingUpstream := fakes.Await(t, conns)
	pendingUpstream.ReadLine()
	second := proxy.startSuccessor()
	testkit.Equal(t, "address", proxy.addr, second.addr)
	proxy.waitForHotRestartLog(logSuccessorConnected, logSuccessorServes, logSuccessorExited, logSuccessorConnected, logSuccessorServes)
	duplicate := second.dial() // its id is that of a request in progress at the first process
	duplicate.Send(strings.Replace(openLine("x"), fakes.PreviousID(0)+" ", fakes.PreviousID(1)+" ", 1))
	testkit.Equal(t, "same id", "ERR SYNTAX", duplicate.ReadLine())
	lateClient, _ := second.connect(conns, "c")
	second.waitForCompleted(1)
	proxy.waitForCompleted(2)
	client.Send("M 1\r\n")
	testkit.Equal(t, "the old process relays", "M 1", upstream.ReadLine())
	// Established connections are transferred even in the middle of a line; those established later are transferred too.
	upstream.Send("whole\r\nha")
	testkit.Equal(t, "complete line", "whole", client.ReadLine())
	proxy.command.Process.Signal(syscall.SIGTERM)
	pendingUpstream.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", pending.ReadLine())
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
	upstream.Send("lf\r\n")
	testkit.Equal(t, "line whose halves pass through different processes", "half", client.ReadLine())
	client.Send("M 2\r\n")
	testkit.Equal(t, "the new process relays", "M 2", upstream.ReadLine())
	second.waitForMetrics(map[string]string{"svc.pending": "4"})

	third := second.startSuccessor()
	second.waitForLog(logSuccessorServes)
	second.stop()
	third.connect(conns, "d")
	third.waitForCompleted(1)
	third.waitForMetrics(map[string]string{"svc.pending": "5"})
	third.command.Process.Signal(syscall.SIGTERM)
	for _, p := range []*fakes.Peer{client, lateClient, pending} {
		testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, []string{p.ReadLine(), p.ReadLine()})
	}
	if err := fakes.Await(t, third.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
	left, err := filepath.Glob(filepath.Join(third.tempDir(), "*"))
	if err != nil || len(left) > 0 {
		t.Errorf("files left in $TMPDIR: %v, %v", left, err)
	}
}

// TestStartWithoutHandover checks that without a usable handover socket a second process still starts and runs beside the
// first one.
func TestStartWithoutHandover(t *testing.T) {
	long := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	if err := os.Mkdir(long, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		dir       string
		handsOver bool
	}{
		"long path": {long, true}, "no path": {"", false}, "missing directory": {filepath.Join(long, "x"), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoint(t, withAdminListener, func(proxy *proxyProcess) { proxy.env = []string{"TMPDIR=" + c.dir} })
			proxy.connect(conns, "a")
			second := proxy.startSuccessor("EDGE_LISTEN=" + proxy.addr) // without a handover, port 0 would select another port
			if c.handsOver {
				second.stop()
				second = proxy.startSuccessor()
			}
			testkit.Equal(t, "handed over", c.handsOver, strings.Contains(proxy.stderr.String(), logSuccessorConnected))
			proxy.stop()
			second.connect(conns, "b")
			second.waitForCompleted(1)
		})
	}
}

// TestUnreadableHandover checks that a process starts with its own endpoint list if its predecessor's socket is stale, or
// the handover is unreadable or incomplete.
func TestUnreadableHandover(t *testing.T) {
	for name, text := range map[string]string{
		"stale": "", "nonsense": "{\n", "no state": "{}\n", "silence": "{\"Module\"",
		"absurd": `{"List":{"generation":1,"reset":true,"instances":[]},"Module":{"Gate":1,"Table":{"Counts":[2],"Owner":[0,7],"Unit":1}}}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conns := make(chan *fakes.Peer, 64)
			endpoint := fakes.NewScriptedEndpoint(t, "s-1", conns)
			proxy := startProxy(t, fakes.List(1, true, listEntry(endpoint.ID, endpoint.Addr, "in_service")), withAdminListener)
			sockets, _ := filepath.Glob(filepath.Join(proxy.tempDir(), "*.sock"))
			if len(sockets) != 1 {
				t.Fatalf("sockets %v", sockets)
			}
			proxy.command.Process.Kill()
			_ = fakes.Await(t, proxy.exited) // it was killed
			if text != "" {
				if err := os.Remove(sockets[0]); err != nil {
					t.Fatal(err)
				}
				old, err := net.ListenUnix("unix", &net.UnixAddr{Name: sockets[0]})
				if err != nil {
					t.Fatal(err)
				}
				old.SetUnlinkOnClose(false)
				defer old.Close()
				go serveHandover(old, text)
			}
			began := time.Now()
			second := proxy.startSuccessor()
			if took := time.Since(began); took > 30*time.Second { // 2 s on an idle machine
				t.Errorf("the process started after %v", took)
			}
			testkit.Equal(t, "reason logged", name != "stale" && name != "silence",
				strings.Contains(second.stderr.String(), "handover rejected") || strings.Contains(second.stderr.String(), "handover unreadable"))
			second.connect(conns, "a")
			second.waitForCompleted(1)
		})
	}
}

// TestSuccessorHeartbeat checks that a process counts its successor's descriptors as its own, and that it serves clients
// again when the successor dies or stops sending its heartbeat.
func TestSuccessorHeartbeat(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	fakes.Await(t, proxy.discovery.Watches)
	sockets, _ := filepath.Glob(filepath.Join(proxy.tempDir(), "*.sock"))
	if len(sockets) != 1 {
		t.Fatalf("sockets %v", sockets)
	}
	connectAsSuccessor := func() *net.UnixConn {
		conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: sockets[0]})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		buf := make([]byte, 1<<20)
		for n := 0; n == 0 || buf[n-1] != '\n'; { // the whole handover
			m, err := conn.Read(buf[n:])
			if n += m; err != nil {
				t.Fatal(err)
			}
		}
		return conn
	}
	successor := connectAsSuccessor()
	fmt.Fprintln(successor, `{"open":980}`) // of 1024 descriptors, 14 of which are not connections
	for end := time.Now().Add(fakes.WaitTimeout); ; {
		conn := proxy.dial()
		answer := requestAnswer(conn, conns)
		if strings.HasPrefix(answer, "BUSY ") {
			break
		}
		if conn.Close(); answer != "UP r" || time.Now().After(end) { // served until the heartbeat arrives
			t.Fatalf("answer %q", answer)
		}
	}
	successor.Close()
	proxy.waitForLog(logSuccessorExited)
	proxy.connect(conns, "a")
	fmt.Fprintln(connectAsSuccessor(), `{"serving":true}`)
	proxy.waitForLog(logSuccessorServes)
	proxy.connect(conns, "b") // accepted from the listener's queue once the successor has sent no heartbeat for a second
}
