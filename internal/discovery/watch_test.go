package discovery

import (
	"net"
	"testing"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// restartSoonTimes makes a client with a short poll interval restart a lost watch within milliseconds.
var restartSoonTimes = Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour / 100, WatchTimeout: time.Hour, FreshnessBound: time.Hour, AddressChangeFreshnessBound: time.Hour, QueueAllowance: time.Millisecond}

// TestLostWatchIsRestarted checks that the client itself restarts a lost watch, that Watch(true) starts no second watch in the
// meantime, and that Watch(false) cancels a restart that is due.
func TestLostWatchIsRestarted(t *testing.T) {
	h := newHarness(t, restartSoonTimes)
	h.runOnLoop(func() {
		h.PollInterval = time.Millisecond
		h.Watch(true)
	})
	h.nextCall("watch=1&from=1").respond("[503]")
	h.expectReports("failed: discovery: status 503")
	h.runOnLoop(func() { h.Watch(true) })
	h.nextCall("watch=1&from=1").respond("")
	h.expectReports("failed: discovery: the response ended")
	third := h.nextCall("watch=1&from=1")
	third.respond(fakes.List(2, false) + "\n")
	h.expectReports("2 of kind 0")
	h.runOnLoop(func() {
		testkit.Equal(t, "consecutive lost watches", 0, h.lostWatches)
		h.Watch(true)
		testkit.Equal(t, "no restart is due", true, h.restartTimer == nil)
	})
	third.expectOpen()
	h.runOnLoop(func() { h.PollInterval = time.Hour })
	third.respond("")
	h.expectReports("failed: discovery: the response ended")
	h.runOnLoop(func() {
		testkit.Equal(t, "a restart is due", true, h.restartTimer != nil)
		h.Watch(false)
		testkit.Equal(t, "no restart is due", true, h.restartTimer == nil)
	})
}

// TestFetchedListIsAhead checks that a fetched list may be newer than the watch, and that older objects of the watch are then ignored.
func TestFetchedListIsAhead(t *testing.T) {
	h := newHarness(t, Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour})
	h.runOnLoop(func() { h.Watch(true) })
	watch := h.nextCall("watch=1&from=1")
	watch.respond(fakes.List(2, false) + "\n")
	h.expectReports("2 of kind 0")
	h.runOnLoop(h.Fetch)
	fetch := h.nextCall("")
	fetch.respond(fakes.List(5, true, fakes.Entry{ID: "s-1"}.String()))
	fetch.respond("")
	h.expectReports("5 of kind 1")
	watch.respond(fakes.List(3, false) + "\n" + fakes.List(5, false) + "\n" + fakes.List(6, false) + "\n")
	h.expectReports("5 of kind 0", "6 of kind 0")
	watch.expectOpen()
	watch.respond(fakes.List(4, false) + "\n")
	h.expectReports("failed: discovery: endpoint list: generation 4 after 6")
}

// TestAddressChangeBeforeAnyList changes the address twice. The first watch stays open until the watch of another address receives a
// list, because the second watch received none.
func TestAddressChangeBeforeAnyList(t *testing.T) {
	times := Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour}
	third, second, h := newHarness(t, times), newHarness(t, times), newHarness(t, times)
	h.runOnLoop(func() { h.Watch(true) })
	first := h.nextCall("watch=1&from=1")
	first.respond(fakes.List(2, false) + "\n")
	h.expectReports("2 of kind 0")
	h.runOnLoop(func() { h.SetAddress(second.Addr) })
	there := second.nextCall("watch=1&from=0")
	there.respond("\n")
	for streams := false; !streams; {
		h.runOnLoop(func() { streams = h.watch.stage >= streaming })
	}
	h.runOnLoop(func() { h.SetAddress(third.Addr) })
	there.awaitClose()
	last := third.nextCall("watch=1&from=0")
	first.expectOpen()
	first.respond(fakes.List(3, false) + "\n")
	h.expectReports("3 of kind 0")
	last.respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	h.expectReports("1 of kind 1")
	first.awaitClose()
}

// TestAddressChangeDuringInternalFetch checks that a fetch that the client started itself is not repeated at the new address.
func TestAddressChangeDuringInternalFetch(t *testing.T) {
	times := Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour}
	third, second, h := newHarness(t, times), newHarness(t, times), newHarness(t, times)
	h.runOnLoop(func() { h.Watch(true) })
	h.nextCall("watch=1&from=1")
	h.runOnLoop(func() { h.SetAddress(second.Addr) })
	second.nextCall("watch=1&from=0").respond(fakes.List(7, false) + "\n")
	h.expectReports("7 of kind 0")
	whole := second.nextCall("")
	h.runOnLoop(func() { h.SetAddress(third.Addr) })
	whole.awaitClose()
	third.nextCall("watch=1&from=0").respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	h.expectReports("1 of kind 1")
	h.runOnLoop(func() { testkit.Equal(t, "fetches", 0, len(h.fetches)) })
	testkit.Equal(t, "calls", 0, len(third.calls))
}

