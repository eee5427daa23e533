package balancer

import (
	"fmt"
	"testing"
	"time"

	"example.org/micafront/balancer/hashing"
)

// While the whole fleet is overloaded, the admission rate falls and every node rejects the same clients, so that
// retries at another node don't succeed. The rate recovers after the overload.
func TestOverloadLowersAdmissionRateAndRecovers(t *testing.T) {
	a, b := startBalancer(t, testSettings(), testEndpoints(4), 1), startBalancer(t, testSettings(), testEndpoints(4), 2)
	overloadAllEndpoints(a, 40, 200*ms, 4)
	overloadAllEndpoints(b, 40, 200*ms, 4)
	rejected := func(node *Balancer, now Instant, i int) bool {
		req := testRequest(1000+i, now)
		req.ID += fmt.Sprint(now)
		node.updateAdmission()
		node.now, node.lastAttemptAt = now, now // an attempt was just sent, so that no probe traffic is due
		return !node.admit(&request{Request: req, class: &node.settings.Classes[0], clientHash: hashing.String(req.Key)})
	}
	rejections := 0
	for i := range 200 {
		x, y := rejected(a, 7*sec, i), rejected(b, 7*sec, i)
		if x != y {
			t.Fatalf("client %d is admitted at one node and not at the other", i)
		}
		if x {
			rejections++
		}
	}
	if rejections == 0 {
		t.Fatal("an overloaded fleet rejects no client")
	}
	for now := 8 * sec; now < 60*sec; now += sec {
		a.Handle(now, Timer{})
	}
	if a.admissionRate < 1 {
		t.Errorf("admission rate still at %.2f long after the overload", a.admissionRate)
	}
}

// A low admission rate must stop spillover at once. It must not keep clients off an endpoint that is not overloaded,
// such as one that has just recovered, because others are overloaded. It rises as soon as the others recover.
func TestDeniedAdmissionStopsSpilloverOnly(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	for i := range 60 {
		establish(b, 2*sec, testRequest(i, 2*sec))
	}
	overload := func(now Instant, delay time.Duration) {
		for i := range 3 { // all but the last endpoint
			reportLatency(b, now, endpointID(i), delay)
		}
	}
	for now := 3 * sec; now <= 5*sec; now += sec {
		overload(now, 200*ms)
	}
	if b.updateAdmission(); b.admissionRate > 0.35 {
		t.Fatalf("admission rate at %.2f after 2 s in which three endpoints of four were overloaded", b.admissionRate)
	}
	rejected, sent := 0, map[string]int{}
	b.lastAttemptAt = 5 * sec // an attempt was just sent, so that no probe traffic is due
	for i := range 400 {
		req := testRequest(1000+i, 5*sec)
		firstCandidate := b.fleetTable.lookup(hashing.String(req.Key))
		actions := b.Handle(5*sec, req)
		if endpoint := sentTo(actions); endpoint == "" {
			rejected++
		} else {
			sent[endpoint]++
			if endpoint != firstCandidate.id && !b.admit(&request{Request: req, class: &b.settings.Classes[0], clientHash: hashing.String(req.Key)}) {
				t.Errorf("%s was denied admission and sent to %s, which is not its first candidate", req.Key, endpoint)
			}
			b.Handle(5*sec, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: OK, Final: true})
		}
		if firstCandidate.id == endpointID(3) && sentTo(actions) != firstCandidate.id {
			t.Errorf("%s was not sent to its first candidate, which is not overloaded", req.Key)
		}
	}
	if rejected < 100 || sent[endpointID(3)] < 50 {
		t.Errorf("%d of 400 rejected, %v sent", rejected, sent)
	}
	for now := 6 * sec; now <= 11*sec; now += sec {
		overload(now, 0)
	}
	if b.updateAdmission(); b.admissionRate < 1 {
		t.Errorf("admission rate still at %.2f, 5 s after the overload", b.admissionRate)
	}
}

// The classes with the lowest priority for their load are rejected first.
func TestAdmissionPrefersPriorityDensity(t *testing.T) {
	b := startBalancer(t, testSettings(), testEndpoints(4), 1)
	b.admissionRate, b.lastAttemptAt = 0.7, b.now
	admitted := map[string]int{}
	for i := range 1000 {
		for c := range b.settings.Classes {
			req := &request{class: &b.settings.Classes[c], clientHash: hashing.Mix64(uint64(i))}
			if b.admit(req) {
				admitted[req.class.Name]++
			}
		}
	}
	if admitted["light"] < 650 || admitted["light"] > 750 || admitted["heavy"] >= admitted["light"]*8/10 {
		t.Errorf("admitted %v of 1000 each", admitted)
	}
}

