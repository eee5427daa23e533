package discovery

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

// fakeCall is a call that the fake discovery server received. It stays open and idle until the test or the client ends it.
type fakeCall struct {
	query      string
	responses  chan string // text to send; "" ends the response, and a number in brackets sends that status
	clientGone <-chan struct{}
	t          *testing.T
}

func (c *fakeCall) respond(text string) { c.responses <- text }

func (c *fakeCall) awaitClose() {
	c.t.Helper()
	fakes.Await(c.t, c.clientGone)
}

func (c *fakeCall) expectOpen() {
	c.t.Helper()
	select {
	case <-c.clientGone:
		c.t.Errorf("the client closed the call %q", c.query)
	default:
	}
}

// harness runs a client on an event loop against a fake discovery server that the test controls, and collects the client's reports.
// Tests choose times with which only the timers under test fire.
type harness struct {
	*Client
	t       *testing.T
	calls   chan *fakeCall
	reports chan string
}

func newHarness(t *testing.T, times Times) *harness {
	h := &harness{t: t, calls: make(chan *fakeCall, 16), reports: make(chan string, 16)}
	end := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		call := &fakeCall{r.URL.RawQuery, make(chan string, 16), r.Context().Done(), t}
		h.calls <- call
		for {
			select {
			case text := <-call.responses:
				var status int
				if n, _ := fmt.Sscanf(text, "[%d]", &status); n == 1 {
					rw.WriteHeader(status)
				}
				if text == "" || status > 0 {
					return
				}
				if _, err := io.WriteString(rw, text); err != nil {
					return // the client has closed the call
				}
				rw.(http.Flusher).Flush()
			case <-call.clientGone:
				return
			case <-end:
				return
			}
		}
	}))
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	h.Client = &Client{Loop: loop, Addr: srv.Listener.Addr().String(), Times: times, Seed: 1, Generation: 1, SeenEndpoints: true,
		OnList: func(l List, kind balancer.ListKind) {
			h.reports <- fmt.Sprintf("%d of kind %d", l.Generation, kind)
		},
		OnFailure: func(err error) {
			if len(apperror.Resolutions(err)) == 0 {
				t.Errorf("no resolution for %v", err)
			}
			h.reports <- "failed: " + err.Error()
		},
		OnNotice: func(err error) { h.reports <- "noted: " + err.Error() },
	}
	ended := make(chan error, 1)
	go func() { ended <- loop.Run() }()
	t.Cleanup(func() {
		if err := loop.Stop(); err != nil {
			t.Error(err)
		}
		testkit.Equal(t, "loop", nil, fakes.Await(t, ended))
		close(end)
		srv.Close()
		select {
		case text := <-h.reports:
			t.Errorf("unexpected report: %s", text)
		default:
		}
	})
	return h
}

// runOnLoop runs f in a separate turn of the loop and waits for it.
func (h *harness) runOnLoop(f func()) {
	h.t.Helper()
	done := make(chan struct{})
	if err := h.Loop.Post(func() { f(); close(done) }); err != nil {
		h.t.Fatal(err)
	}
	fakes.Await(h.t, done)
}

// nextCall waits for the next call and checks its query.
func (h *harness) nextCall(query string) *fakeCall {
	h.t.Helper()
	call := fakes.Await(h.t, h.calls)
	testkit.Equal(h.t, "call", query, call.query)
	return call
}

// expectReports checks the next reports. A "*" in a wanted report matches any text.
func (h *harness) expectReports(want ...string) {
	h.t.Helper()
	for _, w := range want {
		got := fakes.Await(h.t, h.reports)
		for _, part := range strings.Split(w, "*") {
			if !strings.Contains(got, part) {
				h.t.Errorf("got report %q, want %q", got, w)
			}
		}
	}
}