// TestResponseWhileProcessIsStopped checks that a response that arrived while the process was stopped is accepted, although the
// timeout of its call has passed.
func TestResponseWhileProcessIsStopped(t *testing.T) {
	const limit = time.Second
	h := newHarness(t, Times{CallTimeout: limit, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour})
	var startedAt time.Time
	h.runOnLoop(func() {
		startedAt = time.Now()
		h.Watch(true)
	})
	watch := h.nextCall("watch=1&from=1")
	h.runOnLoop(func() { // this long turn simulates a stopped process
		time.Sleep(time.Until(startedAt.Add(limit + limit/2)))
		watch.respond(fakes.List(2, false) + "\n")
		time.Sleep(limit / 2)
	})
	h.expectReports("2 of kind 0")
	watch.expectOpen()
}

// TestAddressChangeToUnreachable checks that a new address that rejects the first call is retried within the tighter bound, not after
// the poll interval.
func TestAddressChangeToUnreachable(t *testing.T) {
	other, h := newHarness(t, restartSoonTimes), newHarness(t, restartSoonTimes)
	h.runOnLoop(func() { h.Watch(true) })
	h.nextCall("watch=1&from=1").respond(fakes.List(2, false) + "\n")
	h.expectReports("2 of kind 0")
	h.runOnLoop(func() {
		// Only 20 ms of the bound are left. Without the bound the next call would start after many minutes.
		h.PollInterval, h.Times.AddressChangeFreshnessBound, h.Times.Jitter = time.Hour, restartSoonTimes.QueueAllowance+schedulingMargin+20*time.Millisecond, time.Millisecond
		h.SetAddress(other.Addr)
	})
	other.nextCall("watch=1&from=0").respond("[503]")
	h.expectReports("failed: discovery: status 503")
	other.nextCall("watch=1&from=0").respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	h.expectReports("1 of kind 1")
}

// TestAddressChangeWhereFetchFails checks that each watch of a new address fetches the whole list until one has been received.
// Otherwise endpoints that only the old discovery listed would stay.
func TestAddressChangeWhereFetchFails(t *testing.T) {
	times := Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour}
	other, h := newHarness(t, times), newHarness(t, times)
	h.runOnLoop(func() { h.Watch(true) })
	h.nextCall("watch=1&from=1")
	h.runOnLoop(func() { h.SetAddress(other.Addr) })
	watch := other.nextCall("watch=1&from=0")
	watch.respond(fakes.List(7, false) + "\n")
	h.expectReports("7 of kind 0")
	whole := other.nextCall("")
	watch.respond(fakes.List(8, false) + "\n")
	h.expectReports("8 of kind 0")
	whole.respond("[503]")
	h.expectReports("failed: discovery: status 503")
	h.runOnLoop(func() { h.Watch(true) }) // as the proxy does after a failure
	watch.awaitClose()
	again := other.nextCall("watch=1&from=0")
	again.respond(fakes.List(9, false) + "\n")
	h.expectReports("9 of kind 0")
	whole = other.nextCall("")
	whole.respond(fakes.List(9, true, fakes.Entry{ID: "s-1"}.String()))
	whole.respond("")
	h.expectReports("9 of kind 1")
	again.respond(fakes.List(10, false) + "\n")
	h.expectReports("10 of kind 0")
	testkit.Equal(t, "calls", 0, len(other.calls))
}

// TestAddressChangeBeforeRestart checks that the new address is called at once if the address changes while a restart is due.
func TestAddressChangeBeforeRestart(t *testing.T) {
	h := newHarness(t, restartSoonTimes)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	reachable := h.Addr
	h.runOnLoop(func() {
		h.Addr, h.PollInterval = l.Addr().String(), 24*time.Hour
		h.Watch(true)
	})
	h.expectReports("failed: discovery: *refused")
	h.runOnLoop(func() {
		testkit.Equal(t, "a restart is due", true, h.restartTimer != nil)
		h.SetAddress(reachable)
		testkit.Equal(t, "no restart is due", true, h.restartTimer == nil)
	})
	h.nextCall("watch=1&from=0").respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	h.expectReports("1 of kind 1")
}

// TestMissedSince checks that the freshness bound counts from the start of the call or from the last line of the watch, not from the
// detection of the loss.
func TestMissedSince(t *testing.T) {
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	c, now := &Client{Loop: loop}, loop.Now()
	ended := truncated.New("", "the response ended")
	for _, test := range []struct {
		name                        string
		stage                       stage
		missing, progress, lastByte time.Duration // before now
		err                         error
		want                        time.Duration // before now
	}{
		{"never answered", headersRead, 2500 * time.Millisecond, 0, 0, timedOut.New("", "no answer in time"), 2500 * time.Millisecond},
		{"standby of a stalled watch", requested, 4 * time.Second, 0, 0, ended, 4 * time.Second},
		{"stalled", stalled, time.Minute, 5500 * time.Millisecond, 3 * time.Second, watchTimedOut(), 5500 * time.Millisecond},
		{"reset while streaming", streaming, time.Minute, 2 * time.Second, 2 * time.Second, ended, 0},
		{"reset while this process was stopped or the network was down", streaming, time.Minute, 7 * time.Second, 7 * time.Second, ended, 7 * time.Second},
	} {
		call := call{client: c, stage: test.stage, missingSince: now - test.missing, progressAt: now - test.progress, lastByteAt: now - test.lastByte}
		testkit.Equal(t, test.name, test.want, now-call.missedSince(test.err))
	}
}
