package discovery

import "time"

// Times contains the timeouts and bounds with which a Client keeps its list fresh. Its methods are pure: they use no clock and no
// socket.
//
// A change must be known within FreshnessBound after a watch stopped receiving, or after discovery became reachable again,
// regardless of earlier failed calls. Discovery answers about a dozen calls per second, so a response may be queued: the call that
// delivers the change must start at least QueueAllowance before the bound. A call that fails fast leaves more of that time for the
// restart delay than a call that times out. The delay is random, so that proxies that lose their watches at the same moment do not
// call at the same moment.
//
// An idle watch receives an empty line every 2 s. If a line is overdue, a standby watch is started, and the stalled watch is closed
// only when the standby makes progress, so a late line costs no more than one call.
type Times struct {
	CallTimeout                 time.Duration // from the start of a call to the first object of its response
	StandbyAfter                time.Duration // idle time of a watch, without any byte, before a standby is started
	Jitter                      time.Duration // range of the random delay before a standby; the ranges of other random delays are fractions of it
	WatchTimeout                time.Duration // time without an object or an empty line after which a watch is lost
	FreshnessBound              time.Duration // see Times; 0: the client does not restart lost watches, and the receiver of the failure must retry
	AddressChangeFreshnessBound time.Duration // tighter bound after a change of the address
	QueueAllowance              time.Duration // time reserved for a response that discovery queues
}

// DefaultTimes contains the times for service discovery, which promises the intervals and the call rate described at Times.
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
	// maxStandbyAttempts bounds the standbys that are started for one stalled watch.
	maxStandbyAttempts = 2
	// schedulingMargin allows for late timers and for the setup of a connection.
	schedulingMargin = 250 * time.Millisecond
	// maxBackoffDoublings bounds the exponential backoff of restarts.
	maxBackoffDoublings = 2
	// minRestartSpan is the lower bound on the span from which a restart delay is drawn, whatever the poll interval.
	minRestartSpan = 100 * time.Millisecond
	// maxPollIntervalFactor bounds the poll interval used for restart delays, as a multiple of the freshness bound.
	maxPollIntervalFactor = 16
)

// lineDelayStep returns the extra wait before a standby starts that each late line adds.
func (t Times) lineDelayStep() time.Duration { return t.Jitter / 4 }

// minRetryDelay and maxRetryDelay bound the delay before a standby is retried. maxRetryDelay also bounds the delay of a restart that
// can no longer meet the freshness bound.
func (t Times) minRetryDelay() time.Duration { return t.Jitter / 16 }
func (t Times) maxRetryDelay() time.Duration { return 3 * t.Jitter / 16 }

// latestCallStart returns the time, after a change could first be known, by which the call that delivers it must start.
func (t Times) latestCallStart() time.Duration {
	return t.FreshnessBound - t.QueueAllowance - schedulingMargin
}

// restartDelay returns the delay before a lost watch is restarted. elapsed is the time since the lost watch may have missed a
// change, lostWatches the number of consecutive watches lost before it, and fraction a random number from 0 to below 1. The delay is
// drawn from the last two thirds of a span of 3/16 of the poll interval. To reduce the load on a discovery server that is down, the span
// doubles with each lost watch, up to maxBackoffDoublings times. It is limited to the time left until latestCallStart, or to
// maxRetryDelay if less than that is left, and it is at least minRestartSpan.
func (t Times) restartDelay(pollInterval, elapsed time.Duration, lostWatches int, fraction float64) time.Duration {
	if pollInterval <= 0 {
		pollInterval = t.FreshnessBound
	}
	span := min(pollInterval, maxPollIntervalFactor*t.FreshnessBound) * 3 / 16 << min(lostWatches, maxBackoffDoublings)
	span = min(span, max(t.latestCallStart()-elapsed, t.maxRetryDelay()))
	span = max(span, minRestartSpan)
	return interpolate(span/3, span, fraction)
}

// standbyDelay returns the idle time of a watch after which a standby is started. lineDelay is the lateness of lines observed so far.
func (t Times) standbyDelay(lineDelay time.Duration, fraction float64) time.Duration {
	from := t.StandbyAfter + lineDelay
	to := max(t.StandbyAfter+t.Jitter, from+t.lineDelayStep())
	return interpolate(from, to, fraction)
}

// standbyRetryDelay returns the delay between the failure of a standby and the start of the next one.
func (t Times) standbyRetryDelay(fraction float64) time.Duration {
	return interpolate(t.minRetryDelay(), t.maxRetryDelay(), fraction)
}

// interpolate returns from + fraction*(to-from); fraction is between 0 and 1.
func interpolate(from, to time.Duration, fraction float64) time.Duration {
	return from + time.Duration(fraction*float64(to-from))
}
