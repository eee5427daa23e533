package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Values of Entry.Lifecycle.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Entry is a feed server as discovery lists it.
type Entry struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// listObject is one JSON object of an answer.
type listObject struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// emptyLineInterval is the time between two empty lines of a quiet watch.
const emptyLineInterval = 2 * time.Second

// Discovery is the one service with the list of feed servers. Each caller has an address of its own there, so that the record
// says who was told what. It answers as the protocol page says.
type Discovery struct {
	record *Record

	mu         sync.Mutex
	generation int
	entries    []Entry
	changes    []listObject
	changed    chan struct{}
	answerTime time.Duration
	told       map[string]map[string]time.Time // caller, then feed server and lifecycle: when it was first written
	cut        map[string]bool                 // callers whose connections stay silent
	down       bool                            // calls are reset
	wentDown   chan struct{}                   // closed when discovery goes down, which ends the watches
	servers    []*http.Server
	done       chan struct{}
}

// NewDiscovery returns a service that lists the entries. A call is answered answerTime after it came.
func NewDiscovery(record *Record, answerTime time.Duration, entries ...Entry) *Discovery {
	return &Discovery{
		record:     record,
		generation: 41,
		entries:    entries,
		changed:    make(chan struct{}),
		answerTime: answerTime,
		told:       map[string]map[string]time.Time{},
		cut:        map[string]bool{},
		wentDown:   make(chan struct{}),
		done:       make(chan struct{}),
	}
}

// Listen opens the address of a caller.
func (d *Discovery) Listen(caller string) (string, error) {
	addr, err := FreeAddr()
	if err != nil {
		return "", err
	}
	return addr, d.ListenAt(caller, addr)
}

// ListenAt opens the address of a caller at a given place.
func (d *Discovery) ListenAt(caller, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { d.serve(caller, w, req) })}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.told[caller] = map[string]time.Time{}
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Close
	return nil
}

// Close ends the service.
func (d *Discovery) Close() {
	close(d.done)
	for _, server := range d.servers {
		_ = server.Close()
	}
}

// List returns the whole list as JSON.
func (d *Discovery) List() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := json.Marshal(listObject{Generation: d.generation, Reset: true, Instances: d.entries}) // has no value that fails
	return text
}

// Set changes the lifecycle of feed servers in one step.
func (d *Discovery) Set(lifecycle string, ids ...string) {
	d.Change(func(e *Entry) bool {
		if !slices.Contains(ids, e.ID) {
			return false
		}
		e.Lifecycle = lifecycle
		return true
	})
	d.record.Printf("discovery: %s is %s", strings.Join(ids, ", "), lifecycle)
}

// Change applies a change to each entry, and lists those for which it returns true as changed. Terminated ones are removed.
func (d *Discovery) Change(change func(*Entry) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	step := listObject{Generation: d.generation}
	entries := slices.Clone(d.entries)
	for i := range entries {
		if change(&entries[i]) {
			step.Instances = append(step.Instances, entries[i])
		}
	}
	d.entries = slices.DeleteFunc(entries, func(e Entry) bool { return e.Lifecycle == Terminated })
	d.announce(step)
}

// Add lists a further feed server.
func (d *Discovery) Add(entry Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.entries = append(slices.Clone(d.entries), entry)
	d.announce(listObject{Generation: d.generation, Instances: []Entry{entry}})
}

func (d *Discovery) announce(step listObject) {
	d.changes = append(d.changes, step)
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetCut makes the network to a caller silent, or well again: what is open stays open and brings nothing.
func (d *Discovery) SetCut(caller string, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut[caller] = cut
	d.record.Printf("discovery: network to %s cut: %v", caller, cut)
}

// SetDown takes discovery down, which ends its watches, or brings it back. While it is down, calls are reset.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		close(d.wentDown)
		d.wentDown = make(chan struct{})
	}
	d.record.Printf("discovery: down: %v", down)
}

func (d *Discovery) isDown() (down bool, wentDown chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down, d.wentDown
}

// Told returns when discovery first wrote to a caller that a feed server has a lifecycle. ok is false if it has not.
func (d *Discovery) Told(caller, id, lifecycle string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.told[caller][id+" "+lifecycle]
	return at, ok
}

func (d *Discovery) serve(caller string, w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/registry/instances" {
		http.NotFound(w, req)
		return
	}
	select {
	case <-time.After(d.answerTime):
	case <-req.Context().Done():
		return
	}
	if !d.awaitNetwork(caller, req) {
		return
	}
	down, wentDown := d.isDown()
	if down {
		d.record.Printf("discovery: reset to %s", caller)
		reset(w)
		return
	}
	d.record.Printf("discovery: answers %s to %s", req.URL.RawQuery, caller)
	w.Header().Set("Content-Type", "application/json")
	if req.URL.Query().Get("watch") != "1" {
		d.write(caller, w, d.wholeList())
		return
	}
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, "from is no number", http.StatusBadRequest)
		return
	}
	d.watch(caller, w, req, from, wentDown)
}

// reset breaks a caller's connection.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// awaitNetwork waits until the network to a caller is well.
func (d *Discovery) awaitNetwork(caller string, req *http.Request) bool {
	for {
		d.mu.Lock()
		cut := d.cut[caller]
		d.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-time.After(pollInterval):
		case <-req.Context().Done():
			return false
		case <-d.done:
			return false
		}
	}
}

func (d *Discovery) wholeList() listObject {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listObject{Generation: d.generation, Reset: true, Instances: d.entries}
}

// since returns what changed after a generation, and the channel that closes at the next change.
func (d *Discovery) since(from int, first bool) (steps []listObject, next int, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if first && (from == 0 || from > d.generation || d.generation-from > len(d.changes)) {
		return []listObject{{Generation: d.generation, Reset: true, Instances: d.entries}}, d.generation, d.changed
	}
	for _, step := range d.changes {
		if step.Generation > from {
			steps = append(steps, step)
		}
	}
	if first && len(steps) == 0 {
		steps = append(steps, listObject{Generation: d.generation, Instances: []Entry{}})
	}
	return steps, d.generation, d.changed
}

func (d *Discovery) watch(caller string, w http.ResponseWriter, req *http.Request, from int, wentDown chan struct{}) {
	for first := true; ; first = false {
		steps, next, changed := d.since(from, first)
		from = next
		for _, step := range steps {
			if !d.write(caller, w, step) {
				return
			}
		}
		if len(steps) == 0 {
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(emptyLineInterval):
		case <-wentDown:
			return
		case <-req.Context().Done():
			return
		case <-d.done:
			return
		}
		if !d.awaitNetwork(caller, req) {
			return
		}
	}
}

// write writes an object and notes who has been told what.
func (d *Discovery) write(caller string, w http.ResponseWriter, object listObject) bool {
	text, err := json.Marshal(object)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "%s\n", text); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	now := time.Now()
	d.mu.Lock()
	for _, e := range object.Instances {
		if key := e.ID + " " + e.Lifecycle; d.told[caller][key].IsZero() {
			d.told[caller][key] = now
		}
	}
	d.mu.Unlock()
	d.record.Printf("discovery: wrote to %s: %s", caller, text)
	return true
}
