// Command standins plays the cases of the second review. Each case starts the project's programs as processes on loopback and
// plays clients, endpoints, service discovery and the platform. It exits with 1 if the rule of the case was broken, with 0 if
// it held, and with 2 if the case could not run.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// world is one run of a case.
type world struct {
	root    string // the repository's root, from which the platform starts the programs
	dir     string // temporary folder, removed at the end
	trouble bool   // whether the disruption is played
	began   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
	procs  []*process
}

// newWorld creates the temporary folder and the record in the folder of the case.
func newWorld(caseDir string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	w := &world{root: root, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if w.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		return nil, err
	}
	w.dir, err = os.MkdirTemp("", "case")
	return w, err
}

// logf writes a line to the record, with the time since the start in seconds.
func (w *world) logf(form string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(form, args...))
}

// breakRule records that the rule of the case was broken.
func (w *world) breakRule(form string, args ...any) {
	text := fmt.Sprintf(form, args...)
	w.logf("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// end ends all processes that are still running, and returns the exit code.
func (w *world) end(err error) int {
	for _, p := range w.processes() {
		if !p.ended() {
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	defer func() { _ = w.record.Close() }() // there is nowhere left to report it
	switch {
	case err != nil:
		fmt.Fprintf(w.record, "could not run: %v\n", err)
		fmt.Println("could not run:", err)
		return exitNoRun
	case len(w.broken) > 0:
		fmt.Fprintf(w.record, "result: the rule was broken %d times\n", len(w.broken))
		fmt.Printf("broken %d times, first: %s\n", len(w.broken), w.broken[0])
		return exitBroken
	}
	fmt.Fprintln(w.record, "result: the rule held")
	fmt.Println("held")
	return exitHeld
}

func (w *world) processes() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*process{}, w.procs...)
}

// process is a process of one of the project's programs.
type process struct {
	world *world
	name  string
	cmd   *exec.Cmd
	done  chan struct{} // closed when the process has ended

	mu  sync.Mutex
	log strings.Builder
}

// start starts a command line from the repository's root by a shell, as the platform does. The environment of the process has
// the given variables, and a PATH.
func (w *world) start(name, command string, env ...string) (*process, error) {
	p := &process{world: w, name: name, done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = w.root
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.logf("started %s: %s", name, command)
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	go func() {
		_ = p.cmd.Wait() // the state is in cmd.ProcessState
		w.logf("%s ended: %v", name, p.cmd.ProcessState)
		close(p.done)
	}()
	return p, nil
}

// Write receives the output of the process and copies it to the record.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	p.log.Write(b)
	p.mu.Unlock()
	for line := range strings.Lines(string(b)) {
		p.world.logf("[%s] %s", p.name, strings.TrimRight(line, "\n"))
	}
	return len(b), nil
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.world.logf("%v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// startTimeout is how long a process may take to write a line that a case waits for.
const startTimeout = 10 * time.Second

// await waits until the output of the process contains a text.
func (p *process) await(text string) error {
	return eventually(startTimeout, func() error {
		if strings.Contains(p.output(), text) {
			return nil
		}
		return fmt.Errorf("%s never wrote %q", p.name, text)
	})
}

const pollInterval = 10 * time.Millisecond

// eventually repeats a check until it succeeds, and returns its last error otherwise.
func eventually(within time.Duration, check func() error) error {
	for end := time.Now().Add(within); ; time.Sleep(pollInterval) {
		err := check()
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

// freeAddrs returns free loopback addresses, all different.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

// play is one case.
type play func(*world) error

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE FOLDER")
		os.Exit(exitNoRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(exitNoRun)
	}
	finished := make(chan error, 1)
	go func() { finished <- plays[os.Args[1]](w) }()
	select {
	case err = <-finished:
	case <-time.After(caseTimeout):
		err = errors.New("the case took too long")
	}
	os.Exit(w.end(err))
}

// caseTimeout is below the 120 s that a case may take.
const caseTimeout = 110 * time.Second

// single is a proxy that is in no fleet.
type single struct {
	*process
	addr   string
	config string // path of its file
	env    []string
}

// startSingle starts a proxy with a known list and further members of its file (see proxyFile), and waits until it answers a readiness check as the front sends it.
func (w *world) startSingle(d *discovery, known list, members string) (*single, error) {
	discoveryAddr, err := d.listen("n1")
	if err != nil {
		return nil, err
	}
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, err
	}
	p := &single{addr: addrs[0], config: filepath.Join(w.dir, "config.json")}
	text, err := proxyFile("n1", p.addr, discoveryAddr, known, albumSettings(1), members)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.env = []string{"EDGE_CONFIG=" + p.config, "TMPDIR=" + w.dir}
	if p.process, err = w.start("old", "exec bin/micafront", p.env...); err != nil {
		return nil, err
	}
	return p, eventually(startTimeout, func() error { return ping(p.addr) })
}

// ping sends a readiness check.
func ping(addr string) error {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, "PING\r\n"); err != nil {
		return err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && line != "PONG\r\n" {
		err = fmt.Errorf("PING was answered %q", line)
	}
	return err
}
