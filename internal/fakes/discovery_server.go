package fakes

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// instancesPath is the URL path of the endpoint list.
const instancesPath = "/registry/instances"

// idleWatchInterval is the interval at which an idle watch sends an empty line.
const idleWatchInterval = 2 * time.Second

// DiscoveryServer is a discovery service. It serves an endpoint list with a generation, which any number of proxies can watch.
type DiscoveryServer struct {
	Addr   string
	server *http.Server

	mu         sync.Mutex
	generation int
	entries    map[string]Entry // by endpoint id
	changes    []change         // all changes, oldest first
	changed    chan struct{}    // closed and replaced at each change

	bytesSent atomic.Int64 // to watches
}

// BytesSent returns the number of bytes sent to watches.
func (s *DiscoveryServer) BytesSent() int64 { return s.bytesSent.Load() }

// change is a change of one entry and the generation that it belongs to.
type change struct {
	generation int
	entry      Entry
}

// NewDiscoveryServer starts a discovery server with an empty list.
func NewDiscoveryServer() (*DiscoveryServer, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	s := &DiscoveryServer{
		Addr:       listener.Addr().String(),
		generation: 1,
		entries:    map[string]Entry{},
		changed:    make(chan struct{}),
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }() // returns when the server is closed
	return s, nil
}

// Close stops the server and its watches.
func (s *DiscoveryServer) Close() { _ = s.server.Close() } // nothing can be done if this fails

// Set adds or replaces entries in one new generation of the list. An entry with the lifecycle "terminated" is removed.
func (s *DiscoveryServer) Set(entries ...Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	for _, e := range entries {
		s.changes = append(s.changes, change{generation: s.generation, entry: e})
		s.entries[e.ID] = e
		if e.Lifecycle == lifecycleTerminated {
			delete(s.entries, e.ID)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the complete list as discovery's JSON.
func (s *DiscoveryServer) List() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked()
}

// listLocked implements List. The caller holds s.mu.
func (s *DiscoveryServer) listLocked() string {
	var entries []string
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		entries = append(entries, s.entries[id].String())
	}
	return List(s.generation, true, entries...)
}

func (s *DiscoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != instancesPath {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.FormValue("watch") != "1" {
		_, _ = io.WriteString(w, s.List()) // fails only if the client has disconnected
		return
	}
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be a generation number", http.StatusBadRequest)
		return
	}
	s.watch(w, r, from)
}

// watch sends the changes since a generation and then each new one, until the client disconnects.
func (s *DiscoveryServer) watch(w http.ResponseWriter, r *http.Request, from int) {
	for first := true; ; first = false {
		s.mu.Lock()
		text := s.sinceLocked(from, first)
		changed := s.changed
		from = s.generation
		s.mu.Unlock()
		n, err := fmt.Fprintln(w, text)
		if err != nil {
			return
		}
		s.bytesSent.Add(int64(n))
		flush(w)
		select {
		case <-changed:
		case <-time.After(idleWatchInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// sinceLocked returns the list of the entries that changed after a generation, or "" if none did. The first list of a watch is
// always sent; it is the complete list if the generation is 0 or unknown. The caller holds s.mu.
func (s *DiscoveryServer) sinceLocked(from int, first bool) string {
	if first && (from == 0 || from > s.generation) {
		return s.listLocked()
	}
	var entries []string
	for _, c := range s.changes {
		if c.generation > from {
			entries = append(entries, c.entry.String())
		}
	}
	if len(entries) == 0 && !first {
		return ""
	}
	return List(s.generation, false, entries...)
}
