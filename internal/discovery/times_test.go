package discovery

import (
	"fmt"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

// pollIntervals contains poll intervals that settings may contain, from none to one day.
var pollIntervals = []time.Duration{0, time.Millisecond, time.Second, 10 * time.Second, time.Minute, 24 * time.Hour}

// TestFreshnessBoundAfterAnyFailures checks that a change is known within six seconds after discovery becomes reachable, regardless
// of which calls failed before and of how long each took. A call that starts after that gets its response within QueueAllowance;
// earlier calls may still fail.
func TestFreshnessBoundAfterAnyFailures(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		times, every := DefaultTimes, rapid.SampledFrom(pollIntervals).Draw(t, "every")
		duration := func(most time.Duration, name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		now := duration(times.WatchTimeout, "since the watch's last line") // time at which the watch is lost
		// Discovery recovers only after the loss; TestFreshnessBoundAfterStalledWatch covers the time before.
		reachable := now + duration(time.Minute, "outage")
		began, spent, calls := now, now, 0
		for failed := 0; ; failed++ {
			wait := times.restartDelay(every, spent, failed, rapid.Float64Range(0, 0.999999).Draw(t, "chance"))
			if wait < minRestartSpan/3 {
				t.Fatalf("restart after %v, less than a third of minRestartSpan", wait)
			}
			now += wait
			began = now
			calls++
			if began >= reachable {
				break
			}
			spent = duration(times.CallTimeout, "until it failed")
			now += spent
		}
		if known := began + times.QueueAllowance + schedulingMargin; known > reachable+times.FreshnessBound {
			t.Fatalf("change is known %v after discovery was reachable, with call %d", known-reachable, calls)
		}
	})
}

// TestFreshnessBoundAfterStalledWatch checks that a stalled watch is replaced within six seconds, even if earlier lines were late and
// the first standby is rejected, and that a lost watch is restarted within the same bound.
func TestFreshnessBoundAfterStalledWatch(t *testing.T) {
	times := DefaultTimes
	const most = 0.999999
	for _, late := range []time.Duration{0, times.Jitter / 4, times.Jitter / 2, 3 * times.Jitter / 4, times.Jitter} {
		for _, fraction := range []float64{0, 0.5, most} {
			first := times.standbyDelay(late, fraction)
			if first < times.StandbyAfter+late || first > times.latestCallStart() {
				t.Errorf("lines %v late, fraction %v: the standby starts after %v", late, fraction, first)
			}
			if again := first + times.standbyRetryDelay(fraction) + times.QueueAllowance; again > times.FreshnessBound {
				t.Errorf("lines %v late, fraction %v: the retry of a rejected standby ends after %v", late, fraction, again)
			}
		}
	}
	for _, every := range pollIntervals {
		if wait := times.restartDelay(every, times.WatchTimeout, 0, most); times.WatchTimeout+wait > times.FreshnessBound {
			t.Errorf("poll interval %v: a lost watch is restarted %v after its last line", every, times.WatchTimeout+wait)
		}
	}
}

// TestWorstCases checks each worst case listed in docs/design/lifecycle.md. The bound counts from the time at which discovery had the
// change and was reachable.
func TestWorstCases(t *testing.T) {
	times := DefaultTimes
	const most = 0.999999
	for _, every := range pollIntervals {
		wait := func(spent time.Duration, failed int) time.Duration {
			return times.restartDelay(every, spent, failed, most)
		}
		for _, c := range []struct {
			name  string
			bound time.Duration
		}{
			{"a watch that receives nothing, or nothing after its headers", times.CallTimeout + wait(times.CallTimeout, 0)},
			{"a watch that is reset while streaming", wait(0, 0)},
			{"rejected repeatedly", wait(0, 9)},
			{"503 after two seconds in the queue", times.QueueAllowance + wait(times.QueueAllowance, 9)},
			{"accepted and never answered, repeatedly", times.CallTimeout + wait(times.CallTimeout, 9)},
			{"half an object, which starts two seconds after a line, and then nothing", times.WatchTimeout - 2*time.Second + wait(times.WatchTimeout, 0)},
		} {
			if c.bound+times.QueueAllowance+schedulingMargin > times.FreshnessBound {
				t.Errorf("poll interval %v, %s: change is known after %v", every, c.name, c.bound+times.QueueAllowance+schedulingMargin)
			}
		}
		// After a change of the address the bound is shorter, see scheduleRestart.
		if again := times.restartDelay(every, times.FreshnessBound-times.AddressChangeFreshnessBound, 0, most); again+times.QueueAllowance+schedulingMargin > times.AddressChangeFreshnessBound {
			t.Errorf("poll interval %v, changed address: change is known after %v", every, again+times.QueueAllowance+schedulingMargin)
		}
	}
}

// TestProxiesDoNotCallInStep checks that proxies that lose their watches at the same moment spread their calls, and make at most
// five calls each on average in an outage of eight seconds.
func TestProxiesDoNotCallInStep(t *testing.T) {
	times, every := DefaultTimes, 10*time.Second
	var tenths [10]int
	calls := 0
	const proxies = 1000
	for i := range proxies {
		fraction := (float64(i) + 0.5) / proxies
		first := times.restartDelay(every, 0, 0, fraction)
		tenths[min(int(10*(first-times.restartDelay(every, 0, 0, 0))/(times.restartDelay(every, 0, 0, 1)-times.restartDelay(every, 0, 0, 0))), 9)]++
		for now, failed := first, 1; now < 8*time.Second; failed++ {
			calls++
			now += times.restartDelay(every, 0, failed, fraction)
		}
	}
	for i, n := range tenths {
		if n < proxies/20 || n > proxies/5 {
			t.Errorf("%d of %d proxies call in tenth %d of the range", n, proxies, i)
		}
	}
	if least, most := times.restartDelay(every, 0, 0, 0), times.restartDelay(every, 0, 0, 1); most-least < time.Second {
		t.Errorf("all proxies call within %v", most-least)
	}
	if calls > 5*proxies {
		t.Errorf("%d calls from %d proxies in an outage", calls, proxies)
	}
	testkit.Equal(t, "delays after 0, 1 and 2 lost watches", "1.875s 3.75s 3.75s", fmt.Sprint(times.restartDelay(every, 0, 0, 1), times.restartDelay(every, 0, 1, 1), times.restartDelay(every, 0, 2, 1)))
}

// TestRestartDelayWithPushedLists checks that with the poll interval of one second, which the settings have for pushed lists, a lost
// watch is restarted within three quarters of a second, regardless of the number of lost watches.
func TestRestartDelayWithPushedLists(t *testing.T) {
	for failed := range 20 {
		if wait := DefaultTimes.restartDelay(time.Second, 0, failed, 1); wait > 750*time.Millisecond {
			t.Errorf("after %d failures: restart after %v", failed, wait)
		}
	}
}
