package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/sitelang"
)

type configCommand struct {
	Check     checkCommand     `cmd:"" help:"Report all findings of a site; exit code 1 if one of them is an error."`
	Fmt       fmtCommand       `cmd:"" help:"Format files of the site language."`
	Diff      diffCommand      `cmd:"" help:"Report what another version would change in routing; exit code 1 if anything."`
	Explain   explainCommand   `cmd:"" help:"Explain a connection's route, pool, policy and upstream servers."`
	Convert   convertCommand   `cmd:"" help:"Convert a site to the JSON form, or that to a site."`
	Reference referenceCommand `cmd:"" help:"Print the language reference."`

	// Limits on the evaluation of a site.
	Timeout   time.Duration `name:"patience" help:"How long evaluating a site may take." default:"60s"`
	MemoryMiB int           `name:"memory" help:"How many MiB it may take." default:"2048"`
}

// limitCheckInterval is how often the limits on the evaluation of a site are checked.
const limitCheckInterval = 50 * time.Millisecond

// AfterApply starts a goroutine that ends the program when a command exceeds a limit on time or memory. CUE has no such
// limits, and a site whose values refer to one another may grow without bound. Kong calls AfterApply before the command
// runs.
func (c *configCommand) AfterApply() error { //nolint:unparam // kong requires an error
	deadline := time.Now().Add(c.Timeout)
	go func() {
		for ; ; time.Sleep(limitCheckInterval) {
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			if memory.HeapAlloc > uint64(c.MemoryMiB)<<20 || time.Now().After(deadline) {
				fmt.Fprintf(os.Stderr, "micafront: evaluating the site took over %v or %d MiB; does it refer to itself in a cycle?\n", c.Timeout, c.MemoryMiB)
				os.Exit(exitLimitExceeded)
			}
		}
	}()
	return nil
}

// loadSite loads a site. If the site has errors, it prints them and returns an exitCode.
func loadSite(path string) (*sitelang.Site, error) {
	site, findings := sitelang.Load(path)
	for _, finding := range findings {
		if finding.Severity == sitelang.Error {
			fmt.Fprintln(os.Stderr, finding)
		}
	}
	if site == nil {
		return nil, exitCode(exitFailure)
	}
	return site, nil
}

// readEndpointList reads an endpoint list in the form that discovery sends. It returns nil if path is "".
func readEndpointList(path string) (*discovery.List, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	list, err := discovery.ParseList(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &list, nil
}

// now returns the current time for the balancers: the time since the Unix epoch, in whole microseconds.
func now() balancer.Instant {
	return time.Duration(time.Now().UnixMicro()) * time.Microsecond
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

type referenceCommand struct{}

// Run prints the language reference.
func (referenceCommand) Run() error {
	return sitelang.WriteReference(os.Stdout)
}
