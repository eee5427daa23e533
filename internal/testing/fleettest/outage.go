package fleettest

import (
	"errors"
	"sync"
	"time"

	"example.org/micafront/internal/testing/faultinject"
)

// StopReplicasFor kills all replicas and restarts them after a duration. It returns the time at which all had ended, and the time
// at which their restart began.
func (f *Fleet) StopReplicasFor(duration time.Duration) (from, to time.Time, err error) {
	f.LogEvent("all replicas are killed for %v", duration)
	if err := f.forEachReplica(f.KillReplica); err != nil {
		return from, to, err
	}
	from = time.Now()
	pause(f.ctx, duration)
	to = time.Now()
	err = f.forEachReplica(f.StartReplica)
	if err == nil && len(f.Replicas) == 1 { // StartReplica does not clear the fault of a single replica
		err = f.Network.Clear("*/"+f.Replicas[0].Name, faultinject.Refuse)
	}
	f.LogEvent("all replicas are restarted")
	return from, to, err
}

// forEachReplica calls do for all replicas concurrently, and joins the errors.
func (f *Fleet) forEachReplica(do func(*Replica) error) error {
	var wg sync.WaitGroup
	errs := make([]error, len(f.Replicas))
	for i, replica := range f.Replicas {
		wg.Go(func() { errs[i] = do(replica) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
