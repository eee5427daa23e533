package controlplane

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	metricsNamespace     = "micafront_keeper"
	maxConcurrentScrapes = 4
)

// Values of the label "outcome" of renewals.
const (
	renewalGranted = "granted"
	renewalFailed  = "failed"
)

// metrics holds the metrics that /metrics exposes. The event loop updates the gauges on each tick.
type metrics struct {
	registry *prometheus.Registry

	saveSeconds   prometheus.Histogram
	commitSeconds prometheus.Histogram
	renewSeconds  *prometheus.HistogramVec // by outcome

	messagesLost     *prometheus.CounterVec // by receiver
	messagesRejected *prometheus.CounterVec // by sender
	callsForwarded   prometheus.Counter

	term            prometheus.Gauge
	isLeader        prometheus.Gauge
	appliedIndex    prometheus.Gauge
	renewalsWaiting prometheus.Gauge
	activeVersion   prometheus.Gauge
	proposedVersion prometheus.Gauge
	members         prometheus.Gauge
	eventsWaiting   prometheus.Gauge

	endpointList listMetrics
}

// listMetrics holds the metrics of the endpoint list and of service discovery.
type listMetrics struct {
	number       prometheus.Gauge
	watches      prometheus.Gauge
	requests     prometheus.Counter // to discovery
	failures     prometheus.Counter // of requests to discovery
	earlyUpdates prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		saveSeconds: prometheus.NewHistogram(histogramOpts("save_seconds",
			"How long the log's writes take until they are durable.")),
		commitSeconds: prometheus.NewHistogram(histogramOpts("commit_seconds",
			"How long callers' commands take until they are applied.")),
		renewSeconds: prometheus.NewHistogramVec(histogramOpts("renew_seconds",
			"How long renewals take, by outcome."), []string{"outcome"}),
		messagesLost: prometheus.NewCounterVec(counterOpts("messages_lost_total",
			"Messages to a replica that were not delivered."), []string{"to"}),
		messagesRejected: prometheus.NewCounterVec(counterOpts("messages_refused_total",
			"Invalid messages from a replica."), []string{"from"}),
		callsForwarded: newCounter("forwarded_total", "Requests that were forwarded to the leader."),

		term:            newGauge("term", "The current raft term."),
		isLeader:        newGauge("leads", "1 on the leader, 0 on other replicas."),
		appliedIndex:    newGauge("applied_index", "Index of the last applied command."),
		renewalsWaiting: newGauge("renewals_waiting", "Renewals that wait for a quorum."),
		activeVersion:   newGauge("active_version", "The active version; 0 before the first."),
		proposedVersion: newGauge("proposed_version", "The proposed version; 0 for none."),
		members:         newGauge("members", "Proxy processes that are members of the fleet."),
		eventsWaiting:   newGauge("events_waiting", "Events that wait for the event loop."),
		endpointList: listMetrics{
			number:       newGauge("list_number", "Number of the committed endpoint list; 0 before the first."),
			watches:      newGauge("list_watches", "Open watches of the endpoint list."),
			requests:     newCounter("discovery_calls_total", "Requests to service discovery."),
			failures:     newCounter("discovery_failures_total", "Requests to service discovery that failed or ended."),
			earlyUpdates: newCounter("list_early_total", "Drains and removals published before they were committed."),
		},
	}
	m.registry.MustRegister(m.saveSeconds, m.commitSeconds, m.renewSeconds, m.messagesLost, m.messagesRejected,
		m.callsForwarded, m.term, m.isLeader, m.appliedIndex, m.renewalsWaiting, m.activeVersion, m.proposedVersion, m.members,
		m.eventsWaiting)
	m.registry.MustRegister(m.endpointList.number, m.endpointList.watches, m.endpointList.requests, m.endpointList.failures,
		m.endpointList.earlyUpdates)
	return m
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(counterOpts(name, help))
}

func counterOpts(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}
}

func histogramOpts(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: metricsNamespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0002, 2, 15)} // 0.2 ms to 3.3 s
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes, Timeout: readTimeout})
}

func (m *metrics) addMessagesLost(to uint64, n int) {
	m.messagesLost.WithLabelValues(strconv.FormatUint(to, 10)).Add(float64(n))
}

func (m *metrics) countMessageRejected(from uint64) {
	m.messagesRejected.WithLabelValues(strconv.FormatUint(from, 10)).Inc()
}

func (m *metrics) countForwarded() { m.callsForwarded.Inc() }

func (m *metrics) observeRenewal(granted bool, elapsed time.Duration) {
	outcome := renewalFailed
	if granted {
		outcome = renewalGranted
	}
	m.renewSeconds.WithLabelValues(outcome).Observe(elapsed.Seconds())
}

// updateGauges sets the gauges. Only the event loop may call it.
func (m *metrics) updateGauges(loop *eventLoop) {
	active, _ := loop.state.Active()     // number 0 before the first
	proposed, _ := loop.state.Proposed() // number 0 for none
	isLeader := 0.0
	if loop.node.Leading() {
		isLeader = 1
	}
	m.term.Set(float64(loop.node.Term()))
	m.isLeader.Set(isLeader)
	m.appliedIndex.Set(float64(loop.node.AppliedIndex()))
	m.renewalsWaiting.Set(float64(loop.leaseServer.PendingRenewals()))
	m.activeVersion.Set(float64(active.Number))
	m.proposedVersion.Set(float64(proposed.Number))
	m.members.Set(float64(len(loop.state.Members())))
	m.eventsWaiting.Set(float64(len(loop.replica.events)))
	m.endpointList.number.Set(float64(loop.state.EndpointList().Number()))
	m.endpointList.watches.Set(float64(loop.replica.discovery.openWatches.Load()))
}
