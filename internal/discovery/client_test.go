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

// fakeCall is a call that came to the fake discovery. It stays open and idle until the test or the client ends it.
type fakeCall struct {
	query      string
	responses  chan string // "": ends the response; a number in brackets: responds with that status
	clientGone <-chan struct{}
	t          *testing.T
}

func (a *fakeCall) respond(text string) { a.responses <- text }

func (a *fakeCall) awaitClose() {
	a.t.Helper()
	fakes.Await(a.t, a.clientGone)
}

func (a *fakeCall) expectOpen() {
	a.t.Helper()
	select {
	case <-a.clientGone:
		a.t.Errorf("the call %q was given up", a.query)
	default:
	}
}

// rig is a client on a loop of its own, a fake discovery that the test controls, and all that the client reports. The client's
// times are such that only the timers that the test is about come due.
type rig struct {
	*Client
	t       *testing.T
	calls   chan *fakeCall
	reports chan string
}

func newRig(t *testing.T, times Times) *rig {
	a := &rig{t: t, calls: make(chan *fakeCall, 16), reports: make(chan string, 16)}
	end := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		k := &fakeCall{r.URL.RawQuery, make(chan string, 16), r.Context().Done(), t}
		a.calls <- k
		for {
			select {
			case text := <-k.responses:
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
			case <-k.clientGone:
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
	a.Client = &Client{Loop: loop, Addr: srv.Listener.Addr().String(), Times: times, Seed: 1, Generation: 1, SeenEndpoints: true,
		OnList: func(l List, kind balancer.ListKind) {
			a.reports <- fmt.Sprintf("%d of kind %d", l.Generation, kind)
		},
		OnFailure: func(err error) {
			if len(apperror.Resolutions(err)) == 0 {
				t.Errorf("no resolution for %v", err)
			}
			a.reports <- "failed: " + err.Error()
		},
		OnNotice: func(err error) { a.reports <- "noted: " + err.Error() },
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
		case text := <-a.reports:
			t.Errorf("unexpected report: %s", text)
		default:
		}
	})
	return a
}

// runOnLoop runs f on the loop, in a turn of its own, and waits for it.
func (a *rig) runOnLoop(f func()) {
	a.t.Helper()
	done := make(chan struct{})
	if err := a.Loop.Post(func() { f(); close(done) }); err != nil {
		a.t.Fatal(err)
	}
	fakes.Await(a.t, done)
}

// nextCall waits for the next call, which must have this query.
func (a *rig) nextCall(query string) *fakeCall {
	a.t.Helper()
	k := fakes.Await(a.t, a.calls)
	testkit.Equal(a.t, "call", query, k.query)
	return k
}

func (a *rig) expectReports(want ...string) {
	a.t.Helper()
	for _, w := range want {
		got := fakes.Await(a.t, a.reports)
		for _, part := range strings.Split(w, "*") {
			if !strings.Contains(got, part) {
				a.t.Errorf("got report %q, want %q", got, w)
			}
		}
	}
}

// newRigWithStalledWatch returns a rig whose watch has brought generation 2 and half an object, and then nothing.
func newRigWithStalledWatch(t *testing.T, times Times) (*rig, *fakeCall) {
	a := newRig(t, times)
	a.runOnLoop(func() { a.Watch(true) })
	old := a.nextCall("watch=1&from=1")
	old.respond(fakes.List(2, false) + "\n" + `{"generation":3,"ins`)
	a.expectReports("2 of kind 0")
	return a, old
}

// standbySoonTimes starts a standby within milliseconds; all else takes longer than any test.
var standbySoonTimes = Times{CallTimeout: time.Hour, StandbyAfter: time.Millisecond, Jitter: time.Millisecond, WatchTimeout: time.Hour}

const standbyNotice = "noted: discovery: the watch timed out (*/registry/instances?watch=1&from=1, object 2, 20 bytes of it); another one has taken its place"

// TestStalledWatchIsReplaced: a standby is started beside a stalled watch, from the known generation, and takes its place when it
// brings something, however late that is. That is no failure.
func TestStalledWatchIsReplaced(t *testing.T) {
	a, old := newRigWithStalledWatch(t, standbySoonTimes)
	second := a.nextCall("watch=1&from=2")
	a.runOnLoop(func() {})
	old.expectOpen()
	second.respond("\n")
	a.expectReports(standbyNotice)
	old.awaitClose()
	second.respond(fakes.List(4, false) + "\n")
	a.expectReports("4 of kind 0")
	for fakes.Await(t, a.calls).query != "watch=1&from=4" { // one from before the list may have come too
	}
}

