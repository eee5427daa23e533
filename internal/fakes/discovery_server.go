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

// instancesPath is where discovery serves its list.
const instancesPath = "/registry/instances"

// idleWatchInterval is how long a watch without changes waits before it sends an empty line.
const idleWatchInterval = 2 * time.Second

// DiscoveryServer is a discovery service: a list with a generation, which any number of proxies watch.
type DiscoveryServer struct {
	Addr   string
	server *http.Server

	mu         sync.Mutex
	generation int
	entries    map[string]Entry // by id
	changes    []change         // all since the start, the oldest first
	changed    chan struct{}    // closed, and replaced, at each change

	bytesSent atomic.Int64 // of lists, to watches
}

// BytesSent is how many bytes of lists watches were sent.
func (s *DiscoveryServer) BytesSent() int64 { return s.bytesSent.Load() }

// change is one change of the list and the generation that it made.
type change struct {
	generation int
	entry      Entry
}

// NewDiscoveryServer starts one with an empty list.
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
	go func() { _ = s.server.Serve(listener) }() // returns when it is closed
	return s, nil
}

// Close stops the server and its watches.
func (s *DiscoveryServer) Close() { _ = s.server.Close() } // there is nothing to do where closing fails

// Set adds or changes entries in one change of the list; the lifecycle "terminated" removes one.
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

// List returns the whole list in discovery's JSON form.
func (s *DiscoveryServer) List() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLocked()
}

// listLocked is List; s.mu is held.
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
		_, _ = io.WriteString(w, s.List()) // a client that has left needs no answer
		return
	}
	from, err := strconv.Atoi(r.FormValue("from"))
	if err != nil || from < 0 {
		http.Error(w, "from is not a generation", http.StatusBadRequest)
		return
	}
	s.watch(w, r, from)
}

// watch sends the changes since a generation, and further ones as they happen, until the client leaves.
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

// sinceLocked returns the list of what changed after a generation, "" where nothing did. The first list of a watch is never
// left out, and is the whole list where the generation is 0 or unknown. s.mu is held.
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
