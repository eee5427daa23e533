package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// TestWatchRetryInterval checks that the proxy reopens a lost watch repeatedly without waiting for the discovery interval.
// The tests of internal/discovery check the pauses themselves, without a clock.
func TestWatchRetryInterval(t *testing.T) {
	t.Parallel()
	proxy, _ := startWithEndpoint(t, withAdminListener)
	testkit.Equal(t, "first call", "watch=1&from=1", fakes.Await(t, proxy.discovery.Watches))
	proxy.reload(`"AskEvery":1,`, `"AskEvery":86400,`)
	proxy.waitForLog("configuration read again")
	for range 3 {
		proxy.discovery.NextHandlers <- func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(503) }
	}
	proxy.discovery.Lists <- ""
	for i := range 4 {
		testkit.Equal(t, fmt.Sprint("call ", i+1), "watch=1&from=1", fakes.Await(t, proxy.discovery.Watches))
	}
	proxy.discovery.Lists <- fakes.List(2, true, listEntry("s-1", "127.0.0.1:1", "in_service"), listEntry("s-2", "127.0.0.1:1", "in_service"))
	proxy.waitForCounter("list_failures=4")
	proxy.waitForMetrics(map[string]string{"svc.members": "2"})
}

// TestReloadToUnavailableDiscoveryAndBack checks that the proxy keeps the watch at the first discovery address open and
// applies its changes when a reload selects an unavailable address and another reload selects the first address again.
func TestReloadToUnavailableDiscoveryAndBack(t *testing.T) {
	t.Parallel()
	proxy, _ := startWithEndpoint(t, withAdminListener)
	testkit.Equal(t, "first call", "watch=1&from=1", fakes.Await(t, proxy.discovery.Watches))
	proxy.discovery.Lists <- fakes.List(2, true, listEntry("s-1", "127.0.0.1:1", "in_service"))
	proxy.waitForCounter("lists=2")
	other := fakes.NewScriptedDiscovery(t)
	for range 8 {
		other.NextHandlers <- respondRaw("")
	}
	proxy.reload(proxy.discovery.Addr, other.Addr)
	for i := range 2 {
		testkit.Equal(t, fmt.Sprint("call of the unavailable address ", i), "watch=1&from=0", fakes.Await(t, other.Watches))
	}
	proxy.discovery.Lists <- fakes.List(3, false, listEntry("s-1", "127.0.0.1:1", "terminating"))
	proxy.waitForMetrics(map[string]string{"svc.members": "1", "svc.members_unavailable": "1"})
	proxy.reload(other.Addr, proxy.discovery.Addr)
	proxy.waitForLog(logLine("configuration read again", `"discovery": "`+proxy.discovery.Addr+`"}`))
	proxy.discovery.Lists <- fakes.List(4, false, listEntry("s-2", "127.0.0.1:1", "in_service"))
	proxy.waitForMetrics(map[string]string{"svc.members": "2", "svc.members_unavailable": "1"})
	testkit.Equal(t, "further calls of the first address", 0, len(proxy.discovery.Watches))
}

// TestReloadDiscoveryTwice checks that after two successive reloads the proxy follows only the third discovery service: a
// drain that it announces applies.
func TestReloadDiscoveryTwice(t *testing.T) {
	t.Parallel()
	proxy, _ := startWithEndpoint(t, withAdminListener)
	testkit.Equal(t, "first call", "watch=1&from=1", fakes.Await(t, proxy.discovery.Watches))
	second, third := fakes.NewScriptedDiscovery(t), fakes.NewScriptedDiscovery(t)
	proxy.reload(proxy.discovery.Addr, second.Addr)
	testkit.Equal(t, "call of the second", "watch=1&from=0", fakes.Await(t, second.Watches))
	proxy.reload(second.Addr, third.Addr)
	testkit.Equal(t, "call of the third", "watch=1&from=0", fakes.Await(t, third.Watches))
	third.Lists <- fakes.List(1, true, listEntry("s-1", "127.0.0.1:1", "in_service"))
	third.Lists <- fakes.List(2, false, listEntry("s-1", "127.0.0.1:1", "terminating"))
	proxy.waitForMetrics(map[string]string{"svc.members": "1", "svc.members_unavailable": "1"})
	proxy.waitForCounter("list_failures=0")
}

// TestWatchWhileSuspended checks that a list that arrives while the process is suspended applies once the process resumes,
// and that a watch that ended meanwhile is reopened from that list's generation.
func TestWatchWhileSuspended(t *testing.T) {
	t.Parallel()
	proxy, _ := startWithEndpoint(t, withAdminListener)
	testkit.Equal(t, "first call", "watch=1&from=1", fakes.Await(t, proxy.discovery.Watches))
	proxy.command.Process.Signal(syscall.SIGSTOP)
	proxy.discovery.Lists <- fakes.List(2, true, listEntry("s-1", "127.0.0.1:1", "terminating"), listEntry("s-2", "127.0.0.1:1", "in_service"))
	proxy.discovery.Lists <- ""
	for end := time.Now().Add(fakes.WaitTimeout); len(proxy.discovery.Lists) > 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	testkit.Equal(t, "lists not yet sent", 0, len(proxy.discovery.Lists))
	proxy.command.Process.Signal(syscall.SIGCONT)
	testkit.Equal(t, "next call", "watch=1&from=2", fakes.Await(t, proxy.discovery.Watches))
	proxy.waitForMetrics(map[string]string{"svc.members": "2", "svc.members_unavailable": "1"})
}
