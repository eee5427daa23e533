package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/micafront/internal/fakes"
)

// proxyProcess is a process of the real program with its configuration and the discovery service that it calls.
type proxyProcess struct {
	t         *testing.T
	discovery *fakes.ScriptedDiscovery

	// The configuration, which options may change before the start.

	maxDescriptors int      // limit on file descriptors
	connectTimeout float64  // timeout of connections to endpoints, in seconds
	adminListen    string   // address of the admin listener; "": none
	routing        string   // the configuration's member "routing", with a trailing comma
	extraSettings  string   // further settings, as JSON members with a trailing comma
	replacements   []string // alternating old and new texts of the configuration, as for strings.NewReplacer
	siteText       string   // the configuration in the site language; "": the configuration is JSON
	env            []string // further environment variables, as name=value

	// The process.

	command    *exec.Cmd
	configPath string
	stderr     *syncBuffer
	exited     chan error // receives the result of Wait once
	addr       string     // address of the main listener
	adminAddr  string     // address of the admin listener; "": none

	endpointConns chan *fakes.Peer // connections accepted by the endpoints; only set by startPassThrough
}

// countDescriptors returns how many file descriptors the process has open.
func (p *proxyProcess) countDescriptors() int {
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(descriptors)
}

// waitForDescriptors waits until the process has at most as many file descriptors open as before.
func (p *proxyProcess) waitForDescriptors(before int) {
	p.t.Helper()
	for end := time.Now().Add(fakes.WaitTimeout); p.countDescriptors() > before; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%d descriptors are open, %d were before", p.countDescriptors(), before)
		}
	}
}

// syncBuffer is a buffer that may be written and read concurrently.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns everything written so far.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// proxyOption changes the configuration of a process before it starts.
type proxyOption func(*proxyProcess)

// withConnectTimeout sets the timeout of connections to endpoints, in seconds.
func withConnectTimeout(seconds float64) proxyOption {
	return func(p *proxyProcess) { p.connectTimeout = seconds }
}

// withMaxDescriptors sets the limit on file descriptors.
func withMaxDescriptors(n int) proxyOption { return func(p *proxyProcess) { p.maxDescriptors = n } }

// withSettings adds further settings: JSON members with a trailing comma.
func withSettings(members string) proxyOption {
	return func(p *proxyProcess) { p.extraSettings = members }
}

// withReplacement replaces a text in the configuration.
func withReplacement(from, to string) proxyOption {
	return func(p *proxyProcess) { p.replacements = append(p.replacements, from, to) }
}

// feedClass is the only class of the settings, unless withClasses replaces it.
const feedClass = `{"Name":"feed","Aim":30,"GiveUp":60,"Credit":5,"Effect":"safe","DedupScope":"all"}`

