// Package discovery follows the endpoint list of service discovery over HTTP/1.1: it fetches the whole list, watches for changes,
// and restarts lost watches early enough that changes are known within the freshness bound. The proxy uses it for service discovery
// and for control-plane replicas, which serve the same protocol. An invalid list is rejected, and the list in use stays.
//
// Client is the entry point, call is one HTTP request, objectStream parses a response body, and Times computes delays. All of it
// runs on the event loop. docs/design/lifecycle.md contains the table of states and events.
package discovery
