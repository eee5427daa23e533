package fleettest

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/faultinject"
	"example.org/micafront/internal/testing/testkit"
)

var programs func() (map[string]string, error)

// TestMain sets programs, which builds the programs on first use, and removes them after the tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fleettest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = sync.OnceValues(func() (map[string]string, error) { return Build(dir, "micafront", "micafront-controlplane") })
	code := m.Run()
	_ = os.RemoveAll(dir) // a temporary directory
	os.Exit(code)
}

// must fails the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// startFleet starts a fleet that is closed at the end of the test.
func startFleet(t *testing.T, proxies, replicas int, change ...func(*Options)) *Fleet {
	t.Helper()
	paths, err := programs()
	must(t, err)
	options := Options{
		Programs:         paths,
		Dir:              t.TempDir(),
		Seed:             1,
		ProxyCount:       proxies,
		ReplicaCount:     replicas,
		ClientsPerProxy:  2,
		RequestInterval:  50 * time.Millisecond,
		EndpointsPerPool: 2,
		ConnSetupTime:    time.Millisecond,
		WarmUpTime:       time.Second,
		DiscoveryRate:    200,
		AgreementTimeout: 2 * time.Second,
		MemberTimeout:    4 * time.Second,
	}
	for _, change := range change {
		change(&options)
	}
	fleet, err := New(context.Background(), options)
	must(t, err)
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	return fleet
}

// checkFindings stops the clients and reports every violation as a test error.
func checkFindings(t *testing.T, fleet *Fleet) Findings {
	t.Helper()
	fleet.StopClients()
	findings := fleet.Findings()
	for _, violation := range findings.Violations {
		t.Error(violation)
	}
	if findings.Tally.Served == 0 || findings.Lines == 0 {
		t.Errorf("%d requests served, %d lines of the contested class: the test exercised nothing", findings.Tally.Served, findings.Lines)
	}
	for _, stale := range findings.Excused {
		t.Log("excused:", stale)
	}
	t.Logf("%d requests, %d served, %d refused, %d failed; the longest overlap %v, %d lines excused; "+
		"%d requests to service discovery, %d rejected", findings.Tally.Answers, findings.Tally.Served,
		findings.Tally.Rejected, findings.Tally.Failed, findings.Longest,
		len(findings.Excused), findings.DiscoveryCalls, findings.DiscoveryRejected)
	return findings
}

// setFault returns a function that sets a fault on links.
func setFault(fleet *Fleet, pattern string, fault faultinject.Fault) func() error {
	return func() error { return fleet.Network.Set(pattern, fault) }
}

// clearFaults returns a function that clears all faults of links.
func clearFaults(fleet *Fleet, pattern string) func() error {
	return func() error { return fleet.Network.Clear(pattern, "") }
}

var (
	blackholeBoth = faultinject.Fault{Kind: faultinject.Blackhole}
	delayed       = faultinject.Fault{Kind: faultinject.Delay, Duration: 5 * time.Millisecond, Jitter: 20 * time.Millisecond}
)

// blackholeDirection returns a fault that drops the traffic of links in one direction.
func blackholeDirection(d faultinject.Direction) faultinject.Fault {
	return faultinject.Fault{Kind: faultinject.Blackhole, Direction: d}
}

// faultCase is a fault during which a test proposes a version.
type faultCase struct {
	name     string
	inject   func() error
	repair   func() error
	affected []*Proxy // proxies that may lack the version until the repair
	// during, if set, replaces the wait before the repair until the version is active at all unaffected proxies.
	during func(version uint64) error
}

func noop() error { return nil }

// proxyDownCase returns a fault that takes down one proxy.
func proxyDownCase(fleet *Fleet, name string, proxy *Proxy, down func(context.Context) error, up func() error) faultCase {
	return faultCase{name: name, inject: func() error { return down(fleet.ctx) }, repair: up, affected: []*Proxy{proxy}}
}

