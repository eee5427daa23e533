package discovery

import "time"

// Times are the times by which a Client keeps its list fresh. All arithmetic on them is pure: no clock, no socket.
//
// A change has to be known FreshnessBound after a watch stopped sending, or after discovery could be reached again, whatever
// calls have failed before. Discovery answers about a dozen calls a second, so a response may wait for its turn: the call that
// brings the change starts QueueAllowance earlier than the bound at the latest. Calls that fail fast leave more of that time for
// waiting than calls that time out, and proxies that lose a watch at the same moment each wait for a random time of their own.
//
// An idle watch brings an empty line every 2 s. When one is overdue a standby watch is started beside it, and the old one is
// given up only when the standby brings something: a late line costs one call.
type Times struct {
	CallTimeout                 time.Duration // until the first object of a response
	StandbyAfter                time.Duration // without a byte on a watch, until a standby is started
	Jitter                      time.Duration // span of the random delay of standbys; other random delays are parts of it
	WatchTimeout                time.Duration // without an object or an empty line, until a watch is lost
	FreshnessBound              time.Duration // 0: lost watches are not restarted; whoever gets the failure asks again
	AddressChangeFreshnessBound time.Duration // the same bound after a change of the address
	QueueAllowance              time.Duration // for a response that waits for its turn
}

// DefaultTimes are the times that follow from what discovery promises.
var DefaultTimes = Times{
	CallTimeout:                 2500 * time.Millisecond,
	StandbyAfter:                2500 * time.Millisecond,
	Jitter:                      time.Second,
	WatchTimeout:                5500 * time.Millisecond,
	FreshnessBound:              6 * time.Second,
	AddressChangeFreshnessBound: 4 * time.Second,
	QueueAllowance:              2 * time.Second,
}

const (
	// maxStandbyAttempts is how often a standby is started beside a stalled watch.
	maxStandbyAttempts = 2
	// schedulingMargin is for late timers and for the time that a connection takes to come up.
	schedulingMargin = 250 * time.Millisecond
	// maxDoublings bounds the exponential backoff between lost watches.
	maxDoublings = 2
	// minRestartSpan is the shortest span from which a restart delay is drawn, whatever the settings say.
	minRestartSpan = 100 * time.Millisecond
	// maxPollIntervals bounds the poll interval from the settings, in freshness bounds.
	maxPollIntervals = 16
)

// lineDelayStep returns by how much longer a standby waits for a line with each that came late before.
func (t Times) lineDelayStep() time.Duration { return t.Jitter / 4 }

// minRetryDelay and maxRetryDelay bound the delay of a standby's retry. A restart whose call can no longer start in time has
// maxRetryDelay at most, too.
func (t Times) minRetryDelay() time.Duration { return t.Jitter / 16 }
func (t Times) maxRetryDelay() time.Duration { return 3 * t.Jitter / 16 }

// latestCallStart returns how long after a change could be known the call that brings it has to start.
func (t Times) latestCallStart() time.Duration {
	return t.FreshnessBound - t.QueueAllowance - schedulingMargin
}

// restartDelay returns the time until a watch is started in place of a lost one. elapsed is how long ago the lost watch may have
// missed something, lostWatches how many were lost before it in a row. The delay is drawn from the last two thirds of a span:
// 3/16 of the poll interval, doubled with each lost watch up to maxDoublings, to spare a discovery that is down, but no more than
// is left until latestCallStart, and maxRetryDelay once that has passed. fraction is random, from 0 to below 1.
func (t Times) restartDelay(pollInterval, elapsed time.Duration, lostWatches int, fraction float64) time.Duration {
	if pollInterval <= 0 {
		pollInterval = t.FreshnessBound
	}
	span := min(pollInterval, maxPollIntervals*t.FreshnessBound) * 3 / 16 << min(lostWatches, maxDoublings)
	span = min(span, max(t.latestCallStart()-elapsed, t.maxRetryDelay()))
	span = max(span, minRestartSpan)
	return interpolate(span/3, span, fraction)
}

// probeDelay returns the time without a byte after which a standby is started. lineDelay is by how much lines came late before.
func (t Times) probeDelay(lineDelay time.Duration, fraction float64) time.Duration {
	from := t.StandbyAfter + lineDelay
	to := max(t.StandbyAfter+t.Jitter, from+t.lineDelayStep())
	return interpolate(from, to, fraction)
}

// standbyRetryDelay returns the time from a standby that failed to the next one.
func (t Times) standbyRetryDelay(fraction float64) time.Duration {
	return interpolate(t.minRetryDelay(), t.maxRetryDelay(), fraction)
}

// interpolate returns the duration that lies a fraction, from 0 to 1, of the way between two others.
func interpolate(from, to time.Duration, fraction float64) time.Duration {
	return from + time.Duration(fraction*float64(to-from))
}
