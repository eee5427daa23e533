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

// The tests in this file check that the slow start of warming endpoints keeps to its bound over the sum of all nodes, in
// virtual time.
//
// The model: requests arrive as a Poisson process, unevenly over the nodes (a tenth of them gets six times what the
// others do), and their connections live for an exponentially distributed time. A warm endpoint can accept, in requests
// of mean load, its fair part of the usual arrivals over the utilization for which the fleet is sized. Where connections
// outlive the warm-up that is a request in some seconds, and clients that return all at once are many times as many: on
// days with returning clients and long connections a warm endpoint can accept within OverloadWindow what it has
// established, over the utilization. A warming one can accept that times its warm-up fraction. All that is sent to it
// counts: first attempts, retries, returning clients, resumed packets, what it rejects. Warm endpoints are never
// overloaded here, so rejections are those of the admission rate or of slow start budgets.

// rampDay is one day of the model.
type rampDay struct {
	name                  string
	nodes                 int
	connectionLifetime    time.Duration
	utilization           float64
	connectionsPerNode    float64 // established ones, in the mean
	replacedFraction      float64 // of the hosts: stopped at rampChangeAt and replaced by new ones
	restartedFraction     float64 // of the hosts: stopped then and started again with the same ID
	added                 int     // hosts that are added then
	resumedFraction       float64 // of the connections: their packets arrive at another node, a second later
	groups                int     // that half of the clients belong to; 0: none
	zones                 int
	capacityByConnections bool // else by arrivals
	hosts                 int
	seed                  int
	admitAll              bool // resets by stopped hosts don't lower the admission rate
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
	process     int // number of its starts
	connections int
	arrivals    []rampArrival // since its latest start
}

type rampArrival struct {
	at       Instant
	notified bool // its node knew of the start
}

type rampClient struct {
	key, group string
	retries    int
}

// rampAttempt is one request at one node, until its last attempt has ended.
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
	day           rampDay
	t             *testing.T
	rng           *rand.Rand
	settings      Settings
	now           Instant
	queue         rampQueue
	seq           int
	nodes         []*Balancer
	weights       []float64
	notifiedStart []map[string]Instant // by node and host: the latest start that it knows of
	hosts         map[string]*rampHost
	hostList      []*rampHost
	attempts      map[string]*rampAttempt
	nextID        int

	requested   int            // requests during the warm-up after rampChangeAt
	rejected    map[string]int // and the rejected ones of them, by cause
	established int
}

const rampChangeAt = 5 * sec

func (w *rampModel) schedule(delay time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, rampEvent{at: w.now + delay, seq: w.seq, run: run})
}

func (w *rampModel) randomDelay(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Float64()*float64(most-least))
}

func (w *rampModel) randomNode() int {
	weight := w.rng.Float64() * w.weights[len(w.weights)-1]
	node, _ := slices.BinarySearch(w.weights, weight)
	return min(node, len(w.nodes)-1)
}

func newRampModel(t *testing.T, day rampDay) *rampModel {
	w := &rampModel{day: day, t: t, rng: rand.New(rand.NewPCG(uint64(day.seed), 99)), settings: testSettings(),
		hosts: map[string]*rampHost{}, attempts: map[string]*rampAttempt{}, rejected: map[string]int{}, now: sec}
	w.settings.Nodes, w.settings.PassThrough = day.nodes, true
	w.settings.Rules.OverloadWindow, w.settings.Rules.WarmUp, w.settings.Rules.InitialCapacity = sec, 9*sec, 0.3
	for i := range day.hosts {
		w.addHost(i, 0)
	}
	var list []Endpoint
	for _, host := range w.hostList {
		list = append(list, host.endpoint)
	}
	sum := 0.0
	for i := range day.nodes {
		settings := w.settings
		settings.NodeIndex = i
		if day.zones > 1 {
			settings.Zone = fmt.Sprintf("z%d", i%day.zones)
		}
		w.nodes = append(w.nodes, startBalancer(t, settings, list, uint64(day.seed*1000+i)))
		w.notifiedStart = append(w.notifiedStart, map[string]Instant{})
		if sum++; i%10 == 1 {
			sum += 5
		}
		w.weights = append(w.weights, sum)
	}
	w.now = 2 * sec
	for range int(day.connectionsPerNode * float64(day.nodes)) { // already established
		client, n := w.newClient(), w.randomNode()
		attempt := w.newAttempt(client, n)
		req, b := w.requestEvent(attempt), w.nodes[n]
		candidate := b.candidate(&request{
			Request:    req,
			keyHash:    hashing.String(cmp.Or(client.group, client.key)),
			clientHash: hashing.String(client.key),
		}, 0)
		host := w.hosts[candidate.id]
		attempt.host, attempt.process, attempt.established = host, host.process, true
		host.connections++
		w.established++
		b.Handle(w.now, Adopted{Request: req, Endpoint: host.endpoint.ID})
		w.scheduleEnd(attempt)
	}
	return w
}

