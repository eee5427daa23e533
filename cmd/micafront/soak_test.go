package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"example.org/micafront/internal/testing/soak"
)

// soakSeeds is the range of seeds that TestSoak runs: go test ./cmd/micafront -run TestSoak -soak.seeds 1-50
var soakSeeds = flag.String("soak.seeds", "1-4", "the seeds of TestSoak, from-to")

// loggedLines is how many log lines of each process a failed run of TestSoak shows.
const loggedLines = 12

// TestSoak runs real processes under mixed faults, one run for each seed, and checks that none violates a rule of the
// protocol.
func TestSoak(t *testing.T) {
	var from, to uint64
	if _, err := fmt.Sscanf(*soakSeeds, "%d-%d", &from, &to); err != nil || from > to {
		t.Fatalf("-soak.seeds %q: want a range such as 1-50", *soakSeeds)
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			options := soak.Options{Plan: soak.NewPlan(seed), Dir: t.TempDir(), Program: childProgram}
			report, err := soak.Run(context.Background(), options)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%v: answers %v, %d requests attempted", report.Plan, report.Answers, report.Attempts)
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			if report.Answers["UP"] == 0 {
				t.Error("no request was served")
			}
			for name, log := range report.Logs {
				if t.Failed() {
					lines := strings.Split(strings.TrimSpace(log), "\n")
					t.Logf("last log lines of %s:\n%s", name, strings.Join(lines[max(len(lines)-loggedLines, 0):], "\n"))
				}
			}
		})
	}
}

// costProcesses is how many processes TestCostBounds runs with each list size.
var costProcesses = flag.Int("costs.processes", 6, "the processes of TestCostBounds with each size of the list")

// TestCostBounds runs processes with lists of 200 and of 3,200 endpoints concurrently, and checks that the cost with the
// long list stays within its bounds.
func TestCostBounds(t *testing.T) {
	for _, loadReports := range []bool{false, true} {
		t.Run(fmt.Sprintf("load reports %v", loadReports), func(t *testing.T) {
			comparison, err := soak.CompareCosts(context.Background(), t.TempDir(), *costProcesses, loadReports, childProgram)
			if err != nil {
				t.Fatal(err)
			}
			t.Log("| mean of a process | 200 | 3,200 | bound |")
			t.Logf("longest wait for an answer with 3,200 endpoints: %v", comparison.LongestWait)
			for _, violation := range comparison.Violations {
				t.Error(violation)
			}
			for _, bound := range comparison.Bounds {
				t.Log(bound)
				if !bound.Met() {
					t.Errorf("%s is outside its bound", bound.Name)
				}
			}
		})
	}
}

// childProgram returns the command that runs this test binary as the real program.
func childProgram() *exec.Cmd {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childEnv+"=1")
	return command
}
