package balancer

import (
	"slices"
	"time"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/balancer/loadreport"
)

// Observed loads of connections and endpoints.

// meanLoadDivisor is the inverse of the weight of one report in the moving averages of connection loads. The weight is
// low because the loads of connections of one class differ by several times.
const meanLoadDivisor = 32

// minMeanLoad keeps relative loads finite.
const minMeanLoad = 1e-12

// observeLoad records a report of a connection's load.
func (b *Balancer) observeLoad(req *request, load float64) {
	for _, class := range []string{"", req.class.Name} { // "" is the mean over all classes
		if mean, known := b.meanLoads[class]; known {
			b.meanLoads[class] = mean + (load-mean)/meanLoadDivisor
		} else {
			b.meanLoads[class] = load
		}
	}
	b.setRequestLoad(req, load/max(b.meanLoads[""], minMeanLoad))
}

// expectedLoad returns the mean load of a class's connections, in mean connections of all classes; 1 if none was
// reported.
func (b *Balancer) expectedLoad(class *Class) float64 {
	if mean := b.meanLoads[class.Name]; mean > 0 {
		return mean / b.meanLoads[""]
	}
	return 1
}

// placementLoad returns the load that a request adds to an endpoint, in mean connections. The first request of a group
// at an endpoint also adds the cost of the group.
func (b *Balancer) placementLoad(req *request, endpoint *endpointState) float64 {
	sameGroup := func(other *request) bool { return other != req && other.Group == req.Group }
	if req.Group == "" || slices.ContainsFunc(endpoint.active, sameGroup) {
		return b.expectedLoad(req.class)
	}
	return b.expectedLoad(req.class) + loadreport.GroupCost
}

// scheduleLoadReports requests the load reports that are due and sets the timer for the next round. Jitter keeps the
// nodes from sending their requests at the same time.
func (b *Balancer) scheduleLoadReports() {
	if !b.settings.LoadReports {
		return
	}
	interval := loadreport.ReportInterval(b.now-b.startedAt, b.settings.Rules.OverloadWindow, b.loadReports.FleetLoad(b.now))
	for _, endpoint := range b.reportingEndpoints() {
		if !b.isEjected(endpoint) && b.loadReports.MarkRequestedIfDue(endpoint.id, endpoint.size, b.now, interval) {
			b.emit(HealthCheck{Endpoint: endpoint.id})
		}
	}
	b.setTimer(loadReportTimer, time.Duration(b.jitter()*float64(interval)/4))
}

const (
	// maxReportingEndpoints is the list length up to which all endpoints are asked for their load. Each endpoint costs
	// a persistent connection and an answer per interval, and neither cost may grow with the list.
	maxReportingEndpoints = 256
	// sampledEndpoints is the mean number of other endpoints that a node asks in a longer list, to estimate the load of
	// the fleet.
	sampledEndpoints = 128
)

// reportingEndpoints returns the endpoints that are asked for their load, sorted by ID. These are all endpoints of a
// short list. Of a long list, they are a sample and the endpoints with active requests of this node. The sample differs
// between nodes but is the same over time, so that connections can be kept.
func (b *Balancer) reportingEndpoints() []*endpointState {
	ready := b.readyEndpoints()
	if len(ready) <= maxReportingEndpoints {
		return ready
	}
	node := hashing.Combine(reportSampleSalt, uint64(b.settings.NodeIndex))
	sampledFraction := sampledEndpoints / float64(len(ready))
	var reporting []*endpointState
	for _, endpoint := range ready {
		if len(endpoint.active) > 0 || hashing.Uniform(endpoint.hash, node) < sampledFraction {
			reporting = append(reporting, endpoint)
		}
	}
	return reporting
}

// maxReportedLoad is the highest load that is accepted in a report; more can only be an error.
const maxReportedLoad = 1e6

// applyLoadReport processes an endpoint's load report. A report without a load, or with an invalid one, is ignored.
func (b *Balancer) applyLoadReport(result HealthCheckResult) {
	endpoint := b.endpoints[result.Endpoint]
	load, reported := result.Load[UtilizationMetric]
	if endpoint == nil || !reported || !(load >= 0 && load <= maxReportedLoad) {
		return
	}
	b.loadReports.RecordReport(endpoint.id, endpoint.size, b.now, load, result.Load[ConnectionsMetric])
	b.rebalanceByReport(endpoint, load)
}