func (w *rampModel) addHost(i int, started Instant) *rampHost {
	host := &rampHost{up: true, endpoint: Endpoint{ID: endpointID(i), Size: 1, StartedAt: started, Cell: i / 4,
		Zone: fmt.Sprintf("z%d", i%max(w.day.zones, 1))}}
	w.hosts[host.endpoint.ID] = host
	w.hostList = append(w.hostList, host)
	return host
}

func (w *rampModel) newClient() *rampClient {
	w.nextID++
	client := &rampClient{key: fmt.Sprintf("c%d", w.nextID)}
	if w.day.groups > 0 && w.rng.IntN(2) == 0 { // groups of very different sizes
		client.group = fmt.Sprintf("g%d", int(float64(w.day.groups)*math.Pow(w.rng.Float64(), 2)))
	}
	return client
}

func (w *rampModel) newAttempt(client *rampClient, node int) *rampAttempt {
	w.nextID++
	attempt := &rampAttempt{client: client, node: node, id: fmt.Sprintf("q%d", w.nextID), deadline: w.now + 2*sec}
	w.attempts[attempt.id] = attempt
	return attempt
}

func (w *rampModel) requestEvent(attempt *rampAttempt) Request {
	return Request{ID: attempt.id, Class: "light", Key: attempt.client.key, Group: attempt.client.group, Deadline: attempt.deadline}
}

// sendRequest sends a client's request, changed by modify, to a random node.
func (w *rampModel) sendRequest(client *rampClient, modify func(*Request)) {
	attempt := w.newAttempt(client, w.randomNode())
	req := w.requestEvent(attempt)
	modify(&req)
	if w.now >= rampChangeAt && w.now < rampChangeAt+w.settings.Rules.WarmUp {
		w.requested++
	}
	w.handle(attempt.node, req)
}

func (w *rampModel) handle(node int, event Event) {
	if w.day.admitAll {
		w.nodes[node].stress = 0
	}
	for _, action := range w.nodes[node].Handle(w.now, event) {
		switch action := action.(type) {
		case Send:
			w.startAttempt(w.attempts[action.ID], w.hosts[action.Endpoint])
		case Reject, Fail:
			w.handleRejection(action)
		case Migrate:
			if attempt := w.attempts[action.ID]; attempt != nil && !attempt.ended {
				w.schedule(50*ms, func() { w.endConnection(attempt, OK, true) })
			}
		case SetTimer:
			w.schedule(action.Delay, func() { w.handle(node, Timer{Token: action.Token}) })
		}
	}
}

func (w *rampModel) handleRejection(action Action) {
	id := ""
	switch action := action.(type) {
	case Reject:
		id = action.ID
	case Fail:
		id = action.ID
	}
	attempt := w.attempts[id]
	if w.now >= rampChangeAt && w.now < rampChangeAt+w.settings.Rules.WarmUp {
		w.rejected[w.rejectionCause(attempt)]++
	}
	if attempt.host == nil {
		attempt.ended = true
		delete(w.attempts, id)
	}
	if client := attempt.client; client.retries < 3 {
		client.retries++
		w.schedule(w.randomDelay(50*ms, sec), func() { w.sendRequest(client, func(req *Request) { req.ClientRetry = true }) })
	}
}

