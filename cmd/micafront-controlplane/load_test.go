package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/micafront/internal/controlplane"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the longest latency that is recorded. A longer one counts as a failure.
const maxLatency = time.Minute

// latencies records the durations of requests, and counts failures.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // in microseconds
	failed    int
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (l *latencies) record(start time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failed++
	} else if err := l.histogram.RecordValue(time.Since(start).Microseconds()); err != nil {
		l.failed++
	}
}

func (l *latencies) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.Reset()
}

func (l *latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	quantile := func(percent float64) time.Duration {
		return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Microsecond
	}
	return fmt.Sprintf("%d responses and %d failures: p50 %v, p99 %v, max %v", l.histogram.TotalCount(), l.failed, quantile(50),
		quantile(99), quantile(100))
}

// renewalInterval is the time between two renewals of a proxy.
const renewalInterval = 500 * time.Millisecond

// clockTick is the unit of the CPU times in /proc/PID/stat (1/USER_HZ).
const clockTick = 10 * time.Millisecond

// TestLoad measures three replicas under the renewals of a fleet: their CPU usage, the latencies of renewals and proposals, and
// the time until a lease is granted after the leader is killed. It runs for the duration in MICAFRONT_KEEPER_LOAD, such as
// "20s", and is skipped if that is not a duration. MICAFRONT_KEEPER_FOLLOWERS is the number of proxies, 300 by default. They
// renew at the leader or, with MICAFRONT_KEEPER_ASK=any, each at one of the replicas.
func TestLoad(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("MICAFRONT_KEEPER_LOAD"))
	if err != nil {
		t.Skip("MICAFRONT_KEEPER_LOAD is not a duration")
	}
	proxies, err := strconv.Atoi(os.Getenv("MICAFRONT_KEEPER_FOLLOWERS"))
	if err != nil {
		proxies = 300
	}
	replicas := startReplicas(t, 3)
	must := func(method, path, body string, to any) {
		t.Helper()
		if code, text := testkit.HTTPCall(t, method, "http://"+replicas[0].addr+path, body); code != 200 || json.Unmarshal([]byte(text), to) != nil {
			t.Fatalf("%s %s: %d %s", method, path, code, text)
		}
	}
	var proposed controlplane.ProposeResponse
	var status controlplane.Status
	must("POST", "/v1/propose?wait=active", proposal("one"), &proposed)
	must("GET", "/v1/status", "", &status)

	renewals := newLatencies()
	stop := make(chan struct{})
	var running sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: proxies}}
	for i := range proxies {
		addr := replicas[status.Leader-1].addr
		if os.Getenv("MICAFRONT_KEEPER_ASK") == "any" {
			addr = replicas[i%3].addr
		}
		running.Go(func() {
			time.Sleep(renewalInterval * time.Duration(i) / time.Duration(proxies)) // spreads the proxies over the interval
			renewUntil(stop, client, addr, fmt.Sprint("proxy-", i), renewals)
		})
	}
	time.Sleep(2 * renewalInterval) // until all proxies are members
	before := cpuTimes(t, replicas)
	start := time.Now()
	renewals.reset()
	time.Sleep(duration)
	after := cpuTimes(t, replicas)
	elapsed := time.Since(start)
	t.Logf("renewals of %d proxies in %v: %v", proxies, elapsed.Round(time.Millisecond), renewals)
	for i := range replicas {
		cpuPercent := 100 * (after[i] - before[i]).Seconds() / elapsed.Seconds()
		t.Logf("replica %d: %.1f %% of one CPU, leader: %v", i+1, cpuPercent, uint64(i+1) == status.Leader)
	}
	proposals := newLatencies()
	for i := range 50 {
		start := time.Now()
		must("POST", "/v1/propose", proposal(fmt.Sprint("p", i)), &proposed)
		proposals.record(start, true)
		must("POST", "/v1/withdraw", fmt.Sprintf(`{"number":%d}`, proposed.Number), &proposed)
	}
	t.Logf("proposals during the renewals: %v", proposals)
	close(stop)
	running.Wait()

	must("GET", "/v1/status", "", &status)
	start = time.Now()
	_ = replicas[status.Leader-1].cmd.Process.Kill()
	for code := 0; code != 200; {
		code, _ = testkit.HTTPCall(t, "POST", "http://"+replicas[status.Leader%3].addr+"/v1/renew", `{"node":"last","incarnation":1,"seq":1}`)
	}
	t.Logf("a lease was granted %v after the leader was killed", time.Since(start).Round(time.Millisecond))
}

// startReplicas starts n replicas of one control plane, each in its own process.
func startReplicas(t *testing.T, n int) (replicas []*process) {
	t.Helper()
	var listeners []*net.TCPListener
	peers := map[string]string{}
	for i := range n {
		listeners = append(listeners, listen(t))
		peers[fmt.Sprint(i+1)] = listeners[i].Addr().String()
	}
	for i, listener := range listeners {
		path := filepath.Join(t.TempDir(), "keeper.json")
		writeConfig(t, path, controlplane.Config{ID: uint64(i + 1), Listen: "127.0.0.1:0", Data: t.TempDir(), Peers: peers})
		replicas = append(replicas, start(t, listener, "--config", path).awaitServing())
	}
	return replicas
}

// renewUntil renews a node's lease once per interval until stop is closed.
func renewUntil(stop <-chan struct{}, client *http.Client, addr, node string, results *latencies) {
	renewal := fleetconfig.Renewal{Node: node, Incarnation: 1}
	ticker := time.NewTicker(renewalInterval)
	defer ticker.Stop()
	for {
		renewal.Seq++
		start := time.Now()
		lease, err := renew(client, addr, renewal)
		results.record(start, err == nil && lease.Seq == renewal.Seq && lease.ActiveVersion > 0)
		renewal.ActiveVersion = lease.ActiveVersion
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

func renew(client *http.Client, addr string, renewal fleetconfig.Renewal) (lease fleetconfig.Lease, err error) {
	body, err := json.Marshal(renewal)
	if err != nil {
		return lease, err
	}
	resp, err := client.Post("http://"+addr+"/v1/renew", "application/json", bytes.NewReader(body))
	if err != nil {
		return lease, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&lease)
	_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is reused
	return lease, err
}

// cpuTimes returns the CPU time that each process has used.
func cpuTimes(t *testing.T, processes []*process) (times []time.Duration) {
	t.Helper()
	for _, p := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
		var used time.Duration
		for _, ticks := range fields[11:13] { // utime and stime
			n, err := strconv.Atoi(ticks)
			if err != nil {
				t.Fatal(err)
			}
			used += time.Duration(n) * clockTick
		}
		times = append(times, used)
	}
	return times
}
