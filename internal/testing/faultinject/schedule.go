package faultinject

import (
	"slices"
	"time"
)

// connectionWaiter represents a step of a schedule that waits for a number of connections.
type connectionWaiter struct {
	links       string // pattern for path.Match
	connections int
	reached     chan chan struct{} // receives a channel that RunSchedule closes to release the last connection
}

// RunSchedule implements Injector. A step that waits for a number of connections takes effect before the last of these
// connections forwards its first byte, and so do the following steps that do not wait.
func (n *Net) RunSchedule(steps []Step) error {
	for _, step := range steps {
		if step.Set == nil {
			continue
		}
		if err := step.Set.validate(); err != nil {
			return err
		}
	}
	var held heldConnections
	defer held.release()
	for _, step := range steps {
		if err := n.awaitStep(step, &held); err != nil {
			return err
		}
		if err := n.apply(step); err != nil {
			return err
		}
	}
	return nil
}

// heldConnections holds connections that forward nothing until they are released. Closing a channel releases its connection.
type heldConnections struct{ channels []chan struct{} }

func (h *heldConnections) release() {
	for _, c := range h.channels {
		close(c)
	}
	h.channels = nil
}

// awaitStep waits for the time and the connections of a step, and then holds the last of these connections. Before it waits,
// it releases the connections that earlier steps hold.
func (n *Net) awaitStep(step Step, held *heldConnections) error {
	if step.After > 0 {
		held.release()
		if err := n.sleep(step.After); err != nil {
			return err
		}
	}
	waiter, err := n.newWaiter(step)
	if err != nil || waiter == nil {
		return err
	}
	held.release()
	select {
	case c := <-waiter.reached:
		held.channels = append(held.channels, c)
		return nil
	case <-n.ctx.Done():
		return n.ctx.Err()
	}
}

// sleep waits for a duration. It returns the context's error if the network ends first.
func (n *Net) sleep(duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-n.ctx.Done():
		return n.ctx.Err()
	}
}

// apply clears and sets the faults of a step.
func (n *Net) apply(step Step) error {
	if step.Clear != "" {
		if err := n.Clear(step.Links, step.Clear); err != nil {
			return err
		}
	}
	if step.Set != nil {
		return n.Set(step.Links, *step.Set)
	}
	return nil
}

// newWaiter registers a waiter for the connections of a step. It returns nil if the step need not wait for any.
func (n *Net) newWaiter(step Step) (*connectionWaiter, error) {
	if step.Connections == 0 {
		return nil, nil
	}
	if _, err := n.matching(step.Links); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	waiter := &connectionWaiter{links: step.Links, connections: step.Connections, reached: make(chan chan struct{}, 1)}
	if n.isReached(waiter) {
		return nil, nil
	}
	n.waiters = append(n.waiters, waiter)
	return waiter, nil
}

// isReached reports whether the matching links have accepted enough connections. The caller holds n.mu.
func (n *Net) isReached(waiter *connectionWaiter) bool {
	connections := 0
	for name, l := range n.links {
		if matches(waiter.links, name) {
			connections += l.accepted
		}
	}
	return connections >= waiter.connections
}

// registerConnection returns the number of a new connection of a link. It first waits until the schedules that waited for
// this connection have executed their steps.
func (n *Net) registerConnection(l *link) int {
	n.mu.Lock()
	l.accepted++
	number := l.accepted
	var released []chan struct{}
	n.waiters = slices.DeleteFunc(n.waiters, func(waiter *connectionWaiter) bool {
		if !n.isReached(waiter) {
			return false
		}
		c := make(chan struct{})
		waiter.reached <- c
		released = append(released, c)
		return true
	})
	n.mu.Unlock()
	for _, c := range released {
		select {
		case <-c:
		case <-n.ctx.Done():
		}
	}
	return number
}
