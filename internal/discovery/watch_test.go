package discovery

import (
	"net"
	"testing"
	"time"

	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// restartSoonTimes make a client restart a lost watch within milliseconds.
var restartSoonTimes = Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour / 100, WatchTimeout: time.Hour, FreshnessBound: time.Hour, AddressChangeFreshnessBound: time.Hour, QueueAllowance: time.Millisecond}

// TestLostWatchIsRestarted: the client restarts a lost watch in its own time, whatever the poll interval; a call of Watch meanwhile
// means that same watch.
func TestLostWatchIsRestarted(t *testing.T) {
	a := newHarness(t, restartSoonTimes)
	a.runOnLoop(func() {
		a.PollInterval = time.Millisecond
		a.Watch(true)
	})
	a.nextCall("watch=1&from=1").respond("[503]")
	a.expectReports("failed: discovery: status 503")
	a.runOnLoop(func() { a.Watch(true) })
	a.nextCall("watch=1&from=1").respond("")
	a.expectReports("failed: discovery: the response ended")
	third := a.nextCall("watch=1&from=1")
	third.respond(fakes.List(2, false) + "\n")
	a.expectReports("2 of kind 0")
	a.runOnLoop(func() {
		testkit.Equal(t, "failures in a row", 0, a.lostWatches)
		a.Watch(true)
		testkit.Equal(t, "due", true, a.restartTimer == nil)
	})
	third.expectOpen()
	a.runOnLoop(func() { a.PollInterval = time.Hour })
	third.respond("")
	a.expectReports("failed: discovery: the response ended")
	a.runOnLoop(func() {
		testkit.Equal(t, "due", true, a.restartTimer != nil)
		a.Watch(false)
		testkit.Equal(t, "due", true, a.restartTimer == nil)
	})
}

// TestFetchedListIsAhead: a fetched list may be ahead of the watch; older objects that the watch then brings are passed over.
func TestFetchedListIsAhead(t *testing.T) {
	a := newHarness(t, Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour})
	a.runOnLoop(func() { a.Watch(true) })
	watch := a.nextCall("watch=1&from=1")
	watch.respond(fakes.List(2, false) + "\n")
	a.expectReports("2 of kind 0")
	a.runOnLoop(a.Fetch)
	fetch := a.nextCall("")
	fetch.respond(fakes.List(5, true, fakes.Entry{ID: "s-1"}.String()))
	fetch.respond("")
	a.expectReports("5 of kind 1")
	watch.respond(fakes.List(3, false) + "\n" + fakes.List(5, false) + "\n" + fakes.List(6, false) + "\n")
	a.expectReports("5 of kind 0", "6 of kind 0")
	watch.expectOpen()
	watch.respond(fakes.List(4, false) + "\n")
	a.expectReports("failed: discovery: endpoint list: generation 4 after 6")
}

// TestAddressChangeBeforeAnyList: a watch that has brought lists is followed until another one brings a list.
func TestAddressChangeBeforeAnyList(t *testing.T) {
	times := Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour}
	third, second, a := newHarness(t, times), newHarness(t, times), newHarness(t, times)
	a.runOnLoop(func() { a.Watch(true) })
	first := a.nextCall("watch=1&from=1")
	first.respond(fakes.List(2, false) + "\n")
	a.expectReports("2 of kind 0")
	a.runOnLoop(func() { a.SetAddress(second.Addr) })
	there := second.nextCall("watch=1&from=0")
	there.respond("\n")
	for streams := false; !streams; {
		a.runOnLoop(func() { streams = a.watch.stage >= streaming })
	}
	a.runOnLoop(func() { a.SetAddress(third.Addr) })
	there.awaitClose()
	last := third.nextCall("watch=1&from=0")
	first.expectOpen()
	first.respond(fakes.List(3, false) + "\n")
	a.expectReports("3 of kind 0")
	last.respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	a.expectReports("1 of kind 1")
	first.awaitClose()
}

// TestAddressChangeDuringOwnFetch: the client's own fetch is not repeated at the new address.
func TestAddressChangeDuringOwnFetch(t *testing.T) {
	times := Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour}
	third, second, a := newHarness(t, times), newHarness(t, times), newHarness(t, times)
	a.runOnLoop(func() { a.Watch(true) })
	a.nextCall("watch=1&from=1")
	a.runOnLoop(func() { a.SetAddress(second.Addr) })
	second.nextCall("watch=1&from=0").respond(fakes.List(7, false) + "\n")
	a.expectReports("7 of kind 0")
	whole := second.nextCall("")
	a.runOnLoop(func() { a.SetAddress(third.Addr) })
	whole.awaitClose()
	third.nextCall("watch=1&from=0").respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	a.expectReports("1 of kind 1")
	a.runOnLoop(func() { testkit.Equal(t, "fetches", 0, len(a.fetches)) })
	testkit.Equal(t, "calls", 0, len(third.calls))
}

