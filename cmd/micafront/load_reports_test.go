package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
)

// loadReportSettings are settings under which endpoints answer load queries and tenants have shares.
const loadReportSettings = `"Stats":{"How":"probe","Fields":["outstanding","x0"]},"OverShareWorth":0.05,"Customers":[
	{"Name":"islandlink","Share":0.35},{"Name":"southwave","Share":0.31},{"Name":"bluecoast","Share":0.23},
	{"Name":"palmnet","Share":0.11}],"FamilyInfo":{"Mode":"pass","TenantQuotaConnections":[8,7,5,3]},`

// openAsTenant sends a request of a tenant and returns the client and its answer.
func openAsTenant(proxy *proxyProcess, tenant string) (*fakes.Peer, string) {
	proxy.t.Helper()
	client := fakes.Dial(proxy.t, proxy.addr)
	client.Send(fmt.Sprintf("OPEN %s k%s c=feed,t=%s,d=60000\r\n", fakes.NextID(), fakes.NextID(), tenant))
	return client, client.ReadLine()
}

// floodUntilRejected connects as a tenant until a request is rejected. For every connection that ends, the channel receives
// whether the client was asked to move.
func floodUntilRejected(t *testing.T, proxy *proxyProcess, tenant string) (moved chan bool) {
	t.Helper()
	const maxConns = 36 // capacity of the three endpoints
	moved = make(chan bool, 1000)
	for established := 0; ; established++ {
		if established > maxConns {
			t.Fatalf("no request was rejected, although the tenant has all %d connections that the endpoints accept", maxConns)
		}
		client, answer := openAsTenant(proxy, tenant)
		if strings.HasPrefix(answer, "BUSY ") {
			return moved
		}
		go func() {
			line, _ := client.ReadLineErr()
			moved <- line == "MOVE"
		}()
	}
}

// establishShare connects as a tenant until it has its share of connections, and fails the test if requests are still
// rejected after the deadline.
func establishShare(t *testing.T, proxy *proxyProcess, tenant string, share int, deadline time.Time) {
	t.Helper()
	for established := 0; established < share; {
		client, answer := openAsTenant(proxy, tenant)
		switch {
		case strings.HasPrefix(answer, "UP "):
			established++
			go func() { _, _ = client.ReadLineErr() }() // keeps the connection open until the end of the test
		case strings.HasPrefix(answer, "BUSY "):
			client.Close()
			if time.Now().After(deadline) {
				t.Fatalf("%s has %d of its %d connections and is still rejected", tenant, established, share)
			}
			time.Sleep(20 * time.Millisecond) // the client retries sooner than the answer says
		default:
			t.Fatalf("%s got %q", tenant, answer)
		}
	}
}

// TestTenantSharesUnderFlood checks that while one tenant connects until it is rejected, the three others still get their
// shares, because the proxy moves the first tenant's connections that exceed its share. Each request gets one answer, and no
// two attempts of a request overlap.
func TestTenantSharesUnderFlood(t *testing.T) {
	checker := fakes.NewProtocolChecker()
	var entries []string
	for i := range 3 {
		endpoint, err := fakes.NewEndpoint(fakes.Entry{ID: fmt.Sprint("box", i)}, checker, 12, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(endpoint.Stop)
		entries = append(entries, endpoint.String())
	}
	proxy := startProxy(t, fakes.List(1, true, entries...), func(proxy *proxyProcess) {
		proxy.extraSettings, proxy.adminListen = loadReportSettings, "127.0.0.1:0"
	})
	moved := floodUntilRejected(t, proxy, "palmnet")
	deadline := time.Now().Add(fakes.WaitTimeout)
	for _, tenant := range []struct {
		name  string
		share int
	}{{"islandlink", 8}, {"southwave", 7}, {"bluecoast", 5}} {
		establishShare(t, proxy, tenant.name, tenant.share, deadline)
	}
	if !fakes.Await(t, moved) {
		t.Error("a connection of the flooding tenant was closed without a move")
	}
	proxy.waitForMetrics(map[string]string{"svc.tenant_requests.islandlink.completed": "8",
		"svc.tenant_requests.southwave.completed": "7", "svc.tenant_requests.bluecoast.completed": "5"})
	if _, body := proxy.adminCall("GET", "/api/telemetry"); strings.Contains(body, "svc.tenant_requests.palmnet.rejected=0\n") {
		t.Errorf("the telemetry counts no rejected request of the flooding tenant:\n%s", body)
	}
	if violations := checker.Violations(); len(violations) > 0 {
		t.Errorf("violations: %q", violations)
	}
}

// TestInvalidLoadReports checks that requests are placed without load reports if an endpoint answers load queries with
// invalid reports or closes the connection.
func TestInvalidLoadReports(t *testing.T) {
	for _, reply := range []string{"NO\r\n", "PONG x0=\r\n", "PONG x0=1e999\r\n", strings.Repeat("x", 5000), ""} {
		conns := make(chan *fakes.Peer, 100)
		upstream := fakes.NewScriptedEndpoint(t, "s1", conns)
		proxy := startProxy(t, fakes.List(1, true, listEntry("s1", upstream.Addr, "")), withSettings(loadReportSettings))
		go func() {
			for p := range conns {
				go func() {
					switch line, _ := p.ReadLineErr(); {
					case line == "STATS" && reply == "":
						p.Close()
					case line == "STATS":
						_, _ = p.Write([]byte(reply)) // the proxy may have closed it
					case strings.HasPrefix(line, "OPEN "):
						_, _ = p.Write([]byte("UP there\r\n"))
						_, _ = p.ReadLineErr()
					}
				}()
			}
		}()
		for range 3 {
			if _, answer := openAsTenant(proxy, "islandlink"); answer != "UP there" {
				t.Errorf("with the answer %.20q to STATS, a client got %q", reply, answer)
			}
		}
	}
}

// TestLoadReportTimeout checks that the proxy queries an endpoint again on a new connection if it does not answer a load
// query in time.
func TestLoadReportTimeout(t *testing.T) {
	conns := make(chan *fakes.Peer, 100)
	upstream := fakes.NewScriptedEndpoint(t, "s1", conns)
	startProxy(t, fakes.List(1, true, listEntry("s1", upstream.Addr, "")), withSettings(loadReportSettings), withConnectTimeout(0.1))
	first := fakes.Await(t, conns)
	if got := first.ReadLine(); got != "STATS" {
		t.Fatalf("query %q", got)
	}
	if got := first.ReadLine(); got != "EOF" && got != "RST" {
		t.Fatalf("a connection without an answer was not closed: %q", got)
	}
	second := fakes.Await(t, conns)
	for range 2 { // the connection is kept for the next query
		if got := second.ReadLine(); got != "STATS" {
			t.Fatalf("query %q", got)
		}
		second.Send("PONG inflight=3,x0=0.2\r\n")
	}
}
