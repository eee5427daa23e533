// Package metrics contains the counters of a proxy and writes them in two forms: the text of GET /api/telemetry, with one
// name=value line per metric, and the single line that the process writes on SIGUSR1 and when it exits.
//
// The proxy's event loop owns all counters; nothing here is safe for concurrent use. The printed names are scraped by
// operators and must not change, even where they differ from the names of the Go fields.
package metrics

import (
	"fmt"
	"io"
)

// Counter counts events since the process started. Only the goroutine of the event loop accesses it.
type Counter int64

// Counters contains all counters of a proxy. The method namedCounters defines the printed names and their order.
type Counters struct {
	AcceptedConnections Counter
	ReadinessChecks     Counter
	RequestsReceived    Counter // well-formed requests, each of which is assigned a proxy-local ID
	Reattached          Counter // of RequestsReceived: connections that were established before this process started
	Resumed             Counter // of RequestsReceived: connections that were already open at another endpoint

	Attempts    Counter // attempts whose first message has been written in full
	Established Counter // attempts that the endpoint accepted

	// Each attempt that has ended is counted in exactly one of these.
	OutcomeOK            Counter
	OutcomeError         Counter
	OutcomeFull          Counter // the endpoint had no capacity
	OutcomeTimeout       Counter
	OutcomeConnectFailed Counter
	OutcomeReset         Counter
	OutcomeCanceled      Counter // canceled by the client or by the proxy
	OutcomeNotSent       Counter // the request never left this process

	// Each request is counted in at most one of these.
	Completed          Counter
	Rejected           Counter // with a time after which the client may retry
	Failed             Counter
	ClientDisconnected Counter // before the final answer

	Migrations             Counter // migrations requested by the balancer, or from a draining endpoint that the connection's pool does not own
	MigrationsUnresponsive Counter // away from an endpoint that no longer answers messages
	MigrationsShutdown     Counter // because this process drains or stops
	ClosedByEndpoint       Counter // established connections that the endpoint closed

	BytesUpstream   Counter // to endpoints
	BytesDownstream Counter // to clients

	MalformedMessages Counter
	OversizedMessages Counter
	NoRequest         Counter // connections that were closed before a request was received
	ResourceExhausted Counter // requests and connections that were rejected at a limit
	AcceptErrors      Counter
	DialErrors        Counter // connections to endpoints that could not be started, mostly for lack of file descriptors
	SlowPeers         Counter // connections that were migrated or closed because a peer did not read

	FullLists      Counter // whole endpoint lists, each of which replaced the previous one
	DeltaLists     Counter // lists of changes to the endpoint list
	ListFailures   Counter // failed calls for the endpoint list
	MalformedLists Counter // of ListFailures: invalid lists
	LatencyReports Counter // latencies reported to the balancer
	LoadReports    Counter // loads reported to the balancer
	Reloads        Counter // reloads of the configuration
	ReloadErrors   Counter

	UnknownClass     Counter // requests of a class that is not in the settings
	DuplicateID      Counter // requests with the ID of an open request
	UnexpectedData   Counter // clients that sent more data before they received their answer
	Evicted          Counter // idle connections that were closed to make room for new ones
	ImplausibleLoads Counter // load reports that were ignored as implausible

	NoRoute           Counter // requests that match no route
	Fallbacks         Counter // requests that fell back to the next pool of their policy
	PoolTransfers     Counter // connections whose endpoint moved to another pool
	MigrationsRetired Counter // migrations away from a pool that was removed from the configuration

	LoadQueries       Counter // queries to endpoints for load reports
	LoadQueriesFailed Counter

	// Established connections that were sent to another process at a hot restart, or received from one.
	ConnectionsHandedOver  Counter
	ConnectionsTransferred Counter

	OpenConnections Counter // gauge: currently established connections
	Fleet           *Fleet  // nil if the configuration has no fleet record

	classes outcomesByName
	tenants outcomesByName
}

// outcomesByName contains request outcomes by name, in the order in which the names were first used.
type outcomesByName struct {
	counts map[string]*RequestOutcomes
	names  []string
}

func (n *outcomesByName) get(name string) *RequestOutcomes {
	outcomes := n.counts[name]
	if outcomes == nil {
		if n.counts == nil {
			n.counts = map[string]*RequestOutcomes{}
		}
		outcomes = &RequestOutcomes{}
		n.counts[name] = outcomes
		n.names = append(n.names, name)
	}
	return outcomes
}

func (n *outcomesByName) appendMetrics(out []byte, prefix string) []byte {
	for _, name := range n.names {
		outcomes := n.counts[name]
		out = appendMetric(out, prefix+"."+name+".completed", outcomes.Completed)
		out = appendMetric(out, prefix+"."+name+".rejected", outcomes.Rejected)
		out = appendMetric(out, prefix+"."+name+".failed", outcomes.Failed)
	}
	return out
}

// appendMetric appends one name=value line of the telemetry text.
func appendMetric(out []byte, name string, value any) []byte {
	return fmt.Appendf(out, "%s=%v\n", name, value)
}

