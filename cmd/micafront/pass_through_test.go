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

// startPassThrough starts the program in pass-through mode, with a client that other proxies would place at the same
// endpoint and a misplaced one, which its first endpoint rejected.
func startPassThrough(t *testing.T, options ...proxyOption) (proxy *proxyProcess, client, upstream, misplaced *fakes.Peer) {
	t.Helper()
	conns := make(chan *fakes.Peer, 64)
	near, far := fakes.NewScriptedEndpoint(t, "s-1", conns), fakes.NewScriptedEndpoint(t, "s-2", conns)
	proxy = startProxy(t, fakes.List(1, true, listEntry(near.ID, near.Addr, "in_service"),
		strings.Replace(listEntry(far.ID, far.Addr, "in_service"), `"zone":"a"`, `"zone":"b"`, 1)),
		append(options, func(proxy *proxyProcess) { proxy.extraSettings = `"FamilyInfo":{"Mode":"pass"},` })...)
	proxy.endpointConns = conns
	client, upstream = proxy.connect(conns, "key")
	testkit.Equal(t, "in the proxy's zone", near.Addr, upstream.LocalAddr().String())
	misplaced = proxy.dial()
	misplaced.Send(openLine("key2"))
	first := fakes.Await(t, conns)
	first.ReadLine()
	first.Send("ERR\r\n")
	at := fakes.Await(t, conns)
	at.ReadLine()
	at.Send("UP r\r\n")
	testkit.Equal(t, "answer", "UP r", misplaced.ReadLine())
	return proxy, client, upstream, misplaced
}

// TestStopInPassThroughMode checks that in pass-through mode a stop moves only misplaced clients: another proxy finds
// the others where they are.
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

// TestDrainInPassThroughMode checks the same for a drain.
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

// TestStopInPassThroughModeKeepsConnections checks that in pass-through mode requests are answered before the kill, and
// established connections are kept past it, because a connection that the process closes does not continue at another
// proxy.
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
				t.Errorf("answered after %v, the kill comes after %v", took, kill)
			}
			select {
			case err := <-proxy.exited:
				t.Fatalf("ended before the kill: %v", err)
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

// TestHotRestartInPassThroughMode checks that in pass-through mode the successor knows at which endpoint each
// connection is established.
func TestHotRestartInPassThroughMode(t *testing.T) {
	proxy, client, upstream, misplaced := startPassThrough(t, withAdminListener)
	successor := proxy.startSuccessor()
	proxy.waitForLog(logSuccessorServes)
	for key, established := range map[string]*fakes.Peer{"key": client, "key2": misplaced} {
		mid := successor.dial()
		mid.Send(strings.Replace(openLine(key), "c=feed", "c=feed,mid=1", 1))
		at := fakes.Await(t, proxy.endpointConns)
		at.ReadLine()
		if key == "key" {
			testkit.Equal(t, "endpoint", upstream.LocalAddr().String(), at.LocalAddr().String())
		} else if at.LocalAddr().String() == upstream.LocalAddr().String() {
			t.Error("not at its endpoint")
		}
		at.Send("UP r\r\n")
		testkit.Equal(t, "continues", "UP r", mid.ReadLine())
		established.Close()
	}
	proxy.stop()
	successor.connect(proxy.endpointConns, "other")
}