func proxyKilledCase(fleet *Fleet, proxy *Proxy) faultCase {
	return proxyDownCase(fleet, "a proxy is killed", proxy, proxy.Kill, func() error { return fleet.RestartProxy(proxy) })
}

func proxyStoppedCase(fleet *Fleet, proxy *Proxy) faultCase {
	return proxyDownCase(fleet, "a proxy is stopped", proxy, proxy.Stop, func() error { return fleet.RestartProxy(proxy) })
}

func proxyPausedCase(fleet *Fleet, proxy *Proxy) faultCase {
	return proxyDownCase(fleet, "a proxy pauses", proxy, proxy.Pause, proxy.Resume)
}

// linkFaultCase returns a fault of the links that match pattern. The repair clears all faults of the links that match cleared.
func linkFaultCase(fleet *Fleet, name, pattern string, fault faultinject.Fault, cleared string, affected ...*Proxy) faultCase {
	return faultCase{name: name, inject: setFault(fleet, pattern, fault), repair: clearFaults(fleet, cleared), affected: affected}
}

// TestProxiesWithoutControlPlane checks that each request gets exactly one answer under faults of service discovery, links and
// processes in a fleet without a control plane. Nothing bounds how long proxies act on conflicting versions there, so the test
// ignores overlaps.
func TestProxiesWithoutControlPlane(t *testing.T) {
	fleet := startFleet(t, 10, 0)
	halfLine := faultinject.Fault{Kind: faultinject.HalfClose, Direction: faultinject.Down, Offset: 2}
	for _, test := range []faultCase{
		{name: "discovery restarts", inject: fleet.RestartDiscovery, repair: noop},
		linkFaultCase(fleet, "discovery is cut off", "proxy*/discovery", blackholeBoth, "proxy*/discovery"),
		linkFaultCase(fleet, "links to endpoints drop", "proxy[1-3]/s-?1", blackholeBoth, "proxy*/s-*"),
		linkFaultCase(fleet, "half a line from endpoints", "proxy*/s-?2", halfLine, "*/*"),
		{
			name:   "an endpoint stops",
			inject: func() error { return fleet.StopEndpoint(0) },
			repair: func() error { return fleet.StartEndpoint(0) },
		},
		proxyPausedCase(fleet, fleet.Proxies[0]),
		proxyKilledCase(fleet, fleet.Proxies[1]),
		proxyStoppedCase(fleet, fleet.Proxies[2]),
	} {
		unaffected := fleet.ProxiesExcept(test.affected...)
		must(t, test.inject())
		before := fleet.answerCount(unaffected[0])
		number, err := fleet.Propose(test.affected...)
		must(t, err)
		must(t, fleet.AwaitActiveAt(number, unaffected))
		must(t, fleet.AwaitRequestLine(number))
		must(t, fleet.AwaitAnswers(unaffected[0], before+20))
		must(t, test.repair())
		for _, proxy := range fleet.Proxies {
			must(t, fleet.AwaitAnswers(proxy, fleet.answerCount(proxy)+2))
		}
	}
	fleet.StopClients()
	findings := fleet.Findings()
	findings.Violations = findings.Violations[len(findings.OverBound):] // drops the overlaps, which have no bound here
	for _, violation := range findings.Violations {
		t.Error(violation)
	}
}

// TestFleetAgreesUnderFaults checks that a version proposed during a fault becomes active at the unaffected proxies, and at all
// proxies after the repair. No two proxies may act on conflicting versions for longer than the agreement timeout.
func TestFleetAgreesUnderFaults(t *testing.T) {
	fleet := startFleet(t, 20, 3)
	for _, test := range append(controlPlaneFaults(fleet), leaseFaults(fleet)...) {
		start := time.Now()
		must(t, test.inject())
		number, err := fleet.Propose()
		must(t, err)
		if test.during != nil {
			must(t, test.during(number))
		} else {
			must(t, fleet.AwaitActiveAt(number, fleet.ProxiesExcept(test.affected...)))
		}
		must(t, test.repair())
		must(t, fleet.AwaitActiveAt(number, fleet.Proxies))
		must(t, fleet.AwaitRequestLine(number))
		t.Logf("%s: version %d active at all proxies after %v", test.name, number, time.Since(start).Round(time.Millisecond))
	}
	findings := checkFindings(t, fleet)
	must(t, fleet.VerifyVersions())
	for _, overlap := range findings.Overlaps {
		t.Logf("version %d: %d stale lines, the longest overlap %v", overlap.Version, overlap.StaleLines, overlap.Longest)
	}
}