// RequestOutcomes counts the final answers to the requests of one class or tenant. Each received request is counted in at
// most one of them.
type RequestOutcomes struct {
	Completed Counter
	Rejected  Counter
	Failed    Counter
}

// Class returns the outcomes of a class, which are printed from the first call on, even after the class is removed from
// the settings.
func (c *Counters) Class(name string) *RequestOutcomes { return c.classes.get(name) }

// Tenant returns the outcomes of a tenant, which are printed from the first call on. It must be called only for tenants in
// the settings, because each name uses memory and clients can send arbitrary names.
func (c *Counters) Tenant(name string) *RequestOutcomes { return c.tenants.get(name) }

// Gauges contains the current values that are printed with the counters.
type Gauges struct {
	Pending              int // requests without a final answer, and established connections
	Endpoints            int // endpoints in the endpoint list
	EndpointsUnavailable int // of Endpoints: draining or ejected
}

// AppendMetrics appends one name=value line per metric.
func (c *Counters) AppendMetrics(out []byte, gauges Gauges) []byte {
	out = c.classes.appendMetrics(out, "svc.downstream_requests")
	out = c.tenants.appendMetrics(out, "svc.tenant_requests")
	out = appendMetric(out, "svc.upstream_requests", c.Attempts)
	out = appendMetric(out, "svc.pending", gauges.Pending)
	out = appendMetric(out, "svc.members", gauges.Endpoints)
	out = appendMetric(out, "svc.members_unavailable", gauges.EndpointsUnavailable)
	out = appendMetric(out, "svc.config_reloads", c.Reloads)
	return appendMetric(out, "svc.config_reload_errors", c.ReloadErrors)
}

// WriteLine writes all counters, including those of the fleet, as one line of name=value pairs.
func (c *Counters) WriteLine(w io.Writer) {
	for _, counter := range c.namedCounters() {
		fmt.Fprintf(w, "%s=%d ", counter.name, counter.value)
	}
	if c.Fleet != nil {
		for _, counter := range c.Fleet.namedCounters() {
			fmt.Fprintf(w, "fleet_%s=%d ", counter.name, counter.value)
		}
	}
	fmt.Fprintln(w)
}

// namedCounter is a counter with its printed name.
type namedCounter struct {
	name  string
	value Counter
}

// namedCounters returns the counters with their printed names, in the order of WriteLine.
func (c *Counters) namedCounters() []namedCounter {
	return []namedCounter{
		{"accepted", c.AcceptedConnections},
		{"pings", c.ReadinessChecks},
		{"taken_in", c.RequestsReceived},
		{"standing", c.Reattached},
		{"mid_flow", c.Resumed},
		{"attempts", c.Attempts},
		{"up", c.Established},
		{"outcome_ok", c.OutcomeOK},
		{"outcome_error", c.OutcomeError},
		{"outcome_full", c.OutcomeFull},
		{"outcome_timeout", c.OutcomeTimeout},
		{"outcome_no_connect", c.OutcomeConnectFailed},
		{"outcome_reset", c.OutcomeReset},
		{"outcome_cancelled", c.OutcomeCanceled},
		{"outcome_moot", c.OutcomeNotSent},
		{"served", c.Completed},
		{"deferred", c.Rejected},
		{"failed", c.Failed},
		{"client_gone", c.ClientDisconnected},
		{"moves", c.Migrations},
		{"moves_silent", c.MigrationsUnresponsive},
		{"moves_stop", c.MigrationsShutdown},
		{"ended", c.ClosedByEndpoint},
		{"bytes_to_next_hops", c.BytesUpstream},
		{"bytes_to_clients", c.BytesDownstream},
		{"bad_lines", c.MalformedMessages},
		{"overlong", c.OversizedMessages},
		{"no_first_line", c.NoRequest},
		{"unknown_class", c.UnknownClass},
		{"same_id", c.DuplicateID},
		{"overtalked", c.UnexpectedData},
		{"evicted", c.Evicted},
		{"no_room", c.ResourceExhausted},
		{"accept_errors", c.AcceptErrors},
		{"dial_errors", c.DialErrors},
		{"slow_peers", c.SlowPeers},
		{"lists", c.FullLists},
		{"list_changes", c.DeltaLists},
		{"list_failures", c.ListFailures},
		{"list_broken", c.MalformedLists},
		{"delay_notes", c.LatencyReports},
		{"load_notes", c.LoadReports},
		{"absurd_loads", c.ImplausibleLoads},
		{"reloads", c.Reloads},
		{"reload_errors", c.ReloadErrors},
		{"no_route", c.NoRoute},
		{"fallbacks", c.Fallbacks},
		{"transfers", c.PoolTransfers},
		{"moves_retired", c.MigrationsRetired},
		{"probes", c.LoadQueries},
		{"probes_failed", c.LoadQueriesFailed},
		{"handed_on", c.ConnectionsHandedOver},
		{"taken_over", c.ConnectionsTransferred},
		{"open", c.OpenConnections},
	}
}
