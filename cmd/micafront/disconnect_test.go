package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// disableCancel reloads the settings with MayCancel false, so that no attempt may be canceled.
func (p *proxyProcess) disableCancel() {
	p.t.Helper()
	p.reload(`"MayCancel":true`, `"MayCancel":false`)
	p.waitForCounter("reloads=1")
}

// TestClientDisconnectsWithoutCancel checks what happens when a client disconnects and attempts may not be canceled: a
// request that has not been sent is never sent, and the proxy closes a connection that the endpoint accepts afterwards.
func TestClientDisconnectsWithoutCancel(t *testing.T) {
	t.Parallel()
	withoutCancel := withReplacement(`"MayCancel":true`, `"MayCancel":false`)
	t.Run("sent", func(t *testing.T) {
		t.Parallel()
		for answer, want := range map[string]string{"UP r\r\n": "outcome_cancelled=1", "BYE\r\n": "outcome_ok=1"} {
			proxy, conns := startWithEndpoint(t, withoutCancel, withAdminListener)
			client := proxy.dial()
			client.Send(openLine("key"))
			upstream := fakes.Await(t, conns)
			upstream.ReadLine()
			client.Close()
			proxy.waitForCounter("client_gone=1")
			upstream.Send(answer)
			expectNoRequest(t, upstream)
			proxy.waitForCounter(want)
			proxy.waitForMetrics(map[string]string{"svc.pending": "0", "svc.downstream_requests.feed.completed": "0"})
		}
	})
	t.Run("dialing", func(t *testing.T) {
		t.Parallel()
		proxy, delayed, unblock := startWithDelayedEndpoint(t, withoutCancel, withAdminListener)
		client := proxy.dial()
		client.Send(openLine("key"))
		waitForSocketState(t, delayed.Addr().String(), socketSynSent)
		client.Close()
		proxy.waitForCounter("client_gone=1")
		proxy.waitForCounter("outcome_cancelled=1") // the dial was aborted, so that no connection is established after unblock
		unblock()
		proxy.waitForMetrics(map[string]string{"svc.pending": "0"})
		proxy.waitForCounter("attempts=0")
	})
}

// TestResetUnderBackpressure checks that the proxy notices a reset by one peer even while it does not read from that peer
// because the other peer reads nothing.
func TestResetUnderBackpressure(t *testing.T) {
	for name, chunk := range map[string]string{"client": "y", "endpoint": "news\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoint(t)
			p, upstream := proxy.connect(conns, "key")
			if name != "client" {
				p = upstream
			}
			writeUntilBlocked(t, p, chunk)
			resetConn(p)
			proxy.waitForCounter("open=0")
			if text := proxy.stderr.String(); strings.Contains(text, " slow_peers=1 ") {
				t.Errorf("the connection was closed by the timeout of slow peers, not by the reset: %s", text)
			}
		})
	}
}

// TestEndpointNeverReads checks that the proxy moves the client of an endpoint that reads nothing for too long, because the
// client is not at fault.
func TestEndpointNeverReads(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client, upstream := proxy.connect(conns, "key")
	writeUntilBlocked(t, client, "y")
	upstream.Send("news\r\n")
	testkit.Equal(t, "client", []string{"news", "MOVE", "EOF"}, readToEnd(client))
	proxy.waitForCounter("slow_peers=1")
	proxy.waitForCounter("open=0")
}

// TestHalfCloseAfterEarlyBytes checks that a client that resumes a connection may send a bounded number of bytes before the
// connection is established, and counts as disconnected if it then half-closes.
func TestHalfCloseAfterEarlyBytes(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client := proxy.dial()
	client.Send("OPEN early key c=feed,d=20000,mid=1\r\n")
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	client.Send(strings.Repeat("x", 5000))
	testkit.Equal(t, "readiness of a later client", "PONG", proxy.ping())
	client.Send("more")
	client.CloseWrite()
	testkit.Equal(t, "attempt", "EOF", upstream.ReadLine())
	testkit.Equal(t, "answer", []string{"ERR", "EOF"}, readToEnd(client))
	proxy.waitForCounter("client_gone=1")
	proxy.waitForCounter("outcome_cancelled=1")
}

// TestClientDisconnectsWhileDialing checks that the proxy does not send the request of a client that disconnected while the
// endpoint was dialed, even if attempts may not be canceled.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for name, disconnect := range map[string]func(*fakes.Peer){
		"end": func(client *fakes.Peer) { client.CloseWrite() }, "close": func(client *fakes.Peer) { client.Close() }, "reset": resetConn,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, accept, conns := newDelayedEndpoint(t)
			proxy := startProxy(t, fakes.List(1, true, listEntry("s-1", addr, "in_service")), withAdminListener)
			proxy.disableCancel()
			client := proxy.dial()
			client.Send(openLine("key"))
			proxy.waitForMetrics(map[string]string{"svc.pending": "1"})
			disconnect(client)
			proxy.waitForCounter("client_gone=1")
			accept()
			proxy.waitForCounter("outcome_cancelled=1")
			proxy.waitForCounter("attempts=0")
			select {
			case upstream := <-conns:
				testkit.Equal(t, "at the endpoint", "EOF", upstream.ReadLine())
			default:
			}
		})
	}
}

