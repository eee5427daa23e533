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

// Limits, in bytes, on parts of a process's output.
const (
	maxVersionLine    = 200  // longer than a log line about a new active version
	maxLastOutput     = 2000 // quoted in an error
	maxRaceReportText = 4000
)

// Process runs a program, which can be killed, stopped, paused and restarted. Its log contains the output of all runs. Its methods
// are safe for concurrent use.
type Process struct {
	Name      string
	path      string
	args      []string
	env       []string // variables added to the environment of this process
	dir       string   // working directory
	readyText string   // text that precedes the address in the log line written when the program serves

	lifecycle sync.Mutex // held while the process is started, ended or reloaded

	mu              sync.Mutex
	cmd             *exec.Cmd     // the current or last run; nil if the process was never started
	ended           chan struct{} // closed when cmd has ended
	expectedRunning bool          // whether an end of the process is a failure
	failures        []error       // unexpected ends
	log             []byte
	logGrown        chan struct{} // closed and replaced when log grows or a run begins
	runStart        int           // offset in log at which the current run begins
	versionChanges  []VersionChange
	onReady         []func() // called once, when the process serves

	endPause     func()         // ends the interval of the current pause; nil while the process is not paused
	suspended    intervals      // periods in which the process could not run
	killed       intervals      // each from before a SIGKILL until the process served again
	stopping     intervals      // each from before a SIGTERM until the process served again
	runQueueWait map[int]uint64 // total nanoseconds that each thread had waited for a processor at sampledAt
	sampledAt    time.Time
}

// newProcess returns a process, not yet started, of the program at path. It creates the process's working directory, dir/name.
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
	unread := p.log[max(p.runStart, before-maxVersionLine):] // includes the start of a line that b may complete
	if version, ok := lastActiveVersion(string(unread)); ok {
		p.recordVersion(version)
	}
	p.notifyWaiters()
	return len(b), nil
}

// recordVersion records a change of the active version. The caller must hold p.mu.
func (p *Process) recordVersion(version uint64) {
	if n := len(p.versionChanges); n == 0 || p.versionChanges[n-1].Version != version {
		p.versionChanges = append(p.versionChanges, VersionChange{time.Now(), version})
	}
}

// notifyWaiters makes AwaitLog check the log again. The caller must hold p.mu.
func (p *Process) notifyWaiters() {
	close(p.logGrown)
	p.logGrown = make(chan struct{})
}

// VersionChange records when a proxy logged that a version became active.
type VersionChange struct {
	At      time.Time
	Version uint64
}

// activeVersionLine matches a proxy's log line about a new active version.
var activeVersionLine = regexp.MustCompile(`fleet: version active\t\{"version": (\d+)\}\n`)

// lastActiveVersion returns the version in the last log line about a new active version.
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

// AwaitOutput waits until the current run has written a text, and returns the rest of that line. It returns the errors of
// AwaitLog.
func (p *Process) AwaitOutput(ctx context.Context, text string) (line string, err error) {
	err = p.AwaitLog(ctx, fmt.Sprintf("wrote %q", text), func(log string) bool {
		_, rest, _ := strings.Cut(log, text)
		complete := false
		line, _, complete = strings.Cut(rest, "\n")
		return complete
	})
	return line, err
}

