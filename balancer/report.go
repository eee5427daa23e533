package balancer

// This file answers questions about the Balancer's state. It decides nothing.

// UnavailableEndpoints counts the listed endpoints to which nothing new is sent now: those that drain, and those that
// are ejected or whose zone is.
func (b *Balancer) UnavailableEndpoints() int {
	count := 0
	for _, endpoint := range b.endpoints {
		if endpoint.phase == Draining || endpoint.phase == Ready && b.isEjected(endpoint) {
			count++
		}
	}
	return count
}

// Misplaced tells whether an established connection is not where other nodes would look for it by its key. One that is
// not known is.
func (b *Balancer) Misplaced(id string) bool {
	table := b.localTable
	if table.isEmpty() {
		table = &b.fleetTable
	}
	req := b.requests[id]
	return req == nil || req.endpoint != b.lookupEstablished(table, req.keyHash)
}

// EstablishedConnections returns the endpoints of this process's established connections, by client hash.
func (b *Balancer) EstablishedConnections() map[uint64]string {
	byClient := map[uint64]string{}
	for _, req := range b.requests {
		if req.established && req.endpoint != nil && !req.migrating {
			byClient[req.clientHash] = req.endpoint.id
		}
	}
	return byClient
}

// Connection returns an established connection as the event by which another process adopts it; false if there is none.
func (b *Balancer) Connection(id string) (Adopted, bool) {
	req := b.requests[id]
	if req == nil || !req.established || req.endpoint == nil {
		return Adopted{}, false
	}
	return Adopted{Request: req.Request, Endpoint: req.endpoint.id}, true
}