// newHarnessWithStalledWatch returns a harness whose watch has received generation 2, half an object, and then nothing.
func newHarnessWithStalledWatch(t *testing.T, times Times) (*harness, *fakeCall) {
	h := newHarness(t, times)
	h.runOnLoop(func() { h.Watch(true) })
	old := h.nextCall("watch=1&from=1")
	old.respond(fakes.List(2, false) + "\n" + `{"generation":3,"ins`)
	h.expectReports("2 of kind 0")
	return h, old
}

// standbySoonTimes starts a standby within milliseconds; all other timers exceed the duration of a test.
var standbySoonTimes = Times{CallTimeout: time.Hour, StandbyAfter: time.Millisecond, Jitter: time.Millisecond, WatchTimeout: time.Hour}

const standbyNotice = "noted: discovery: the watch timed out (*/registry/instances?watch=1&from=1, object 2, 20 bytes of it); the standby watch has replaced it"

// TestStalledWatchIsReplaced checks that a standby of a stalled watch starts from the known generation and replaces the watch when it
// makes progress, however late. This is reported as a notice, not as a failure.
func TestStalledWatchIsReplaced(t *testing.T) {
	h, old := newHarnessWithStalledWatch(t, standbySoonTimes)
	second := h.nextCall("watch=1&from=2")
	h.runOnLoop(func() {})
	old.expectOpen()
	second.respond("\n")
	h.expectReports(standbyNotice)
	old.awaitClose()
	second.respond(fakes.List(4, false) + "\n")
	h.expectReports("4 of kind 0")
	for fakes.Await(t, h.calls).query != "watch=1&from=4" { // a standby may have been started before the list arrived
	}
}

// TestStalledWatchRecovers checks that lists on a stalled watch are accepted, that its standby is then closed, and that later standbys
// are started later.
func TestStalledWatchRecovers(t *testing.T) {
	h, old := newHarnessWithStalledWatch(t, standbySoonTimes)
	for i := range 8 {
		second := h.nextCall(fmt.Sprintf("watch=1&from=%d", 2+i))
		if i == 0 {
			old.respond(`tances":[],"reset":false}` + "\n")
		} else {
			old.respond(fakes.List(3+i, false) + "\n")
		}
		h.expectReports(fmt.Sprintf("%d of kind 0", 3+i))
		second.awaitClose()
		old.expectOpen()
	}
	h.runOnLoop(func() { testkit.Equal(t, "line delay", standbySoonTimes.Jitter, h.lineDelay) })
	h.nextCall("watch=1&from=10")
}

