package soak

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 20 * time.Second
	// admissionGrace is how long after SIGTERM clients still open new connections.
	admissionGrace = 300 * time.Millisecond
	// addressMarker precedes the address in the log line that a process writes when it serves.
	addressMarker = " serves at "
	// handoverOverlap is how long both processes run during a hot restart before the predecessor gets SIGTERM.
	handoverOverlap = 400 * time.Millisecond
)

// suspension is a period in which a process was stopped with SIGSTOP. to is zero while it lasts.
type suspension struct{ from, to time.Time }

// proxy is a proxy process and, after restarts, its successors. The address changes with each process.
type proxy struct {
	name       string
	newCommand func() *exec.Cmd
	configPath string

	mu          sync.Mutex
	command     *exec.Cmd
	addr        string
	serving     bool
	admitsUntil time.Time // when clients stop opening connections; zero if no stop has begun
	endedAt     time.Time // zero while the process runs
	suspensions []suspension
	log         strings.Builder
}

// start starts a process and waits until it serves. It returns an error with the log if that takes longer than startTimeout.
func (p *proxy) start() error {
	command := p.newCommand()
	stderr, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	addr := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(stderr)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if _, rest, ok := strings.Cut(lines.Text(), addressMarker); ok {
				select {
				case addr <- strings.Fields(rest)[0]:
				default:
				}
			}
			p.mu.Lock()
			p.log.WriteString(lines.Text() + "\n")
			p.mu.Unlock()
		}
	}()
	select {
	case servingAddr := <-addr:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.command, p.addr, p.serving = command, servingAddr, true
		p.admitsUntil, p.endedAt = time.Time{}, time.Time{}
		return nil
	case <-time.After(startTimeout):
		_ = command.Process.Kill()
		return fmt.Errorf("%s did not start serving: %s", p.name, p.log.String())
	}
}

// admitsConnections reports whether clients may open connections to the process.
func (p *proxy) admitsConnections() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serving && (p.admitsUntil.IsZero() || time.Now().Before(p.admitsUntil))
}

// endedBy reports whether the process had exited or had been killed by a time.
func (p *proxy) endedBy(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.endedAt.IsZero() && !at.Before(p.endedAt)
}

// suspendedSince returns the total length of the suspensions that ended after a time or still last.
func (p *proxy) suspendedSince(since time.Time) (length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.suspensions {
		to := s.to
		if to.IsZero() {
			to = time.Now()
		}
		if to.After(since) {
			length += to.Sub(s.from)
		}
	}
	return length
}

// signal sends signals to the process, in order.
func (p *proxy) signal(signals ...syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range signals {
		_ = p.command.Process.Signal(s)
	}
}

// suspend stops the process with SIGSTOP for a time.
func (p *proxy) suspend(length time.Duration) {
	p.mu.Lock()
	p.suspensions = append(p.suspensions, suspension{from: time.Now()})
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspensions[len(p.suspensions)-1].to = time.Now()
}

// stop sends SIGTERM among other signals and kills the process at the earliest time that operators allow, killDelay after maxTimeout.
// It returns an error if the process was killed or exited with an error.
func (p *proxy) stop(maxTimeout time.Duration) error {
	signaledAt := time.Now()
	p.mu.Lock()
	p.admitsUntil = signaledAt.Add(admissionGrace)
	p.mu.Unlock()
	p.signal(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1)
	exited := make(chan error, 1)
	go func() { exited <- p.command.Wait() }()
	var err error
	select {
	case err = <-exited:
		p.mu.Lock()
		p.endedAt = time.Now() // before its exit, the process answered or moved all clients and closed their connections
		p.serving = false
		p.mu.Unlock()
	case <-time.After(maxTimeout + killDelay):
		p.mu.Lock()
		p.endedAt = time.Now()
		p.serving = false
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
		<-exited
		err = errors.New("still running at the kill deadline")
	}
	if err != nil {
		return fmt.Errorf("%s, %v after SIGTERM: %w", p.name, time.Since(signaledAt).Round(time.Millisecond), err)
	}
	return nil
}

// hotRestart starts a successor, which takes over from the process transparently to the clients, and stops the process. It returns an
// error if the successor does not start, or if the process does not exit cleanly within maxTimeout + killDelay.
func (p *proxy) hotRestart(maxTimeout time.Duration) error {
	predecessor := p.command
	if err := p.start(); err != nil {
		return err
	}
	time.Sleep(handoverOverlap)
	signaledAt := time.Now()
	_ = predecessor.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- predecessor.Wait() }()
	select {
	case err := <-exited:
		return err
	case <-time.After(maxTimeout + killDelay):
		_ = predecessor.Process.Kill()
		<-exited
		return fmt.Errorf("%s, %v after SIGTERM: the predecessor was still running at the kill deadline", p.name, time.Since(signaledAt).Round(time.Millisecond))
	}
}

// reload replaces a text in the configuration file and sends signals in quick succession, SIGHUP among them.
func (p *proxy) reload(from, to string) error {
	text, err := os.ReadFile(p.configPath)
	if err != nil {
		return err
	}
	next := p.configPath + ".next"
	if err := os.WriteFile(next, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, filepath.Clean(p.configPath)); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGHUP)
	return nil
}