// A node with a low admission rate must still send probe traffic, even if all of its clients are denied admission.
// Otherwise it would never notice a recovery. It sends at least one attempt per OverloadWindow and hardly more.
func TestLowAdmissionRateSendsProbeTraffic(t *testing.T) {
	for seed := range uint64(20) {
		b := startBalancer(t, testSettings(), testEndpoints(4), seed)
		for i := range 60 {
			establish(b, 2*sec, testRequest(i, 2*sec))
		}
		for now := 3 * sec; now <= 8*sec; now += sec / 2 {
			for i := range 4 {
				reportLatency(b, now, endpointID(i), sec)
			}
		}
		sent, last, longest := 0, 8*sec, time.Duration(0)
		for i := range 160 { // 20 a second, all from one client that is denied admission
			now := 8*sec + time.Duration(i)*50*ms
			b.admissionRate, b.stress = minAdmittedFraction, 0
			for _, endpoint := range b.endpoints {
				endpoint.admittedFraction, endpoint.admittedFractionAt = minAdmittedFraction, now
			}
			req := Request{ID: fmt.Sprint("x", i), Class: "heavy", Key: fmt.Sprint("stubborn", seed), Deadline: now + 2*sec}
			if endpoint := sentTo(b.Handle(now, req)); endpoint != "" {
				sent++
				longest, last = max(longest, now-last), now
				b.Handle(now, AttemptEnded{ID: req.ID, Endpoint: endpoint, Status: RejectedByEndpoint})
			}
		}
		if longest = max(longest, 16*sec-last); longest > 2*b.settings.Rules.OverloadWindow || sent > 40 {
			t.Errorf("seed %d: %d attempts in 8 s, the longest pause was %v", seed, sent, longest)
		}
	}
}

// When the admission rate falls, a tenant far beyond its quota is rejected first, before one within its quota.
func TestOverQuotaTenantIsRejectedFirst(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Name: "greedy", Share: 0.5, Connections: 200}, {Name: "modest", Share: 0.5, Connections: 200}}
	settings.OverQuotaWeight = 0.1
	b := startBalancer(t, settings, testEndpoints(4), 1)
	for i := range 200 { // greedy has 150 connections, modest 50; the quota of each is 100 at this node
		req := testRequest(i, 2*sec)
		req.Tenant = "greedy"
		if i%4 == 0 {
			req.Tenant = "modest"
		}
		establish(b, 2*sec, req)
	}
	b.admissionRate = 0.8
	admitted := map[string]int{}
	for i := range 1000 {
		for _, tenant := range []string{"greedy", "modest", "unknown"} {
			if b.admit(&request{Request: Request{Tenant: tenant}, class: &b.settings.Classes[0], clientHash: hashing.Mix64(uint64(i))}) {
				admitted[tenant]++
			}
		}
	}
	if admitted["modest"] < 750 || admitted["unknown"] < 750 || admitted["greedy"] > admitted["modest"]*85/100 || admitted["greedy"] < 400 {
		t.Errorf("admitted %v of 1000 each", admitted)
	}
}

// If endpoints report overload, the class with the lowest priority for its load is rejected first, at once and with a
// time after which to retry. Packets of an established connection are never rejected.
func TestReportedOverloadRejectsByPriority(t *testing.T) {
	for _, c := range []struct {
		load         float64
		light, heavy bool // whether the class is admitted; light has twice the priority
	}{{0.5, true, true}, {0.8, true, false}, {1.2, false, false}} {
		b := startWithReports(t, loadReportSettings(), c.load, c.load, c.load)
		for class, want := range map[string]bool{"light": c.light, "heavy": c.heavy} {
			req := testRequest(len(class), 2*sec)
			req.ID, req.Class = class, class
			actions := b.Handle(2*sec, req)
			if got := sentTo(actions) != ""; got != want {
				t.Errorf("load %v: %s request sent: %v, want %v; actions %+v", c.load, class, got, want, actions)
			}
			if rejected := actionsOf[Reject](actions); !want && (len(rejected) != 1 || rejected[0].RetryAfter <= 0) {
				t.Errorf("load %v: a %s request was not rejected with a retry time: %+v", c.load, class, actions)
			}
		}
		req := testRequest(9, 2*sec)
		req.Resumed = true
		if actions := b.Handle(2*sec, req); sentTo(actions) == "" {
			t.Errorf("load %v: packets of an established connection were not sent: %+v", c.load, actions)
		}
	}
}