// configText returns the configuration in JSON; known is the endpoint list that the process starts with.
func (p *proxyProcess) configText(known string) string {
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"operator":%q,"seed":"5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,%s"settings":{"Balancers":1,
		"Discovery":"subscribe","Zone":"a",%s"Categories":[%s],"Limits":{"AttemptsCap":6,"ConnectTimeout":%g,
		"MaxRetryAfter":1,"MaxOpen":100000,"RetryAfter":true,"MayCancel":true,"Probes":true},"Invariants":{
		"AnswerSlack":0.016,"AskEvery":1,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3,"Fall":1,
		"OverloadFactor":3}}}`,
		p.discovery.Addr, p.adminListen, p.maxDescriptors, known, p.routing, p.extraSettings, feedClass, p.connectTimeout)
	return strings.NewReplacer(p.replacements...).Replace(text)
}

// startProxy starts the program with a known endpoint list and the configuration changed by the options, and waits until it
// serves.
func startProxy(t *testing.T, known string, options ...proxyOption) *proxyProcess {
	t.Helper()
	proxy := &proxyProcess{
		discovery:      fakes.NewScriptedDiscovery(t),
		t:              t,
		stderr:         &syncBuffer{},
		exited:         make(chan error, 1),
		maxDescriptors: 1024,
		connectTimeout: 20,
	}
	for _, option := range options {
		option(proxy)
	}
	proxy.command, proxy.configPath = newCommand(t, proxy.configText(known))
	proxy.command.Env = append(proxy.command.Env, proxy.env...)
	if proxy.siteText != "" {
		proxy.useSite()
	}
	proxy.startAndWait()
	return proxy
}

// useSite makes the program read siteText instead of the JSON configuration.
func (p *proxyProcess) useSite() {
	p.t.Helper()
	p.configPath = strings.TrimSuffix(p.configPath, ".json") + ".cue"
	if err := os.WriteFile(p.configPath, []byte(p.siteText), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.command.Env = append(p.command.Env, "EDGE_CONFIG="+p.configPath)
}

// listenerAddr returns the address of an extra listener.
func (p *proxyProcess) listenerAddr(name string) string {
	p.t.Helper()
	_, rest, _ := strings.Cut(p.waitForLog("listener "+name+" is at "), "listener "+name+" is at ")
	addr, _, _ := strings.Cut(rest, "\n")
	return addr
}

// startSuccessor starts another process with the same configuration, as the successor in a hot restart; env is added to its
// environment.
func (p *proxyProcess) startSuccessor(env ...string) *proxyProcess {
	p.t.Helper()
	next := *p
	next.stderr, next.exited = &syncBuffer{}, make(chan error, 1)
	next.command = exec.Command(p.command.Path)
	next.command.Env = append(append([]string{}, p.command.Env...), env...)
	next.startAndWait()
	return &next
}

// startAndWait starts the command and waits until the program serves.
func (p *proxyProcess) startAndWait() {
	p.t.Helper()
	cmd, exited := p.command, p.exited
	cmd.Stderr = p.stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() { exited <- cmd.Wait() }()
	p.t.Cleanup(func() { cmd.Process.Kill() })
	_, rest, _ := strings.Cut(p.waitForLog("serves at "), "serves at ")
	p.addr = strings.TrimSpace(strings.SplitN(rest, "\n", 2)[0])
	if _, rest, ok := strings.Cut(p.stderr.String(), "operators call at "); ok {
		p.adminAddr, _, _ = strings.Cut(rest, "\n")
	}
}

// newCommand returns the command that runs the real program, and the path of the file that it writes the configuration to.
func newCommand(t *testing.T, config string) (command *exec.Cmd, configPath string) {
	configPath = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	command = exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childEnv+"=1", "EDGE_CONFIG="+configPath, "TMPDIR="+t.TempDir())
	return command, configPath
}

// Log messages that tests wait for.
const (
	logConfigRejected     = "configuration rejected"
	logSuccessorConnected = "hot restart: successor connected"
	logSuccessorServes    = "hot restart: successor serves"
	logSuccessorExited    = "hot restart: successor exited, this process serves"
)

// logLine returns the beginning of a log line: the message and its first fields, as JSON members.
func logLine(message, fields string) string { return message + "\t{" + fields }

// inJSON returns a text as it is escaped within a JSON string.
func inJSON(text string) string {
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}

// reload replaces a text in the configuration file and sends SIGHUP.
func (p *proxyProcess) reload(from, to string) {
	p.t.Helper()
	p.editConfig(from, to)
	p.command.Process.Signal(syscall.SIGHUP)
}

// editConfig replaces the first occurrence of a text in the configuration file.
func (p *proxyProcess) editConfig(from, to string) {
	p.t.Helper()
	text, err := os.ReadFile(p.configPath)
	if err == nil {
		err = os.WriteFile(p.configPath, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// waitForLog waits for a complete line that contains a text on standard error, and returns all of standard error.
func (p *proxyProcess) waitForLog(text string) string {
	p.t.Helper()
	for end := time.Now().Add(fakes.WaitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s := p.stderr.String(); strings.Contains(s, text) {
			if _, after, _ := strings.Cut(s, text); strings.Contains(after, "\n") {
				return s
			}
		}
	}
	p.t.Fatalf("standard error never contained %q: %q", text, p.stderr.String())
	return ""
}

// waitForHotRestartLog waits until the log lines about hot restarts are these, in this order. Other lines may come between them,
// such as one about a turn that the host held up.
func (p *proxyProcess) waitForHotRestartLog(want ...string) {
	p.t.Helper()
	for end := time.Now().Add(fakes.WaitTimeout); ; time.Sleep(5 * time.Millisecond) {
		var lines []string
		for line := range strings.Lines(p.stderr.String()) {
			if strings.HasPrefix(line, "hot restart: ") {
				lines = append(lines, strings.TrimSuffix(line, "\n"))
			}
		}
		if slices.Equal(lines, want) {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("log lines about hot restarts are %q, want %q", lines, want)
		}
	}
}

// waitForCounter requests the counters by SIGUSR1 until they include a value such as "open=0".
func (p *proxyProcess) waitForCounter(counter string) {
	p.t.Helper()
	for end := time.Now().Add(fakes.WaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		p.command.Process.Signal(syscall.SIGUSR1)
		if strings.Contains(p.stderr.String(), " "+counter+" ") {
			return
		}
	}
	p.t.Fatalf("the counters never included %s: %s", counter, p.stderr.String())
}

// dial opens a client connection to the main listener.
func (p *proxyProcess) dial() *fakes.Peer {
	p.t.Helper()
	return fakes.Dial(p.t, p.addr)
}

// connect establishes a connection through the proxy and returns both ends.
func (p *proxyProcess) connect(conns chan *fakes.Peer, key string) (client, upstream *fakes.Peer) {
	p.t.Helper()
	client = p.dial()
	client.Send(openLine(key))
	upstream = fakes.Await(p.t, conns)
	upstream.ReadLine()
	upstream.Send("UP r\r\n")
	if got := client.ReadLine(); got != "UP r" {
		p.t.Fatalf("client got %q", got)
	}
	return client, upstream
}

// suspend stops the process by SIGSTOP until resume is called. The process then handles everything that happened meanwhile
// in one iteration of its event loop.
func (p *proxyProcess) suspend() (resume func()) {
	p.t.Helper()
	pid := p.command.Process.Pid
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		p.t.Fatal(err)
	}
	for end := time.Now().Add(fakes.WaitTimeout); !allThreadsStopped(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("the process did not stop on SIGSTOP")
		}
	}
	return func() { syscall.Kill(pid, syscall.SIGCONT) }
}

// allThreadsStopped reports whether every thread of a process is stopped. The state of the first thread is not enough,
// because the event loop may run on another one.
func allThreadsStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if _, state, ok := strings.Cut(string(text), ") "); err != nil || !ok || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// whileSuspended calls meanwhile while the process is suspended.
func (p *proxyProcess) whileSuspended(meanwhile func()) {
	p.t.Helper()
	resume := p.suspend()
	defer resume()
	meanwhile()
}
