package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"example.org/micafront/internal/fakes"
)

type benchProxyCommand struct {
	Against  string `help:"Another build of the proxy." type:"existingfile"`
	Program  string `help:"The build to measure; by default the one beside this program." type:"existingfile"`
	Rounds   int    `help:"How often each build is measured, in turn." default:"9"`
	Setups   int    `help:"Connections set up in a round." default:"4000"`
	Lines    int    `help:"Lines sent and answered in a round." default:"60000"`
	Parallel int    `help:"Concurrent clients." default:"8"`
	Seed     uint64 `help:"The seed of the keys." default:"1"`
}

const (
	benchEndpoints        = 4
	benchEndpointCapacity = 1 << 20 // connections; large enough that no endpoint is ever full
	proxyStartTimeout     = 20 * time.Second
	proxySettleTime       = 300 * time.Millisecond // time for the proxy to open its watch of the endpoints and become idle
)

// proxyMeasurement holds the results of one round for one build.
type proxyMeasurement struct {
	startup         time.Duration // from the start to the first PONG
	residentMiB     float64       // when idle
	setupsPerSecond float64
	linesPerSecond  float64 // lines that are sent and answered
	microsPerSetup  float64 // processor time of the proxy
	microsPerLine   float64 // processor time of the proxy
}

// Run measures the builds in turn and prints a table of medians.
func (c *benchProxyCommand) Run() error {
	program := c.Program
	if program == "" {
		var err error
		if program, err = proxyProgram(); err != nil {
			return err
		}
	}
	builds := []string{program}
	if c.Against != "" {
		builds = append(builds, c.Against)
	}
	printHeading(c.Seed)
	rounds := make([][]proxyMeasurement, len(builds)) // by build
	for round := range c.Rounds {
		for turn := range builds {
			i := (turn + round) % len(builds) // the order changes from round to round
			measured, err := c.measure(builds[i])
			if err != nil {
				return fmt.Errorf("%s: %w", builds[i], err)
			}
			rounds[i] = append(rounds[i], measured)
		}
	}
	printMeasurements(rounds)
	return nil
}

// proxyRows are the rows of the table that Run prints.
var proxyRows = []struct {
	label string
	value func(proxyMeasurement) float64
}{
	{"start to first PONG, ms", func(m proxyMeasurement) float64 { return float64(m.startup) / float64(time.Millisecond) }},
	{"resident at rest, MiB", func(m proxyMeasurement) float64 { return m.residentMiB }},
	{"set-ups a second", func(m proxyMeasurement) float64 { return m.setupsPerSecond }},
	{"lines a second, there and back", func(m proxyMeasurement) float64 { return m.linesPerSecond }},
	{"processor time a set-up, µs", func(m proxyMeasurement) float64 { return m.microsPerSetup }},
	{"processor time a line, µs", func(m proxyMeasurement) float64 { return m.microsPerLine }},
}

// printMeasurements prints the medians of each build, and their ratios if there are two builds. rounds holds the
// measurements of each build.
func printMeasurements(rounds [][]proxyMeasurement) {
	fmt.Println("| figure | this build | the other | ratio, median of pairs |\n| --- | --- | --- | --- |")
	for _, row := range proxyRows {
		values := make([][]float64, len(rounds))
		for i := range rounds {
			for _, measured := range rounds[i] {
				values[i] = append(values[i], row.value(measured))
			}
		}
		other := ""
		ratio := ""
		if len(rounds) > 1 {
			other = fmt.Sprintf("%.2f", median(values[1]))
			ratio = fmt.Sprintf("%.3f", medianRatio(values[0], values[1]))
		}
		fmt.Printf("| %s | %.2f | %s | %s |\n", row.label, median(values[0]), other, ratio)
	}
}

// benchConfig is the format of a JSON configuration without routes. Its arguments are the port, discovery's address and the
// endpoint list.
const benchConfig = `{"name":"bench","listen":"127.0.0.1:%d","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":4096},
"known":%s,"settings":{"Balancers":1,"Me":0,"Zone":"a","Discovery":"subscribe","Categories":[{"Aim":1,"GiveUp":30,"Credit":1,"Effect":"safe",
"DedupScope":"all","Name":"feed"}],"Limits":{"AttemptsCap":6,"ConnectTimeout":5,"MaxRetryAfter":1,"MaxOpen":100000,"RetryAfter":true,"MayCancel":true},
"Invariants":{"AnswerSlack":0.016,"AskEvery":1,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3,"Fall":1,"OverloadFactor":3}}}`

// measure runs one build with fake endpoints and clients, and returns its measurements.
func (c *benchProxyCommand) measure(program string) (measured proxyMeasurement, err error) {
	discovery, err := fakes.NewDiscoveryServer()
	if err != nil {
		return measured, err
	}
	defer discovery.Close()
	checker := fakes.NewProtocolChecker()
	for i := range benchEndpoints {
		endpoint, err := fakes.NewEndpoint(fakes.Entry{ID: fmt.Sprint("s-", i)}, checker, benchEndpointCapacity, 0)
		if err != nil {
			return measured, err
		}
		defer endpoint.Stop()
		discovery.Set(endpoint.Entry)
	}
	dir, err := os.MkdirTemp("", "micafront-bench")
	if err != nil {
		return measured, err
	}
	defer removeAll(dir)
	port, err := freePort()
	if err != nil {
		return measured, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, benchConfig, port, discovery.Addr, discovery.List()), 0o600); err != nil {
		return measured, err
	}
	if measured, err = c.measureProcess(program, path, dir, fmt.Sprintf("127.0.0.1:%d", port)); err != nil {
		return measured, err
	}
	if violations := checker.Violations(); len(violations) > 0 {
		return measured, errors.New("the proxy violated a rule: " + violations[0])
	}
	return measured, nil
}

// measureProcess starts the proxy, which serves at addr, measures it and ends it.
func (c *benchProxyCommand) measureProcess(program, configPath, dir, addr string) (measured proxyMeasurement, err error) {
	cmd := proxyCommand(program, configPath, dir)
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return measured, err
	}
	defer func() {
		_ = cmd.Process.Kill() // it may have ended by itself
		_ = cmd.Wait()         // a killed process ends with an error
	}()
	if err := waitForPong(addr, began.Add(proxyStartTimeout)); err != nil {
		return measured, err
	}
	measured.startup = time.Since(began)
	time.Sleep(proxySettleTime)
	pid := cmd.Process.Pid
	if measured.residentMiB, err = residentMiB(pid); err != nil {
		return measured, err
	}
	cpuBefore := processorTime(pid)
	setupTime, err := c.setUpConnections(addr)
	if err != nil {
		return measured, err
	}
	cpuAfterSetups := processorTime(pid)
	measured.setupsPerSecond = float64(c.Setups) / setupTime.Seconds()
	measured.microsPerSetup = float64((cpuAfterSetups - cpuBefore).Microseconds()) / float64(c.Setups)
	linesTime, err := c.exchangeLines(addr)
	if err != nil {
		return measured, err
	}
	measured.linesPerSecond = float64(c.Lines) / linesTime.Seconds()
	measured.microsPerLine = float64((processorTime(pid) - cpuAfterSetups).Microseconds()) / float64(c.Lines)
	return measured, nil
}

// freePort returns a loopback port that is free at the time of the call.
func freePort() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	return listener.Addr().(*net.TCPAddr).Port, listener.Close()
}

// removeAll removes a temporary directory.
func removeAll(dir string) {
	_ = os.RemoveAll(dir) // any remaining file is in the system's directory for temporary files
}
