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

// session is one client's connection: its request, the attempts for it and, once one of them is established, the
// connection to the endpoint.
type session struct {
	proxy *Proxy

	// The client's connection.

	downstream *evloop.Conn // the client's; nil once it is closed or only lingers
	listener   string       // the name of the one that accepted it
	buffered   []byte       // of the client: not parsed yet, or early
	handshake  handshakeState

	// The request.

	id       string         // the proxy's own, by which the balancer knows it; "" until the request has been parsed
	clientID string         // that the client gave
	request  *ClientRequest // nil once the connection is established
	class    string
	deadline time.Duration
	answered bool // the final answer is out, or the client is gone

	classOutcomes  *metrics.RequestOutcomes
	tenantOutcomes *metrics.RequestOutcomes // nil: the settings do not name its tenant

	// The pool and the limits that it counts towards.

	table       *routing.Table          // by which it was routed; nil once the connection is established
	policyState routing.RequestProgress // the progress through its route's policy
	pool        *endpointPool
	route       *routeUsage
	usage       usageKind // as which it counts towards the limits of its pool and route

	// The attempts for it.

	retries       retryGuard
	attempt       *attempt // the one under way, then the established one; nil: none is
	attemptCount  int
	lastStatus    balancer.Status // how the latest attempt ended, if one has
	reattachSince time.Duration   // when its first attempt to reattach began; 0: none has failed

	// The connection between client and endpoint.

	establishedIndex int // in sessionTable.established; -1: it is not established
	relay            relayState
}

// handshakeState is the state of a client's connection until its request has been parsed.
type handshakeState struct {
	acceptedAt      time.Duration
	readinessChecks int           // that the client has sent
	timer           *evloop.Timer // until firstRequestTimeout
	idleElement     *list.Element // in idleConns.waiting; nil: the request has been parsed, or the client is being closed
}

// relayState is the state of an established connection.
type relayState struct {
	unansweredSince time.Duration // when the oldest unanswered message went to the endpoint; 0: there is none
	stalledSince    time.Duration // since when output has waited for a slow peer; 0: none waits
	downstreamEnded bool          // the client has ended its sending
}

// downstreamState is the state of a client's connection, until it only lingers.
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

// sessionTable are the sessions whose request has been parsed.
type sessionTable struct {
	byID        map[string]*session
	byClientID  map[string]*session
	established []*session // in no order
	lastID      uint64
}

func newSessionTable() sessionTable {
	return sessionTable{byID: map[string]*session{}, byClientID: map[string]*session{}}
}

// nextID returns an ID for a session. IDs that clients make up may repeat.
func (t *sessionTable) nextID() string {
	t.lastID++
	return strconv.FormatUint(t.lastID, 36)
}

// add takes a session in under its two IDs.
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
