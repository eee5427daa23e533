package fleetsim

import (
	"slices"
	"time"
)

// replicaNames returns the names of all replicas.
func (s *scenario) replicaNames() []string {
	var names []string
	for _, r := range s.fleet.Replicas {
		names = append(names, r.Name)
	}
	return names
}

// proxyNames returns the names of all proxies, including those that have ended.
func (s *scenario) proxyNames() []string {
	var names []string
	for _, p := range s.fleet.Proxies {
		names = append(names, p.Name)
	}
	return names
}

// maxFaultDuration returns the longest duration of most faults. It is long enough that the leader stops waiting for a proxy that
// cannot renew its lease during the fault.
func (s *scenario) maxFaultDuration() time.Duration {
	return s.fleet.Terms.MemberTimeout + s.fleet.Terms.AgreementTimeout
}

// Random memory limits of a proxy, in bytes. Some are lower than a version requires.
const (
	minMemoryLimit    = 20_000
	memoryLimitSpread = 200_000
)

// injectFault injects a random fault. Each fault ends after a random duration, except memory limits and changes of the set of
// proxies.
func (s *scenario) injectFault() {
	replicas, proxies := s.replicaNames(), s.proxyNames()
	process := pick(s, slices.Concat(replicas, proxies))
	switch s.randomInt(10) {
	case 0:
		s.restart(process)
	case 1:
		s.restartReplicas(replicas)
	case 2:
		s.pauseProcess(process)
	case 3:
		s.disturbLeader(replicas)
	case 4, 5:
		s.disconnectProxy(pick(s, proxies), replicas)
	case 6:
		size := 1 + s.randomInt(len(replicas)-1)
		s.disconnect(replicas[:size], replicas[size:], s.randomInt(2) == 0, s.maxFaultDuration())
	case 7:
		s.degradeNetwork()
	case 8:
		pick(s, s.fleet.Proxies).SetMemoryLimit(uint64(minMemoryLimit + s.randomInt(memoryLimitSpread)))
	case 9:
		s.changeProxies()
	}
}

// restart crashes a process and starts it again later. A draining proxy stays down.
func (s *scenario) restart(name string) {
	s.fleet.Crash(name)
	s.scheduleEnd(s.maxFaultDuration()/2, func() {
		if p := s.fleet.Proxy(name); p == nil || !p.draining {
			s.fleet.Start(name)
		}
	})
}

// restartReplicas crashes a majority of the replicas, or all of them, at the same time, as a power failure does, and starts them
// again later.
func (s *scenario) restartReplicas(replicas []string) {
	if s.randomInt(2) == 0 {
		replicas = replicas[:len(replicas)/2+1]
	}
	for _, name := range replicas {
		s.restart(name)
	}
}

// pauseProcess pauses a process. It mostly pauses a proxy right after the proxy sends a renewal.
func (s *scenario) pauseProcess(name string) {
	longest := s.maxFaultDuration()
	if p := s.fleet.Proxy(name); p != nil && s.randomInt(3) > 0 {
		p.pauseAfterRenewal = s.fleet.engine.RandomDuration(50*time.Millisecond, longest)
		return
	}
	s.fleet.Pause(name)
	s.scheduleEnd(longest, func() { s.fleet.Resume(name) })
}

// disturbLeader crashes, pauses or disconnects the leader, if there is one.
func (s *scenario) disturbLeader(replicas []string) {
	leader := s.fleet.Leader()
	if leader == nil {
		return
	}
	longest := s.maxFaultDuration() / 2
	switch s.randomInt(3) {
	case 0:
		s.restart(leader.Name)
	case 1:
		s.fleet.Pause(leader.Name)
		s.scheduleEnd(longest, func() { s.fleet.Resume(leader.Name) })
	case 2:
		others := slices.DeleteFunc(slices.Clone(replicas), func(name string) bool { return name == leader.Name })
		s.disconnect([]string{leader.Name}, others, s.randomInt(2) == 0, longest)
	}
}

// disconnectProxy disconnects a proxy from all replicas, in one direction or both.
func (s *scenario) disconnectProxy(proxy string, replicas []string) {
	longest := s.maxFaultDuration() * 3 / 2
	if s.randomInt(2) == 0 {
		s.disconnect([]string{proxy}, replicas, s.randomInt(2) == 0, longest)
	} else {
		s.disconnect(replicas, []string{proxy}, s.randomInt(2) == 0, longest)
	}
}

// disconnect disconnects processes, as Fleet.Disconnect does, for a random duration of at most longest.
func (s *scenario) disconnect(from, to []string, bidirectional bool, longest time.Duration) {
	s.fleet.Disconnect(from, to, bidirectional)
	s.scheduleEnd(longest, func() { s.fleet.Reconnect(from, to, bidirectional) })
}

// degradeNetwork makes the default link lose and delay messages for a random duration.
func (s *scenario) degradeNetwork() {
	longest := s.maxFaultDuration()
	link := &s.fleet.Network.Default
	link.LossRate = 0.1
	link.ExtraDelayRate = 0.05
	link.MaxExtraDelay = longest
	s.scheduleEnd(longest/2, func() {
		if !s.healed {
			s.fleet.Network.Default = s.fleet.DefaultLink
		}
	})
}

// changeProxies adds or drains a proxy. Its limits count all proxies since the start, including those that have ended.
func (s *scenario) changeProxies() {
	const minProxies, maxProxies = 3, 8
	p := pick(s, s.fleet.Proxies)
	if s.randomInt(2) == 0 && len(s.fleet.Proxies) < maxProxies {
		s.fleet.AddProxy()
	} else if p.up && !p.paused && len(s.fleet.Proxies) > minProxies {
		p.Drain(time.Second)
	}
}
