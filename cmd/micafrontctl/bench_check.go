package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"example.org/micafront/deploy"
	"example.org/micafront/internal/sitelang"
)

type benchCheckCommand struct {
	Routes int `help:"Routes of the site." default:"10000"`
	Pools  int `help:"Its pools." default:"1000"`
	Rounds int `help:"How often it is checked." default:"5"`
}

// benchPolicies is the number of policies in the generated site.
const benchPolicies = 100

// maxBenchAttempts is the largest attempt limit among these policies.
const maxBenchAttempts = 5

// Run checks a generated site in a separate process for each round, and prints the time and memory of these processes.
func (c *benchCheckCommand) Run() error {
	printHeading(0)
	dir, err := os.MkdirTemp("", "micafront-bench")
	if err != nil {
		return err
	}
	defer removeAll(dir)
	path := filepath.Join(dir, "large.cue")
	if err := os.WriteFile(path, []byte(c.largeSite()), 0o600); err != nil {
		return err
	}
	modified := time.Now().Add(-time.Minute)
	_ = os.Chtimes(path, modified, modified) // if it fails, the check waits because the file was just written
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var seconds []float64
	var peakMiB float64
	for range c.Rounds {
		cmd := exec.Command(self, "config", "check", path)
		began := time.Now()
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("%w: %.500s", err, out)
		}
		seconds = append(seconds, time.Since(began).Seconds())
		peakMiB = max(peakMiB, float64(peakResidentKiB(cmd))/kibPerMiB)
	}
	if _, findings := sitelang.Load(path); findings.HasErrors() {
		return findings.Err()
	}
	fmt.Println("| routes | pools | seconds, median | seconds, most | MiB at most |\n| --- | --- | --- | --- | --- |")
	fmt.Printf("| %d | %d | %.2f | %.2f | %.0f |\n", c.Routes, c.Pools, median(seconds), slices.Max(seconds), peakMiB)
	return nil
}

// largeSite returns the sample site with generated pools, policies and routes.
func (c *benchCheckCommand) largeSite() string {
	beforePools, _, _ := strings.Cut(string(deploy.Thies), "pool: {")
	var b strings.Builder
	b.WriteString(beforePools + "pool: {\n")
	for i := range c.Pools {
		fmt.Fprintf(&b, "\t\"p%d\": {select: id_prefixes: [\"s%d-\"], max_open: 1000}\n", i, i)
	}
	b.WriteString("}\npolicy: {\n")
	for i := range benchPolicies {
		fmt.Fprintf(&b, "\t\"q%d\": {attempts: %d, deadline: \"2 s\", fallback: [\"p%d\"]}\n", i, i%maxBenchAttempts+1, (i+1)%c.Pools)
	}
	b.WriteString("}\nroute: {\n")
	for i := range c.Routes {
		fmt.Fprintf(&b, "\t\"r%d\": {match: {class: [\"album-feed\"], group: prefix: [\"g%06d\"]}, to: {\"p%d\": \"90 %%\", \"p%d\": \"10 %%\"}, policy: \"q%d\"}\n",
			i, i, i%c.Pools, (i+c.Pools/2)%c.Pools, i%benchPolicies)
	}
	b.WriteString("\trest: to: p0: \"100 %\"\n}\ndefault_route: \"rest\"\n")
	return b.String()
}
