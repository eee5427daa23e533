package discovery

import (
	"fmt"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

// pollIntervals are what settings may give, from nothing to a day.
var pollIntervals = []time.Duration{0, time.Millisecond, time.Second, 10 * time.Second, time.Minute, 24 * time.Hour}

// TestFreshnessBoundAfterAnyFailures: whatever calls fail, and in whatever way, a change is known within six seconds after discovery
// can be reached. A call that starts after that gets its response within QueueAllowance; earlier ones may still fail.
func TestFreshnessBoundAfterAnyFailures(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		u, every := DefaultTimes, rapid.SampledFrom(pollIntervals).Draw(t, "every")
		duration := func(most time.Duration, name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		now := duration(u.WatchTimeout, "since the watch's last line") // when it is lost
		// Discovery comes back only after that; TestFreshnessBoundAfterStalledWatch has the time before.
		reachable := now + duration(time.Minute, "outage")
		began, spent, calls := now, now, 0
		for failed := 0; ; failed++ {
			wait := u.restartDelay(every, spent, failed, rapid.Float64Range(0, 0.999999).Draw(t, "chance"))
			if wait < minRestartSpan/3 {
				t.Fatalf("asked again after %v", wait)
			}
			now += wait
			began = now
			calls++
			if began >= reachable {
				break
			}
			spent = duration(u.CallTimeout, "until it failed")
			now += spent
		}
		if known := began + u.QueueAllowance + schedulingMargin; known > reachable+u.FreshnessBound {
			t.Fatalf("known %v after discovery was reachable, by call %d", known-reachable, calls)
		}
	})
}

// TestFreshnessBoundAfterStalledWatch: a stalled watch is replaced within six seconds, also where lines came late before and where
// the first standby is refused. Where the second standby is lost too, a new watch starts shortly after.
func TestFreshnessBoundAfterStalledWatch(t *testing.T) {
	u := DefaultTimes
	const most = 0.999999
	for _, late := range []time.Duration{0, u.Jitter / 4, u.Jitter / 2, 3 * u.Jitter / 4, u.Jitter} {
		for _, fraction := range []float64{0, 0.5, most} {
			first := u.standbyDelay(late, fraction)
			if first < u.StandbyAfter+late || first > u.latestCallStart() {
				t.Errorf("lines %v late, chance %v: a second call is begun after %v", late, fraction, first)
			}
			if again := first + u.standbyRetryDelay(fraction) + u.QueueAllowance; again > u.FreshnessBound {
				t.Errorf("lines %v late, chance %v: the repeat of a refused call ends after %v", late, fraction, again)
			}
		}
	}
	for _, every := range pollIntervals {
		if wait := u.restartDelay(every, u.WatchTimeout, 0, most); u.WatchTimeout+wait > u.FreshnessBound {
			t.Errorf("every %v: a lost watch is begun anew %v after it fell silent", every, u.WatchTimeout+wait)
		}
	}
}

// TestWorstCases has the worst cases of docs/design/lifecycle.md one by one; each bound counts from when discovery had the change
// and could be reached.
func TestWorstCases(t *testing.T) {
	u := DefaultTimes
	const most = 0.999999
	for _, every := range pollIntervals {
		wait := func(spent time.Duration, failed int) time.Duration { return u.restartDelay(every, spent, failed, most) }
		for _, c := range []struct {
			name  string
			bound time.Duration
		}{
			{"a watch that is mute from its first second, or after its headers", u.CallTimeout + wait(u.CallTimeout, 0)},
			{"a watch that is reset in its work", wait(0, 0)},
			{"refused time and again", wait(0, 9)},
			{"503 after waiting for two seconds", u.QueueAllowance + wait(u.QueueAllowance, 9)},
			{"accepted and never answered, time and again", u.CallTimeout + wait(u.CallTimeout, 9)},
			{"half an object and silence, begun two seconds after a line", u.WatchTimeout - 2*time.Second + wait(u.WatchTimeout, 0)},
		} {
			if c.bound+u.QueueAllowance+schedulingMargin > u.FreshnessBound {
				t.Errorf("every %v, %s: known after %v", every, c.name, c.bound+u.QueueAllowance+schedulingMargin)
			}
		}
		// A new address that refuses at first has a shorter bound, see scheduleRestart.
		if again := u.restartDelay(every, u.FreshnessBound-u.AddressChangeFreshnessBound, 0, most); again+u.QueueAllowance+schedulingMargin > u.AddressChangeFreshnessBound {
			t.Errorf("every %v, another discovery: known after %v", every, again+u.QueueAllowance+schedulingMargin)
		}
	}
}

// TestProxiesDoNotCallInStep: proxies that lose a watch at the same moment spread their calls, and an outage of eight seconds costs
// each of them a handful of calls.
func TestProxiesDoNotCallInStep(t *testing.T) {
	u, every := DefaultTimes, 10*time.Second
	var tenths [10]int
	calls := 0
	const proxies = 1000
	for i := range proxies {
		fraction := (float64(i) + 0.5) / proxies
		first := u.restartDelay(every, 0, 0, fraction)
		tenths[min(int(10*(first-u.restartDelay(every, 0, 0, 0))/(u.restartDelay(every, 0, 0, 1)-u.restartDelay(every, 0, 0, 0))), 9)]++
		for now, failed := first, 1; now < 8*time.Second; failed++ {
			calls++
			now += u.restartDelay(every, 0, failed, fraction)
		}
	}
	for i, n := range tenths {
		if n < proxies/20 || n > proxies/5 {
			t.Errorf("%d of %d ask in tenth %d", n, proxies, i)
		}
	}
	if least, most := u.restartDelay(every, 0, 0, 0), u.restartDelay(every, 0, 0, 1); most-least < time.Second {
		t.Errorf("all ask within %v", most-least)
	}
	if calls > 5*proxies {
		t.Errorf("%d calls of %d proxies in an outage", calls, proxies)
	}
	testkit.Equal(t, "grows", "1.875s 3.75s 3.75s", fmt.Sprint(u.restartDelay(every, 0, 0, 1), u.restartDelay(every, 0, 1, 1), u.restartDelay(every, 0, 2, 1)))
}

// TestRestartDelayWithoutPollInterval: where lists are pushed the settings have a poll interval of one second, and a lost watch is
// restarted within three quarters of it, however often it was lost.
func TestRestartDelayWithoutPollInterval(t *testing.T) {
	for failed := range 20 {
		if wait := DefaultTimes.restartDelay(time.Second, 0, failed, 1); wait > 750*time.Millisecond {
			t.Errorf("after %d failures: asked again after %v", failed, wait)
		}
	}
}
