package fleettest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"example.org/micafront/internal/fakes"
)

// Bounds, in bytes, on parts of a process's output.
const (
	maxVersionLine    = 200  // more than a log line about a new active version
	maxLastOutput     = 2000 // that an error quotes
	maxRaceReportText = 4000
)

// Process is a program that is started, ended, paused and started again. Its log spans all its runs. Its methods may be called
// concurrently.
type Process struct {
	Name      string
	path      string
	args      []string
	env       []string // beside those of this process
	dir       string   // where it runs
	readyText string   // the text of its log line that says that it serves, before the address

	lifecycle sync.Mutex // held while it is started, ended or reloaded

	mu              sync.Mutex
	cmd             *exec.Cmd     // the current run, or the last one; nil: it was never started
	ended           chan struct{} // closed when cmd has ended
	expectedRunning bool          // false: its end is expected, and no failure
	failures        []error       // unexpected ends
	log             []byte
	logGrown        chan struct{} // closed when log has grown or a run has begun
	runStart        int           // where this run's log begins
	versionChanges  []VersionChange
	onReady         []func() // called and dropped once it serves

	endPause     func()         // ends the interval of the current pause; nil: it is not paused
	suspended    intervals      // when it could not run
	killed       intervals      // from before it was killed until it served again
	stopping     intervals      // from before it was asked to stop until it served again
	runQueueWait map[int]uint64 // by thread, the nanoseconds that it had waited for a processor at sampledAt
	sampledAt    time.Time
}

// newProcess returns a process of the program at path, with a folder of its own name in dir. It is not started.
func newProcess(name, path, dir, readyText string, env ...string) (*Process, error) {
	p := &Process{
		Name:      name,
		path:      path,
		env:       env,
		dir:       filepath.Join(dir, name),
		readyText: readyText,
		logGrown:  make(chan struct{}),
	}
	return p, os.MkdirAll(p.dir, 0o700)
}

// Write implements io.Writer for the program's output.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.log)
	p.log = append(p.log, b...)
	unread := p.log[max(p.runStart, before-maxVersionLine):] // with the beginning of a line that b completes
	if version, ok := lastActiveVersion(string(unread)); ok {
		p.recordVersion(version)
	}
	p.notifyWaiters()
	return len(b), nil
}

// recordVersion records a change of the active version; p.mu is held.
func (p *Process) recordVersion(version uint64) {
	if n := len(p.versionChanges); n == 0 || p.versionChanges[n-1].Version != version {
		p.versionChanges = append(p.versionChanges, VersionChange{time.Now(), version})
	}
}

// notifyWaiters has AwaitLog look at the log again; p.mu is held.
func (p *Process) notifyWaiters() {
	close(p.logGrown)
	p.logGrown = make(chan struct{})
}

// VersionChange is the time when a proxy logged that a version is active there.
type VersionChange struct {
	At      time.Time
	Version uint64
}

// activeVersionLine is a proxy's log line about a new active version.
var activeVersionLine = regexp.MustCompile(`fleet: version active\t\{"version": (\d+)\}\n`)

// lastActiveVersion returns the last version in a log that became active.
func lastActiveVersion(log string) (version uint64, ok bool) {
	all := activeVersionLine.FindAllStringSubmatch(log, -1)
	if len(all) == 0 {
		return 0, false
	}
	version, err := strconv.ParseUint(all[len(all)-1][1], 10, 64)
	return version, err == nil
}

// VersionChanges returns the changes of the active version in all runs.
func (p *Process) VersionChanges() []VersionChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.versionChanges)
}

// Log returns the output of all runs.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.log)
}

// AwaitOutput waits until the current run has written a text and returns the rest of that line. Its errors are AwaitLog's.
func (p *Process) AwaitOutput(ctx context.Context, text string) (line string, err error) {
	err = p.AwaitLog(ctx, fmt.Sprintf("wrote %q", text), func(log string) bool {
		_, rest, _ := strings.Cut(log, text)
		complete := false
		line, _, complete = strings.Cut(rest, "\n")
		return complete
	})
	return line, err
}

// AwaitLog waits, for at most fakes.WaitTimeout, until the log of the current run satisfies a condition. After an expected end
// the next run counts. The error says that the process never did what was awaited, as what words it.
func (p *Process) AwaitLog(ctx context.Context, what string, satisfied func(log string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, fakes.WaitTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		log := string(p.log[p.runStart:])
		grown := p.logGrown
		ended := p.ended
		if !p.expectedRunning {
			ended = nil // the next run is awaited
		}
		p.mu.Unlock()
		if satisfied(log) {
			return nil
		}
		select {
		case <-grown:
			continue
		case <-ended:
		case <-ctx.Done():
		}
		p.mu.Lock()
		changed := p.logGrown != grown || ended != nil && p.ended != ended || !p.expectedRunning
		p.mu.Unlock()
		if ctx.Err() != nil || !changed {
			return p.awaitError(ctx.Err(), what, log)
		}
	}
}

