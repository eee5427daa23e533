package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/metrics"
)

// stage is the progress of an attempt. It only advances, and it alone determines what an event means.
type stage int

const (
	stageDialing     stage = iota // nothing has been written
	stageWriting                  // the first message has not been written in full, so it cannot be executed
	stageSent                     // the first message has been written in full and may have been executed
	stageEstablished              // the endpoint has accepted the connection
	stageEnded                    // its outcome has been recorded
)

// attempt is one try to have an endpoint serve a request, and the connection to that endpoint. Each attempt ends in
// exactly one outcome. The attempt handles the connection's events until the connection is established; then a
// relayHandler does.
type attempt struct {
	session     *session
	number      int // position among the session's attempts in its pool
	endpoint    *endpoint
	conn        *evloop.Conn
	stage       stage
	startedAt   time.Duration
	deadline    time.Duration // the latest time for an answer
	lastMessage MessageKind   // the kind of the endpoint's latest message
	partial     []byte        // the start of an incomplete message of the endpoint
	timer       *evloop.Timer
}

// startAttempt executes a balancer's Send.
func (s *session) startAttempt(action balancer.Send) {
	p := s.proxy
	if s.downstream != nil {
		s.downstream.CheckPeer() // it may have disconnected earlier in this turn
	}
	now := p.loop.Now()
	a := &attempt{
		session:   s,
		number:    s.policyState.AttemptInPool(s.attemptCount),
		endpoint:  p.endpoints[action.Endpoint],
		startedAt: now,
		deadline:  s.deadline,
	}
	if s.attemptCount > 0 {
		s.recordReason(metrics.RequestRetried, statusReason(s.lastStatus))
	}
	s.attemptCount++
	s.policyState.AttemptSent()
	if a.endpoint == nil {
		a.endpoint = &endpoint{id: action.Endpoint}
	}
	if action.Timeout != 0 {
		a.deadline = min(now+action.Timeout, s.deadline)
	}
	// A session has at most one attempt at a time, and none after its deadline. Any other is reported as not sent.
	overLimit := s.attempt != nil || s.attemptCount > p.settings.Limits.Attempts
	if overLimit || a.deadline <= now || !a.mayWrite() {
		a.stage = stageEnded
		a.recordOutcome(balancer.NotSent)
		return
	}
	if after, ok := s.authorizePlacement(false); !ok {
		a.stage = stageEnded
		s.reject(after, reasonPlacement)
		a.recordOutcome(balancer.NotSent)
		return
	}
	s.attempt = a
	if !p.loop.HeldUp() {
		a.dial()
		return
	}
	p.loop.AfterCatchUp(a.dialAfterHoldUp)
}

// dialAfterHoldUp connects to the endpoint after a hold-up of the loop. By then the client disconnects and deadlines of
// the hold-up have been handled, and may have made the attempt pointless.
func (a *attempt) dialAfterHoldUp() {
	s := a.session
	if s.downstream != nil {
		s.downstream.CheckPeer()
	}
	if a.stage == stageEnded {
		return
	}
	if a.deadline <= s.proxy.loop.Now() || !a.mayWrite() {
		a.end(balancer.NotSent)
		return
	}
	a.dial()
}

// mayWrite reports whether the first message may be written now. The balancer allowed it when it sent the attempt.
// Since then the client may have disconnected, the endpoint may have started to drain, a reload may have removed the
// pool, and the time in which endpoints recognize a repeated request may have ended.
func (a *attempt) mayWrite() bool {
	s := a.session
	p := s.proxy
	now := p.loop.Now()
	draining := a.endpoint.drainingSince != 0
	switch {
	case s.answered || !s.retries.mayExecute(a.endpoint, now):
		return false
	case s.request.PreviousEndpoint != "":
		return true
	case s.request.Resumed:
		// It is already open at the endpoint and may continue there until DrainGrace has passed.
		return !draining || now-a.endpoint.drainingSince < p.settings.Rules.DrainGrace
	}
	return !draining && p.pools.isActive(s.pool)
}