// controlPlaneFaults returns faults of replicas, proxies and the links between them.
func controlPlaneFaults(fleet *Fleet) []faultCase {
	first, second := fleet.Proxies[0], fleet.Proxies[1]
	var leader *Replica
	withLeader := func(do func(*Replica) error) func() error {
		return func() (err error) {
			if leader, err = fleet.Leader(); err != nil {
				return err
			}
			return do(leader)
		}
	}
	return []faultCase{
		{name: "no fault", inject: noop, repair: noop},
		linkFaultCase(fleet, "links to one replica drop", "proxy*/keeper1", blackholeBoth, "*/keeper1"),
		linkFaultCase(fleet, "links of one proxy drop", "proxy1/keeper*", blackholeBoth, "proxy1/*", first),
		linkFaultCase(fleet, "links to replicas are slow", "*/keeper*", delayed, "*/keeper*"),
		linkFaultCase(fleet, "renewals are lost one way", "proxy2/keeper*", blackholeDirection(faultinject.Up), "proxy2/*", second),
		// The replicas still receive the proxy's renewals.
		linkFaultCase(fleet, "leases are lost one way", "proxy2/keeper*", blackholeDirection(faultinject.Down), "proxy2/*", second),
		{
			name: "the leader's messages are lost",
			inject: withLeader(func(replica *Replica) error {
				return fleet.Network.Set(replica.Name+"/*", blackholeDirection(faultinject.Up))
			}),
			repair: clearFaults(fleet, "keeper*/*"),
		},
		{
			name:   "the leader is killed",
			inject: withLeader(fleet.KillReplica),
			repair: func() error { return fleet.StartReplica(leader) },
		},
		{
			name:   "the leader pauses",
			inject: withLeader(func(replica *Replica) error { return replica.Pause(fleet.ctx) }),
			repair: func() error { return leader.Resume() },
		},
		proxyKilledCase(fleet, fleet.Proxies[2]),
		proxyStoppedCase(fleet, fleet.Proxies[3]),
		proxyPausedCase(fleet, fleet.Proxies[4]),
	}
}

// leaseFaults returns faults of a proxy that has acknowledged a version. The replicas activate the version without waiting for
// this proxy, which follows its old lease until that expires. The agreement timeout bounds this overlap.
func leaseFaults(fleet *Fleet) []faultCase {
	first, second := fleet.Proxies[0], fleet.Proxies[1]
	blackholeResponses := setFault(fleet, "proxy2/keeper*", blackholeDirection(faultinject.Down))
	// afterAcknowledgments calls do when all proxies but the second have acknowledged the version, and calls then when the version
	// is active. Until do returns, the second proxy gets no answers and so blocks the version, for at most MemberTimeout. So
	// MemberTimeout must exceed the time that these steps take on a slow machine.
	afterAcknowledgments := func(version uint64, do, then func() error) error {
		for _, step := range []func() error{
			func() error { return fleet.AwaitBlockedBy(version, second.Name) },
			do,
			clearFaults(fleet, "proxy2/*"),
			func() error { return fleet.AwaitActiveAt(version, fleet.ProxiesExcept(first)) },
			func() error { return fleet.AwaitRequestLine(version) },
			then,
		} {
			if err := step(); err != nil {
				return err
			}
		}
		return nil
	}
	awaitExpiry := func(version uint64) error {
		rejecting := fmt.Sprintf("what version %d contests is refused", version)
		serving := fmt.Sprintf("in force after version %d;", version-1)
		return first.AwaitLog(fleet.ctx, "lost its lease", func(log string) bool {
			return strings.Contains(log, rejecting) || strings.Contains(log, serving)
		})
	}
	return []faultCase{
		{
			name: "the member timeout is raised",
			inject: func() error {
				fleet.MemberTimeout = fakes.WaitTimeout
				return nil
			},
			repair: noop,
		},
		{
			name:     "a proxy is cut off after its acknowledgment",
			inject:   blackholeResponses,
			repair:   clearFaults(fleet, "proxy1/*"),
			affected: []*Proxy{first},
			during: func(version uint64) error {
				return afterAcknowledgments(version, setFault(fleet, "proxy1/keeper*", blackholeBoth),
					func() error { return awaitExpiry(version) })
			},
		},
		{
			name:     "a proxy pauses after its acknowledgment for longer than its lease",
			inject:   blackholeResponses,
			repair:   first.Resume,
			affected: []*Proxy{first},
			during: func(version uint64) error {
				return afterAcknowledgments(version, func() error { return first.Pause(fleet.ctx) }, func() error {
					pause(fleet.ctx, fleet.AgreementTimeout*5/4) // length of the pause; a paused proxy emits no event to wait for
					return nil
				})
			},
		},
	}
}

