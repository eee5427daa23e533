package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/controlplane"
	"example.org/micafront/internal/testing/testkit"
)

const childEnv = "MICAFRONT_KEEPER_TEST_CHILD"

// TestMain runs the test binary as micafront-controlplane if childEnv is set.
func TestMain(m *testing.M) { testkit.RunTestsOrProgram(m, childEnv, main) }

// process is a running micafront-controlplane process.
type process struct {
	t      testing.TB
	cmd    *exec.Cmd
	mu     sync.Mutex
	output bytes.Buffer
	grown  chan struct{} // receives a value after output has grown
	exited chan error
	addr   string
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.grown <- struct{}{}:
	default:
	}
	return p.output.Write(b)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// start runs the program. It passes the listener to the process unless that is nil.
func start(t testing.TB, listener *net.TCPListener, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(os.Args[0], args...), grown: make(chan struct{}, 1), exited: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), childEnv+"=1")
	p.cmd.Stderr = p
	if listener != nil {
		file, err := listener.File()
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		p.cmd.ExtraFiles = []*os.File{file}
		p.cmd.Env = append(p.cmd.Env, controlplane.ListenerFDEnv+"=3")
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// awaitOutput waits for a text in the output and returns the rest of its line.
func (p *process) awaitOutput(want string) string {
	p.t.Helper()
	for end := time.After(time.Minute); ; {
		if _, rest, ok := strings.Cut(p.text(), want); ok {
			if line, _, ok := strings.Cut(rest, "\n"); ok {
				return line
			}
		}
		select {
		case <-p.grown:
		case err := <-p.exited:
			p.t.Fatalf("the process exited (%v) without output %q:\n%s", err, want, p.text())
		case <-end:
			p.t.Fatalf("no output %q within a minute:\n%s", want, p.text())
		}
	}
}

// awaitServing waits until the program serves, and sets p.addr.
func (p *process) awaitServing() *process {
	p.t.Helper()
	p.addr = p.awaitOutput("serves at ")
	return p
}

// awaitExit waits until the process exits and returns its exit code.
func (p *process) awaitExit() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(time.Minute):
		p.t.Fatalf("the process has not exited within a minute:\n%s", p.text())
	}
	return p.cmd.ProcessState.ExitCode()
}

// proposal returns a proposal that routes all requests to the given pool.
func proposal(pool string) string {
	return fmt.Sprintf(`{"id":%q,"why":%q,"body":{"settings":{"Balancers":1,"Discovery":"subscribe","Zone":"a","Categories":[{"Name":"feed",
		"Aim":30,"GiveUp":60,"Credit":5,"Effect":"safe","DedupScope":"all"}],"Limits":{"AttemptsCap":6,"ConnectTimeout":20,
		"MaxRetryAfter":1,"MaxOpen":100000,"RetryAfter":true,"MayCancel":true,"Probes":true},"Invariants":{"AnswerSlack":0.016,
		"AskEvery":1,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3,"Fall":1,"OverloadFactor":3}},"routing":{"pools":[{"name":%q}],
		"routes":[{"name":"all","to":[{"pool":%q,"ppm":1000000}]}],"default":"all"}}}`, pool, pool, pool, pool)
}

func listen(t testing.TB) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.(*net.TCPListener)
}

func writeConfig(t testing.TB, path string, config controlplane.Config) {
	t.Helper()
	text, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestShutdownAndRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keeper.json")
	listener := listen(t)
	config := controlplane.Config{ID: 1, Listen: "127.0.0.1:0", Data: filepath.Join(t.TempDir(), "data"),
		Peers: map[string]string{"1": listener.Addr().String()}, TickMS: 20}
	writeConfig(t, path, config)
	p := start(t, listener, "--config", path).awaitServing()
	if p.addr != listener.Addr().String() {
		t.Fatalf("the address is %s, want that of the inherited listener, %s", p.addr, listener.Addr())
	}
	if code, text := testkit.HTTPCall(t, "POST", "http://"+p.addr+"/v1/propose?wait=active", proposal("one")); code != 200 {
		t.Fatalf("POST /v1/propose: %d %s", code, text)
	}
	second := start(t, nil, "--config", path)
	if code := second.awaitExit(); code != 1 || !strings.Contains(second.text(), "another process has it open") ||
		!strings.Contains(second.text(), "remedy: stop the other replica that runs on this data directory") {
		t.Fatalf("exit code %d of a second replica on the same data directory:\n%s", code, second.text())
	}
	// The replica rejects an invalid file and keeps running; a valid one updates the addresses.
	for _, step := range []struct{ addr, want string }{
		{"nowhere", "configuration rejected"},
		{"127.0.0.1:9", "addresses updated"},
	} {
		config.Peers["1"] = step.addr
		writeConfig(t, path, config)
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		p.awaitOutput(step.want)
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := p.awaitExit(); code != 0 {
		t.Fatalf("exit code %d after SIGTERM:\n%s", code, p.text())
	}
	p = start(t, nil, "--config", path, "--tick-ms", "10").awaitServing() // without a listener, at a port that the kernel selects
	for end := time.Now().Add(time.Minute); ; {
		if code, text := testkit.HTTPCall(t, "GET", "http://"+p.addr+"/v1/version/1", ""); code == 200 && strings.Contains(text, `"why":"one"`) {
			break
		} else if time.Now().After(end) {
			t.Fatalf("GET /v1/version/1 after the restart: %d %s", code, text)
		}
	}
}

func TestInvalidConfiguration(t *testing.T) {
	for _, test := range []struct {
		env, want string
		args      []string
	}{
		{"", "replica 3 itself is not among them", []string{"--id=3", "--listen=127.0.0.1:0", "--data=x", "--peer=1=127.0.0.1:7001"}},
		{"", "no directory is given", []string{"--id=1", "--listen=127.0.0.1:0", "--peer=1=127.0.0.1:7001"}},
		{"", "--log", []string{"--log=loud"}},
		{"two", "is not a file descriptor", []string{"--id=1", "--listen=127.0.0.1:0", "--data=x", "--peer=1=127.0.0.1:7001"}},
		{"77", "77", []string{"--id=1", "--listen=127.0.0.1:0", "--data=x", "--peer=1=127.0.0.1:7001"}},
	} {
		t.Setenv(controlplane.ListenerFDEnv, test.env)
		p := start(t, nil, test.args...)
		if code := p.awaitExit(); code != 1 || !strings.Contains(p.text(), test.want) {
			t.Errorf("%q: exit code %d, want 1 and output %q:\n%s", test.args, code, test.want, p.text())
		}
	}
}
