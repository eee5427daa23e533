package balancer

import "example.org/micafront/balancer/hashing"

// State of requests. Decisions are made in other files.

// request is a client's request until its last attempt has ended, or an established connection until it ends.
type request struct {
	Request
	class      *Class
	keyHash    uint64 // hash of the group or a part of it; without a group, clientHash
	clientHash uint64
	timerToken string // token of the deadline timer

	attempts    int
	attempted   []*endpointState // endpoints of the attempts, in order
	endpoint    *endpointState   // of the attempt in flight or the established connection; nil: none
	activeIndex int              // in endpoint.active
	sentAt      Instant          // send time of the latest attempt
	load        float64          // in mean connections; 0 without an endpoint

	established     bool
	migrating       bool // its client has been asked to reconnect elsewhere
	answered        bool // the client needs no further answer
	admissionDenied bool // only its first candidate may take it, and only if not overloaded

	executedAt Instant        // send time of the first attempt that may have been executed
	executedOn *endpointState // endpoint of that attempt; nil: none may have been executed
}

// activeAttempt returns the request of an attempt that is in flight or established, or nil if the attempt has ended or
// is not the latest one.
func (b *Balancer) activeAttempt(id string, attempt int) *request {
	req := b.requests[id]
	if req == nil || req.endpoint == nil || attempt != req.attempts-1 {
		return nil
	}
	return req
}

// newRequest registers a request. A class that is missing from the settings is treated as the first one.
func (b *Balancer) newRequest(event Request) *request {
	req := &request{Request: event, class: b.classes[event.Class]}
	if req.class == nil {
		req.class = &b.settings.Classes[0]
	}
	req.clientHash = hashing.String(event.Key)
	if event.Key == "" {
		req.clientHash = hashing.String(event.ID)
	}
	req.keyHash = req.clientHash
	if event.Group != "" {
		req.keyHash = b.groupKeyHash(req)
	}
	b.requests[event.ID] = req
	return req
}

// markAnswered records that the client needs no further answer. A request without an attempt in flight is deleted.
func (b *Balancer) markAnswered(req *request) {
	req.answered = true
	delete(b.deadlineTimers, req.timerToken)
	if req.endpoint == nil {
		delete(b.requests, req.ID)
	}
}

// maxClientEndpoints limits the size of each of the two generations of clientEndpoints. The newer generation is the
// first.
const maxClientEndpoints = 4096

// rememberEndpoint records the endpoint of a client's connection, for connections that resume at this node later.
func (b *Balancer) rememberEndpoint(req *request) {
	if !b.settings.PassThrough {
		return
	}
	if len(b.clientEndpoints[0]) >= maxClientEndpoints {
		b.clientEndpoints[1] = b.clientEndpoints[0]
		b.clientEndpoints[0] = map[uint64]*endpointState{}
	}
	b.clientEndpoints[0][req.clientHash] = req.endpoint
}

// forgetEndpoint deletes the recorded endpoint of a client whose connection is no longer there.
func (b *Balancer) forgetEndpoint(req *request) {
	for _, generation := range b.clientEndpoints {
		delete(generation, req.clientHash)
	}
}

// migrate asks a connection's client to reconnect elsewhere.
func (b *Balancer) migrate(req *request) {
	req.migrating = true
	b.emit(Migrate{ID: req.ID})
}
