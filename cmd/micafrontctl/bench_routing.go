package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"example.org/micafront/internal/routing"
)

type benchRoutingCommand struct {
	Rounds int    `help:"How often each table is measured." default:"7"`
	Seed   uint64 `help:"The seed of the lines' order." default:"1"`
}

const (
	decisionsPerRound  = 2_000_000 // per round and table
	allocationSamples  = 10_000    // decisions over which allocations are counted
	benchRoutingLines  = 4096
	benchRoutingStream = 3 // PCG stream of the connections
)

// benchTable is a routing table with its test connections and measurements.
type benchTable struct {
	routes      int
	table       *routing.Table
	connections []routing.ConnectionAttributes
	nanoseconds []float64 // per decision, by round
}

// Run measures tables of different sizes in turn and prints the medians.
func (c *benchRoutingCommand) Run() error {
	printHeading(c.Seed)
	fmt.Println("| routes | ns a decision | ratio to 100 routes, median of rounds | allocations |\n| --- | --- | --- | --- |")
	var tables []*benchTable
	for _, routes := range []int{100, 10_000, 100_000} {
		t, err := newBenchTable(routes, c.Seed)
		if err != nil {
			return err
		}
		tables = append(tables, t)
	}
	for range c.Rounds {
		for _, t := range tables {
			if err := t.measure(); err != nil {
				return err
			}
		}
	}
	for _, t := range tables {
		fmt.Printf("| %d | %.1f | %.2f | %.4f |\n", t.routes, median(t.nanoseconds),
			medianRatio(t.nanoseconds, tables[0].nanoseconds), t.allocationsPerDecision())
	}
	return nil
}

// measure measures one round and appends the result to nanoseconds.
func (t *benchTable) measure() error {
	began := time.Now()
	for i := range decisionsPerRound {
		if _, ok := t.table.Decide(&t.connections[i%len(t.connections)]); !ok {
			return errors.New("a generated connection matches no route")
		}
	}
	t.nanoseconds = append(t.nanoseconds, float64(time.Since(began).Nanoseconds())/decisionsPerRound)
	return nil
}

// allocationsPerDecision returns the mean number of allocations over allocationSamples decisions.
func (t *benchTable) allocationsPerDecision() float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range allocationSamples {
		t.table.Decide(&t.connections[i%len(t.connections)])
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / allocationSamples
}

// newBenchTable returns a table in which each route matches a class and a prefix of the group. Each connection matches a
// randomly chosen route.
func newBenchTable(routes int, seed uint64) (*benchTable, error) {
	classes := []string{"album-feed", "album-notes", "chat"}
	set := routing.Set{Pools: []routing.Pool{{Name: "a"}, {Name: "b"}}}
	for i := range routes {
		set.Routes = append(set.Routes, routing.Route{
			Name: fmt.Sprint("r", i),
			To:   []routing.SplitShare{{Pool: "a", PPM: routing.TotalPPM / 4}, {Pool: "b", PPM: routing.TotalPPM / 4 * 3}},
			Match: routing.Match{
				Class: []string{classes[i%len(classes)]},
				Group: routing.StringMatcher{Prefix: []string{fmt.Sprintf("%06x", i)}},
			},
		})
	}
	table, err := routing.New(set)
	if err != nil {
		return nil, fmt.Errorf("compiling %d routes: %w", routes, err)
	}
	rng := rand.New(rand.NewPCG(seed, benchRoutingStream))
	connections := make([]routing.ConnectionAttributes, benchRoutingLines)
	for i := range connections {
		route := rng.IntN(routes)
		connections[i] = routing.ConnectionAttributes{Class: classes[route%len(classes)], Group: fmt.Sprintf("%06x-%d", route, i), Key: fmt.Sprint("k", i)}
	}
	return &benchTable{routes: routes, table: table, connections: connections}, nil
}
