package fleettest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	minFaultDuration = time.Second
	maxFaultDuration = 6 * time.Second
	recoveryTime     = 2 * time.Second // minimum time between two faults of the same resource
	outageMargin     = 5 * time.Second // time before and after an outage without other faults of replicas
)

// Event is a scheduled fault.
type Event struct {
	At       time.Duration // since the start of the schedule
	Duration time.Duration
	Kind     string // name of the fault
	Target   int    // index of the proxy, replica or endpoint
}

// ScheduleOptions describes a schedule and the fleet that it is for.
type ScheduleOptions struct {
	Seed               uint64
	Length             time.Duration // all events end within it
	Interval           time.Duration // average time between the starts of two events
	Proxies            int
	Replicas           int
	Endpoints          int
	ReplicasServeLists bool // whether the schedule includes faults between replicas and service discovery
}

// targets returns the number of targets of a kind of fault; 0 if the fleet is too small for it.
func (o *ScheduleOptions) targets(kind faultKind) int {
	if kind.needsReplicas && o.Replicas < minReplicasForFaults {
		return 0
	}
	switch kind.affects {
	case affectsReplicas:
		return o.Replicas
	case affectsProxy:
		return o.Proxies
	}
	return o.Endpoints
}

// GenerateSchedule generates a random schedule with about one event per interval. The same options yield the same schedule. It
// omits faults for which the fleet has no targets, and faults of a resource that is still affected by an earlier fault.
func GenerateSchedule(options ScheduleOptions) (schedule []Event) {
	const stream = 7 // selects a random sequence of the seed
	rng := rand.New(rand.NewPCG(options.Seed, stream))
	kinds := faultKinds
	if options.ReplicasServeLists {
		kinds = slices.Concat(faultKinds, discoveryFaultKinds)
	}
	type target struct {
		resource resource
		index    int
	}
	busyUntil := map[target]time.Duration{}
	interval := options.Interval
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	for at := between(0, interval); ; at += between(interval/2, interval*3/2) {
		duration := between(minFaultDuration, maxFaultDuration)
		if at+duration >= options.Length {
			return schedule
		}
		kind := kinds[rng.IntN(len(kinds))]
		targets := options.targets(kind)
		if targets == 0 {
			continue
		}
		index := rng.IntN(targets)
		affected := target{resource: kind.affects}
		if kind.affects == affectsProxy {
			affected.index = index
		}
		if at < busyUntil[affected] {
			continue
		}
		busyUntil[affected] = at + duration + recoveryTime
		schedule = append(schedule, Event{At: at, Duration: duration, Kind: kind.name, Target: index})
	}
}

// ExcludeReplicaEvents returns a schedule without the events that affect replicas between two times or within outageMargin of them.
func ExcludeReplicaEvents(schedule []Event, from, to time.Duration) []Event {
	return slices.DeleteFunc(slices.Clone(schedule), func(event Event) bool {
		i := slices.IndexFunc(faultKinds, func(kind faultKind) bool { return kind.name == event.Kind })
		return i >= 0 && faultKinds[i].affects == affectsReplicas &&
			event.At < to+outageMargin && event.At+event.Duration > from-outageMargin
	})
}

// RunSchedule runs the events of a schedule and returns when the last event has ended. It joins the errors of all events.
func (f *Fleet) RunSchedule(schedule []Event) error {
	kindsByName := map[string]faultKind{}
	for _, kind := range slices.Concat(faultKinds, discoveryFaultKinds) {
		kindsByName[kind.name] = kind
	}
	var wg sync.WaitGroup
	errs := make([]error, len(schedule))
	start := time.Now()
	for i, event := range schedule {
		kind, ok := kindsByName[event.Kind]
		if !ok {
			return fmt.Errorf("event %d of the schedule: unknown fault %q", i, event.Kind)
		}
		wg.Go(func() {
			pause(f.ctx, time.Until(start.Add(event.At)))
			errs[i] = f.runEvent(event, kind)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// runEvent injects the fault of an event, and ends it after the event's duration.
func (f *Fleet) runEvent(event Event, kind faultKind) error {
	f.LogEvent("%s (%d) for %v", event.Kind, event.Target+1, event.Duration.Round(time.Millisecond))
	repair, err := kind.inject(f, event.Target)
	if err == nil {
		pause(f.ctx, event.Duration)
		err = repair()
	}
	if err != nil {
		return fmt.Errorf("%s (%d): %w", event.Kind, event.Target+1, err)
	}
	return nil
}

// ProposeVersions proposes one version after another, with an interval between them, until the context ends. It returns the time
// from each proposal until the version was active or, in a fleet without a control plane, until the files were written.
func (f *Fleet) ProposeVersions(ctx context.Context, interval time.Duration) (durations []time.Duration, err error) {
	for {
		pause(ctx, interval)
		if ctx.Err() != nil {
			return durations, nil
		}
		start := time.Now()
		number, err := f.Propose()
		if err == nil && len(f.Replicas) > 0 {
			err = f.AwaitActive(number)
		}
		if err != nil {
			return durations, err
		}
		durations = append(durations, time.Since(start))
	}
}