// dial connects to the endpoint, within the connect timeout of the settings.
func (a *attempt) dial() {
	p := a.session.proxy
	if !p.limits.allows(internalReserve) {
		p.counters.DialErrors++
		a.end(balancer.NotSent)
		return
	}
	conn, err := p.loop.Dial(a.endpoint.addr, a)
	if err != nil {
		p.counters.DialErrors++
		a.end(dialStatus(err))
		return
	}
	a.conn = conn
	now := p.loop.Now()
	timeout := min(p.settings.Limits.ConnectTimeout, a.deadline-now)
	status := balancer.ConnectFailed
	if end, bounded := a.session.retries.dedupDeadline(); bounded && end-now < timeout {
		timeout = end - now
		status = balancer.NotSent
	}
	a.timer = p.loop.After(timeout, func() { a.onDialTimeout(status) })
}

// onDialTimeout ends an attempt whose connection was not set up in time. After a hold-up of the loop the connection may
// already be set up or refused, so the loop handles pending events first.
func (a *attempt) onDialTimeout(status balancer.Status) {
	a.session.proxy.loop.AfterCatchUp(func() {
		if a.stage == stageDialing {
			a.end(status)
		}
	})
}

// dialStatus distinguishes an endpoint that refuses connections from a failure of this host.
func dialStatus(err error) balancer.Status {
	if evloop.IsRemoteConnectError(err) {
		return balancer.ConnectFailed
	}
	return balancer.NotSent
}

// Opened implements evloop.Handler. It checks again what may have changed while the endpoint was dialed.
func (a *attempt) Opened() {
	s := a.session
	p := s.proxy
	if s.downstream != nil {
		s.downstream.CheckPeer() // it may have disconnected
	}
	if a.stage == stageEnded {
		return
	}
	remaining := a.deadline - p.loop.Now()
	if remaining <= 0 { // the timer fires later in this turn
		a.end(balancer.ConnectFailed)
		return
	}
	if s.answered { // no client waits for it; the settings may have forbidden canceling it earlier
		a.end(balancer.Canceled)
		return
	}
	if !a.mayWrite() {
		a.end(balancer.NotSent)
		return
	}
	if after, ok := s.authorizePlacement(true); !ok {
		s.reject(after, reasonPlacement)
		a.end(balancer.NotSent)
		return
	}
	a.stage = stageWriting
	p.loop.Cancel(a.timer)
	a.timer = p.loop.After(remaining, a.onTimeout)
	if a.conn.HungUp() {
		// The endpoint appears to have closed the connection at once without executing anything. Data that it sent is
		// read first, in this turn. If there is none, the event belonged to a closed connection that had the same
		// descriptor.
		p.loop.After(0, func() {
			if s.downstream != nil {
				s.downstream.CheckPeer() // it may have disconnected since
			}
			a.writeRequest()
		})
		return
	}
	a.writeRequest()
}

// writeRequest writes the first message, unless the attempt has ended or may no longer write it.
func (a *attempt) writeRequest() {
	p := a.session.proxy
	remaining := a.deadline - p.loop.Now()
	switch {
	case a.stage != stageWriting:
	case remaining <= 0:
		a.end(balancer.ConnectFailed)
	case !a.mayWrite():
		a.end(balancer.NotSent)
	default:
		message := a.session.request.Forward(remaining)
		p.counters.BytesUpstream += counter(len(message))
		a.conn.Write(message)
		a.checkWritten()
	}
}

// checkWritten advances the attempt to stageSent once the first message has been written in full. From then on it may
// have been executed.
func (a *attempt) checkWritten() {
	if a.stage == stageWriting && a.conn.Sent() {
		a.stage = stageSent
		a.session.proxy.counters.Attempts++
	}
}

// onTimeout ends an attempt that got no answer in time. After a hold-up of the loop the answer may be waiting to be
// read. The loop handles pending events first, so that the endpoint is not blamed.
func (a *attempt) onTimeout() {
	a.session.proxy.loop.AfterCatchUp(func() {
		if a.stage == stageWriting || a.stage == stageSent {
			a.endUnanswered(balancer.Timeout)
		}
	})
}

// Drained implements evloop.Handler.
func (a *attempt) Drained() { a.checkWritten() }

// EOF implements evloop.Handler.
func (a *attempt) EOF() { a.endUnanswered(balancer.Reset) }

