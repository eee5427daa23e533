package proxy

import (
	"container/list"
	"strconv"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"example.org/micafront/internal/metrics"
	"example.org/micafront/internal/routing"
)

// session is one client's connection: its request, the attempts for the request and, once one of them is established,
// the connection to the endpoint.
type session struct {
	proxy *Proxy

	// The client's connection.

	downstream *evloop.Conn // nil once it is closed or lingers
	listener   string       // the name of the listener that accepted it
	buffered   []byte       // data of the client that is not parsed yet, or early data
	handshake  handshakeState

	// The request.

	id       string         // assigned by the proxy and used by the balancer; "" until the request is parsed
	clientID string         // chosen by the client
	request  *ClientRequest // nil once the connection is established
	class    string
	deadline time.Duration
	answered bool // the final answer was sent, or the client has disconnected

	classOutcomes  *metrics.RequestOutcomes
	tenantOutcomes *metrics.RequestOutcomes // nil if the settings do not name the tenant

	// The pool, and the limits towards which the request counts.

	routedBy    boundTable              // the table that routed it; empty once the connection is established
	policyState routing.RequestProgress // the progress through its route's policy
	pool        *endpointPool
	route       *routeUsage
	usage       usageKind // how it counts towards the limits of its pool and route

	// The attempts for the request.

	retries       retryGuard
	attempt       *attempt // the attempt in progress or established; nil if none
	attemptCount  int
	lastStatus    balancer.Status // how the latest attempt ended, if one has ended
	reattachSince time.Duration   // when the first attempt to reattach started; 0 if none has failed

	// The connection between client and endpoint.

	establishedIndex int // index in sessionTable.established; -1 if not established
	relay            relayState
}

// handshakeState is the state of a client's connection until its request has been parsed.
type handshakeState struct {
	acceptedAt      time.Duration
	readinessChecks int           // the number that the client has sent
	timer           *evloop.Timer // fires after firstRequestTimeout
	idleElement     *list.Element // in idleConns.waiting; nil once the request has been parsed or the client is being closed
}

// relayState is the state of an established connection.
type relayState struct {
	unansweredSince time.Duration // when the oldest unanswered message was sent to the endpoint; 0 if there is none
	stalledSince    time.Duration // since when output has been waiting for a slow peer; 0 if none is waiting
	downstreamEnded bool          // the client has shut down its sending side
}

// downstreamState is the state of a client's connection. It has no meaning once the connection lingers.
type downstreamState int

const (
	stateAwaitingRequest downstreamState = iota // its request has not been parsed
	stateAwaitingAnswer                         // its request has no answer yet
	stateRelaying                               // its connection to an endpoint is established
)

func (s *session) downstreamState() downstreamState {
	switch {
	case s.establishedIndex >= 0:
		return stateRelaying
	case s.id != "":
		return stateAwaitingAnswer
	}
	return stateAwaitingRequest
}

// sessionTable holds the sessions whose request has been parsed.
type sessionTable struct {
	byID        map[string]*session
	byClientID  map[string]*session
	established []*session // unordered
	lastID      uint64
}

func newSessionTable() sessionTable {
	return sessionTable{byID: map[string]*session{}, byClientID: map[string]*session{}}
}

// nextID returns a new session ID. The IDs that clients choose may repeat.
func (t *sessionTable) nextID() string {
	t.lastID++
	return strconv.FormatUint(t.lastID, 36)
}

// add registers a session under both of its IDs.
func (t *sessionTable) add(s *session) {
	t.byID[s.id] = s
	t.byClientID[s.clientID] = s
}

func (t *sessionTable) remove(s *session) {
	delete(t.byID, s.id)
	if t.byClientID[s.clientID] == s {
		delete(t.byClientID, s.clientID)
	}
}

func (t *sessionTable) addEstablished(s *session) {
	s.establishedIndex = len(t.established)
	t.established = append(t.established, s)
}

func (t *sessionTable) removeEstablished(s *session) {
	last := len(t.established) - 1
	t.established[s.establishedIndex] = t.established[last]
	t.established[s.establishedIndex].establishedIndex = s.establishedIndex
	t.established[last] = nil
	t.established = t.established[:last]
	s.establishedIndex = -1
}
