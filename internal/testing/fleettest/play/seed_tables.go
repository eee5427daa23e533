package main

import (
	"fmt"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"example.org/micafront/internal/stats"
	"github.com/go-echarts/go-echarts/v2/components"
)

// abbreviatedCommit is the length of a commit hash in reports.
const abbreviatedCommit = 7

// revision returns the commit of the sources from the build information, or else from git.
func revision() string {
	if commit := stats.Commit(abbreviatedCommit); commit != "" {
		return commit
	}
	text, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	commit := strings.TrimSpace(string(text))
	if changes, err := exec.Command("git", "status", "--porcelain").Output(); err == nil && len(changes) > 0 {
		commit += " with changes"
	}
	return commit
}

// header returns the first lines of a report: the title, the command, and the conditions under which the figures were measured.
func header(f flags, title, seeds string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n", title)
	fmt.Fprintf(&b, "command: go run ./internal/testing/fleettest/play %s\n\n", f.commandLine)
	fmt.Fprintf(&b, "commit %s, %s, %d processors, %s. ", revision(), seeds, runtime.NumCPU(), runtime.Version())
	fmt.Fprintf(&b, "The agreement timeout is %v, an unreachable proxy blocks a version for %v.\n\n",
		f.AgreementTimeout, f.MemberTimeout)
	return b.String()
}

// seedTable returns a report with a row for each seed and a row for their sum.
func seedTable(f flags, results []result) string {
	title := fmt.Sprintf("%d proxies and %d replicas, %d seeds of %d seconds of faults", f.ProxyCount, f.ReplicaCount, len(results),
		f.seconds)
	seeds := fmt.Sprintf("seeds %d to %d, %d in parallel", results[0].Seed, results[len(results)-1].Seed, f.parallel)
	var page strings.Builder
	page.WriteString(header(f, title, seeds))
	page.WriteString("| " + strings.Join(seedColumns, " | ") + " |\n" + strings.Repeat("| --- ", len(seedColumns)) + "|\n")
	for _, result := range results {
		page.WriteString(result.row(fmt.Sprint(result.Seed)))
	}
	sum := sumResults(results)
	page.WriteString(sum.row("all"))
	fmt.Fprintf(&page, "\nProcessors busy: the average number that the fleet's processes and the harness used. "+
		"Memory: the total of the fleet's processes at the end of the run; in the last row the maximum. "+
		"The harness had up to %d open files. "+
		"The longest total time that a proxy could not run: %s.\n", sum.Files, formatMillis(sum.Suspended))
	page.WriteString(violationsText(results))
	return page.String()
}

// seedColumns are the headings of a table of seeds.
var seedColumns = []string{"seed", "violations", "versions", "requests", "one final answer each",
	"longest overlap of a version: p50, p99, max", "stale lines excused", "versions lost",
	"requests to service discovery by proxies, rejected, busiest second", "by replicas", "proposal until active: p50, p99, max",
	"served / refused / failed", "processors busy", "memory"}