// Closed implements evloop.Handler.
func (a *attempt) Closed(error) { a.endUnanswered(balancer.Reset) }

// Data implements evloop.Handler.
func (a *attempt) Data(b []byte) {
	a.partial = append(a.partial, b...)
	rest := a.handleMessages(a.partial)
	switch {
	case a.stage == stageEstablished:
		a.partial = nil
		a.relayDownstream(rest) // rest starts with the message that established the connection
	case a.stage == stageEnded:
	case len(rest) > a.session.proxy.protocol.MaxMessageBytes():
		a.session.proxy.counters.OversizedMessages++
		a.endUnanswered(balancer.AppError)
	default:
		a.partial = append(a.partial[:0], rest...)
	}
}

// handleMessages handles the complete messages of b. It stops at a message that is too long, that establishes the
// connection or that ends the attempt. It returns the rest of b, which starts with the message that established the
// connection, if one did.
func (a *attempt) handleMessages(b []byte) []byte {
	protocol := a.session.proxy.protocol
	complete := protocol.CompleteBytes(b)
	for complete > 0 && a.stage != stageEnded {
		message, rest := protocol.NextMessage(b)
		if len(message) > protocol.MaxMessageBytes() { // even if it arrived in several pieces
			break
		}
		complete -= len(message)
		a.onMessage(message)
		if a.stage == stageEstablished {
			break
		}
		b = rest
	}
	return b
}

// onMessage handles a message that an endpoint sends before the connection is established.
func (a *attempt) onMessage(message []byte) {
	s := a.session
	p := s.proxy
	a.lastMessage, _ = p.protocol.ParseMessage(message)
	switch {
	case a.lastMessage == MessageLoad:
	case a.lastMessage == MessageFull:
		a.end(balancer.RejectedByEndpoint)
	case a.lastMessage == MessageOther:
		p.counters.MalformedMessages++
		a.endUnanswered(balancer.AppError)
	case a.stage < stageSent: // the request is not written in full, so this cannot be its answer
		p.counters.MalformedMessages++
		a.end(balancer.ConnectFailed)
	case a.lastMessage == MessageError:
		a.end(balancer.AppError)
	case a.lastMessage == MessageMigrate:
		a.end(balancer.Canceled)
	case a.lastMessage == MessageBye:
		s.complete(message)
		a.end(balancer.OK)
	case s.answered: // the client may have disconnected while the settings forbid canceling attempts
		a.end(balancer.Canceled)
	default:
		s.retries = retryGuard{}
		s.establish(a)
	}
}

// complete answers a request with the only message that the endpoint sent.
func (s *session) complete(message []byte) {
	if s.answered {
		return
	}
	s.answered = true
	s.setUsage(usageNone)
	s.proxy.counters.Completed++
	s.countOutcome(completed)
	s.closeDownstream(message)
}

// mayCancel reports whether a balancer's Cancel of the attempt with that number applies to this attempt.
func (a *attempt) mayCancel(number int) bool {
	return a.number == number && a.stage != stageEstablished
}

// cancelAttempt cancels the attempt in progress, if any. An attempt that is still dialing never writes its message.
func (s *session) cancelAttempt() {
	if s.attempt != nil {
		s.attempt.end(balancer.Canceled)
	}
}

// endUnanswered ends an attempt that got no answer: with status if it may have been executed, otherwise with
// ConnectFailed.
func (a *attempt) endUnanswered(status balancer.Status) {
	if a.stage < stageSent {
		status = balancer.ConnectFailed
	}
	a.end(status)
}

// end closes the attempt's connection and then reports the outcome to the balancer, which may start the next attempt at
// once.
func (a *attempt) end(status balancer.Status) {
	if a.stage == stageEnded {
		return
	}
	wasEstablished := a.stage == stageEstablished
	a.stage = stageEnded
	s := a.session
	p := s.proxy
	p.loop.Cancel(a.timer)
	switch {
	case a.conn == nil:
	case wasEstablished:
		a.conn.Close()
	default:
		a.conn.Drop() // a message that arrived later might be executed in addition to the next attempt's
	}
	s.attempt = nil
	if s.request != nil && s.request.PreviousEndpoint != "" {
		s.retryReattach(a)
		return
	}
	a.recordOutcome(status)
}
