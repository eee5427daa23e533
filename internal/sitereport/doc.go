// Package sitereport reports how a compiled site routes a connection, and what another version of the site would change.
// Both reports run the proxy's own routing tables and balancers, without a proxy process and without network access.
//
// The commands "config explain" and "config diff" print the reports as text or as JSON.
package sitereport