// row returns a seed's table row, with a cell for each of seedColumns.
func (r *result) row(name string) string {
	if r.Failure != "" {
		return fmt.Sprintf("| %s | failed: %s |%s\n", name, strings.ReplaceAll(r.Failure, "|", "\\|"),
			strings.Repeat(" |", len(seedColumns)-2))
	}
	answeredOnce := "yes"
	if r.Unanswered > 0 {
		answeredOnce = fmt.Sprintf("no: %d violations", r.Unanswered)
	}
	cells := []string{
		name,
		strconv.Itoa(len(r.Violations)),
		strconv.Itoa(r.Versions),
		strconv.Itoa(r.Tally.Answers),
		answeredOnce,
		quantiles(r.Overlaps),
		strconv.Itoa(r.Excused),
		strconv.Itoa(len(r.Lost)),
		fmt.Sprintf("%d, %d, %d", r.DiscoveryCalls, r.DiscoveryRejected, r.DiscoveryPeak),
		strconv.Itoa(r.ReplicaCalls),
		quantiles(r.CommitTimes),
		r.answers(),
		fmt.Sprintf("%.2f", r.processors()),
		fmt.Sprintf("%d MiB", r.Memory>>20),
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}

// violationsText returns the last section of a report, which lists the violations of all runs.
func violationsText(results []result) string {
	err := violationsError(results)
	if err == nil {
		return "\nNo guarantee was violated.\n"
	}
	return "\n## Violations\n\n- " + strings.ReplaceAll(err.Error(), "\n", "\n- ") + "\n"
}

// outageTable returns a report with a column for each variant of an outage.
func outageTable(f flags, results []result) string {
	var b strings.Builder
	b.WriteString(header(f, fmt.Sprintf("No replica for %v: %d proxies and %d replicas", f.outage, f.ProxyCount, f.ReplicaCount),
		fmt.Sprintf("seed %d, %d in parallel", f.Seed, f.parallel)))
	fmt.Fprintf(&b, "All replicas are killed %v after all processes serve and started again %v later; the run lasts %d s. "+
		"Requests are served / refused / failed.\n\n| figure |", f.outageStart(), f.outage, f.seconds)
	for i := range results {
		fmt.Fprintf(&b, " %s |", results[i].variant())
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(results)+1) + "\n")
	for _, row := range outageRows(f.MemberTimeout) {
		row.write(&b, results)
	}
	b.WriteString("\nOther faults may close persistent connections, for example by killing a proxy or stopping an endpoint. " +
		"Without other faults none may be closed.\n")
	b.WriteString(violationsText(results))
	return b.String()
}

// outageRow is a row of an outage's table.
type outageRow struct {
	name  string
	value func(r *result) string // formats the cell of a variant
}

// write writes the row with a cell for each variant.
func (row outageRow) write(b *strings.Builder, results []result) {
	fmt.Fprintf(b, "| %s |", row.name)
	for i := range results {
		text := "failed"
		if results[i].Failure == "" {
			text = row.value(&results[i])
		}
		fmt.Fprintf(b, " %s |", text)
	}
	b.WriteByte('\n')
}

// outageRows returns the rows of an outage's table.
func outageRows(memberTimeout time.Duration) (rows []outageRow) {
	for i, name := range phaseNames(memberTimeout) {
		rows = append(rows, outageRow{name, func(r *result) string { return r.Outage.Phases[i].String() }})
	}
	return append(rows, []outageRow{
		{"from the end of the outage until a proxy served: p50, p99, max", func(r *result) string { return r.Outage.recovery() }},
		{"longest overlap of a version: p50, p99, max", func(r *result) string { return quantiles(r.Overlaps) }},
		{"lines beyond the agreement timeout: excused by a suspended proxy, allowed by serve", func(r *result) string {
			return fmt.Sprintf("%d, %d", r.Excused, r.Waived)
		}},
		{"persistent connections, of them closed", func(r *result) string {
			return fmt.Sprintf("%d, %d", r.Outage.ConnsOpened, r.Outage.ConnsFailed)
		}},
		{"versions proposed, lost", func(r *result) string { return fmt.Sprintf("%d, %d", r.Versions, len(r.Lost)) }},
		{"proposal until active: p50, p99, max", func(r *result) string { return quantiles(r.CommitTimes) }},
		{"requests to service discovery by proxies, rejected, busiest second; by replicas", func(r *result) string {
			return fmt.Sprintf("%d, %d, %d; %d", r.DiscoveryCalls, r.DiscoveryRejected, r.DiscoveryPeak, r.ReplicaCalls)
		}},
		{"violations", func(r *result) string { return strconv.Itoa(len(r.Violations)) }},
	}...)
}

// recovery describes how long proxies took to serve again, and how many did not.
func (o *outage) recovery() string {
	if n := len(o.NotRecovered); n > 0 {
		return fmt.Sprintf("%s; %d did not recover", quantiles(o.Recovery), n)
	}
	return quantiles(o.Recovery)
}

// writeSeedsReport writes the table and the charts of several runs to files.
func writeSeedsReport(f flags, table string, results []result) error {
	page := components.NewPage()
	page.PageTitle = "Overlaps of versions in a fleet under faults"
	if f.outage > 0 {
		page.AddCharts(servedByPhaseChart(f, results))
	}
	page.AddCharts(overlapBoxPlot(f, results), overlapDistributionChart(f, results))
	return writePages(f, table, page)
}