// generateSchedule generates a schedule for 4 proxies, 3 replicas and 8 endpoints.
func generateSchedule(seed uint64, length, interval time.Duration) []Event {
	return GenerateSchedule(ScheduleOptions{Seed: seed, Length: length, Interval: interval, Proxies: 4, Replicas: 3, Endpoints: 8})
}

// TestGeneratedSchedule checks that a generated schedule is the same each time and contains no concurrent faults of a resource, and
// that all proxies of a fleet reach the last version after it.
func TestGeneratedSchedule(t *testing.T) {
	generate := func(seed uint64) []Event { return generateSchedule(seed, 100*time.Second, time.Second) }
	testkit.Equal(t, "the same seed generated twice", generate(1), generate(1))
	busyUntil := map[string]time.Duration{}
	for _, event := range generate(2) {
		resource := event.Kind
		if strings.HasPrefix(resource, "a proxy") {
			resource = fmt.Sprint("proxy", event.Target)
		} else if strings.Contains(resource, "replica") || strings.Contains(resource, "leader") {
			resource = "replicas"
		}
		if event.At < busyUntil[resource] || event.At+event.Duration >= 100*time.Second {
			t.Errorf("%+v starts while %s has another fault, or ends after the schedule", event, resource)
		}
		busyUntil[resource] = event.At + event.Duration
	}
	fleet := startFleet(t, 4, 3)
	schedule := generateSchedule(4, 7*time.Second, 200*time.Millisecond)
	ctx, stop := context.WithCancel(fleet.ctx)
	proposed := make(chan error, 1)
	go func() {
		_, err := fleet.ProposeVersions(ctx, 300*time.Millisecond)
		proposed <- err
	}()
	must(t, fleet.RunSchedule(schedule))
	stop()
	must(t, <-proposed)
	last, err := fleet.Propose()
	must(t, err)
	must(t, fleet.AwaitActiveAt(last, fleet.Proxies))
	must(t, fleet.VerifyVersions())
	checkFindings(t, fleet)
	t.Logf("%d events, %d versions", len(schedule), last)
}

// TestStaleProxyIsReported checks that FindOverlaps reports a violation if a proxy does not receive a version and keeps following
// the old one.
func TestStaleProxyIsReported(t *testing.T) {
	fleet := startFleet(t, 3, 0)
	number, err := fleet.Propose(fleet.Proxies[0])
	must(t, err)
	must(t, fleet.AwaitActiveAt(number, fleet.Proxies[1:]))
	must(t, fleet.AwaitRequestLine(number))
	for deadline := time.Now().Add(fakes.WaitTimeout); ; pause(fleet.ctx, 20*time.Millisecond) {
		if findings := fleet.Findings(); len(findings.OverBound) > 0 {
			testkit.Equal(t, "the stale proxy", fleet.Proxies[0].Name, findings.OverBound[0].Proxy)
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("Findings did not report the stale proxy")
		}
	}
}

