package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// patience is how long a test waits for what must come; nothing is proved by its passing.
const patience = 60 * time.Second

const childEnv = "MICAFRONT_TEST_CHILD"

// TestMain lets the test binary be the real program when it is started as such.
func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// peer is one end of a connection that speaks lines.
type peer struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

func newPeer(t *testing.T, c net.Conn) *peer {
	t.Cleanup(func() { c.Close() })
	return &peer{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func (p *peer) say(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatalf("say %q: %v", text, err)
	}
}

// line reads one line; at the end of the connection it gives "EOF" or "RST".
func (p *peer) line() string {
	p.t.Helper()
	p.SetReadDeadline(time.Now().Add(patience))
	s, err := p.in.ReadString('\n')
	switch {
	case err == nil:
		return strings.TrimSuffix(s, "\r\n")
	case s != "":
		return s + "|" + err.Error()
	case err == io.EOF:
		return "EOF"
	case strings.Contains(err.Error(), "reset"):
		return "RST"
	}
	p.t.Fatalf("read: %v", err)
	return ""
}

// hop is a next hop: each connection that brings a first line shows up in conns.
type hop struct {
	id, addr string
	conns    chan *peer
	firsts   chan string
}

// discovery answers one watch at a time.
type discovery struct {
	addr    string
	lists   chan string // what the watch sends next; "" ends it
	watches chan string // queries of the watches that came
}

func newDiscovery(t *testing.T) *discovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &discovery{l.Addr().String(), make(chan string, 16), make(chan string, 64)}
	srv := &http.Server{Handler: http.HandlerFunc(d.watch)}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return d
}

type world struct {
	*discovery
	t        *testing.T
	addr     string
	cmd      *exec.Cmd
	path     string // of the configuration
	errs     *lockedBuffer
	exited   chan error
	sockets  int
	extra    string     // further settings, as JSON members that end in a comma
	env      []string   // further variables
	hopConns chan *peer // of the next hops, where a test has them from here
	operator string     // where operators call; "": nowhere
	staff    string     // where they found it
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newHop(t *testing.T, id string, first chan *peer) *hop {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	h := &hop{id: id, addr: l.Addr().String(), conns: first}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			first <- newPeer(t, c)
		}
	}()
	return h
}

func entry(id, addr, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m","cell":0,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":0}`, id, addr, lifecycle)
}

func list(generation int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset,
		strings.Join(entries, ","))
}

// start runs the program with a transport map and waits until it serves.
func start(t *testing.T, known string, change ...func(*world)) *world {
	t.Helper()
	w := &world{discovery: newDiscovery(t), t: t, errs: &lockedBuffer{}, exited: make(chan error, 1), sockets: 1024}
	for _, f := range change {
		f(w)
	}
	w.cmd, w.path = program(t, fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"operator":%q,"seed":"5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,"settings":{"Balancers":1,
		"Discovery":"subscribe","Zone":"a",%s"Categories":[{"Name":"feed","Aim":30,"GiveUp":60,"Credit":5,
		"Effect":"safe","DedupScope":"all"}],"Limits":{"AttemptsCap":6,"ConnectTimeout":20,
		"MaxRetryAfter":1,"MaxOpen":100000,"RetryAfter":true,"MayCancel":true},"Invariants":{
		"AnswerSlack":0.016,"AskEvery":1,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3,"Fall":1,
		"OverloadFactor":3}}}`, w.discovery.addr, w.operator, w.sockets, known, w.extra))
	w.cmd.Env = append(w.cmd.Env, w.env...)
	w.run()
	return w
}

// again starts the program once more with all else the same; change may add to its environment.
func (w *world) again(env ...string) *world {
	w.t.Helper()
	next := *w
	next.errs, next.exited = &lockedBuffer{}, make(chan error, 1)
	next.cmd = exec.Command(w.cmd.Path)
	next.cmd.Env = append(append([]string{}, w.cmd.Env...), env...)
	next.run()
	return &next
}

// run waits until the program serves.
func (w *world) run() {
	w.t.Helper()
	cmd, exited := w.cmd, w.exited
	cmd.Stderr = w.errs
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	go func() { exited <- cmd.Wait() }()
	w.t.Cleanup(func() { cmd.Process.Kill() })
	_, rest, _ := strings.Cut(w.until("serves at "), "serves at ")
	w.addr = strings.TrimSpace(strings.SplitN(rest, "\n", 2)[0])
	if _, rest, ok := strings.Cut(w.errs.text(), "operators call at "); ok {
		w.staff, _, _ = strings.Cut(rest, "\n")
	}
}

// program is the real program with a configuration at path, not yet started.
func program(t *testing.T, config string) (cmd *exec.Cmd, path string) {
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"=1", "EDGE_CONFIG="+path, "TMPDIR="+t.TempDir())
	return cmd, path
}

// reload replaces a text of the configuration and sends SIGHUP.
func (w *world) reload(from, to string) {
	w.t.Helper()
	w.rewrite(from, to)
	w.cmd.Process.Signal(syscall.SIGHUP)
}

// rewrite only replaces it.
func (w *world) rewrite(from, to string) {
	w.t.Helper()
	text, err := os.ReadFile(w.path)
	if err == nil {
		err = os.WriteFile(w.path, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *discovery) watch(rw http.ResponseWriter, r *http.Request) {
	w.watches <- r.URL.RawQuery
	rw.WriteHeader(200)
	for {
		rw.(http.Flusher).Flush()
		select {
		case l := <-w.lists:
			if l == "" {
				return
			}
			half := len(l) / 2 // in two chunks: objects do not respect their bounds
			io.WriteString(rw, l[:half])
			rw.(http.Flusher).Flush()
			io.WriteString(rw, l[half:]+"\n")
		case <-time.After(time.Second):
			io.WriteString(rw, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// until waits for a text on standard error.
func (w *world) until(text string) string {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s := w.errs.text(); strings.Contains(s, text) {
			if _, after, _ := strings.Cut(s, text); strings.Contains(after, "\n") {
				return s
			}
		}
	}
	w.t.Fatalf("no %q in %q", text, w.errs.text())
	return ""
}

// counts asks for the counters until one has the figure.
func (w *world) counts(figure string) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.cmd.Process.Signal(syscall.SIGUSR1)
		if strings.Contains(w.errs.text(), " "+figure+" ") {
			return
		}
	}
	w.t.Fatalf("never %s: %s", figure, w.errs.text())
}

func (w *world) dial() *peer {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	return newPeer(w.t, c)
}

func await[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("waited in vain")
	}
	return v
}

var lastID atomic.Int64

// opening is a first line with a fresh id.
func opening(key string) string {
	return fmt.Sprintf("OPEN id%d %s c=feed,d=60000\r\n", lastID.Add(1), key)
}

// connect opens a connection through the proxy and returns both ends.
func (w *world) connect(conns chan *peer, key string) (client, server *peer) {
	w.t.Helper()
	client = w.dial()
	client.say(opening(key))
	server = await(w.t, conns)
	server.line()
	server.say("UP r\r\n")
	if got := client.line(); got != "UP r" {
		w.t.Fatalf("client got %q", got)
	}
	return client, server
}
