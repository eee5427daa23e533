package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
)

// fakeReplica is a control-plane replica that grants leases on the versions that the test sets and records every renewal.
type fakeReplica struct {
	t        *testing.T
	addr     string
	renewals chan fleetconfig.Renewal

	mu                             sync.Mutex
	activeVersion, proposedVersion fleetconfig.Version
	handler                        http.HandlerFunc // answers all calls; nil: the replica answers them
}

// newFakeReplica starts a replica without versions. It runs until the end of the test.
func newFakeReplica(t *testing.T) *fakeReplica {
	t.Helper()
	r := &fakeReplica{t: t, renewals: make(chan fleetconfig.Renewal, 1<<14)}
	server := httptest.NewUnstartedServer(r)
	server.Start()
	r.addr = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return r
}

// neverRespond is a handler that never answers.
func neverRespond(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only once the body has been read
	<-r.Context().Done()
}

// ServeHTTP answers renewals and calls for versions, or passes all calls to handler.
func (r *fakeReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	active, proposed, handler := r.activeVersion, r.proposedVersion, r.handler
	r.mu.Unlock()
	if handler != nil {
		handler(w, request)
		return
	}
	if request.URL.Path != "/v1/renew" {
		for _, v := range []fleetconfig.Version{active, proposed} {
			if request.URL.Path == fmt.Sprintf("/v1/version/%d", v.Number) {
				_ = json.NewEncoder(w).Encode(v)
				return
			}
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var renewal fleetconfig.Renewal
	if err := json.NewDecoder(request.Body).Decode(&renewal); err != nil || request.Method != "POST" {
		r.t.Errorf("%s renewal: %v", request.Method, err)
	}
	_ = json.NewEncoder(w).Encode(fleetconfig.Lease{Node: renewal.Node, Incarnation: renewal.Incarnation, Seq: renewal.Seq, Term: 1, ActiveVersion: active.Number,
		ActiveDigest: active.Digest, ProposedVersion: proposed.Number, ProposedDigest: proposed.Digest, Terms: active.Body.Fleet})
	r.renewals <- renewal
}

// update changes the replica's answers from the next call on.
func (r *fakeReplica) update(f func(*fakeReplica)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

// stopResponding makes the replica answer nothing more.
func (r *fakeReplica) stopResponding() {
	r.update(func(replica *fakeReplica) { replica.handler = neverRespond })
}

// waitForRenewal waits for a renewal that meets a condition and returns it; description names the condition in a failure.
func (r *fakeReplica) waitForRenewal(description string, matches func(fleetconfig.Renewal) bool) fleetconfig.Renewal {
	r.t.Helper()
	for end := time.Now().Add(fakes.WaitTimeout); time.Now().Before(end); {
		if renewal := fakes.Await(r.t, r.renewals); matches(renewal) {
			return renewal
		}
	}
	r.t.Fatalf("no renewal matched: %s", description)
	return fleetconfig.Renewal{}
}

// propose proposes a version and waits until the program has prepared it.
func (r *fakeReplica) propose(v fleetconfig.Version) {
	r.t.Helper()
	r.update(func(replica *fakeReplica) { replica.proposedVersion = v })
	r.waitForRenewal("prepared", func(r fleetconfig.Renewal) bool { return r.PreparedVersion == v.Number })
}

// respondStatus returns a handler that answers with a status and a body.
func respondStatus(status int, body string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(status)
		_, _ = io.WriteString(rw, body)
	}
}
