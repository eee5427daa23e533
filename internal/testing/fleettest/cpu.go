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
	// clockTicksPerSecond is the unit of the times in /proc/stat.
	clockTicksPerSecond = 100
	// stealField is the index of the steal time in the first line of /proc/stat.
	stealField = 8
	// minRecordedWait is the shortest wait between two samples that is recorded.
	minRecordedWait = time.Millisecond
)

// isStopped reports whether the kernel has stopped a process. One that does not exist counts as stopped.
func isStopped(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, state, ok := strings.Cut(string(text), ") ")
	return err != nil || ok && strings.HasPrefix(state, "T")
}

// sampleRunQueue records for how long the process's threads have waited for a processor since the last sample. steal is the
// time that the hypervisor took meanwhile.
func (p *Process) sampleRunQueue(steal time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	dir := fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid)
	threads, _ := os.ReadDir(dir) // none of a process that has ended
	waiting := steal
	for _, thread := range threads {
		text, _ := os.ReadFile(filepath.Join(dir, thread.Name(), "schedstat")) // empty of a thread that has ended
		fields := bytes.Fields(text)
		id, _ := strconv.Atoi(thread.Name()) // a number, by the kernel
		if len(fields) != 3 {
			continue
		}
		total, _ := strconv.ParseUint(string(fields[1]), 10, 64) // a number, by the kernel
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

// stealTime returns the time that the hypervisor has taken from this machine's processors since boot.
func stealTime() time.Duration {
	text, _ := os.ReadFile("/proc/stat") // without it, no time is excused
	line, _, _ := strings.Cut(string(text), "\n")
	fields := strings.Fields(line)
	if len(fields) <= stealField {
		return 0
	}
	ticks, _ := strconv.ParseInt(fields[stealField], 10, 64) // a number, by the kernel
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

// sampleProcesses samples processes until the context ends.
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