// TestClientDisconnectedBeforeEstablished checks that the proxy sends no request if the client disconnects in the iteration
// of the event loop in which the connection to the endpoint is established.
func TestClientDisconnectedBeforeEstablished(t *testing.T) {
	for name, disconnect := range map[string]func(*fakes.Peer){
		"end": func(client *fakes.Peer) { client.CloseWrite() }, "close": func(client *fakes.Peer) { client.Close() }, "reset": resetConn,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, accept, conns := newDelayedEndpoint(t)
			proxy := startProxy(t, fakes.List(1, true, listEntry("s-1", addr, "in_service")), withAdminListener)
			client := proxy.dial()
			client.Send(openLine("key"))
			proxy.waitForMetrics(map[string]string{"svc.pending": "1"})
			var upstream *fakes.Peer
			proxy.whileSuspended(func() {
				accept()
				upstream = fakes.Await(t, conns)
				disconnect(client)
			})
			testkit.Equal(t, "at the endpoint", "EOF", upstream.ReadLine())
			proxy.waitForCounter("client_gone=1")
			proxy.waitForCounter("attempts=0")
		})
	}
}

// TestManyClientsDisconnectOnRejection checks that the proxy makes no further attempts if many clients disconnect in the
// iteration of the event loop in which their endpoints reject them.
func TestManyClientsDisconnectOnRejection(t *testing.T) {
	conns := make(chan *fakes.Peer, 64)
	a, b := fakes.NewScriptedEndpoint(t, "s-1", conns), fakes.NewScriptedEndpoint(t, "s-2", conns)
	proxy := startProxy(t, fakes.List(1, true, listEntry(a.ID, a.Addr, "in_service"), listEntry(b.ID, b.Addr, "in_service")), withAdminListener)
	const clientCount = 40
	var clients, upstreams []*fakes.Peer
	for range clientCount {
		c := proxy.dial()
		c.Send(openLine("key"))
		upstream := fakes.Await(t, conns)
		upstream.ReadLine()
		clients, upstreams = append(clients, c), append(upstreams, upstream)
	}
	proxy.whileSuspended(func() {
		for _, upstream := range upstreams {
			upstream.Send("BUSY\r\n")
		}
		for _, c := range clients {
			resetConn(c)
		}
	})
	proxy.waitForMetrics(map[string]string{"svc.pending": "0"})
	// Endpoints accept in order: a connection from the proxy would arrive before the probe.
	for _, endpoint := range []*fakes.ScriptedEndpoint{a, b} {
		probe := fakes.Dial(t, endpoint.Addr)
		if upstream := fakes.Await(t, conns); upstream.RemoteAddr().String() != probe.LocalAddr().String() {
			t.Errorf("the proxy dialed %s and sent %q", endpoint.ID, upstream.ReadLine())
		}
	}
	proxy.waitForCounter(fmt.Sprintf("attempts=%d", clientCount))
}

// TestDisconnectWithFirstLine checks that no attempt is made for a client that sends a request and disconnects immediately,
// even before the proxy has accepted its connection.
func TestDisconnectWithFirstLine(t *testing.T) {
	for name, disconnect := range map[string]func(*fakes.Peer){
		"end": func(client *fakes.Peer) { client.CloseWrite() }, "close": func(client *fakes.Peer) { client.Close() }, "reset": resetConn,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, conns := startWithEndpoint(t)
			accepted := proxy.dial()
			accepted.Send("PING\r\n")
			testkit.Equal(t, "readiness", "PONG", accepted.ReadLine())
			var queued *fakes.Peer
			proxy.whileSuspended(func() {
				queued = proxy.dial()
				for _, client := range []*fakes.Peer{accepted, queued} {
					client.Send(openLine("key"))
					disconnect(client)
				}
			})
			if name == "end" {
				for _, client := range []*fakes.Peer{accepted, queued} {
					testkit.Equal(t, "answer", []string{"BUSY", "EOF"}, readToEnd(client))
				}
			}
			proxy.waitForCounter("client_gone=2")
			proxy.waitForCounter("attempts=0")
			client := proxy.dial()
			client.Send("OPEN next key c=feed,d=60000\r\n")
			if l := fakes.Await(t, conns).ReadLine(); !strings.HasPrefix(l, "OPEN next ") {
				t.Errorf("the next connection received %q", l)
			}
		})
	}
}

