package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pollInterval is how often a wait looks again.
const pollInterval = 10 * time.Millisecond

// Process is one of the project's programs. Its output goes to a file in its own temporary folder and, line by line, to nobody.
type Process struct {
	Name   string
	dir    string
	root   string
	line   string
	env    []string
	record *Record

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// NewProcess returns a process that is not started. line is the command of the deploy file, run by /bin/sh in root.
func NewProcess(record *Record, root, temp, name, line string, env ...string) (*Process, error) {
	dir := filepath.Join(temp, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return &Process{Name: name, dir: dir, root: root, line: line, env: env, record: record}, nil
}

// Dir returns the process's folder, which is its TMPDIR too.
func (p *Process) Dir() string { return p.dir }

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("/bin/sh", "-c", p.line)
	cmd.Dir = p.root
	cmd.Env = append(append(os.Environ(), "TMPDIR="+p.dir), p.env...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.cmd = cmd
	p.ended = ended
	p.record.Printf("run %s: started", p.Name)
	go func() { // ends with the process
		_ = cmd.Wait()
		p.record.Printf("run %s: ended, %v", p.Name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

func (p *Process) logPath() string { return filepath.Join(p.dir, "log.txt") }

// Log returns what the process has written in all its runs.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath())
	return string(text)
}

// AwaitLog waits until the log has the text at least count times.
func (p *Process) AwaitLog(text string, count int, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if strings.Count(p.Log(), text) >= count {
			return nil
		}
		if time.Now().After(deadline) || !p.Running() {
			return fmt.Errorf("%s did not log %q in %v", p.Name, text, timeout)
		}
	}
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.record.Printf("run %s: %v", p.Name, signal)
	_ = p.cmd.Process.Signal(signal) // the process may have ended
}

// Wait waits for the end of the process.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	if p.Running() {
		p.Signal(syscall.SIGKILL)
		p.Wait(time.Minute)
	}
}