// AwaitLog waits for at most fakes.WaitTimeout until the log of the current run satisfies a condition. After an expected end it
// waits for the next run. It fails on the timeout and if the run ends unexpectedly. what describes the condition in the error, as
// in "had version 2 active".
func (p *Process) AwaitLog(ctx context.Context, what string, satisfied func(log string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, fakes.WaitTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		log := string(p.log[p.runStart:])
		grown := p.logGrown
		ended := p.ended
		if !p.expectedRunning {
			ended = nil // wait for the next run
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

// awaitError returns the error of AwaitLog. ctxErr is nil if the process ended, and otherwise the reason for the end of the wait.
func (p *Process) awaitError(ctxErr error, what, log string) error {
	if ctxErr == nil {
		return fmt.Errorf("%s ended and never %s: %s", p.Name, what, lastOutput(log))
	}
	return fmt.Errorf("%s never %s (%w): %s", p.Name, what, ctxErr, lastOutput(log))
}

// lastOutput returns the end of a log.
func lastOutput(log string) string { return log[max(0, len(log)-maxLastOutput):] }

// Start starts a run, waits until it serves, and returns its address as read from its log.
func (p *Process) Start(ctx context.Context) (string, error) {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	cmd := p.command()
	ended := p.beginRun(cmd)
	if err := cmd.Start(); err != nil {
		close(ended)
		return "", fmt.Errorf("starting %s: %w", p.Name, err)
	}
	go p.awaitEnd(cmd, ended) // returns when the process ends, at the latest with this process
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

// command returns the command of a run. The kernel kills the run when this process ends.
func (p *Process) command() *exec.Cmd {
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(append(os.Environ(), "TMPDIR="+p.dir), p.env...)
	cmd.Dir = p.dir
	cmd.Stdout = p
	cmd.Stderr = p
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// beginRun makes a command the current run, whose log AwaitLog checks from now on. It returns the channel that the caller must
// close when the run has ended.
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

// awaitEnd waits until a run has ended, and records an unexpected end as a failure.
func (p *Process) awaitEnd(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // cmd.ProcessState holds the result
	p.mu.Lock()
	if p.expectedRunning {
		p.failures = append(p.failures,
			fmt.Errorf("%s ended unexpectedly (%v): %s", p.Name, cmd.ProcessState, lastOutput(string(p.log))))
	}
	p.mu.Unlock()
	close(ended)
}

// signal sends a signal to the current run. It returns os.ErrProcessDone if the run has ended.
func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return fmt.Errorf("%s has not been started", p.Name)
	}
	return cmd.Process.Signal(s)
}

// end sends a signal and waits until the process has ended. It adds an interval to outage that lasts from before the signal until
// the process serves again.
func (p *Process) end(ctx context.Context, s syscall.Signal, outage *intervals) error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	p.mu.Lock()
	p.expectedRunning = false
	ended := p.ended
	if ended == nil { // never started
		p.mu.Unlock()
		return nil
	}
	p.onReady = append(p.onReady, outage.begin())
	resume := p.endPause
	p.endPause = nil
	p.mu.Unlock()
	err := p.signal(s)
	if resume != nil { // a paused process handles the signal after SIGCONT
		err = errors.Join(err, p.signal(syscall.SIGCONT))
		resume()
	}
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	select {
	case <-ended:
	case <-ctx.Done():
		return fmt.Errorf("%s did not end: %w", p.Name, ctx.Err())
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
	for !isStopped(pid) { // polls, because Cmd.Wait does not report stops
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Resume ends a pause. It records the end of the suspension before it sends the signal, so that no time in which the process runs
// is excused.
func (p *Process) Resume() error {
	p.mu.Lock()
	if p.endPause != nil {
		p.endPause()
		p.endPause = nil
	}
	p.mu.Unlock()
	return p.signal(syscall.SIGCONT)
}

// Reload sends SIGHUP to the current run. If the process is starting, Reload first waits until it serves, because SIGHUP would
// terminate it before. Reload succeeds if the run has ended, since the next run reads the configuration anyway.
func (p *Process) Reload() error {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	if err := p.signal(syscall.SIGHUP); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Failures returns the unexpected ends of the process, and the first report of the race detector.
func (p *Process) Failures() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(p.failures)
	if i := bytes.Index(p.log, []byte("WARNING: DATA RACE")); i >= 0 {
		out = append(out, fmt.Errorf("%s: %s", p.Name, p.log[i:min(len(p.log), i+maxRaceReportText)]))
	}
	return out
}

// WasDown reports whether the process was down due to a SIGKILL at any moment between two times, or was stopping at the first.
func (p *Process) WasDown(from, to time.Time) bool {
	return p.killed.intersects(from, to) || p.stopping.intersects(from, from)
}