// TestResponseWhileProcessIsStopped: a response that came while the process was stopped counts, although its call's time is over.
func TestResponseWhileProcessIsStopped(t *testing.T) {
	const limit = time.Second
	a := newHarness(t, Times{CallTimeout: limit, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour})
	var begun time.Time
	a.runOnLoop(func() {
		begun = time.Now()
		a.Watch(true)
	})
	watch := a.nextCall("watch=1&from=1")
	a.runOnLoop(func() { // this turn lasts as long as the process is stopped
		time.Sleep(time.Until(begun.Add(limit + limit/2)))
		watch.respond(fakes.List(2, false) + "\n")
		time.Sleep(limit / 2)
	})
	a.expectReports("2 of kind 0")
	watch.expectOpen()
}

// TestAddressChangeToUnreachable: a new address that does not answer is retried within the tighter bound, and after that as usual.
func TestAddressChangeToUnreachable(t *testing.T) {
	other, a := newHarness(t, restartSoonTimes), newHarness(t, restartSoonTimes)
	a.runOnLoop(func() { a.Watch(true) })
	a.nextCall("watch=1&from=1").respond(fakes.List(2, false) + "\n")
	a.expectReports("2 of kind 0")
	a.runOnLoop(func() {
		// All but a moment of the bound has passed; otherwise the next call would come in many minutes.
		a.PollInterval, a.Times.AddressChangeFreshnessBound, a.Times.Jitter = time.Hour, restartSoonTimes.QueueAllowance+schedulingMargin+20*time.Millisecond, time.Millisecond
		a.SetAddress(other.Addr)
	})
	other.nextCall("watch=1&from=0").respond("[503]")
	a.expectReports("failed: discovery: status 503")
	other.nextCall("watch=1&from=0").respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	a.expectReports("1 of kind 1")
}

// TestAddressChangeWhereFetchFails: until a whole list has come from a new address each of its watches has one fetched, so that no
// endpoint stays that only the old discovery listed.
func TestAddressChangeWhereFetchFails(t *testing.T) {
	times := Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Hour}
	other, a := newHarness(t, times), newHarness(t, times)
	a.runOnLoop(func() { a.Watch(true) })
	a.nextCall("watch=1&from=1")
	a.runOnLoop(func() { a.SetAddress(other.Addr) })
	watch := other.nextCall("watch=1&from=0")
	watch.respond(fakes.List(7, false) + "\n")
	a.expectReports("7 of kind 0")
	whole := other.nextCall("")
	watch.respond(fakes.List(8, false) + "\n")
	a.expectReports("8 of kind 0")
	whole.respond("[503]")
	a.expectReports("failed: discovery: status 503")
	a.runOnLoop(func() { a.Watch(true) }) // the module's answer
	watch.awaitClose()
	again := other.nextCall("watch=1&from=0")
	again.respond(fakes.List(9, false) + "\n")
	a.expectReports("9 of kind 0")
	whole = other.nextCall("")
	whole.respond(fakes.List(9, true, fakes.Entry{ID: "s-1"}.String()))
	whole.respond("")
	a.expectReports("9 of kind 1")
	again.respond(fakes.List(10, false) + "\n")
	a.expectReports("10 of kind 0")
	testkit.Equal(t, "calls", 0, len(other.calls))
}

// TestAddressChangeAfterRefusal: where the address changes before the next call is due, the new address is called at once.
func TestAddressChangeAfterRefusal(t *testing.T) {
	a := newHarness(t, restartSoonTimes)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	there := a.Addr
	a.runOnLoop(func() {
		a.Addr, a.PollInterval = l.Addr().String(), 24*time.Hour
		a.Watch(true)
	})
	a.expectReports("failed: discovery: *refused")
	a.runOnLoop(func() {
		testkit.Equal(t, "due", true, a.restartTimer != nil)
		a.SetAddress(there)
		testkit.Equal(t, "due", true, a.restartTimer == nil)
	})
	a.nextCall("watch=1&from=0").respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	a.expectReports("1 of kind 1")
}

// TestMissedSince: the freshness bound counts from the start of the call, or from the watch's last line, not from when the loss was
// found out.
func TestMissedSince(t *testing.T) {
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	c, now := &Client{Loop: loop}, loop.Now()
	ended := truncated.New("", "the response ended")
	for _, k := range []struct {
		name                        string
		stage                       stage
		missing, progress, lastByte time.Duration // ago
		err                         error
		want                        time.Duration // ago
	}{
		{"never answered", headersRead, 2500 * time.Millisecond, 0, 0, timedOut.New("", "no answer in time"), 2500 * time.Millisecond},
		{"in place of a stalled one", requested, 4 * time.Second, 0, 0, ended, 4 * time.Second},
		{"stalled", stalled, time.Minute, 5500 * time.Millisecond, 3 * time.Second, watchTimedOut(), 5500 * time.Millisecond},
		{"reset in its work", streaming, time.Minute, 2 * time.Second, 2 * time.Second, ended, 0},
		{"reset while this process was stopped, or after a cut", streaming, time.Minute, 7 * time.Second, 7 * time.Second, ended, 7 * time.Second},
	} {
		call := call{client: c, stage: k.stage, missingSince: now - k.missing, progressAt: now - k.progress, lastByteAt: now - k.lastByte}
		testkit.Equal(t, k.name, k.want, now-call.missedSince(k.err))
	}
}
