package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is an entry of discovery's list.
type entry struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// list is a list, or the changes of one.
type list struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// discovery is service discovery. Each caller gets a listener of its own, so that what it was told is known by caller.
type discovery struct {
	world *world

	mu         sync.Mutex
	generation int
	entries    map[string]entry
	changedIn  map[string]int // generation of an entry's latest change
	changed    chan struct{}  // closed at the next change
	told       map[string]map[string]time.Time
}

func newDiscovery(w *world) *discovery {
	return &discovery{world: w, generation: 1, entries: map[string]entry{}, changedIn: map[string]int{},
		changed: make(chan struct{}), told: map[string]map[string]time.Time{}}
}

// set changes an entry.
func (d *discovery) set(changes ...entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, e := range changes {
		d.world.logf("discovery: generation %d has %s %s", d.generation, e.ID, e.Lifecycle)
		d.entries[e.ID] = e
		d.changedIn[e.ID] = d.generation
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// since returns the changes after a generation; the whole list after 0.
func (d *discovery) since(from int) (l list, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l = list{Generation: d.generation, Reset: from == 0 || from > d.generation, Instances: []entry{}}
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if l.Reset || d.changedIn[id] > from {
			l.Instances = append(l.Instances, d.entries[id])
		}
	}
	return l, d.changed
}

// recordTold records when a caller was first told that an endpoint drains.
func (d *discovery) recordTold(caller string, l list) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range l.Instances {
		if e.Lifecycle == "in_service" {
			continue
		}
		if d.told[caller] == nil {
			d.told[caller] = map[string]time.Time{}
		}
		if d.told[caller][e.ID].IsZero() {
			d.told[caller][e.ID] = time.Now()
			d.world.logf("discovery: told %s that %s is %s", caller, e.ID, e.Lifecycle)
		}
	}
}

// toldAt returns when a caller was told that an endpoint drains; zero: not yet.
func (d *discovery) toldAt(caller, id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[caller][id]
}

// listen opens a listener for one caller and returns its address.
func (d *discovery) listen(caller string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(caller, w, r) })
		_ = http.Serve(listener, handler) // returns when the process ends
	}()
	return listener.Addr().String(), nil
}

const idleLineInterval = 2 * time.Second

func (d *discovery) serve(caller string, w http.ResponseWriter, r *http.Request) {
	d.world.logf("discovery: %s calls %s", caller, r.URL)
	w.Header().Set("Content-Type", "application/json")
	watch := r.FormValue("watch") == "1"
	from, _ := strconv.Atoi(r.FormValue("from")) // 0, the whole list, where it is missing
	for first := true; ; first = false {
		l, changed := d.since(from)
		from = l.Generation
		text := []byte("\n")
		if first || len(l.Instances) > 0 {
			encoded, err := json.Marshal(l)
			if err != nil {
				return
			}
			text = slices.Concat(encoded, text)
			d.world.logf("discovery: answers %s with %s", caller, encoded)
		}
		if _, err := w.Write(text); err != nil {
			return
		}
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		d.recordTold(caller, l)
		if !watch {
			return
		}
		select {
		case <-changed:
		case <-time.After(idleLineInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// endpoint is a feed server. It answers UP and echoes lines. While it drains it answers BUSY to new connections.
type endpoint struct {
	entry
	world  *world
	onOpen func(e *endpoint, id string, at time.Time) // called for each first line

	mu       sync.Mutex
	draining bool
}

func newEndpoint(w *world, id string, onOpen func(*endpoint, string, time.Time)) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{world: w, onOpen: onOpen, entry: entry{ID: id, HostPort: listener.Addr().String(), Zone: "thies",
		MachineType: "m1", Lifecycle: "in_service", Weight: 1}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *endpoint) drain() entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.Lifecycle = "terminating"
	return e.entry
}

func (e *endpoint) isDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// serve serves one connection until the proxy ends it.
func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		answer := line // an open connection's line
		switch {
		case len(words) == 0:
		case words[0] == "PING" || words[0] == "STATS":
			answer = "PONG\r\n"
		case words[0] == "OPEN" && len(words) == 4:
			id := words[1]
			e.world.logf("%s: %s", e.ID, strings.TrimSpace(line))
			e.onOpen(e, id, time.Now())
			if e.isDraining() {
				_, _ = io.WriteString(conn, "BUSY\r\n") // the proxy may have ended the connection
				return
			}
			answer = "UP " + e.ID + "-" + id + "\r\n"
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// proxyFile returns a proxy's configuration file. members holds further members, each with a leading comma.
func proxyFile(name, listen, discoveryAddr string, known list, settings, members string) (string, error) {
	text, err := json.Marshal(known)
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s%s}`,
		name, listen, discoveryAddr, text, settings, members), err
}

// albumSettings returns settings with the first site's class, times and limits.
func albumSettings(proxies int) string {
	return fmt.Sprintf(`{"Balancers":%d,"Me":0,"Zone":"thies","Azs":["thies"],"Layer":0,"Layers":["feed-servers"],
"Discovery":"subscribe","ServiceType":"conn","CountedBy":"request","WeightSource":"nominal","MachineTypes":["m1"],
"Categories":[{"Name":"album-feed","Aim":0.3,"GiveUp":1.8,"Credit":5,"Effect":"safe","DedupScope":"all","MemorySpan":5,
"LateShare":0,"Streaming":true}],"Callers":{"MarksRetry":true},"Customers":[],"OverShareWorth":0.1,
"FamilyInfo":{"Groups":true,"Mode":"pass","MessageAim":[0.25],"Park":7.6,"TellsDelay":true,"TellsLoad":false},
"Limits":{"AttemptsCap":6,"ConnIdle":60,"ConnectTimeout":0.2,"CpuUsPerRequest":0,"CpuUsPerS":12000,"MaxOpen":1500000,
"MaxRetryAfter":1,"MayCancel":true,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1048576},
"Invariants":{"AnswerSlack":0.016,"AskEvery":10,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3,"Fall":1,"OverloadFactor":3},
"Stats":{"Fields":[],"How":"none"}}`, proxies)
}

// lineInterval is the time between two lines of a client on its established connection.
const lineInterval = 2 * time.Second

// answerTally counts how clients were answered.
type answerTally struct {
	mu                           sync.Mutex
	up, busy, failed, unanswered int
}

// count counts a first line, or the error in its place.
func (t *answerTally) count(line string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.unanswered++
	case strings.HasPrefix(line, "UP "):
		t.up++
	case strings.HasPrefix(line, "BUSY"):
		t.busy++
	default:
		t.failed++
	}
}
