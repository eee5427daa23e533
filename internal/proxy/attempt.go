package proxy

import (
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/metrics"
)

// stage is how far an attempt has come. It only goes forward, and what an event means follows from it alone.
type stage int

const (
	stageDialing     stage = iota // nothing has been written
	stageWriting                  // the first message has not been written in full: it cannot be executed
	stageSent                     // it has: it may have been executed
	stageEstablished              // the endpoint has accepted the connection
	stageEnded                    // its outcome has been recorded
)

// attempt is one try to have a request served by an endpoint, and the connection to it. Each ends in exactly one
// outcome. It handles the connection's events until that is established; then a relayHandler does.
type attempt struct {
	session     *session
	number      int // among the session's attempts in its pool
	endpoint    *endpoint
	conn        *evloop.Conn
	stage       stage
	startedAt   time.Duration
	deadline    time.Duration // until when an answer is waited for
	lastMessage MessageKind   // of the endpoint's
	partial     []byte        // the start of a message of the endpoint's whose rest has not come
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
		number:    s.policyState.Number(s.attemptCount),
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
	// There are never two attempts at once, and none after the deadline: such a one is reported as not sent.
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
	p.loop.OnceCaughtUp(a.dialAfterHoldUp)
}

// dialAfterHoldUp connects to the endpoint once the ends of clients and the deadlines that came while the loop was held up have
// been handled, unless they have made the attempt pointless.
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

// mayWrite reports whether the first message may be written now. The balancer decided so when it sent the attempt;
// since then the client may have disconnected, the endpoint may have begun to drain, and the time in which a repeat is
// recognized may have passed.
func (a *attempt) mayWrite() bool {
	s := a.session
	now := s.proxy.loop.Now()
	if s.answered || !s.retries.mayExecute(a.endpoint, now) {
		return false
	}
	if a.endpoint.drainingSince == 0 || s.request.PreviousEndpoint != "" {
		return true
	}
	// A resumed connection is open at a draining endpoint already, and may go on there for a while.
	return s.request.Resumed && now-a.endpoint.drainingSince < s.proxy.settings.Rules.DrainGrace
}

// dial connects to the endpoint, within the settings' time.
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

// onDialTimeout ends an attempt whose connection has not come up in time. After a hold-up it may have, or may have been refused:
// the loop looks first.
func (a *attempt) onDialTimeout(status balancer.Status) {
	a.session.proxy.loop.OnceCaughtUp(func() {
		if a.stage == stageDialing {
			a.end(status)
		}
	})
}

// dialStatus tells an endpoint that refuses connections from a failure of this host.
func dialStatus(err error) balancer.Status {
	if evloop.IsConnectionRefused(err) {
		return balancer.ConnectFailed
	}
	return balancer.NotSent
}

// Opened is part of evloop.Handler. What may have changed while the endpoint was dialed is checked again.
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
	if remaining <= 0 { // the timer is due later in this turn
		a.end(balancer.ConnectFailed)
		return
	}
	if s.answered { // nobody waits for it, and the settings may not allow to cancel it earlier
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
		// The endpoint seems to have ended the connection at once, and has executed nothing: what it sent is read first,
		// in this turn. Where nothing comes, the event was of a closed connection that had the same descriptor.
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

// writeRequest writes the first message.
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

// checkWritten notes when the first message has been written in full: from then on it may have been executed.
func (a *attempt) checkWritten() {
	if a.stage == stageWriting && a.conn.Sent() {
		a.stage = stageSent
		a.session.proxy.counters.Attempts++
	}
}

// onTimeout ends an attempt that got no answer in time. After a hold-up the answer may wait to be read: the endpoint is not to
// blame then.
func (a *attempt) onTimeout() {
	a.session.proxy.loop.OnceCaughtUp(func() {
		if a.stage == stageWriting || a.stage == stageSent {
			a.endUnanswered(balancer.Timeout)
		}
	})
}

// Drained is part of evloop.Handler.
func (a *attempt) Drained() { a.checkWritten() }

// Ended is part of evloop.Handler.
func (a *attempt) Ended() { a.endUnanswered(balancer.Reset) }

// Closed is part of evloop.Handler.
func (a *attempt) Closed(error) { a.endUnanswered(balancer.Reset) }

// Data is part of evloop.Handler.
func (a *attempt) Data(b []byte) {
	a.partial = append(a.partial, b...)
	rest := a.handleMessages(a.partial)
	switch {
	case a.stage == stageEstablished:
		a.partial = nil
		a.relayDownstream(rest) // from the message on that established it
	case a.stage == stageEnded:
	case len(rest) > a.session.proxy.protocol.MaxMessageBytes():
		a.session.proxy.counters.OversizedMessages++
		a.endUnanswered(balancer.AppError)
	default:
		a.partial = append(a.partial[:0], rest...)
	}
}

// handleMessages handles the complete messages of b, up to one that is too long, that establishes the connection or that
// ends the attempt. It returns the rest of b, which begins with the message that established the connection, if one did.
func (a *attempt) handleMessages(b []byte) []byte {
	protocol := a.session.proxy.protocol
	complete := protocol.CompleteBytes(b)
	for complete > 0 && a.stage != stageEnded {
		message, rest := protocol.NextMessage(b)
		if len(message) > protocol.MaxMessageBytes() { // however many pieces it came in
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

// onMessage handles a message of an endpoint at which the connection is not established yet.
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
	case a.stage < stageSent: // it cannot be an answer
		p.counters.MalformedMessages++
		a.end(balancer.ConnectFailed)
	case a.lastMessage == MessageError:
		a.end(balancer.AppError)
	case a.lastMessage == MessageMigrate:
		a.end(balancer.Canceled)
	case a.lastMessage == MessageBye:
		s.complete(message)
		a.end(balancer.OK)
	case s.answered: // the client may have disconnected where the settings do not allow to cancel attempts
		a.end(balancer.Canceled)
	default:
		s.retries = retryGuard{}
		s.establish(a)
	}
}

// complete answers a request with an endpoint's only message.
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

// mayCancel reports whether a balancer's Cancel of the attempt with that number is for this one.
func (a *attempt) mayCancel(number int) bool {
	return a.number == number && a.stage != stageEstablished
}

// cancelAttempt ends the attempt that is under way, if one is. One that still dials never writes its message.
func (s *session) cancelAttempt() {
	if s.attempt != nil {
		s.attempt.end(balancer.Canceled)
	}
}

// endUnanswered ends an attempt that got no answer. status is that of one that may have been executed.
func (a *attempt) endUnanswered(status balancer.Status) {
	if a.stage < stageSent {
		status = balancer.ConnectFailed
	}
	a.end(status)
}

// end closes the attempt's connection before the balancer sees its outcome, since that may send the next one at once.
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
		a.conn.Drop() // a message that arrived later might be executed beside that of the next attempt
	}
	s.attempt = nil
	if s.request != nil && s.request.PreviousEndpoint != "" {
		s.retryReattach(a)
		return
	}
	a.recordOutcome(status)
}
