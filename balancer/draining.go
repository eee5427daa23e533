package balancer

// Migration of connections off draining endpoints.

// drainSteps is the number of steps, spread over DrainGrace, in which the connections of a draining endpoint are
// migrated. In a single step all clients would reconnect at the same time, to endpoints that have yet to take over the
// share of the draining one.
const drainSteps = 10

// startDrain schedules the migration of the established connections of a draining endpoint, before the endpoint stops
// and resets them. Migration begins with the next epoch, when the slot table assigns the endpoint's keys to other
// endpoints. An earlier migration would scatter the clients of a group.
func (b *Balancer) startDrain(endpoint *endpointState) {
	if endpoint.phase != Draining || endpoint.drainStepsLeft > 0 || len(endpoint.active) == 0 {
		return
	}
	endpoint.drainStepsLeft = drainSteps
	endpoint.drainForcedAt = b.now + b.settings.Rules.DrainGrace
	b.setTimer(drainTimerPrefix+endpoint.id, b.nextEpochAt()-b.now)
}

// drainStep migrates one part of the connections. While the admission rate is below 1 it waits until drainForcedAt,
// because migrated clients would be rejected elsewhere and the draining endpoint still serves them.
func (b *Balancer) drainStep(endpoint *endpointState) {
	if endpoint.phase != Draining {
		endpoint.drainStepsLeft = 0 // ready again, or removed with all its connections
		return
	}
	if b.admissionRate >= 1 || b.now >= endpoint.drainForcedAt {
		connections := endpoint.established()
		count := (len(connections) + endpoint.drainStepsLeft - 1) / endpoint.drainStepsLeft
		for _, req := range connections[:count] {
			b.migrate(req)
		}
		endpoint.drainStepsLeft--
	}
	if endpoint.drainStepsLeft > 0 {
		b.setTimer(drainTimerPrefix+endpoint.id, b.settings.Rules.DrainGrace/drainSteps)
	}
}
