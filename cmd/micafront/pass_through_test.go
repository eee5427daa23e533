package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// startPassThrough starts the program in pass-through mode with two established clients: one at the endpoint where other
// proxies would place it too, and a misplaced one, whose first endpoint failed the attempt.
func startPassThrough(t *testing.T, options ...proxyOption) (proxy *proxyProcess, client, upstream, misplaced *fakes.Peer) {
	t.Helper()
	conns := make(chan *fakes.Peer, 64)
	near, far := fakes.NewScriptedEndpoint(t, "s-1", conns), fakes.NewScriptedEndpoint(t, "s-2", conns)
	proxy = startProxy(t, fakes.List(1, true, listEntry(near.ID, near.Addr, "in_service"),
		strings.Replace(listEntry(far.ID, far.Addr, "in_service"), `"zone":"a"`, `"zone":"b"`, 1)),
		append(options, func(proxy *proxyProcess) { proxy.extraSettings = `"FamilyInfo":{"Mode":"pass"},` })...)
	proxy.endpointConns = conns
	client, upstream = proxy.connect(conns, "key")
	testkit.Equal(t, "endpoint in the proxy's zone", near.Addr, upstream.LocalAddr().String())
	misplaced = proxy.dial()
	misplaced.Send(openLine("key2"))
	first := fakes.Await(t, conns)
	first.ReadLine()
	first.Send("ERR\r\n")
	second := fakes.Await(t, conns)
	second.ReadLine()
	second.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", misplaced.ReadLine())
	return proxy, client, upstream, misplaced
}

// TestStopInPassThroughMode checks that in pass-through mode a stop moves only misplaced clients, because another proxy
// would place the others at the same endpoints.
func TestStopInPassThroughMode(t *testing.T) {
	proxy, client, upstream, misplaced := startPassThrough(t)
	proxy.command.Process.Signal(syscall.SIGTERM)
	testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, []string{misplaced.ReadLine(), misplaced.ReadLine()})
	client.Send("M 1\r\n")
	testkit.Equal(t, "still relayed", "M 1", upstream.ReadLine())
	client.Close()
	if err := fakes.Await(t, proxy.exited); err != nil {
		t.Errorf("exit: %v", err)
	}
	proxy.waitForLog("moves_stop=1")
}

// TestDrainInPassThroughMode checks that in pass-through mode a drain moves only misplaced clients.
func TestDrainInPassThroughMode(t *testing.T) {
	proxy, client, upstream, misplaced := startPassThrough(t, withAdminListener)
	if status, _ := proxy.adminCall("PUT", "/api/evacuate"); status != 200 {
		t.Errorf("status %d", status)
	}
	testkit.Equal(t, "drained", "ERR DRAINED", proxy.ping())
	testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, []string{misplaced.ReadLine(), misplaced.ReadLine()})
	client.Send("M 1\r\n")
	testkit.Equal(t, "still relayed", "M 1", upstream.ReadLine())
}

// TestStopInPassThroughModeKeepsConnections checks that in pass-through mode a stopping process answers pending requests
// before the process would be killed and still relays established connections after that time, because a connection that the
// process closes cannot continue at another proxy.
func TestStopInPassThroughModeKeepsConnections(t *testing.T) {
	for _, seconds := range []float64{1, 60} {
		t.Run(fmt.Sprint(seconds), func(t *testing.T) {
			t.Parallel()
			proxy, client, upstream, misplaced := startPassThrough(t)
			proxy.setMaxTimeout(seconds)
			pending, _ := proxy.openPending(proxy.endpointConns, "key3")
			stopAt := proxy.beginStop()
			testkit.Equal(t, "moved", []string{"MOVE", "EOF"}, readToEnd(misplaced))
			testkit.Equal(t, "answer", []string{"ERR", "EOF"}, readToEnd(pending))
			kill := time.Duration(min(seconds, 3)*1e9) + 700*time.Millisecond
			if took := time.Since(stopAt); took > kill {
				t.Errorf("answered after %v, want before the kill after %v", took, kill)
			}
			select {
			case err := <-proxy.exited:
				t.Fatalf("the process exited with an established connection: %v", err)
			case <-time.After(kill + 200*time.Millisecond - time.Since(stopAt)):
			}
			client.Send("M 1\r\n")
			testkit.Equal(t, "still relayed", "M 1", upstream.ReadLine())
			client.Close()
			if err := fakes.Await(t, proxy.exited); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// TestHotRestartInPassThroughMode checks that in pass-through mode the successor knows the endpoint of every established
// connection.
func TestHotRestartInPassThroughMode(t *testing.T) {
	proxy, client, upstream, misplaced := startPassThrough(t, withAdminListener)
	successor := proxy.startSuccessor()
	proxy.waitForLog(logSuccessorServes)
	for key, established := range map[string]*fakes.Peer{"key": client, "key2": misplaced} {
		resumed := successor.dial()
		resumed.Send(strings.Replace(openLine(key), "c=feed", "c=feed,mid=1", 1))
		resumedUpstream := fakes.Await(t, proxy.endpointConns)
		resumedUpstream.ReadLine()
		if key == "key" {
			testkit.Equal(t, "endpoint", upstream.LocalAddr().String(), resumedUpstream.LocalAddr().String())
		} else if resumedUpstream.LocalAddr().String() == upstream.LocalAddr().String() {
			t.Error("the misplaced connection did not continue at its endpoint")
		}
		resumedUpstream.Send("UP r\r\n")
		testkit.Equal(t, "continues", "UP r", resumed.ReadLine())
		established.Close()
	}
	proxy.stop()
	successor.connect(proxy.endpointConns, "other")
}
