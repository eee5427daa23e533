package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/memestimate/sets"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// writePage returns the Markdown page with all measurements.
func writePage(head string, all []measurement) string {
	large := slices.DeleteFunc(slices.Clone(all), func(m measurement) bool { return m.live < mib })
	small := slices.DeleteFunc(slices.Clone(all), func(m measurement) bool { return m.live >= mib })
	var b strings.Builder
	fmt.Fprintf(&b, "# Memory of route tables, estimated before they are compiled\n\n%s\n", head)
	fmt.Fprintf(&b, "%d tables of %d kinds, %d of them of 1 MiB or more. Each is decoded from JSON as a proxy does it and "+
		"compiled. The ratio is\nthat of the estimate to what is measured. Live is the heap after two collections. For the peak "+
		"of a switch, a table of the\nsame kind with half the routes is in use; then the heap is collected each time that it has "+
		"grown by %d %% (%d %% from 32 MiB up)\nwhile the text is decoded and compiled, with the program stopped (GODEBUG=%s), and "+
		"the largest live heap\nthat these collections find counts: at most that much too little. See [the design](../design/memory.md) "+
		"and [the chart](memory.html).\n\n", len(all), len(sets.Kinds()), len(large), smallTableGCPercent, largeTableGCPercent,
		sets.StopTheWorldGC)
	writeSummary(&b, large, small)
	writeKinds(&b, large)
	writeTables(&b, all)
	return b.String()
}

// writeSummary writes the distribution of each ratio over all kinds, and the required range.
func writeSummary(b *strings.Builder, large, small []measurement) {
	requiredRatio := fmt.Sprintf("%v to %v", minRatio, maxRatio)
	b.WriteString("| figure | tables | least | median | most | asked | outside |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, group := range []struct {
		name         string
		measurements []measurement
	}{{"from 1 MiB", large}, {"below 1 MiB", small}} {
		writeRow(b, "live, "+group.name, group.measurements, requiredRatio, isAccurate,
			func(m measurement) float64 { return m.liveRatio })
		writeRow(b, "peak of a switch, "+group.name, group.measurements, requiredRatio, isAccurate,
			func(m measurement) float64 { return m.switchRatio })
		writeRow(b, "estimate's time to compile's, "+group.name, group.measurements, fmt.Sprintf("%v at most", maxTimeRatio),
			func(ratio float64) bool { return ratio <= maxTimeRatio }, func(m measurement) float64 { return m.timeRatio })
	}
	b.WriteString("\nBelow 1 MiB nothing is required; the figures are for information.\n")
}

// writeKinds writes the range of each ratio by kind of table.
func writeKinds(b *strings.Builder, large []measurement) {
	b.WriteString("\n## By kind\n\n" +
		"Least and most of each kind, tables from 1 MiB up.\n\n" +
		"| kind | tables | largest, MiB | live | peak of a switch | estimate's time to compile's, median |\n" +
		"| --- | --- | --- | --- | --- | --- |\n")
	for _, kind := range sets.Kinds() {
		ofKind := slices.DeleteFunc(slices.Clone(large), func(m measurement) bool { return m.plan.Kind != kind })
		if len(ofKind) == 0 {
			continue
		}
		live := sortedBy(ofKind, func(m measurement) float64 { return m.liveRatio })
		peak := sortedBy(ofKind, func(m measurement) float64 { return m.switchRatio })
		cost := sortedBy(ofKind, func(m measurement) float64 { return m.timeRatio })
		size := sortedBy(ofKind, func(m measurement) float64 { return float64(m.live) / mib })
		last := len(ofKind) - 1
		fmt.Fprintf(b, "| %s | %d | %.1f | %.3f to %.3f | %.3f to %.3f | 1/%.0f |\n", kind, len(ofKind), size[last],
			live[0], live[last], peak[0], peak[last], 1/cost[len(cost)/2])
	}
}

// writeTables writes a row for each table.
func writeTables(b *strings.Builder, all []measurement) {
	b.WriteString("\n## Each table\n\n" +
		"| kind | routes | rules | live, MiB | ratio | peak, MiB | ratio | compile, ms | estimate's part |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, m := range all {
		fmt.Fprintf(b, "| %s | %d | %d | %.3f | %.3f | %.3f | %.3f | %.3f | 1/%.0f |\n", m.plan.Kind, m.plan.Routes, m.rules,
			float64(m.live)/mib, m.liveRatio, float64(m.peak)/mib, m.switchRatio, milliseconds(m.compile), 1/m.timeRatio)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func isAccurate(ratio float64) bool { return ratio >= minRatio && ratio <= maxRatio }

// sortedBy returns the sorted values of a quantity over all measurements.
func sortedBy(measurements []measurement, quantity func(measurement) float64) (values []float64) {
	for _, m := range measurements {
		values = append(values, quantity(m))
	}
	slices.Sort(values)
	return values
}

// writeRow writes the distribution of a quantity and the number of measurements outside the required range. It writes nothing
// if there are no measurements.
func writeRow(b *strings.Builder, name string, measurements []measurement, required string, isGood func(float64) bool,
	quantity func(measurement) float64) {
	values := sortedBy(measurements, quantity)
	if len(values) == 0 {
		return
	}
	bad := len(slices.DeleteFunc(slices.Clone(values), isGood))
	fmt.Fprintf(b, "| %s | %d | %.4f | %.4f | %.4f | %s | %d |\n", name, len(values), values[0], values[len(values)/2],
		values[len(values)-1], required, bad)
}

// newChart returns a chart of the ratios over the sizes of the tables.
func newChart(all []measurement) *charts.Scatter {
	points := func(ratio func(measurement) float64) (data []opts.ScatterData) {
		for _, m := range all {
			data = append(data, opts.ScatterData{Name: m.plan.String(), SymbolSize: 6,
				Value: []float64{float64(m.live) / mib, ratio(m)}})
		}
		return data
	}
	c := charts.NewScatter()
	c.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "Estimate over measured, by the table's live MiB"}),
		charts.WithLegendOpts(opts.Legend{Top: "30"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true)}),
		charts.WithXAxisOpts(opts.XAxis{Type: "log", Name: "MiB"}),
		charts.WithYAxisOpts(opts.YAxis{Type: "value", Name: "ratio", Min: 0.8, Max: 1.3}))
	c.AddSeries("live", points(func(m measurement) float64 { return m.liveRatio }))
	c.AddSeries("peak of a switch", points(func(m measurement) float64 { return m.switchRatio }))
	c.SetSeriesOptions(charts.WithMarkLineNameYAxisItemOpts(opts.MarkLineNameYAxisItem{Name: "least asked", YAxis: minRatio},
		opts.MarkLineNameYAxisItem{Name: "most asked", YAxis: maxRatio}))
	return c
}
