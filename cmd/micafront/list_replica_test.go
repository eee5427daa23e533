package main

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
)

// listReplica is a control-plane replica that also serves endpoint lists. It takes them from a discovery server, which
// represents the list that the replicas agreed on.
type listReplica struct {
	*fakeReplica
	listQueries chan string // queries of the list calls that were forwarded
	listProxy   *httputil.ReverseProxy

	listMu      sync.Mutex
	listNumber  uint64           // list number in the leases; 0: no list
	listHandler http.HandlerFunc // answers list calls; nil: listProxy answers them
	listMuted   bool             // whether responses to list calls are dropped
	listContext context.Context  // context of the list calls in progress; endLists cancels it
	endLists    context.CancelFunc
}

// newListReplica starts a replica that serves the list of a discovery server.
func newListReplica(t *testing.T, discovery *fakes.DiscoveryServer) *listReplica {
	t.Helper()
	replica := &listReplica{fakeReplica: newFakeReplica(t), listQueries: make(chan string, 1<<14), listNumber: 1}
	replica.listProxy = &httputil.ReverseProxy{FlushInterval: -1, ErrorLog: log.New(io.Discard, "", 0),
		Rewrite: func(q *httputil.ProxyRequest) { q.SetURL(&url.URL{Scheme: "http", Host: discovery.Addr}) }}
	replica.listContext, replica.endLists = context.WithCancel(t.Context())
	replica.update(func(r *fakeReplica) { r.handler = replica.serve })
	return replica
}

// serveListsWith sets the handler of list calls, where nil serves the discovery server's list, and ends the watches in
// progress.
func (r *listReplica) serveListsWith(handler http.HandlerFunc) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	r.endLists()
	r.listHandler, r.listMuted = handler, false
	r.listContext, r.endLists = context.WithCancel(r.t.Context())
}

// muteLists makes the replica send nothing more to list calls, whose connections stay open.
func (r *listReplica) muteLists() {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	r.listHandler, r.listMuted = neverRespond, true
}

// mutableResponse drops writes while the replica's lists are muted.
type mutableResponse struct {
	http.ResponseWriter
	replica *listReplica
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (m mutableResponse) Unwrap() http.ResponseWriter { return m.ResponseWriter }

// Write implements io.Writer.
func (m mutableResponse) Write(b []byte) (int, error) {
	m.replica.listMu.Lock()
	defer m.replica.listMu.Unlock()
	if m.replica.listMuted {
		return len(b), nil
	}
	return m.ResponseWriter.Write(b)
}

// setListNumber sets the list number in leases; 0 means no list.
func (r *listReplica) setListNumber(number uint64) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	r.listNumber = number
}

// serve answers list calls and adds the list number to the leases of the replica.
func (r *listReplica) serve(w http.ResponseWriter, request *http.Request) {
	r.listMu.Lock()
	number, handler, listContext := r.listNumber, r.listHandler, r.listContext
	r.listMu.Unlock()
	if request.URL.Path == "/registry/instances" {
		if handler != nil {
			handler(w, request)
			return
		}
		r.listQueries <- request.URL.RawQuery
		ctx, cancel := context.WithCancel(request.Context())
		defer cancel()
		context.AfterFunc(listContext, cancel)
		r.listProxy.ServeHTTP(mutableResponse{w, r}, request.WithContext(ctx))
		return
	}
	r.mu.Lock()
	plainReplica := fakeReplica{t: r.t, renewals: r.renewals, activeVersion: r.activeVersion, proposedVersion: r.proposedVersion}
	r.mu.Unlock()
	recorder := httptest.NewRecorder()
	plainReplica.ServeHTTP(recorder, request)
	var lease fleetconfig.Lease
	if request.URL.Path != "/v1/renew" || json.Unmarshal(recorder.Body.Bytes(), &lease) != nil {
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
		return
	}
	lease.ListNumber = number
	_ = json.NewEncoder(w).Encode(lease)
}

// respondNotLeading answers like a replica that is not the leader.
var respondNotLeading = respondStatus(503, `{"kind":"keeper/not-leading","place":"k1","cause":"another one leads","remedy":"ask it"}`)
