// Package endpointlist holds the endpoint list that a fleet has committed, and selects the source of each proxy's list.
//
// State is the replicated part: the control-plane leader watches service discovery on behalf of all proxies, and proposes
// each change of the list as a command of internal/fleetconfig's replicated log. All proxies therefore receive the same
// lists under the same numbers. SourceSelector is a proxy's local part: it chooses between the control-plane replicas and
// discovery itself. Both are deterministic: they do no I/O, read no clock and draw no random numbers.
// docs/design/fleet-agreement.md gives the reasons.
package endpointlist
