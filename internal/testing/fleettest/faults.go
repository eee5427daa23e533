package fleettest

import (
	"errors"
	"fmt"
	"time"

	"example.org/micafront/internal/testing/faultinject"
)

// minReplicasForFaults is the smallest number of replicas that keeps a majority while one of them is down.
const minReplicasForFaults = 3

// resource is what a fault affects. No two faults of a schedule affect the same resource at the same time.
type resource int

const (
	affectsReplicas  resource = iota // all replicas as one resource, so that a majority stays up
	affectsProxy                     // each proxy is a separate resource
	affectsEndpoint                  // all endpoints as one resource
	affectsDiscovery                 // service discovery, or the links to it
)

// faultKind is a kind of fault that a schedule can contain.
type faultKind struct {
	name          string
	needsReplicas bool // requires at least minReplicasForFaults replicas
	affects       resource
	// inject starts the fault at the target with the given index, and returns a function that ends the fault.
	inject func(f *Fleet, target int) (repair func() error, err error)
}

// faultKinds lists the kinds of faults for every schedule. The schedule of a seed depends on their order.
var faultKinds = []faultKind{
	blackholeLinks("a proxy is cut off from all replicas", "proxy%d/keeper*", faultinject.Both, affectsProxy),
	blackholeLinks("a proxy's renewals are lost", "proxy%d/keeper*", faultinject.Up, affectsProxy),
	blackholeLinks("a proxy's leases are lost", "proxy%d/keeper*", faultinject.Down, affectsProxy),
	blackholeLinks("a replica is cut off from the others", "keeper%d/keeper*", faultinject.Both, affectsReplicas),
	blackholeLinks("a replica's messages to the others are lost", "keeper%d/keeper*", faultinject.Up, affectsReplicas),
	blackholeLinks("all proxies are cut off from a replica", "proxy*/keeper%d", faultinject.Both, affectsReplicas),
	{name: "all links to replicas are slow", needsReplicas: true, affects: affectsReplicas, inject: slowReplicaLinks},
	{name: "a replica is killed", needsReplicas: true, affects: affectsReplicas, inject: killReplica},
	{name: "the leader is killed", needsReplicas: true, affects: affectsReplicas, inject: killLeader},
	{name: "a replica pauses", needsReplicas: true, affects: affectsReplicas, inject: pauseReplica},
	{name: "a proxy is killed", affects: affectsProxy, inject: killProxy},
	{name: "a proxy is stopped", affects: affectsProxy, inject: stopProxy},
	{name: "a proxy pauses", affects: affectsProxy, inject: pauseProxy},
	{name: "an endpoint stops", affects: affectsEndpoint, inject: stopEndpoint},
	{name: "service discovery restarts", affects: affectsDiscovery, inject: restartDiscovery},
	{name: "service discovery refuses proxies", affects: affectsDiscovery, inject: refuseProxiesAtDiscovery},
}

// discoveryFaultKinds lists the additional kinds of faults for a fleet whose replicas follow service discovery.
var discoveryFaultKinds = []faultKind{
	blackholeLinks("a replica is cut off from service discovery", "keeper%d/discovery", faultinject.Both, affectsReplicas),
	{
		name: "service discovery refuses replicas", needsReplicas: true, affects: affectsReplicas,
		inject: func(f *Fleet, _ int) (func() error, error) {
			return f.setFault("keeper*/discovery", faultinject.Fault{Kind: faultinject.Refuse})
		},
	},
}

// blackholeLinks returns a fault that drops the traffic of links in one or both directions. The pattern may contain a %d verb
// for the number of the target, counted from 1.
func blackholeLinks(name, pattern string, direction faultinject.Direction, affects resource) faultKind {
	return faultKind{
		name: name, needsReplicas: true, affects: affects,
		inject: func(f *Fleet, target int) (func() error, error) {
			fault := faultinject.Fault{Kind: faultinject.Blackhole, Direction: direction}
			return f.setFault(fmt.Sprintf(pattern, target+1), fault)
		},
	}
}

// setFault sets a fault on the links that match a pattern, and returns a function that clears faults of that kind on these links.
func (f *Fleet) setFault(pattern string, fault faultinject.Fault) (clearFault func() error, err error) {
	return func() error { return f.Network.Clear(pattern, fault.Kind) }, f.Network.Set(pattern, fault)
}

func slowReplicaLinks(f *Fleet, _ int) (func() error, error) {
	return f.setFault("*/keeper*", faultinject.Fault{
		Kind:     faultinject.Delay,
		Duration: 5 * time.Millisecond,
		Jitter:   20 * time.Millisecond,
	})
}

func killReplica(f *Fleet, target int) (func() error, error) {
	replica := f.Replicas[target]
	return func() error { return f.StartReplica(replica) }, f.KillReplica(replica)
}

func killLeader(f *Fleet, _ int) (func() error, error) {
	leader, err := f.Leader()
	if err != nil {
		return nil, err
	}
	return func() error { return f.StartReplica(leader) }, f.KillReplica(leader)
}

func pauseReplica(f *Fleet, target int) (func() error, error) {
	replica := f.Replicas[target]
	return replica.Resume, replica.Pause(f.ctx)
}

func killProxy(f *Fleet, target int) (func() error, error) {
	proxy := f.Proxies[target]
	return func() error { return f.RestartProxy(proxy) }, proxy.Kill(f.ctx)
}

func stopProxy(f *Fleet, target int) (func() error, error) {
	proxy := f.Proxies[target]
	return func() error { return f.RestartProxy(proxy) }, proxy.Stop(f.ctx)
}

func pauseProxy(f *Fleet, target int) (func() error, error) {
	proxy := f.Proxies[target]
	return proxy.Resume, proxy.Pause(f.ctx)
}

func stopEndpoint(f *Fleet, target int) (func() error, error) {
	return func() error { return f.StartEndpoint(target) }, f.StopEndpoint(target)
}

func restartDiscovery(f *Fleet, _ int) (func() error, error) {
	return func() error { return nil }, f.RestartDiscovery()
}

func refuseProxiesAtDiscovery(f *Fleet, _ int) (func() error, error) {
	repair, err := f.setFault("proxy*/discovery", faultinject.Fault{Kind: faultinject.Refuse})
	return repair, errors.Join(err, f.RestartDiscovery()) // the restart ends open watches, which the fault does not
}