// TestMoveDuringPartialLine checks that a move closes a connection with an EOF while the endpoint is sending a line. A reset
// would discard what the endpoint has not read yet.
func TestMoveDuringPartialLine(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	client, upstream := proxy.connect(conns, "key")
	if status, _ := proxy.adminCall("PUT", "/api/evacuate"); status != 200 {
		t.Errorf("status %d", status)
	}
	proxy.whileSuspended(func() {
		time.Sleep(time.Second) // the move becomes due, which the proxy notices before it reads the lines
		upstream.Send("half a li")
		client.Send("half ")
	})
	testkit.Equal(t, "client", []string{"MOVE", "EOF"}, readToEnd(client))
	testkit.Equal(t, "endpoint", "EOF", upstream.ReadLine())
}

// TestBothPeersDisconnectTogether checks that an established connection is closed and leaves no state if both peers
// disconnect in one iteration of the event loop, each by EOF, close or reset.
func TestBothPeersDisconnectTogether(t *testing.T) {
	disconnect := map[string]func(*fakes.Peer){"end": func(p *fakes.Peer) { p.CloseWrite() },
		"close": func(p *fakes.Peer) { p.Close() }, "reset": resetConn}
	for clientManner, disconnectClient := range disconnect {
		for endpointManner, disconnectEndpoint := range disconnect {
			for _, clientFirst := range []bool{true, false} {
				t.Run(fmt.Sprintf("client %s and endpoint %s, client first %v", clientManner, endpointManner, clientFirst), func(t *testing.T) {
					t.Parallel()
					proxy, conns := startWithEndpoint(t, withAdminListener)
					fakes.Await(t, proxy.discovery.Watches)
					before := proxy.countDescriptors()
					c, upstream := proxy.connect(conns, "key")
					proxy.whileSuspended(func() {
						if clientFirst {
							disconnectClient(c)
						}
						disconnectEndpoint(upstream)
						if !clientFirst {
							disconnectClient(c)
						}
					})
					proxy.waitForCounter("open=0")
					c.Close()
					upstream.Close()
					proxy.waitForMetrics(map[string]string{"svc.pending": "0"})
					proxy.waitForDescriptors(before)
				})
			}
		}
	}
}

// TestClientsDisconnectAtAnyStage checks that clients that disconnect at any stage, by EOF, close or reset, leave no
// request, attempt or descriptor behind.
func TestClientsDisconnectAtAnyStage(t *testing.T) {
	proxy, conns := startWithEndpoint(t, withAdminListener)
	fakes.Await(t, proxy.discovery.Watches)
	before := proxy.countDescriptors()
	var upstream *fakes.Peer // connection of the client's attempt; nil: there is no attempt
	request := func(client *fakes.Peer) {
		client.Send(openLine("k"))
		upstream = fakes.Await(t, conns)
		upstream.ReadLine()
	}
	stages := map[string]func(client *fakes.Peer){
		"nothing sent": func(*fakes.Peer) {},
		"half a line":  func(client *fakes.Peer) { client.Send("OPEN x k c=fe") },
		"ready":        func(client *fakes.Peer) { client.Send("PING\r\n"); client.ReadLine() },
		"rejected":     func(client *fakes.Peer) { client.Send("X\r\n"); client.ReadLine() },
		"attempt":      request,
		"half an answer": func(client *fakes.Peer) {
			request(client)
			upstream.Send("U")
		},
		"established": func(client *fakes.Peer) {
			request(client)
			upstream.Send("UP r\r\n")
			client.ReadLine()
		},
	}
	for name, stage := range stages {
		for _, disconnect := range []func(*fakes.Peer){
			func(client *fakes.Peer) { client.Close() },
			func(client *fakes.Peer) { client.SetLinger(0); client.Close() },
			func(client *fakes.Peer) { client.CloseWrite() },
		} {
			client := proxy.dial()
			upstream = nil
			stage(client)
			disconnect(client)
			if upstream == nil {
				continue
			}
			if l := upstream.ReadLine(); l != "EOF" && l != "RST" {
				t.Errorf("%s: the endpoint received %q", name, l)
			}
			upstream.Close()
		}
	}
	proxy.waitForMetrics(map[string]string{"svc.pending": "0"})
	proxy.waitForDescriptors(before)
}

// TestClientDisconnectsBeforeAnswer checks that the proxy cancels the attempt of a client that disconnects before its
// answer.
func TestClientDisconnectsBeforeAnswer(t *testing.T) {
	proxy, conns := startWithEndpoint(t)
	client := proxy.dial()
	client.Send("OPEN id key c=feed,d=60000\r\n")
	upstream := fakes.Await(t, conns)
	upstream.ReadLine()
	client.Close()
	testkit.Equal(t, "attempt", "EOF", upstream.ReadLine())
	proxy.waitForCounter("client_gone=1")
	proxy.waitForCounter("outcome_cancelled=1")
}
