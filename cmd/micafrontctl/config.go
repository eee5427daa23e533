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

// AfterApply starts to watch the limits, and the program ends once a command exceeds one: CUE has none of its own, and a site
// whose values refer to one another may grow without bound. The goroutine runs as long as the program. Kong calls AfterApply
// before the command runs.
func (c *configCommand) AfterApply() error { //nolint:unparam // kong requires an error
	deadline := time.Now().Add(c.Timeout)
	go func() {
		for ; ; time.Sleep(limitCheckInterval) {
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			if memory.HeapAlloc > uint64(c.MemoryMiB)<<20 || time.Now().After(deadline) {
				fmt.Fprintf(os.Stderr, "micafront: working this out takes over %v or %d MiB; is it circular?\n", c.Timeout, c.MemoryMiB)
				os.Exit(exitLimitExceeded)
			}
		}
	}()
	return nil
}

// loadSite loads a site. If it has errors, it prints them and returns an exitCode.
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

// readEndpointList reads an endpoint list in the form that discovery sends; nil for the path "".
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

// now returns the present time for the decision module: the time since the Unix epoch, in whole microseconds.
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
