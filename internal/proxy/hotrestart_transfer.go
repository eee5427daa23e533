package proxy

import (
	"maps"
	"slices"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/evloop"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// transferredConn describes an established connection to the successor that continues it. Processes of different releases
// exchange it, so the names of its JSON members must not change.
type transferredConn struct {
	ClientID          string
	Route             string
	Pool              string
	Connection        balancer.Adopted `json:"Open"`
	EndpointAddr      string           `json:"Addr"`
	PartialMessage    []byte           `json:"Tail"`     // an incomplete message from the endpoint
	PendingDownstream []byte           `json:"ToClient"` // output not yet written to the client
	PendingUpstream   []byte           `json:"ToHop"`    // output not yet written to the endpoint
	UnansweredSince   time.Duration    `json:"Asked"`
	LastMessage       MessageKind      `json:"Last"`
}

// transferConnections transfers the established connections to the successor. It returns false if no successor takes them
// over; the caller then migrates the clients.
func (p *Proxy) transferConnections() bool {
	if !p.restart.canTransfer() {
		return false
	}
	for len(p.sessions.established) > 0 {
		s := p.sessions.established[len(p.sessions.established)-1]
		downstream := s.downstream
		upstream := s.attempt.conn
		err := p.restart.successor.transfer(p.describeConnection(s), downstream.FD(), upstream.FD())
		if err != nil {
			return p.restart.canTransfer()
		}
		p.counters.ConnectionsHandedOver++
		s.downstream = nil
		downstream.Detach()
		upstream.Detach()
		s.close(balancer.Canceled, nil)
	}
	return true
}

// describeConnection returns the description of an established connection for the successor.
func (p *Proxy) describeConnection(s *session) *transferredConn {
	a := s.attempt
	conn := &transferredConn{
		ClientID:          s.clientID,
		EndpointAddr:      a.endpoint.addr,
		PartialMessage:    a.partial,
		PendingDownstream: s.downstream.PendingOutput(),
		PendingUpstream:   a.conn.PendingOutput(),
		UnansweredSince:   s.relay.unansweredSince,
		LastMessage:       a.lastMessage,
	}
	if s.route != nil {
		conn.Pool = s.pool.name
		conn.Route = p.pools.routeName(s.route)
	}
	connection, known := s.pool.balancer.Connection(s.id)
	if !known { // the endpoint was never in the list
		connection = balancer.Adopted{Request: balancer.Request{Class: s.class}, Endpoint: a.endpoint.id}
	}
	conn.Connection = connection
	return conn
}

// adoptConnection continues a connection of the predecessor.
func (p *Proxy) adoptConnection(conn *transferredConn, downstreamFD, upstreamFD int) {
	s := p.transferredSession(conn)
	a := s.attempt
	if err := adoptDescriptors(p.loop, s, a, downstreamFD, upstreamFD); err != nil {
		p.log.Warn("hot restart: connection not adopted", zap.Error(err))
		return
	}
	p.counters.ConnectionsTransferred++
	s.setUsage(usageOpen)
	p.sessions.addEstablished(s)
	p.sessions.add(s)
	conn.Connection.ID = s.id
	p.events.handle(s.pool, conn.Connection)
	if s.downstreamState() != stateRelaying {
		return // the balancer migrated it at once because its endpoint drains
	}
	p.pools.drainIfUnowned(a.endpoint)
	a.conn.Write(conn.PendingUpstream)
	if a.conn.Pending() > maxPendingOutput {
		s.downstream.Pause()
	}
	s.downstream.Write(conn.PendingDownstream)
	if s.downstream.Pending() > maxPendingOutput {
		a.conn.Pause()
	}
}

// transferredSession returns the session for a predecessor's connection, without its downstream and upstream.
func (p *Proxy) transferredSession(conn *transferredConn) *session {
	className := conn.Connection.Class
	endpointID := conn.Connection.Endpoint
	s := &session{
		proxy:         p,
		id:            p.sessions.nextID(),
		clientID:      conn.ClientID,
		class:         className,
		classOutcomes: p.counters.Class(className),
		answered:      true,
		pool:          p.pools.forTransfer(conn.Pool, endpointID),
		attemptCount:  1,
		relay:         relayState{unansweredSince: conn.UnansweredSince},
	}
	if conn.Route != "" {
		s.route = p.pools.ensureRouteUsage(conn.Route)
	}
	e := p.endpoints[endpointID]
	if e == nil {
		e = &endpoint{id: endpointID, addr: conn.EndpointAddr}
	}
	s.attempt = &attempt{
		session:     s,
		endpoint:    e,
		startedAt:   p.loop.Now(),
		stage:       stageEstablished,
		partial:     conn.PartialMessage,
		lastMessage: conn.LastMessage,
	}
	return s
}

// adoptDescriptors adopts the two descriptors as the session's downstream and the attempt's upstream. It fails if the kernel
// has no memory to poll one more descriptor; it then closes both.
func adoptDescriptors(loop *evloop.Loop, s *session, a *attempt, downstreamFD, upstreamFD int) error {
	downstream, err := loop.Adopt(downstreamFD, downstreamHandler{s})
	if err != nil {
		_ = unix.Close(upstreamFD)
		return err
	}
	upstream, err := loop.Adopt(upstreamFD, relayHandler{a})
	if err != nil {
		downstream.Close()
		return err
	}
	s.downstream = downstream
	a.conn = upstream
	return nil
}

// establishedEndpoints maps clients to the endpoints of this process's established connections.
func (p *Proxy) establishedEndpoints() map[uint64]string {
	endpoints := map[uint64]string{}
	for _, pool := range slices.Concat(p.pools.retired, p.pools.active) {
		maps.Copy(endpoints, pool.balancer.EstablishedConnections())
	}
	return endpoints
}

// restoreEstablished passes the endpoints of a predecessor's connections, by client, to the balancers.
func (p *Proxy) restoreEstablished(endpoints map[uint64]string) {
	for _, pool := range p.pools.active {
		pool.balancer.RestoreEstablishedConnections(endpoints)
	}
}

func (p *Proxy) listenerDescriptors() []int { return p.listeners.descriptors() }

func (p *Proxy) onPeersChanged() { p.setGCMemoryLimit() }

func (p *Proxy) onPredecessorExit() {
	if p.fleet != nil {
		p.fleet.onPredecessorExit()
	}
}
