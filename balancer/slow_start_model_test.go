package balancer

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/micafront/balancer/hashing"
)

// The tests in this file check in virtual time that the attempts of all nodes together stay within the slow start bound
// of a warming endpoint.
//
// Requests arrive as a Poisson process, unevenly over the nodes: a tenth of the nodes gets six times the requests of the
// others. Connections have exponentially distributed lifetimes. Capacities are in requests of mean load. A warm endpoint
// can accept its share of the usual arrivals divided by the utilization for which the fleet is sized. If connections
// outlive the warm-up, that capacity is one request in several seconds, and clients that return at once exceed it many
// times. In scenarios with returning clients and long connections, a warm endpoint can therefore accept, per
// OverloadWindow, its number of established connections divided by the utilization. A warming endpoint can accept the
// capacity of a warm one times its warm-up fraction. Every attempt counts: first attempts, retries, returning clients,
// resumed packets and rejected attempts. Warm endpoints are never overloaded, so requests are rejected only because of
// the admission rate or of slow start budgets.

// rampScenario is one run of the model.
type rampScenario struct {
	name                  string
	nodes                 int
	connectionLifetime    time.Duration
	utilization           float64
	connectionsPerNode    float64 // mean number of established connections
	replacedFraction      float64 // fraction of the hosts that stop at rampChangeAt and are replaced by new ones
	restartedFraction     float64 // fraction of the hosts that stop then and restart with the same ID
	added                 int     // hosts that join then
	resumedFraction       float64 // fraction of the connections whose packets arrive at another node a second later
	groups                int     // groups to which half of the clients belong; 0: none
	zones                 int
	capacityByConnections bool // whether capacity follows from connections, not from arrivals
	hosts                 int
	seed                  int
	admitAll              bool // whether resets by stopped hosts leave the admission rate at 1
}

type rampEvent struct {
	at  Instant
	seq int
	run func()
}

type rampQueue []rampEvent

func (q rampQueue) Len() int { return len(q) }