// rejectionCause tells what kept a rejected request from all endpoints, the first of those causes that are enough alone.
func (w *rampModel) rejectionCause(attempt *rampAttempt) string {
	b := w.nodes[attempt.node]
	available := slices.ContainsFunc(b.readyEndpoints(), func(endpoint *endpointState) bool { return !b.isEjected(endpoint) })
	zoneEjected := func(endpoint *endpointState) bool { return b.zoneOutlier(endpoint).failures >= zoneEjectionThreshold }
	switch {
	case attempt.attempts >= w.settings.Limits.Attempts:
		return "attempts"
	case w.now >= attempt.deadline-w.settings.Rules.AnswerSlack:
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

func (w *rampModel) startAttempt(attempt *rampAttempt, host *rampHost) {
	attempt.host, attempt.process = host, host.process
	notified := host.endpoint.StartedAt > 0 && w.notifiedStart[attempt.node][host.endpoint.ID] == host.endpoint.StartedAt
	host.arrivals = append(host.arrivals, rampArrival{at: w.now, notified: notified})
	number := attempt.attempts
	attempt.attempts++
	fails := !host.up || w.rng.IntN(30) == 0 // an attempt in thirty is rejected
	w.schedule(w.randomDelay(ms, 20*ms), func() {
		if attempt.ended || attempt.attempts != number+1 || attempt.host == nil {
			return
		}
		if fails || !host.up || host.process != attempt.process {
			attempt.host = nil
			w.handle(attempt.node, AttemptEnded{ID: attempt.id, Endpoint: host.endpoint.ID, Attempt: number, Status: ConnectFailed})
			return
		}
		attempt.established = true
		host.connections++
		w.established++
		w.handle(attempt.node, Established{ID: attempt.id, Endpoint: host.endpoint.ID, Attempt: number, Latency: ms})
		w.scheduleEnd(attempt)
	})
}

func (w *rampModel) scheduleEnd(attempt *rampAttempt) {
	w.schedule(time.Duration(w.rng.ExpFloat64()*float64(w.day.connectionLifetime)), func() { w.endConnection(attempt, OK, false) })
}

// endConnection ends an established connection; its client may return.
func (w *rampModel) endConnection(attempt *rampAttempt, status Status, returns bool) {
	if attempt.ended || !attempt.established {
		return
	}
	attempt.ended = true
	delete(w.attempts, attempt.id)
	attempt.host.connections--
	w.established--
	w.handle(attempt.node, AttemptEnded{
		ID: attempt.id, Endpoint: attempt.host.endpoint.ID, Attempt: max(attempt.attempts-1, 0), Status: status, Final: true,
	})
	if returns {
		client := attempt.client
		client.retries = 0
		w.schedule(w.randomDelay(170*ms, 1200*ms), func() { w.sendRequest(client, func(req *Request) { req.Returning = true }) })
	}
}

// establishedAttempts lists established attempts in a fixed order.
func (w *rampModel) establishedAttempts() []*rampAttempt {
	var all []*rampAttempt
	for _, attempt := range w.attempts {
		if attempt.established && !attempt.ended {
			all = append(all, attempt)
		}
	}
	slices.SortFunc(all, func(x, y *rampAttempt) int { return cmp.Compare(x.id, y.id) })
	return all
}

// stopHosts ends hosts' processes and all their connections.
func (w *rampModel) stopHosts(hosts []*rampHost) {
	for _, host := range hosts {
		host.up = false
		host.process++
	}
	for _, attempt := range w.establishedAttempts() {
		if !attempt.host.up {
			w.endConnection(attempt, Reset, true)
		}
	}
}

func (w *rampModel) announce(entry Endpoint) {
	for i := range w.nodes {
		w.schedule(w.randomDelay(0, 300*ms), func() {
			w.notifiedStart[i][entry.ID] = entry.StartedAt
			w.handle(i, EndpointUpdate{Entries: []Endpoint{entry}})
		})
	}
}

func (w *rampModel) run() {
	day := w.day
	usualRate := day.connectionsPerNode * float64(day.nodes) / day.connectionLifetime.Seconds()
	var arrive func()
	arrive = func() {
		w.sendRequest(w.newClient(), func(*Request) {})
		rate := usualRate
		if w.now > 4*sec && w.now < 12*sec {
			rate *= 1.5 // a burst
		}
		w.schedule(time.Duration(w.rng.ExpFloat64()/rate*float64(sec)), arrive)
	}
	w.schedule(0, arrive)
	w.schedule(rampChangeAt-w.now, func() {
		old := slices.Clone(w.hostList)
		replaced, restarted := int(day.replacedFraction*float64(len(old))), int(day.restartedFraction*float64(len(old)))
		stopped, restarting := old[:replaced], old[replaced:replaced+restarted]
		w.stopHosts(append(slices.Clone(stopped), restarting...))
		for _, host := range stopped {
			host.endpoint.Phase = Removed
			w.announce(host.endpoint)
		}
		for i := range replaced + day.added {
			w.announce(w.addHost(len(old)+i, w.now).endpoint)
		}
		for _, host := range restarting {
			w.schedule(w.randomDelay(200*ms, 2*sec), func() {
				host.up, host.endpoint.StartedAt, host.arrivals = true, w.now, nil
				w.announce(host.endpoint)
			})
		}
	})
	if day.resumedFraction > 0 {
		w.schedule(rampChangeAt+sec-w.now, func() {
			for _, attempt := range w.establishedAttempts() {
				if w.rng.Float64() < day.resumedFraction {
					w.endConnection(attempt, Canceled, false)
					client := attempt.client
					w.schedule(w.randomDelay(0, 300*ms), func() { w.sendRequest(client, func(req *Request) { req.Resumed = true }) })
				}
			}
		})
	}
	end := rampChangeAt + w.settings.Rules.WarmUp + 4*sec
	for len(w.queue) > 0 && w.queue[0].at < end {
		event := heap.Pop(&w.queue).(rampEvent)
		w.now = event.at
		event.run()
	}
}

// capacity is what a warm host can accept within OverloadWindow, in requests of mean load.
func (w *rampModel) capacity() float64 {
	day, rules := w.day, w.settings.Rules
	connections := day.connectionsPerNode * float64(day.nodes) / float64(day.hosts) / day.utilization
	if day.capacityByConnections {
		return connections
	}
	return connections / day.connectionLifetime.Seconds() * rules.OverloadWindow.Seconds()
}

// maxOverload is the most that a warming host got within OverloadWindow, over its bound.
func (w *rampModel) maxOverload(host *rampHost) (most float64, text string) {
	rules := w.settings.Rules
	first := 0
	for last, arrival := range host.arrivals {
		for host.arrivals[first].at <= arrival.at-rules.OverloadWindow {
			first++
		}
		from := host.arrivals[first].at
		warm := (from - host.endpoint.StartedAt).Seconds() / rules.WarmUp.Seconds()
		notified := 0
		for _, arrival := range host.arrivals[first : last+1] {
			if arrival.notified {
				notified++
			}
		}
		received := last + 1 - first
		if from < host.endpoint.StartedAt || warm >= 1 || 3*notified <= 2*received {
			continue
		}
		limit := rules.OverloadFactor * w.capacity() * (rules.InitialCapacity + (1-rules.InitialCapacity)*warm)
		bound := limit + 2*math.Sqrt(limit) + 2
		if overload := float64(received) / bound; overload > most {
			most, text = overload, fmt.Sprintf("%d of %.1f at %v", received, bound, from)
		}
	}
	return most, text
}

// totals sums up the warming hosts of a day; fair is what they would have, all together, were they warm.
func (w *rampModel) totals() (most float64, at string, early, connections, fair float64) {
	warming, up := 0.0, 0.0
	for _, host := range w.hostList {
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
		if overload, text := w.maxOverload(host); overload > most {
			most, at = overload, host.endpoint.ID+": "+text
		}
	}
	share := float64(w.established) / up
	return most, at, early / warming / share, connections / warming / share, warming * share
}

// What all nodes together send a warming host stays under what overloads it, at few nodes and at many, and it is used
// early all the same.
func TestSlowStartHoldsForSumOfAllNodes(t *testing.T) {
	load := map[int]float64{2: 150, 3: 100, 20: 8, 30: 2, 300: 2}
	for i, day := range []rampDay{
		{name: "hosts join", added: 3},
		{name: "hosts restart", restartedFraction: 0.2},
		{name: "six in ten replaced", replacedFraction: 0.6, admitAll: true},
		{name: "six in ten replaced, groups", replacedFraction: 0.6, groups: 6},
		{name: "connections resume at other nodes", restartedFraction: 0.4, resumedFraction: 0.7, groups: 20, admitAll: true},
		{name: "zones", replacedFraction: 0.3, restartedFraction: 0.3, zones: 3, admitAll: true},
	} {
		for _, nodes := range []int{2, 3, 20, 30, 300} {
			if day.zones > 0 && nodes < 20 {
				continue // the zone of the node with most traffic would get several times its part
			}
			for _, lifetime := range []time.Duration{2 * sec, 60 * sec} {
				day.nodes, day.connectionLifetime, day.connectionsPerNode = nodes, lifetime, load[nodes]
				day.utilization, day.capacityByConnections = 0.7, lifetime > 9*sec && day.added == 0
				seeds := 3
				if day.hosts = 12; nodes == 300 {
					day.hosts, seeds = 24, 1
				}
				if nodes == 300 && lifetime > 9*sec && day.groups == 0 {
					continue // far below the bound at 30 nodes, and slow to run
				}
				for day.seed = 10*i + 1; day.seed <= 10*i+seeds; day.seed++ {
					t.Run(fmt.Sprintf("%s/%d nodes/%v/%d", day.name, nodes, lifetime, day.seed), day.test)
				}
			}
		}
	}
}

func (d rampDay) test(t *testing.T) {
	w := newRampModel(t, d)
	w.run()
	most, at, early, connections, fair := w.totals()
	rejected := float64(w.rejected["slow start"]) / float64(w.requested)
	t.Logf("%.2f of the bound (%s); %.2f of a share came in 3 s, %.2f is there after the warm-up; of %d rejected %v",
		most, at, early, connections, w.requested, w.rejected)
	if most > 1 {
		t.Errorf("a warming host got %.2f of what overloads it: %s", most, at)
	}
	if rejected > 0.08 {
		t.Errorf("%.3f rejected for slow start budgets though warm hosts had capacity", rejected)
	}
	if chance := 1 / math.Sqrt(fair); d.connectionLifetime < 9*sec && (connections < 0.6-chance || early < 0.1-chance/4) {
		t.Errorf("a warming host was sent %.2f of a share in 3 s and has %.2f after the warm-up", early, connections)
	}
}
