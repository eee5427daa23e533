// Command play runs a fleet of real processes through a random schedule of faults, proposes versions of the configuration
// meanwhile, and writes the results as a table and charts.
//
//	go run ./internal/testing/fleettest/play -proxies 200 -keepers 5 -seconds 120 -seed 1 -out docs/results
//
// With -seeds it runs several seeds, each in a separate process, and writes a row for each. With -blackout it stops all replicas
// of the control plane for a time. It exits with 1 on an error or if a guarantee was violated, and with 2 after -help.
//
//	go run ./internal/testing/fleettest/play -proxies 200 -keepers 5 -seconds 120 -seeds 1-20 -side 2 -between 30s -out docs/results
//	go run ./internal/testing/fleettest/play -proxies 200 -keepers 5 -seconds 120 -blackout 30s -out docs/results
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"example.org/micafront/internal/testing/fleettest"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run())
}

// run runs the command, which SIGINT and SIGTERM cancel, and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch err := command(ctx, os.Args[1:], os.Stdout, os.Stderr); {
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case err != nil:
		fmt.Fprintln(os.Stderr, "play:", err)
		return exitFailure
	}
	return 0
}

// programs lists the programs of a fleet.
var programs = []string{"micafront", "micafront-controlplane"}

// errViolations means that the run completed and found violations.
var errViolations = errors.New("a guarantee was violated; see the violations in the report")

// command parses the flags and runs one seed, several seeds, or the variants of an outage.
func command(ctx context.Context, args []string, out, errOut io.Writer) error {
	f, err := parseFlags(args, errOut)
	if err != nil {
		return err
	}
	if f.Dir, err = os.MkdirTemp("", "play"); err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(f.Dir) }() // a temporary directory
	if err := f.findPrograms(); err != nil {
		return err
	}
	switch {
	case f.resultPath != "":
		return runSeed(ctx, f, errOut)
	case f.outage > 0 || len(f.seeds) > 0:
		return runSeeds(ctx, f, out, errOut)
	}
	result, err := runFleet(ctx, f, errOut)
	if err != nil {
		return err
	}
	if f.outDir == "" {
		fmt.Fprint(out, result.table())
	} else if err := result.write(); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return errViolations
	}
	return nil
}

// findPrograms sets the paths of the programs. It builds them unless a flag names a folder of built programs.
func (f *flags) findPrograms() (err error) {
	if f.programDir == "" {
		f.programDir = f.Dir
		f.Programs, err = fleettest.Build(f.Dir, programs...)
		return err
	}
	f.Programs = map[string]string{}
	for _, name := range programs {
		f.Programs[name] = filepath.Join(f.programDir, name)
	}
	return nil
}
