package balancer

import (
	"slices"
	"time"

	"example.org/micafront/balancer/hashing"
	"example.org/micafront/balancer/loadreport"
)

// This file learns what connections and endpoints are loaded with.

// meanLoadDivisor is the part by which mean loads move: connections of one class differ by several times.
const meanLoadDivisor = 32

// minMeanLoad keeps relative loads finite.
const minMeanLoad = 1e-12

// observeLoad follows a report of a connection's load.
func (b *Balancer) observeLoad(req *request, load float64) {
	for _, class := range []string{"", req.class.Name} { // "": over all classes
		if mean, known := b.meanLoads[class]; known {
			b.meanLoads[class] = mean + (load-mean)/meanLoadDivisor
		} else {
			b.meanLoads[class] = load
		}
	}
	b.setRequestLoad(req, load/max(b.meanLoads[""], minMeanLoad))
}

// expectedLoad is the load of a class's connection in mean connections; 1 where none was reported.
func (b *Balancer) expectedLoad(class *Class) float64 {
	if mean := b.meanLoads[class.Name]; mean > 0 {
		return mean / b.meanLoads[""]
	}
	return 1
}

// placementLoad is what a request adds to an endpoint, in mean connections: more where it is the first of its group.
func (b *Balancer) placementLoad(req *request, endpoint *endpointState) float64 {
	sameGroup := func(other *request) bool { return other != req && other.Group == req.Group }
	if req.Group == "" || slices.ContainsFunc(endpoint.active, sameGroup) {
		return b.expectedLoad(req.class)
	}
	return b.expectedLoad(req.class) + loadreport.GroupCost
}

// scheduleLoadReports asks for the load reports that are due, and again after a pause with jitter, so that nodes don't
// ask in step.
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
	// maxReportingEndpoints is up to how many endpoints all are asked for their load. Each costs a connection that is kept, and an
	// answer every interval, and neither may grow with the list.
	maxReportingEndpoints = 256
	// sampledEndpoints is of how many others a node asks in a larger list, in the mean: the fleet's load is estimated by them.
	sampledEndpoints = 128
)

// reportingEndpoints are the endpoints that are asked for their load, by ID: all, or in a large list those that have connections
// of this node and a sample. The sample differs from node to node and is the same from time to time, so that connections last.
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

// maxReportedLoad is beyond any load that an endpoint can mean.
const maxReportedLoad = 1e6

// applyLoadReport follows an endpoint's report of its load; one without a load, or with a senseless one, is ignored.
func (b *Balancer) applyLoadReport(result HealthCheckResult) {
	endpoint := b.endpoints[result.Endpoint]
	load, reported := result.Load[UtilizationMetric]
	if endpoint == nil || !reported || !(load >= 0 && load <= maxReportedLoad) {
		return
	}
	b.loadReports.RecordReport(endpoint.id, endpoint.size, b.now, load, result.Load[ConnectionsMetric])
	b.rebalanceByReport(endpoint, load)
}