func TestFindOverlaps(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	rollouts := []Rollout{{1, "b", at(0)}, {2, "c", at(5000)}, {3, "d", at(9000)}}
	line := func(ms int, pool, proxy string) RequestLine { return RequestLine{At: at(ms), Pool: pool, Proxy: proxy} }
	var pauses intervals
	pauses.add(interval{at(7200), at(8500), 1300 * time.Millisecond})
	suspended := func(proxy string, from, to time.Time) time.Duration {
		if proxy != "paused" {
			return 0
		}
		return pauses.overlap(from, to)
	}
	for _, test := range []struct {
		name               string
		lines              []RequestLine
		longest            time.Duration
		overBound, excused int
	}{
		{"no overlap", []RequestLine{line(100, "b", "p"), line(5100, "c", "p"), line(9100, "d", "p")}, 0, 0, 0},
		{"within the bound", []RequestLine{line(100, "b", "p"), line(5100, "c", "q"), line(6000, "b", "p"), line(7000, "b", "p")},
			1900 * time.Millisecond, 0, 0},
		{"over the bound", []RequestLine{line(5100, "c", "q"), line(7250, "b", "p")}, 2150 * time.Millisecond, 1, 0},
		{"a later line by another proxy",
			[]RequestLine{line(8000, "b", "p"), line(5100, "c", "q"), line(7900, "c", "q")}, 2900 * time.Millisecond, 1, 0},
		{"paused at the end of the bound, line within ReactionTime",
			[]RequestLine{line(5200, "c", "q"), line(8530, "b", "paused")}, 0, 0, 1},
		{"paused at the end of the bound, line after ReactionTime",
			[]RequestLine{line(5200, "c", "q"), line(8600, "b", "paused")}, 3400 * time.Millisecond, 1, 0},
		{"paused only after the bound", []RequestLine{line(5000, "c", "q"), line(8510, "b", "paused")}, 3510 * time.Millisecond, 1, 0},
		{"two versions behind", []RequestLine{line(9100, "d", "q"), line(11250, "b", "p")}, 2150 * time.Millisecond, 1, 0},
		{"no line by the later version", []RequestLine{line(100, "b", "p"), line(8000, "b", "p")}, 0, 0, 0},
	} {
		report := FindOverlaps(test.lines, rollouts, 2*time.Second, suspended)
		testkit.Equal(t, test.name, []any{test.longest, test.overBound, test.excused},
			[]any{report.Longest, len(report.OverBound), len(report.Excused)})
	}
}

func TestDiscoveryRateLimit(t *testing.T) {
	discovery, err := newDiscovery(5)
	must(t, err)
	defer discovery.close()
	accepted := 0
	for range 50 {
		if _, ok := discovery.admit(&discovery.proxyCalls); ok {
			accepted++
		}
	}
	if accepted < 5 || discovery.proxyCalls.total != 50 || discovery.proxyCalls.rejected != 50-accepted ||
		discovery.replicaCalls.total != 0 {
		t.Errorf("%d of %d requests accepted, %d rejected", accepted, discovery.proxyCalls.total, discovery.proxyCalls.rejected)
	}
	discovery.set(fakes.Entry{ID: "s-a1", Addr: "127.0.0.1:7"})
	must(t, discovery.restart())
	got, err := discovery.currentList(func(id string) string { return id + ":1" })
	must(t, err)
	testkit.Equal(t, "list after a restart", `{"generation":2,"reset":true,"instances":[{"cell":0,"hostPort":"s-a1:1","instanceId":"s-a1",`+
		`"lifecycle":"in_service","machineType":"m","startedAtMs":0,"weight":1,"zone":"a"}]}`+"\n", string(got))
	_, err = Build(t.TempDir(), "no-such-program")
	if err == nil {
		t.Error("Build succeeded for a program that does not exist")
	}
}
