package fleettest

import (
	"slices"
	"sync"
	"time"
)

// intervals is a set of periods in which a process was unavailable. It is safe for concurrent use.
type intervals struct {
	mu  sync.Mutex
	all []interval
}

type interval struct {
	from       time.Time
	to         time.Time     // zero while the interval is open
	maxCounted time.Duration // maximum that overlap counts of this interval; ignored while the interval is open
}

// begin adds an open interval, which the returned function closes.
func (s *intervals) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.all)
	s.all = append(s.all, interval{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		current := &s.all[i]
		current.to = time.Now()
		current.maxCounted = current.to.Sub(current.from)
	}
}

func (s *intervals) add(added interval) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, added)
}

// overlap returns an upper bound on how long the process was unavailable between two times. Of each closed interval it counts at
// most maxCounted.
func (s *intervals) overlap(from, to time.Time) (total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, current := range s.all {
		open := current.to.IsZero()
		if open {
			current.to = to
		}
		shared := time.Duration(min(current.to.UnixNano(), to.UnixNano()) - max(current.from.UnixNano(), from.UnixNano()))
		shared = max(shared, 0)
		if !open {
			shared = min(shared, current.maxCounted)
		}
		total += shared
	}
	return min(total, max(to.Sub(from), 0))
}

// intersects reports whether any interval intersects the period between two times, inclusive.
func (s *intervals) intersects(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.all, func(current interval) bool {
		return !current.from.After(to) && (current.to.IsZero() || !current.to.Before(from))
	})
}