// TestStalledWatchRecovers: what comes on the stalled watch counts; the standby is closed, and later ones are started later.
func TestStalledWatchRecovers(t *testing.T) {
	a, old := newRigWithStalledWatch(t, standbySoonTimes)
	for i := range 8 {
		second := a.nextCall(fmt.Sprintf("watch=1&from=%d", 2+i))
		if i == 0 {
			old.respond(`tances":[],"reset":false}` + "\n")
		} else {
			old.respond(fakes.List(3+i, false) + "\n")
		}
		a.expectReports(fmt.Sprintf("%d of kind 0", 3+i))
		second.awaitClose()
		old.expectOpen()
	}
	a.runOnLoop(func() { testkit.Equal(t, "waits longer", standbySoonTimes.Jitter, a.lineDelay) })
	a.nextCall("watch=1&from=10")
}

// TestStandbyFails: a standby that fails is started once more; then both are lost, which is reported once, with both places.
func TestStandbyFails(t *testing.T) {
	for _, last := range []bool{false, true} {
		t.Run(fmt.Sprint(last), func(t *testing.T) {
			a, old := newRigWithStalledWatch(t, standbySoonTimes)
			a.nextCall("watch=1&from=2").respond("[503]")
			third := a.nextCall("watch=1&from=2")
			if old.expectOpen(); last {
				third.respond("[503]")
				a.expectReports("failed: discovery: the watch timed out (*from=1, object 2, 20 bytes of it), and asked anew: status 503 (*from=2, object 1)")
				old.awaitClose()
				a.runOnLoop(func() { a.Watch(true) }) // the module's answer
				third = a.nextCall("watch=1&from=2")
			} else {
				third.respond(fakes.List(3, false) + "\n")
				a.expectReports(standbyNotice)
				old.awaitClose()
				a.expectReports("3 of kind 0")
				return
			}
			third.respond(fakes.List(3, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
			a.expectReports("3 of kind 1")
		})
	}
}

// TestWatchIsLostWhileStandbyWaits: a standby that has sent its request when the watch is lost takes its place and has its whole
// time for the response; where none comes, that is the one failure.
func TestWatchIsLostWhileStandbyWaits(t *testing.T) {
	for _, how := range []string{"silence", "reset"} {
		for _, answer := range []string{"list", "none"} {
			t.Run(how+" "+answer, func(t *testing.T) {
				a, old := newRigWithStalledWatch(t, standbySoonTimes)
				second := a.nextCall("watch=1&from=2")
				lost := "the watch timed out"
				if how == "silence" {
					a.runOnLoop(func() { a.watch.fail(watchTimedOut()) })
				} else {
					lost = "the response ended"
					old.respond("")
				}
				old.awaitClose()
				for taken := false; !taken; { // the loop may not have read the end yet
					a.runOnLoop(func() { taken = a.standby == nil })
				}
				if answer == "list" {
					second.respond(fakes.List(3, false) + "\n")
					a.expectReports("noted: discovery: "+lost+" (*from=1, object 2, 20 bytes of it); another", "3 of kind 0")
					return
				}
				second.respond("")
				a.expectReports("failed: discovery: " + lost + " (*from=1, object 2, 20 bytes of it), and asked anew: the response ended (*from=2, object 1)")
			})
		}
	}
}

// TestLossAndCancel: without a standby the loss is reported at once, and Watch then starts a watch; a watch that is canceled makes
// no further calls.
func TestLossAndCancel(t *testing.T) {
	a, old := newRigWithStalledWatch(t, Times{CallTimeout: time.Hour, StandbyAfter: time.Hour, Jitter: time.Hour, WatchTimeout: time.Millisecond})
	a.expectReports("failed: discovery: the watch timed out (*from=1, object 2, 20 bytes of it)")
	old.awaitClose()
	a.runOnLoop(func() {
		a.Times = standbySoonTimes
		a.Watch(true)
	})
	third := a.nextCall("watch=1&from=2")
	third.respond(fakes.List(5, false) + "\n")
	a.expectReports("5 of kind 0")
	fourth := a.nextCall("watch=1&from=5")
	a.runOnLoop(func() { a.Watch(false) })
	third.awaitClose()
	fourth.awaitClose()
	a.runOnLoop(func() {
		testkit.Equal(t, "nothing is asked", []bool{true, true}, []bool{a.watch == nil, a.standby == nil})
	})
}

// TestAddressChangeWithStalledWatch: no further call goes to the old discovery, whose watch is followed to its end.
func TestAddressChangeWithStalledWatch(t *testing.T) {
	other := newRig(t, standbySoonTimes)
	a, old := newRigWithStalledWatch(t, standbySoonTimes)
	second := a.nextCall("watch=1&from=2")
	a.runOnLoop(func() { a.SetAddress(other.Addr) })
	second.awaitClose()
	first := other.nextCall("watch=1&from=0")
	old.respond("\n") // breaks its object, which is no failure any more
	old.awaitClose()
	first.respond(fakes.List(1, true, fakes.Entry{ID: "s-1"}.String()) + "\n")
	a.expectReports("1 of kind 1")
}

// TestAddressChangeAndBack: after a change back the watch at the first discovery goes on without a call, from its latest list.
func TestAddressChangeAndBack(t *testing.T) {
	other := newRig(t, standbySoonTimes)
	a := newRig(t, Times{CallTimeout: fakes.WaitTimeout, StandbyAfter: fakes.WaitTimeout, Jitter: time.Second, WatchTimeout: fakes.WaitTimeout})
	addr := a.Addr
	a.runOnLoop(func() { a.Watch(true) })
	watch := a.nextCall("watch=1&from=1")
	line := func(generation int) {
		watch.respond(fakes.List(generation, false, fakes.Entry{ID: "s-1"}.String()) + "\n")
	}
	line(2)
	a.expectReports("2 of kind 0")
	a.runOnLoop(func() { a.SetAddress(other.Addr) })
	there := other.nextCall("watch=1&from=0")
	line(3)
	a.expectReports("3 of kind 0")
	a.runOnLoop(func() { testkit.Equal(t, "reached", false, a.HasSynced()) })
	a.runOnLoop(func() { a.SetAddress(addr) })
	there.awaitClose()
	a.runOnLoop(func() { testkit.Equal(t, "from where", []any{true, int64(3)}, []any{a.HasSynced(), a.Generation}) })
	line(4)
	a.expectReports("4 of kind 0")
	watch.expectOpen()
}

// TestFetchTimesOut: a fetch that times out is repeated once, without a report; its list may be written in any way.
func TestFetchTimesOut(t *testing.T) {
	a := newRig(t, standbySoonTimes)
	a.runOnLoop(a.Fetch)
	first := a.nextCall("")
	silence := func() {
		for k := range a.fetches {
			k.fail(timedOut.New("", "no answer in time"))
		}
	}
	a.runOnLoop(silence)
	first.awaitClose()
	second := a.nextCall("")
	second.respond("\n{\n  \"generation\": 7,\n  \"reset\": true,\n  \"instances\": [\n")
	second.respond(fakes.Entry{ID: "s-1"}.String() + "]}")
	second.respond("")
	a.expectReports("7 of kind 1")
	a.runOnLoop(a.Fetch)
	a.nextCall("")
	a.runOnLoop(silence)
	a.nextCall("")
	a.runOnLoop(silence)
	a.expectReports("failed: discovery: no answer in time (*/registry/instances, object 1)")
	for answer, fault := range map[string]string{"{}\n{}": "more than one object", "{}{}": "bytes left", `{"generation":`: "", "": "no object", "{\n": "ended before"} {
		a.runOnLoop(a.Fetch)
		k := a.nextCall("")
		k.respond(answer)
		if answer != "" {
			k.respond("")
		}
		a.expectReports("failed: discovery: endpoint list: *" + fault)
	}
}

// TestDefaultTimes: the default times keep the freshness bound of six seconds, with time for a response; a line that is half a
// second late costs nothing. Proxies that lose a watch at the same moment call at different times.
func TestDefaultTimes(t *testing.T) {
	const every, bound = 2 * time.Second, 6 * time.Second
	u := DefaultTimes
	if last := u.StandbyAfter + u.Jitter + 3*u.Jitter/8 + u.CallTimeout/2; u.StandbyAfter < every+every/4 || last > bound-every/4 || u.WatchTimeout >= bound {
		t.Errorf("a second call is begun after %v to %v, its repeat by %v, and the watch is lost after %v", u.StandbyAfter, u.StandbyAfter+u.Jitter, last, u.WatchTimeout)
	}
	loop, err := evloop.New()
	if err != nil {
		t.Fatal(err)
	}
	var tenths [10]int
	for seed := range uint64(500) {
		c := Client{Loop: loop, Seed: seed + 1}
		tenths[int(10*c.randomWithin(u.Jitter)/u.Jitter)]++
	}
	for i, n := range tenths {
		if n < 25 || n > 85 {
			t.Errorf("%d of 500 proxies ask in tenth %d of the spread", n, i)
		}
	}
}

func TestFailureKinds(t *testing.T) {
	for answer, kind := range map[string]*apperror.Kind{"[503]": rejected, "": truncated, "{]\n": invalidList, "{}{\"generation\":-1}\n": invalidList} {
		a := newRig(t, standbySoonTimes)
		a.Generation = 0
		var got error
		failed := a.OnFailure
		a.OnFailure = func(err error) { got = err; failed(err) }
		a.runOnLoop(func() { a.Watch(true) })
		a.nextCall("watch=1&from=0").respond(answer)
		if strings.HasPrefix(answer, "{}") {
			a.expectReports("0 of kind 0")
		}
		a.expectReports("failed: discovery: ")
		a.runOnLoop(func() {
			if !kind.Matches(got) || (kind == invalidList) != errors.Is(got, ErrInvalidList) {
				t.Errorf("%q: %v is not of %s", answer, got, kind.Name)
			}
			var failure *CallError
			if !errors.As(got, &failure) || failure.Addr != a.Addr || failure.Path != listPath+"?watch=1&from=0" || failure.Object < 1 {
				t.Errorf("%q: %+v does not name its call", answer, failure)
			}
		})
	}
}
