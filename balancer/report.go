package balancer

// Read-only queries of the Balancer's state.

// UnavailableEndpoints returns the number of listed endpoints that get no new requests now: those that drain, are ejected, or
// are in an ejected zone.
func (b *Balancer) UnavailableEndpoints() int {
	count := 0
	for _, endpoint := range b.endpoints {
		if endpoint.phase == Draining || endpoint.phase == Ready && b.isEjected(endpoint) {
			count++
		}
	}
	return count
}

// Misplaced reports whether other nodes, which locate connections by key, would expect an established connection at a different
// endpoint. An unknown connection counts as misplaced.
func (b *Balancer) Misplaced(id string) bool {
	table := b.localTable
	if table.isEmpty() {
		table = &b.fleetTable
	}
	req := b.requests[id]
	return req == nil || req.endpoint != b.lookupEstablished(table, req.keyHash)
}

// EstablishedConnections returns the endpoint IDs of this process's established connections, by client hash. Connections whose
// clients were asked to migrate are left out.
func (b *Balancer) EstablishedConnections() map[uint64]string {
	byClient := map[uint64]string{}
	for _, req := range b.requests {
		if req.established && req.endpoint != nil && !req.migrating {
			byClient[req.clientHash] = req.endpoint.id
		}
	}
	return byClient
}

// Connection returns the event with which another process adopts an established connection, and false if there is no such
// connection.
func (b *Balancer) Connection(id string) (Adopted, bool) {
	req := b.requests[id]
	if req == nil || !req.established || req.endpoint == nil {
		return Adopted{}, false
	}
	return Adopted{Request: req.Request, Endpoint: req.endpoint.id}, true
}