func (q rampQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

func (q rampQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *rampQueue) Push(x any) { *q = append(*q, x.(rampEvent)) }

func (q *rampQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

type rampHost struct {
	endpoint    Endpoint
	up          bool
	process     int // number of the current process; changes at each stop
	connections int
	arrivals    []rampArrival // since the latest start
}

type rampArrival struct {
	at       Instant
	notified bool // whether the sending node knew of the start
}

type rampClient struct {
	key, group string
	retries    int
}

// rampAttempt is a request at a node until its last attempt has ended.
type rampAttempt struct {
	client      *rampClient
	node        int
	id          string
	attempts    int
	host        *rampHost
	process     int
	established bool
	ended       bool
	deadline    Instant
}

type rampModel struct {
	scenario      rampScenario
	t             *testing.T
	rng           *rand.Rand
	settings      Settings
	now           Instant
	queue         rampQueue
	seq           int
	nodes         []*Balancer
	weights       []float64
	notifiedStart []map[string]Instant // latest start known to each node, by host
	hosts         map[string]*rampHost
	hostList      []*rampHost
	attempts      map[string]*rampAttempt
	nextID        int

	requested   int            // requests during the warm-up after rampChangeAt
	rejected    map[string]int // rejected ones of those requests, by cause
	established int
}

// rampChangeAt is when hosts stop, restart and join.
const rampChangeAt = 5 * sec

func (m *rampModel) schedule(delay time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, rampEvent{at: m.now + delay, seq: m.seq, run: run})
}

func (m *rampModel) randomDelay(least, most time.Duration) time.Duration {
	return least + time.Duration(m.rng.Float64()*float64(most-least))
}

func (m *rampModel) randomNode() int {
	weight := m.rng.Float64() * m.weights[len(m.weights)-1]
	node, _ := slices.BinarySearch(m.weights, weight)
	return min(node, len(m.nodes)-1)
}

func newRampModel(t *testing.T, scenario rampScenario) *rampModel {
	m := &rampModel{scenario: scenario, t: t, rng: rand.New(rand.NewPCG(uint64(scenario.seed), 99)), settings: testSettings(),
		hosts: map[string]*rampHost{}, attempts: map[string]*rampAttempt{}, rejected: map[string]int{}, now: sec}
	m.settings.Nodes, m.settings.PassThrough = scenario.nodes, true
	m.settings.Rules.OverloadWindow, m.settings.Rules.WarmUp, m.settings.Rules.InitialCapacity = sec, 9*sec, 0.3
	for i := range scenario.hosts {
		m.addHost(i, 0)
	}
	var list []Endpoint
	for _, host := range m.hostList {
		list = append(list, host.endpoint)
	}
	sum := 0.0
	for i := range scenario.nodes {
		settings := m.settings
		settings.NodeIndex = i
		if scenario.zones > 1 {
			settings.Zone = fmt.Sprintf("z%d", i%scenario.zones)
		}
		m.nodes = append(m.nodes, startBalancer(t, settings, list, uint64(scenario.seed*1000+i)))
		m.notifiedStart = append(m.notifiedStart, map[string]Instant{})
		if sum++; i%10 == 1 {
			sum += 5
		}
		m.weights = append(m.weights, sum)
	}
	m.now = 2 * sec
	for range int(scenario.connectionsPerNode * float64(scenario.nodes)) { // established before the run
		client, n := m.newClient(), m.randomNode()
		attempt := m.newAttempt(client, n)
		req, b := m.requestEvent(attempt), m.nodes[n]
		candidate := b.candidate(&request{
			Request:    req,
			keyHash:    hashing.String(cmp.Or(client.group, client.key)),
			clientHash: hashing.String(client.key),
		}, 0)
		host := m.hosts[candidate.id]
		attempt.host, attempt.process, attempt.established = host, host.process, true
		host.connections++
		m.established++
		b.Handle(m.now, Adopted{Request: req, Endpoint: host.endpoint.ID})
		m.scheduleEnd(attempt)
	}
	return m
}

func (m *rampModel) addHost(i int, started Instant) *rampHost {
	host := &rampHost{up: true, endpoint: Endpoint{ID: endpointID(i), Size: 1, StartedAt: started, Cell: i / 4,
		Zone: fmt.Sprintf("z%d", i%max(m.scenario.zones, 1))}}
	m.hosts[host.endpoint.ID] = host
	m.hostList = append(m.hostList, host)
	return host
}

func (m *rampModel) newClient() *rampClient {
	m.nextID++
	client := &rampClient{key: fmt.Sprintf("c%d", m.nextID)}
	if m.scenario.groups > 0 && m.rng.IntN(2) == 0 { // group sizes are very uneven
		client.group = fmt.Sprintf("g%d", int(float64(m.scenario.groups)*math.Pow(m.rng.Float64(), 2)))
	}
	return client
}

func (m *rampModel) newAttempt(client *rampClient, node int) *rampAttempt {
	m.nextID++
	attempt := &rampAttempt{client: client, node: node, id: fmt.Sprintf("q%d", m.nextID), deadline: m.now + 2*sec}
	m.attempts[attempt.id] = attempt
	return attempt
}

func (m *rampModel) requestEvent(attempt *rampAttempt) Request {
	return Request{ID: attempt.id, Class: "light", Key: attempt.client.key, Group: attempt.client.group, Deadline: attempt.deadline}
}

// sendRequest sends a client's request, as changed by modify, to a random node.
func (m *rampModel) sendRequest(client *rampClient, modify func(*Request)) {
	attempt := m.newAttempt(client, m.randomNode())
	req := m.requestEvent(attempt)
	modify(&req)
	if m.now >= rampChangeAt && m.now < rampChangeAt+m.settings.Rules.WarmUp {
		m.requested++
	}
	m.handle(attempt.node, req)
}

func (m *rampModel) handle(node int, event Event) {
	if m.scenario.admitAll {
		m.nodes[node].stress = 0
	}
	for _, action := range m.nodes[node].Handle(m.now, event) {
		switch action := action.(type) {
		case Send:
			m.startAttempt(m.attempts[action.ID], m.hosts[action.Endpoint])
		case Reject, Fail:
			m.handleRejection(action)
		case Migrate:
			if attempt := m.attempts[action.ID]; attempt != nil && !attempt.ended {
				m.schedule(50*ms, func() { m.endConnection(attempt, OK, true) })
			}
		case SetTimer:
			m.schedule(action.Delay, func() { m.handle(node, Timer{Token: action.Token}) })
		}
	}
}

func (m *rampModel) handleRejection(action Action) {
	id := ""
	switch action := action.(type) {
	case Reject:
		id = action.ID
	case Fail:
		id = action.ID
	}
	attempt := m.attempts[id]
	if m.now >= rampChangeAt && m.now < rampChangeAt+m.settings.Rules.WarmUp {
		m.rejected[m.rejectionCause(attempt)]++
	}
	if attempt.host == nil {
		attempt.ended = true
		delete(m.attempts, id)
	}
	if client := attempt.client; client.retries < 3 {
		client.retries++
		m.schedule(m.randomDelay(50*ms, sec), func() { m.sendRequest(client, func(req *Request) { req.ClientRetry = true }) })
	}
}

// rejectionCause returns the reason why no endpoint took a rejected request: the first of the causes that is sufficient
// alone.
func (m *rampModel) rejectionCause(attempt *rampAttempt) string {
	b := m.nodes[attempt.node]
	available := slices.ContainsFunc(b.readyEndpoints(), func(endpoint *endpointState) bool { return !b.isEjected(endpoint) })
	zoneEjected := func(endpoint *endpointState) bool { return b.zoneOutlier(endpoint).failures >= zoneEjectionThreshold }
	switch {
	case attempt.attempts >= m.settings.Limits.Attempts:
		return "attempts"
	case m.now >= attempt.deadline-m.settings.Rules.AnswerSlack:
		return "deadline"
	case b.admissionRate < 1:
		return "admission rate"
	case !available && slices.ContainsFunc(b.readyEndpoints(), zoneEjected):
		return "zone ejected"
	case !available:
		return "all ejected"
	}
	return "slow start"
}

func (m *rampModel) startAttempt(attempt *rampAttempt, host *rampHost) {
	attempt.host, attempt.process = host, host.process
	notified := host.endpoint.StartedAt > 0 && m.notifiedStart[attempt.node][host.endpoint.ID] == host.endpoint.StartedAt
	host.arrivals = append(host.arrivals, rampArrival{at: m.now, notified: notified})
	number := attempt.attempts
	attempt.attempts++
	fails := !host.up || m.rng.IntN(30) == 0 // one attempt in 30 fails to connect
	m.schedule(m.randomDelay(ms, 20*ms), func() {
		if attempt.ended || attempt.attempts != number+1 || attempt.host == nil {
			return
		}
		if fails || !host.up || host.process != attempt.process {
			attempt.host = nil
			m.handle(attempt.node, AttemptEnded{ID: attempt.id, Endpoint: host.endpoint.ID, Attempt: number, Status: ConnectFailed})
			return
		}
		attempt.established = true
		host.connections++
		m.established++
		m.handle(attempt.node, Established{ID: attempt.id, Endpoint: host.endpoint.ID, Attempt: number, Latency: ms})
		m.scheduleEnd(attempt)
	})
}

func (m *rampModel) scheduleEnd(attempt *rampAttempt) {
	m.schedule(time.Duration(m.rng.ExpFloat64()*float64(m.scenario.connectionLifetime)), func() { m.endConnection(attempt, OK, false) })
}

// endConnection ends an established connection. If returns is true, its client reconnects.
func (m *rampModel) endConnection(attempt *rampAttempt, status Status, returns bool) {
	if attempt.ended || !attempt.established {
		return
	}
	attempt.ended = true
	delete(m.attempts, attempt.id)
	attempt.host.connections--
	m.established--
	m.handle(attempt.node, AttemptEnded{
		ID: attempt.id, Endpoint: attempt.host.endpoint.ID, Attempt: max(attempt.attempts-1, 0), Status: status, Final: true,
	})
	if returns {
		client := attempt.client
		client.retries = 0
		m.schedule(m.randomDelay(170*ms, 1200*ms), func() { m.sendRequest(client, func(req *Request) { req.Returning = true }) })
	}
}

// establishedAttempts returns the established attempts, sorted by ID.
func (m *rampModel) establishedAttempts() []*rampAttempt {
	var all []*rampAttempt
	for _, attempt := range m.attempts {
		if attempt.established && !attempt.ended {
			all = append(all, attempt)
		}
	}
	slices.SortFunc(all, func(x, y *rampAttempt) int { return cmp.Compare(x.id, y.id) })
	return all
}

// stopHosts ends the processes of hosts and all of their connections.
func (m *rampModel) stopHosts(hosts []*rampHost) {
	for _, host := range hosts {
		host.up = false
		host.process++
	}
	for _, attempt := range m.establishedAttempts() {
		if !attempt.host.up {
			m.endConnection(attempt, Reset, true)
		}
	}
}

func (m *rampModel) announce(entry Endpoint) {
	for i := range m.nodes {
		m.schedule(m.randomDelay(0, 300*ms), func() {
			m.notifiedStart[i][entry.ID] = entry.StartedAt
			m.handle(i, EndpointUpdate{Entries: []Endpoint{entry}})
		})
	}
}

func (m *rampModel) run() {
	scenario := m.scenario
	usualRate := scenario.connectionsPerNode * float64(scenario.nodes) / scenario.connectionLifetime.Seconds()
	var arrive func()
	arrive = func() {
		m.sendRequest(m.newClient(), func(*Request) {})
		rate := usualRate
		if m.now > 4*sec && m.now < 12*sec {
			rate *= 1.5 // a burst
		}
		m.schedule(time.Duration(m.rng.ExpFloat64()/rate*float64(sec)), arrive)
	}
	m.schedule(0, arrive)
	m.schedule(rampChangeAt-m.now, func() {
		old := slices.Clone(m.hostList)
		replaced, restarted := int(scenario.replacedFraction*float64(len(old))), int(scenario.restartedFraction*float64(len(old)))
		stopped, restarting := old[:replaced], old[replaced:replaced+restarted]
		m.stopHosts(append(slices.Clone(stopped), restarting...))
		for _, host := range stopped {
			host.endpoint.Phase = Removed
			m.announce(host.endpoint)
		}
		for i := range replaced + scenario.added {
			m.announce(m.addHost(len(old)+i, m.now).endpoint)
		}
		for _, host := range restarting {
			m.schedule(m.randomDelay(200*ms, 2*sec), func() {
				host.up, host.endpoint.StartedAt, host.arrivals = true, m.now, nil
				m.announce(host.endpoint)
			})
		}
	})
	if scenario.resumedFraction > 0 {
		m.schedule(rampChangeAt+sec-m.now, func() {
			for _, attempt := range m.establishedAttempts() {
				if m.rng.Float64() < scenario.resumedFraction {
					m.endConnection(attempt, Canceled, false)
					client := attempt.client
					m.schedule(m.randomDelay(0, 300*ms), func() { m.sendRequest(client, func(req *Request) { req.Resumed = true }) })
				}
			}
		})
	}
	end := rampChangeAt + m.settings.Rules.WarmUp + 4*sec
	for len(m.queue) > 0 && m.queue[0].at < end {
		event := heap.Pop(&m.queue).(rampEvent)
		m.now = event.at
		event.run()
	}
}

// capacity returns how many requests of mean load a warm host can accept within OverloadWindow.
func (m *rampModel) capacity() float64 {
	scenario, rules := m.scenario, m.settings.Rules
	connections := scenario.connectionsPerNode * float64(scenario.nodes) / float64(scenario.hosts) / scenario.utilization
	if scenario.capacityByConnections {
		return connections
	}
	return connections / scenario.connectionLifetime.Seconds() * rules.OverloadWindow.Seconds()
}

// maxOverload returns the maximum, over all OverloadWindows, of the attempts at a warming host divided by its bound.
func (m *rampModel) maxOverload(host *rampHost) (most float64, description string) {
	rules := m.settings.Rules
	first := 0
	for last, arrival := range host.arrivals {
		for host.arrivals[first].at <= arrival.at-rules.OverloadWindow {
			first++
		}
		from := host.arrivals[first].at
		elapsedFraction := (from - host.endpoint.StartedAt).Seconds() / rules.WarmUp.Seconds()
		notified := 0
		for _, arrival := range host.arrivals[first : last+1] {
			if arrival.notified {
				notified++
			}
		}
		received := last + 1 - first
		if from < host.endpoint.StartedAt || elapsedFraction >= 1 || 3*notified <= 2*received {
			continue
		}
		limit := rules.OverloadFactor * m.capacity() * (rules.InitialCapacity + (1-rules.InitialCapacity)*elapsedFraction)
		bound := limit + 2*math.Sqrt(limit) + 2
		if overload := float64(received) / bound; overload > most {
			most, description = overload, fmt.Sprintf("%d of %.1f at %v", received, bound, from)
		}
	}
	return most, description
}

// totals sums up the warming hosts. worstOverload is their maximum overload, and worstAttempts describes it. early and
// connections are their attempts in the first 3 s and their final connections, as fractions of the share of a warm
// host. warmConnections is the number of connections that all of them together would hold if they were warm.
func (m *rampModel) totals() (worstOverload float64, worstAttempts string, early, connections, warmConnections float64) {
	warming, up := 0.0, 0.0
	for _, host := range m.hostList {
		if host.up {
			up++
		}
		if host.endpoint.StartedAt == 0 || !host.up {
			continue
		}
		warming++
		connections += float64(host.connections)
		for _, arrival := range host.arrivals {
			if arrival.at < host.endpoint.StartedAt+3*sec {
				early++
			}
		}
		if overload, description := m.maxOverload(host); overload > worstOverload {
			worstOverload, worstAttempts = overload, host.endpoint.ID+": "+description
		}
	}
	share := float64(m.established) / up
	return worstOverload, worstAttempts, early / warming / share, connections / warming / share, warming * share
}

// All nodes together must not overload a warming host, with few nodes and with many. The host must still be used early.
func TestSlowStartHoldsForSumOfAllNodes(t *testing.T) {
	load := map[int]float64{2: 150, 3: 100, 20: 8, 30: 2, 300: 2}
	for i, scenario := range []rampScenario{
		{name: "hosts join", added: 3},
		{name: "hosts restart", restartedFraction: 0.2},
		{name: "six in ten replaced", replacedFraction: 0.6, admitAll: true},
		{name: "six in ten replaced, groups", replacedFraction: 0.6, groups: 6},
		{name: "connections resume at other nodes", restartedFraction: 0.4, resumedFraction: 0.7, groups: 20, admitAll: true},
		{name: "zones", replacedFraction: 0.3, restartedFraction: 0.3, zones: 3, admitAll: true},
	} {
		for _, nodes := range []int{2, 3, 20, 30, 300} {
			if scenario.zones > 0 && nodes < 20 {
				continue // the zone of the busiest node would get several times its share
			}
			for _, lifetime := range []time.Duration{2 * sec, 60 * sec} {
				scenario.nodes, scenario.connectionLifetime, scenario.connectionsPerNode = nodes, lifetime, load[nodes]
				scenario.utilization, scenario.capacityByConnections = 0.7, lifetime > 9*sec && scenario.added == 0
				seeds := 3
				if scenario.hosts = 12; nodes == 300 {
					scenario.hosts, seeds = 24, 1
				}
				if nodes == 300 && lifetime > 9*sec && scenario.groups == 0 {
					continue // far below the bound even with 30 nodes, and slow to run
				}
				for scenario.seed = 10*i + 1; scenario.seed <= 10*i+seeds; scenario.seed++ {
					t.Run(fmt.Sprintf("%s/%d nodes/%v/%d", scenario.name, nodes, lifetime, scenario.seed), scenario.test)
				}
			}
		}
	}
}

func (s rampScenario) test(t *testing.T) {
	m := newRampModel(t, s)
	m.run()
	worstOverload, worstAttempts, early, connections, warmConnections := m.totals()
	rejected := float64(m.rejected["slow start"]) / float64(m.requested)
	t.Logf("maximum %.2f of the bound (%s); %.2f of a share in the first 3 s, %.2f after the warm-up; of %d requests rejected: %v",
		worstOverload, worstAttempts, early, connections, m.requested, m.rejected)
	if worstOverload > 1 {
		t.Errorf("a warming host got %.2f times the bound: %s", worstOverload, worstAttempts)
	}
	if rejected > 0.08 {
		t.Errorf("slow start budgets rejected a fraction of %.3f although warm hosts had capacity", rejected)
	}
	if scatter := 1 / math.Sqrt(warmConnections); s.connectionLifetime < 9*sec && (connections < 0.6-scatter || early < 0.1-scatter/4) {
		t.Errorf("a warming host got %.2f of a share in the first 3 s and holds %.2f after the warm-up", early, connections)
	}
}
