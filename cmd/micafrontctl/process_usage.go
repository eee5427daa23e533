package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const kibPerMiB = 1024

// clockTick is the unit of processor times in /proc; see proc_pid_stat(5).
const clockTick = 10 * time.Millisecond

// residentMiB returns the resident memory of a process in MiB.
func residentMiB(pid int) (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, errors.New("the system does not report resident memory")
	}
	kib, err := strconv.ParseFloat(fields[0], 64)
	return kib / kibPerMiB, err
}

// processorTime returns the user and system time that a process has used, in whole clock ticks; 0 if it is not known.
func processorTime(pid int) time.Duration {
	// Field indices in /proc/PID/stat after the command's name, which is in parentheses.
	const (
		userField   = 11
		systemField = 12
	)
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)) // an ended process has none
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField]) // the kernel writes numbers
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick
}

// peakResidentKiB returns the peak resident memory, in KiB, of a process that has ended; 0 if it is not known.
func peakResidentKiB(cmd *exec.Cmd) int64 {
	if usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		return usage.Maxrss
	}
	return 0
}
