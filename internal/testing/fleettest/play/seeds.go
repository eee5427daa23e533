package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/fleetconfig"
)

// runSeeds runs each seed, or each variant of an outage, in a separate process, at most f.parallel concurrently, and writes a table
// and charts of all results. A process that fails does not affect the results of the others.
func runSeeds(ctx context.Context, f flags, out, errOut io.Writer) error {
	results := f.plannedResults()
	var wg sync.WaitGroup
	var mu sync.Mutex
	semaphore := make(chan struct{}, f.parallel)
	for i := range results {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			results[i] = runSeedProcess(ctx, f, results[i])
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(errOut, "seed %d %s: %s\n", results[i].Seed, results[i].OnLeaseExpiry,
				cmp.Or(results[i].Failure, results[i].answers()))
		})
	}
	wg.Wait()
	text := seedTable(f, results)
	if f.outage > 0 {
		text = outageTable(f, results)
	}
	var err error
	if f.outDir == "" {
		_, err = io.WriteString(out, text)
	} else {
		err = writeSeedsReport(f, text, results)
	}
	return errors.Join(err, violationsError(results))
}

// plannedResults returns a result for each seed, or for each variant of an outage, with only the fields that describe the run set.
func (f *flags) plannedResults() (results []result) {
	if f.outage == 0 {
		for _, seed := range f.seeds {
			results = append(results, result{Seed: seed, OnLeaseExpiry: f.OnLeaseExpiry, WithoutFaults: f.withoutFaults})
		}
		return results
	}
	if len(f.seeds) == 1 {
		f.Seed = f.seeds[0]
	}
	for _, withoutFaults := range []bool{true, false} {
		for _, policy := range []fleetconfig.LeaseExpiryPolicy{fleetconfig.RejectOnExpiry, fleetconfig.ServeOnExpiry} {
			if (f.OnLeaseExpiry == "" || f.OnLeaseExpiry == policy) && (withoutFaults || !f.withoutFaults) {
				results = append(results, result{Seed: f.Seed, OnLeaseExpiry: policy, WithoutFaults: withoutFaults, Outage: &outage{}})
			}
		}
	}
	return results
}

// runSeedProcess runs one seed in another process of this program. It reports a failure of the process in the result.
func runSeedProcess(ctx context.Context, f flags, out result) result {
	failed := func(format string, args ...any) result {
		out.Failure = fmt.Sprintf(format, args...)
		return out
	}
	self, err := os.Executable()
	if err != nil {
		return failed("%v", err)
	}
	path := filepath.Join(f.Dir, fmt.Sprintf("%d-%s-%v.json", out.Seed, out.OnLeaseExpiry, out.WithoutFaults))
	cmd := exec.CommandContext(ctx, self, slices.Concat(f.forwarded, []string{fmt.Sprint("-seed=", out.Seed),
		fmt.Sprint("-silence=", out.OnLeaseExpiry),
		fmt.Sprint("-calm=", out.WithoutFaults), "-findings=" + path, "-programs=" + f.programDir})...)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) } // on SIGTERM the process stops its fleet
	cmd.WaitDelay = fakes.WaitTimeout
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	runErr := cmd.Run()
	text, err := os.ReadFile(path)
	if err != nil {
		return failed("%v: %s", cmp.Or(runErr, err), lastOutput(stderr.String()))
	}
	var got result
	if err := json.Unmarshal(text, &got); err != nil {
		return failed("decoding the result: %v", err)
	}
	if runErr != nil && len(got.Violations) == 0 {
		return failed("%v: %s", runErr, lastOutput(stderr.String()))
	}
	return got
}

// maxLastOutput bounds the length of the output that lastOutput returns, in bytes.
const maxLastOutput = 1000

// lastOutput returns the end of a log as one line.
func lastOutput(text string) string {
	return strings.Join(strings.Fields(text[max(0, len(text)-maxLastOutput):]), " ")
}

// runSeed runs one seed and writes its result as JSON.
func runSeed(ctx context.Context, f flags, errOut io.Writer) error {
	report, err := runFleet(ctx, f, errOut)
	if err != nil {
		return err
	}
	text, err := json.Marshal(report.result())
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.resultPath, text, 0o600); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolations
	}
	return nil
}