// TestStandbyFails checks that a failed standby is started once more, and that the failure of the second one ends the stalled watch
// too, with one report that names both calls.
func TestStandbyFails(t *testing.T) {
	for _, last := range []bool{false, true} {
		t.Run(fmt.Sprint(last), func(t *testing.T) {
			h, old := newHarnessWithStalledWatch(t, standbySoonTimes)
			h.nextCall("watch=1&from=2").respond("[503]")
			third := h.nextCall("watch=1&from=2")
			if old.expectOpen(); last {
				third.respond("[503]")
				h.expectReports("failed: discovery: the watch timed out (*from=1, object 2, 20 bytes of it); the watch that replaced it failed: status 503 (*from=2, object 1)")
				old.awaitClose()
				h.runOnLoop(func() { h.Watch(true) }) // as the proxy does after a failure
				third = h.nextCall("watch=1&from=2")
			} else {
				third.respond(fakes.List(3, false) + "\n")
				h.expectReports(standbyNotice)
				old.awaitClose()
				h.expectReports("3 of kind 0")
				return
			}
			third.respond(fakes.List(3, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
			h.expectReports("3 of kind 1")
		})
	}
}

// TestWatchIsLostWhileStandbyWaits checks that a standby that has sent its request replaces a lost watch and keeps its full timeout
// for the response. If the standby fails as well, there is only one failure report.
func TestWatchIsLostWhileStandbyWaits(t *testing.T) {
	for _, how := range []string{"silence", "reset"} {
		for _, response := range []string{"list", "none"} {
			t.Run(how+" "+response, func(t *testing.T) {
				h, old := newHarnessWithStalledWatch(t, standbySoonTimes)
				second := h.nextCall("watch=1&from=2")
				lost := "the watch timed out"
				if how == "silence" {
					h.runOnLoop(func() { h.watch.fail(watchTimedOut()) })
				} else {
					lost = "the response ended"
					old.respond("")
				}
				old.awaitClose()
				for promoted := false; !promoted; { // the loop may not have read the end of the response yet
					h.runOnLoop(func() { promoted = h.standby == nil })
				}
				if response == "list" {
					second.respond(fakes.List(3, false) + "\n")
					h.expectReports("noted: discovery: "+lost+" (*from=1, object 2, 20 bytes of it); the standby", "3 of kind 0")
					return
				}
				second.respond("")
				h.expectReports("failed: discovery: " + lost + " (*from=1, object 2, 20 bytes of it); the watch that replaced it failed: the response ended (*from=2, object 1)")
			})
		}
	}
}

// TestLossAndCancel checks that the loss of a watch without a standby is reported at once, that Watch(true) then starts a new watch,
// and that Watch(false) closes all calls and starts no further one.
func TestLossAndCancel(t *testing.T) {
	h, old := newHarnessWithStalledWatch(t, Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Millisecond})
	h.expectReports("failed: discovery: the watch timed out (*from=1, object 2, 20 bytes of it)")
	old.awaitClose()
	h.runOnLoop(func() {
		h.Times = standbySoonTimes
		h.Watch(true)
	})
	third := h.nextCall("watch=1&from=2")
	third.respond(fakes.List(5, false) + "\n")
	h.expectReports("5 of kind 0")
	fourth := h.nextCall("watch=1&from=5")
	h.runOnLoop(func() { h.Watch(false) })
	third.awaitClose()
	fourth.awaitClose()
	h.runOnLoop(func() {
		testkit.Equal(t, "no watch and no standby", []bool{true, true}, []bool{h.watch == nil, h.standby == nil})
	})
}

// TestAddressChangeWithStalledWatch checks that no further call goes to the old address, that its watch stays open, and that the end
// of this watch is not reported.
func TestAddressChangeWithStalledWatch(t *testing.T) {
	other := newHarness(t, standbySoonTimes)
	h, old := newHarnessWithStalledWatch(t, standbySoonTimes)
	second := h.nextCall("watch=1&from=2")
	h.runOnLoop(func() { h.SetAddress(other.Addr) })
	second.awaitClose()
	first := other.nextCall("watch=1&from=0")
	old.respond("\n") // makes its object invalid, which is no longer reported
	old.awaitClose()
	first.respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	h.expectReports("1 of kind 1")
}

// TestAddressChangeAndBack checks that switching back to the first address resumes its watch, from its latest list, without a call.
func TestAddressChangeAndBack(t *testing.T) {
	other := newHarness(t, standbySoonTimes)
	h := newHarness(t, Times{CallTimeout: fakes.WaitTimeout, StandbyAfter: fakes.WaitTimeout, Jitter: time.Second, WatchTimeout: fakes.WaitTimeout})
	addr := h.Addr
	h.runOnLoop(func() { h.Watch(true) })
	watch := h.nextCall("watch=1&from=1")
	line := func(generation int) {
		watch.respond(fakes.List(generation, false, fakes.Entry{ID: "s-1"}.String()) + "\n")
	}
	line(2)
	h.expectReports("2 of kind 0")
	h.runOnLoop(func() { h.SetAddress(other.Addr) })
	there := other.nextCall("watch=1&from=0")
	line(3)
	h.expectReports("3 of kind 0")
	h.runOnLoop(func() { testkit.Equal(t, "HasSynced", false, h.HasSynced()) })
	h.runOnLoop(func() { h.SetAddress(addr) })
	there.awaitClose()
	h.runOnLoop(func() {
		testkit.Equal(t, "HasSynced and generation", []any{true, int64(3)}, []any{h.HasSynced(), h.Generation})
	})
	line(4)
	h.expectReports("4 of kind 0")
	watch.expectOpen()
}

// TestFetchTimesOut checks that a fetch that times out is retried once without a report, that its list may be indented, and that
// invalid responses are reported.
func TestFetchTimesOut(t *testing.T) {
	h := newHarness(t, standbySoonTimes)
	h.runOnLoop(h.Fetch)
	first := h.nextCall("")
	timeOutFetches := func() {
		for call := range h.fetches {
			call.fail(timedOut.New("", "no answer in time"))
		}
	}
	h.runOnLoop(timeOutFetches)
	first.awaitClose()
	second := h.nextCall("")
	second.respond("\n{\n  \"generation\": 7,\n  \"reset\": true,\n  \"instances\": [\n")
	second.respond(fakes.Entry{ID: "s-1"}.String() + "]}")
	second.respond("")
	h.expectReports("7 of kind 1")
	h.runOnLoop(h.Fetch)
	h.nextCall("")
	h.runOnLoop(timeOutFetches)
	h.nextCall("")
	h.runOnLoop(timeOutFetches)
	h.expectReports("failed: discovery: no answer in time (*/registry/instances, object 1)")
	for response, fault := range map[string]string{"{}\n{}": "more than one object", "{}{}": "bytes left", `{"generation":`: "", "": "no object", "{\n": "ended before"} {
		h.runOnLoop(h.Fetch)
		call := h.nextCall("")
		call.respond(response)
		if response != "" {
			call.respond("")
		}
		h.expectReports("failed: discovery: endpoint list: *" + fault)
	}
}

// TestDefaultTimes checks that the default times meet the freshness bound of six seconds, including the time for a response, and that
// a line that is half a second late starts no standby. Proxies that lose their watches at the same moment call at different times.
func TestDefaultTimes(t *testing.T) {
	const every, bound = 2 * time.Second, 6 * time.Second
	times := DefaultTimes
	if last := times.StandbyAfter + times.Jitter + 3*times.Jitter/8 + times.CallTimeout/2; times.StandbyAfter < every+every/4 || last > bound-every/4 || times.WatchTimeout >= bound {
		t.Errorf("a standby starts after %v to %v, its retry ends by %v, and the watch is lost after %v", times.StandbyAfter, times.StandbyAfter+times.Jitter, last, times.WatchTimeout)
	}
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	var tenths [10]int
	for seed := range uint64(500) {
		c := Client{Loop: loop, Seed: seed + 1}
		tenths[int(10*c.randomWithin(times.Jitter)/times.Jitter)]++
	}
	for i, n := range tenths {
		if n < 25 || n > 85 {
			t.Errorf("%d of 500 proxies call in tenth %d of the range", n, i)
		}
	}
}

// TestFailureKinds checks the kind of each failure and that its CallError names the call.
func TestFailureKinds(t *testing.T) {
	for response, kind := range map[string]*apperror.Kind{"[503]": rejected, "": truncated, "{]\n": invalidList, "{}{\"generation\":-1}\n": invalidList} {
		h := newHarness(t, standbySoonTimes)
		h.Generation = 0
		var got error
		failed := h.OnFailure
		h.OnFailure = func(err error) { got = err; failed(err) }
		h.runOnLoop(func() { h.Watch(true) })
		h.nextCall("watch=1&from=0").respond(response)
		if strings.HasPrefix(response, "{}") {
			h.expectReports("0 of kind 0")
		}
		h.expectReports("failed: discovery: ")
		h.runOnLoop(func() {
			if !kind.Matches(got) || (kind == invalidList) != errors.Is(got, ErrInvalidList) {
				t.Errorf("%q: %v is not of kind %s", response, got, kind.Name)
			}
			var failure *CallError
			if !errors.As(got, &failure) || failure.Addr != h.Addr || failure.Path != listPath+"?watch=1&from=0" || failure.Object < 1 {
				t.Errorf("%q: %+v does not name its call", response, failure)
			}
		})
	}
}
