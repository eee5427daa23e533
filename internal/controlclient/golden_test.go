package controlclient

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
)

// The tests in this file pin the bytes of a proxy's requests to the control plane, and the responses that it accepts. The files
// in testdata/golden were written by a release before the identifiers of the program were renamed. They must not be regenerated.

// startRawReplica starts a replica that accepts one connection, reads as many bytes as the golden request has, and sends the
// response. It returns the replica's address, the expected request, in which the address replaces HOST, and a channel with the
// received request.
func startRawReplica(t *testing.T, golden, response string) (addr, want string, got <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	want = strings.Replace(string(testkit.GoldenFile(t, golden)), "HOST", l.Addr().String(), 1)
	requests := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		text := make([]byte, len(want))
		n, _ := io.ReadFull(conn, text)
		requests <- string(text[:n])
		_, _ = io.WriteString(conn, response)
		_, _ = conn.Read(make([]byte, 1)) // until the client closes the connection
	}()
	return l.Addr().String(), want, requests
}

// httpResponseText returns a complete HTTP response.
func httpResponseText(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), len(body), body)
}

var goldenRenewal = fleetconfig.Renewal{Node: "n0", Incarnation: 7, Seq: 8, ActiveVersion: 3, PreparedVersion: 4, FirstUnanswered: 6, RejectedVersion: 5,
	Rejection: &fleetconfig.Rejection{Kind: "memory/too-heavy", Cause: "too heavy", EstimatedBytes: 20, LimitBytes: 10, LargestRoutes: []string{"all"}},
	Headroom:  fleetconfig.MemoryHeadroom{Limit: 1000, InUse: 10}, Draining: true}

// TestGoldenRenewal pins the renewal request and its response, each with every member set.
func TestGoldenRenewal(t *testing.T) {
	testkit.CheckAllSet(t, "renewal", reflect.ValueOf(goldenRenewal))
	want := fleetconfig.Lease{Node: "n0", Incarnation: 7, Seq: 8, Term: 2, ActiveVersion: 3, ActiveDigest: "d3", ProposedVersion: 4, ProposedDigest: "d4",
		Forced: true, Excluded: true, ListNumber: 9,
		Terms: fleetconfig.Terms{AgreementTimeout: 2 * time.Second, MemberTimeout: 10 * time.Second, OnLeaseExpiry: fleetconfig.ServeOnExpiry, ClockDriftPPM: 500}}
	testkit.CheckAllSet(t, "lease", reflect.ValueOf(want))
	addr, request, requests := startRawReplica(t, "renew.request", httpResponseText(200, string(testkit.GoldenFile(t, "grant.json"))))
	h := newHarness(t, addr)
	h.onLoop(func() {
		h.client.Renew(goldenRenewal, 0, testTimeout, func(lease fleetconfig.Lease, _ time.Duration, err error) {
			h.results <- result{lease: lease, err: err}
		})
	})
	testkit.Equal(t, "request", request, fakes.Await(t, requests))
	got := fakes.Await(t, h.results)
	testkit.Equal(t, "error", nil, got.err)
	testkit.Equal(t, "lease", want, got.lease)
}

// TestGoldenFetch pins the request for a version. The callback receives the response body unchanged.
func TestGoldenFetch(t *testing.T) {
	const body = `{"number":3,"digest":"d3","body":{"settings":{}}}` + "\n"
	addr, request, requests := startRawReplica(t, "fetch.request", httpResponseText(200, body))
	h := newHarness(t, addr)
	h.fetch(1 << 10)
	testkit.Equal(t, "request", request, fakes.Await(t, requests))
	got := fakes.Await(t, h.results)
	testkit.Equal(t, "error", nil, got.err)
	testkit.Equal(t, "body", body, string(got.text))
}

// TestGoldenErrorResponse pins the members of an error response: the error contains each of them.
func TestGoldenErrorResponse(t *testing.T) {
	addr, _, _ := startRawReplica(t, "fetch.request", httpResponseText(503, string(testkit.GoldenFile(t, "fault.json"))))
	h := newHarness(t, addr)
	h.fetch(1 << 10)
	got := fakes.Await(t, h.results)
	if !Rejected.Matches(got.err) {
		t.Fatalf("error %v", got.err)
	}
	for _, word := range []string{"/v1/version/3", "status 503, quorum/not-leading: keeper 1: no keeper leads (see that they run)"} {
		if !strings.Contains(got.err.Error(), word) {
			t.Errorf("error %v does not contain %q", got.err, word)
		}
	}
}

// TestGoldenKinds pins the names of error kinds, which a proxy writes to its log and telemetry.
func TestGoldenKinds(t *testing.T) {
	for name, kind := range map[string]*apperror.Kind{
		"keeperlink/no-answer": NoResponse,
		"keeperlink/refused":   Rejected,
		"keeperlink/garbled":   InvalidResponse,
		"keeperlink/too-long":  ResponseTooLarge,
	} {
		testkit.Equal(t, "kind", name, kind.Name)
	}
}