// awaitError says that a process never did what was awaited: the time was up, or it has ended.
func (p *Process) awaitError(ctxErr error, what, log string) error {
	if ctxErr == nil {
		return fmt.Errorf("%s ended and never %s: %s", p.Name, what, lastOutput(log))
	}
	return fmt.Errorf("%s never %s (%w): %s", p.Name, what, ctxErr, lastOutput(log))
}

// lastOutput returns the end of a log.
func lastOutput(log string) string { return log[max(0, len(log)-maxLastOutput):] }

// Start starts a run and waits until it serves. It returns the rest of the log line that says so: the address.
func (p *Process) Start(ctx context.Context) (string, error) {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	cmd := p.command()
	ended := p.beginRun(cmd)
	if err := cmd.Start(); err != nil {
		close(ended)
		return "", fmt.Errorf("starting %s: %w", p.Name, err)
	}
	go p.awaitEnd(cmd, ended) // until the process ends, at the latest when this one does
	line, err := p.AwaitOutput(ctx, p.readyText)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, callback := range p.onReady {
		callback()
	}
	p.onReady = nil
	return line, nil
}

// command returns the command of a run, which the kernel kills when this process ends.
func (p *Process) command() *exec.Cmd {
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(append(os.Environ(), "TMPDIR="+p.dir), p.env...)
	cmd.Dir = p.dir
	cmd.Stdout = p
	cmd.Stderr = p
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// beginRun makes a command the current run, at whose log AwaitLog looks from now on. It returns the channel to close once the
// run has ended.
func (p *Process) beginRun(cmd *exec.Cmd) (ended chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.ended = make(chan struct{})
	p.expectedRunning = true
	p.runStart = len(p.log)
	p.runQueueWait = map[int]uint64{}
	p.sampledAt = time.Now()
	p.notifyWaiters()
	return p.ended
}

// awaitEnd waits until a run has ended, and records an end that was not expected.
func (p *Process) awaitEnd(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // the process's state says how it has ended
	p.mu.Lock()
	if p.expectedRunning {
		p.failures = append(p.failures,
			fmt.Errorf("%s ended unexpectedly (%v): %s", p.Name, cmd.ProcessState, lastOutput(string(p.log))))
	}
	p.mu.Unlock()
	close(ended)
}

// signal sends a signal to the current run. The error is os.ErrProcessDone where that has ended.
func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return fmt.Errorf("%s has not been started", p.Name)
	}
	return cmd.Process.Signal(s)
}

// end sends a signal and waits until the process has ended. An interval of outage lasts from before the signal until the
// process serves again.
func (p *Process) end(ctx context.Context, s syscall.Signal, outage *intervals) error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	p.mu.Lock()
	p.expectedRunning = false
	ended := p.ended
	if ended == nil { // it was never started
		p.mu.Unlock()
		return nil
	}
	p.onReady = append(p.onReady, outage.begin())
	resume := p.endPause
	p.endPause = nil
	p.mu.Unlock()
	err := p.signal(s)
	if resume != nil { // a paused process handles the signal once it goes on
		err = errors.Join(err, p.signal(syscall.SIGCONT))
		resume()
	}
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	select {
	case <-ended:
	case <-ctx.Done():
		return fmt.Errorf("%s does not end: %w", p.Name, ctx.Err())
	}
	return err
}

// Kill ends the process with SIGKILL.
func (p *Process) Kill(ctx context.Context) error { return p.end(ctx, syscall.SIGKILL, &p.killed) }

// Stop ends the process with SIGTERM.
func (p *Process) Stop(ctx context.Context) error { return p.end(ctx, syscall.SIGTERM, &p.stopping) }

// Pause suspends the process with SIGSTOP until Resume. It returns once all its threads are stopped.
func (p *Process) Pause(ctx context.Context) error {
	p.mu.Lock()
	if p.endPause == nil {
		p.endPause = p.suspended.begin()
	}
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for !isStopped(pid) { // only a tracer would be notified
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Resume ends a pause. The end of the suspension is taken before the signal, so that nothing after it is excused.
func (p *Process) Resume() error {
	p.mu.Lock()
	if p.endPause != nil {
		p.endPause()
		p.endPause = nil
	}
	p.mu.Unlock()
	return p.signal(syscall.SIGCONT)
}

// Reload sends SIGHUP to the current run. It waits until the process serves, since SIGHUP would end it before. A run that has
// ended is no error: the next one reads the configuration anyway.
func (p *Process) Reload() error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	if err := p.signal(syscall.SIGHUP); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Failures returns the unexpected ends, and the race detector's report.
func (p *Process) Failures() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(p.failures)
	if i := bytes.Index(p.log, []byte("WARNING: DATA RACE")); i >= 0 {
		out = append(out, fmt.Errorf("%s: %s", p.Name, p.log[i:min(len(p.log), i+maxRaceReportText)]))
	}
	return out
}

// WasDown reports whether the process was down at any moment of a time because it had been killed, or was stopping when the
// time began.
func (p *Process) WasDown(from, to time.Time) bool {
	return p.killed.intersects(from, to) || p.stopping.intersects(from, from)
}
