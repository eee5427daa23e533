package fleettest

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTicksPerSecond is the kernel's USER_HZ, the unit of the times in /proc/stat.
	clockTicksPerSecond = 100
	// stealField is the index of the steal time in the first line of /proc/stat.
	stealField = 8
	// minRecordedWait is the threshold that the wait between two samples must exceed to be recorded.
	minRecordedWait = time.Millisecond
)

// isStopped reports whether a process is in the stopped state. A process that does not exist counts as stopped.
func isStopped(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, state, ok := strings.Cut(string(text), ") ")
	return err != nil || ok && strings.HasPrefix(state, "T")
}

// sampleRunQueue records how long the process's threads waited for a processor since the last sample. steal is the time that
// the hypervisor took from the machine since then.
func (p *Process) sampleRunQueue(steal time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	dir := fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid)
	threads, _ := os.ReadDir(dir) // empty if the process has ended
	waiting := steal
	for _, thread := range threads {
		text, _ := os.ReadFile(filepath.Join(dir, thread.Name(), "schedstat")) // empty if the thread has ended
		fields := bytes.Fields(text)
		id, _ := strconv.Atoi(thread.Name()) // the kernel writes a number
		if len(fields) != 3 {
			continue
		}
		total, _ := strconv.ParseUint(string(fields[1]), 10, 64) // the kernel writes a number
		if last, ok := p.runQueueWait[id]; ok {
			waiting += time.Duration(total - last)
		}
		p.runQueueWait[id] = total
	}
	now := time.Now()
	if waiting > minRecordedWait {
		p.suspended.add(interval{p.sampledAt, now, min(waiting, now.Sub(p.sampledAt))})
	}
	p.sampledAt = now
}

// stealTime returns the time that the hypervisor has taken from this machine's processors since boot, or 0 if it is unknown.
func stealTime() time.Duration {
	text, _ := os.ReadFile("/proc/stat") // on an error, steal time counts as 0 and excuses no proxy
	line, _, _ := strings.Cut(string(text), "\n")
	fields := strings.Fields(line)
	if len(fields) <= stealField {
		return 0
	}
	ticks, _ := strconv.ParseInt(fields[stealField], 10, 64) // the kernel writes a number
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// sampleProcesses samples the run queue waits of processes at an interval until the context ends.
func sampleProcesses(ctx context.Context, interval time.Duration, processes []*Process) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	before := stealTime()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := stealTime()
		for _, p := range processes {
			p.sampleRunQueue(now - before)
		}
		before = now
	}
}
