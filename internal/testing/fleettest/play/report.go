package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"example.org/micafront/internal/stats"
	"github.com/go-echarts/go-echarts/v2/components"
)

// maxListed bounds how many violations, and how many excused lines, a report lists.
const maxListed = 50

// table returns the report in Markdown.
func (r *report) table() string {
	var page strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&page, format+"\n", args...) }
	title := fmt.Sprintf("%d proxies and %d replicas, %d seconds of faults", r.ProxyCount, r.ReplicaCount, r.seconds)
	page.WriteString(header(r.flags, title, fmt.Sprintf("seed %d", r.Seed)))
	line("| figure | value |\n| --- | --- |")
	r.versionRows(line)
	r.requestRows(line)
	line("| violations | %d |", len(r.Violations))
	line("")
	line("## Events\n\n| at | event |\n| --- | --- |")
	for _, event := range r.Events {
		line("| %.1f s | %s |", event.At.Sub(r.StartedAt).Seconds(), event.Text)
	}
	if len(r.Violations)+len(r.Excused) > 0 {
		line("\n## Violations and excused lines\n")
	}
	for _, violation := range r.Violations[:min(len(r.Violations), maxListed)] {
		line("- violation: %s", violation)
	}
	for _, stale := range r.Excused[:min(len(r.Excused), maxListed)] {
		line("- excused: %v", stale)
	}
	return page.String()
}

// versionRows writes the rows of a table about versions.
func (r *report) versionRows(line func(format string, args ...any)) {
	stale := 0
	var overlaps []time.Duration
	for _, overlap := range r.Overlaps {
		if !overlap.FirstLine.IsZero() {
			overlaps = append(overlaps, overlap.Longest)
		}
		stale += overlap.StaleLines
	}
	line("| versions proposed, seen on request lines | %d, %d |", len(r.Rollouts), len(overlaps))
	line("| longest overlap of versions | %s |", formatMillis(r.Longest))
	line("| overlap by version, median and max | %s, %s |", formatMillis(stats.Quantile(overlaps, 0.5)),
		formatMillis(stats.Quantile(overlaps, 1)))
	line("| request lines of the contested class, of them stale | %d, %d |", r.Lines, stale)
	line("| lines beyond the agreement timeout, excused by a suspended proxy | %d |", len(r.Excused))
	line("| proposal until active, median, p90, max | %s, %s, %s |", formatMillis(stats.Quantile(r.commitTimes, 0.5)),
		formatMillis(stats.Quantile(r.commitTimes, 0.9)), formatMillis(stats.Quantile(r.commitTimes, 1)))
	line("| version at the end, at all proxies | %d |", r.lastVersion)
}

// requestRows writes the rows of a table about clients' requests, service discovery and suspended proxies.
func (r *report) requestRows(line func(format string, args ...any)) {
	var latencies, suspended []time.Duration
	for _, answer := range r.Answers {
		if answer.Word == "UP" {
			latencies = append(latencies, answer.Latency)
		}
	}
	for _, duration := range r.Suspended {
		suspended = append(suspended, duration)
	}
	tally := r.Tally
	line("| requests answered: served, refused, failed | %d: %d, %d, %d |", tally.Answers, tally.Served, tally.Rejected, tally.Failed)
	line("| connection set-up, median and p99 | %s, %s |", formatMillis(stats.Quantile(latencies, 0.5)),
		formatMillis(stats.Quantile(latencies, 0.99)))
	line("| requests lost with a proxy that was killed | %d |", r.RequestsLost)
	line("| requests to service discovery by proxies, rejected, in the busiest second | %d, %d, %d |", r.DiscoveryCalls,
		r.DiscoveryRejected, r.DiscoveryPeak)
	line("| the same by replicas, in the busiest second | %d, %d |", r.ReplicaCalls, r.ReplicaPeak)
	line("| time that a proxy could not run, median and max | %s, %s |", formatMillis(stats.Quantile(suspended, 0.5)),
		formatMillis(stats.Quantile(suspended, 1)))
}

// write writes the table and the charts to files.
func (r *report) write() error {
	page := components.NewPage()
	page.PageTitle = "A fleet under faults"
	page.AddCharts(r.versionsChart(), r.overlapsChart(), r.answersChart())
	return writePages(r.flags, r.table(), page)
}

// writePages writes a table and charts to the files that the flags name, and creates their folder if needed.
func writePages(f flags, table string, chartPage *components.Page) error {
	if err := os.MkdirAll(f.outDir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(f.outDir, f.reportName)
	if err := os.WriteFile(path+".md", []byte(table), 0o644); err != nil {
		return err
	}
	out, err := os.Create(path + ".html")
	if err != nil {
		return err
	}
	return errors.Join(chartPage.Render(out), out.Close())
}

func formatMillis(d time.Duration) string { return fmt.Sprintf("%.0f ms", millis(d)) }
