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
	// arrivals is how long after SIGTERM new connections still come.
	arrivals   = 300 * time.Millisecond
	servesText = " serves at "
	// successorTime is how long two processes run side by side at a hot restart.
	successorTime = 400 * time.Millisecond
)

// holdUp is a time in which a process was stopped.
type holdUp struct{ from, to time.Time }

// proxy is one proxy process after the other, at changing addresses.
type proxy struct {
	name       string
	newCommand func() *exec.Cmd
	configPath string

	mu       sync.Mutex
	command  *exec.Cmd
	addr     string
	serving  bool
	closesAt time.Time // when no connections come any more; zero: no stop has begun
	killedAt time.Time // zero: it runs
	holdUps  []holdUp
	log      strings.Builder
}

// start starts a process and waits until it serves.
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
			if _, rest, ok := strings.Cut(lines.Text(), servesText); ok {
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
	case served := <-addr:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.command, p.addr, p.serving = command, served, true
		p.closesAt, p.killedAt = time.Time{}, time.Time{}
		return nil
	case <-time.After(startTimeout):
		_ = command.Process.Kill()
		return fmt.Errorf("%s does not serve: %s", p.name, p.log.String())
	}
}

// admitted reports whether the front sends the process connections.
func (p *proxy) admitted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serving && (p.closesAt.IsZero() || time.Now().Before(p.closesAt))
}

// killedBy reports whether the process had been killed at a time.
func (p *proxy) killedBy(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.killedAt.IsZero() && !at.Before(p.killedAt)
}

// heldUpSince returns for how long the process has been stopped since a time.
func (p *proxy) heldUpSince(since time.Time) (length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.holdUps {
		to := h.to
		if to.IsZero() {
			to = time.Now()
		}
		if to.After(since) {
			length += to.Sub(h.from)
		}
	}
	return length
}

func (p *proxy) signal(signals ...syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range signals {
		_ = p.command.Process.Signal(s)
	}
}

// stopFor has the process stand still.
func (p *proxy) stopFor(length time.Duration) {
	p.mu.Lock()
	p.holdUps = append(p.holdUps, holdUp{from: time.Now()})
	p.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdUps[len(p.holdUps)-1].to = time.Now()
}

// stop ends the process by SIGTERM, in a series of signals, and kills it at the earliest time that operators allow. The error says
// that it did not end in order.
func (p *proxy) stop(longestDeadline time.Duration) error {
	began := time.Now()
	p.mu.Lock()
	p.closesAt = began.Add(arrivals)
	p.mu.Unlock()
	p.signal(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1)
	exited := make(chan error, 1)
	go func() { exited <- p.command.Wait() }()
	var err error
	select {
	case err = <-exited:
		p.mu.Lock()
		p.killedAt = time.Now() // its connections have ended before, each with what it was owed
		p.serving = false
		p.mu.Unlock()
	case <-time.After(longestDeadline + killDelay):
		p.mu.Lock()
		p.killedAt = time.Now()
		p.serving = false
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
		<-exited
		err = errors.New("still ran at the kill")
	}
	if err != nil {
		return fmt.Errorf("%s, %v after SIGTERM: %w", p.name, time.Since(began).Round(time.Millisecond), err)
	}
	return nil
}

// hotRestart starts a successor, which takes the place of the process without its clients noticing, and ends the process. The error
// says that one of both did not do so.
func (p *proxy) hotRestart(longestDeadline time.Duration) error {
	predecessor := p.command
	if err := p.start(); err != nil {
		return err
	}
	time.Sleep(successorTime)
	began := time.Now()
	_ = predecessor.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- predecessor.Wait() }()
	select {
	case err := <-exited:
		return err
	case <-time.After(longestDeadline + killDelay):
		_ = predecessor.Process.Kill()
		<-exited
		return fmt.Errorf("%s, %v after SIGTERM: the predecessor still ran at the kill", p.name, time.Since(began).Round(time.Millisecond))
	}
}

// reload replaces a text of the configuration and sends a series of signals.
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
