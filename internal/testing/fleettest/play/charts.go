package main

import (
	"fmt"
	"time"

	"example.org/micafront/internal/testing/fleettest"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// chartStep is the time between two points of a chart over time.
const chartStep = 250 * time.Millisecond

// chartTimes returns the times of the points in charts over time, and their labels in seconds.
func (r *report) chartTimes() (times []time.Time, labels []string) {
	end := r.StartedAt
	for _, answer := range r.Answers {
		if answer.At.After(end) {
			end = answer.At
		}
	}
	for t := r.StartedAt; t.Before(end); t = t.Add(chartStep) {
		times = append(times, t)
		labels = append(labels, fmt.Sprintf("%.2f", t.Sub(r.StartedAt).Seconds()))
	}
	return times, labels
}

// lineChart returns a line chart. Its x-axis is in seconds unless the caller sets another one.
func lineChart(title, y string) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title}),
		charts.WithYAxisOpts(opts.YAxis{Name: y}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "bottom"}),
		charts.WithDataZoomOpts(opts.DataZoom{Type: "inside"}),
	)
	return line
}

// versionAt returns the version that was active at a time, or 0 if there was none.
func versionAt(changes []fleettest.VersionChange, t time.Time) (version uint64) {
	for _, change := range changes {
		if !change.At.After(t) {
			version = change.Version
		}
	}
	return version
}

// versionsChart shows the number of proxies at which the newest version is active, and the number of all other proxies.
func (r *report) versionsChart() *charts.Line {
	times, labels := r.chartTimes()
	var newest, others []opts.LineData
	for _, t := range times {
		proxiesByVersion := map[uint64]int{}
		newestVersion := uint64(0)
		for _, changes := range r.VersionChanges {
			version := versionAt(changes, t)
			proxiesByVersion[version]++
			newestVersion = max(newestVersion, version)
		}
		newest = append(newest, opts.LineData{Value: proxiesByVersion[newestVersion]})
		others = append(others, opts.LineData{Value: len(r.VersionChanges) - proxiesByVersion[newestVersion]})
	}
	line := lineChart("Proxies by active version", "proxies")
	line.SetXAxis(labels).AddSeries("newest version", newest).AddSeries("older version or none", others)
	return line
}

// overlapsChart shows the longest overlap of each version, and the agreement timeout.
func (r *report) overlapsChart() *charts.Bar {
	var names []string
	var longest []opts.BarData
	for _, overlap := range r.Overlaps {
		names = append(names, fmt.Sprint(overlap.Version))
		longest = append(longest, opts.BarData{Value: millis(overlap.Longest)})
	}
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "Longest overlap, by version"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "ms"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "version"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true)}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(false)}),
	)
	bar.SetXAxis(names).AddSeries("overlap", longest, markBound(r.AgreementTimeout))
	return bar
}

// answersChart shows the rate of final answers by kind.
func (r *report) answersChart() *charts.Line {
	times, labels := r.chartTimes()
	counts := map[string][]int{}
	for _, word := range []string{"UP", "BUSY", "ERR"} {
		counts[word] = make([]int, len(times))
	}
	for _, answer := range r.Answers {
		if i := int(answer.At.Sub(r.StartedAt) / chartStep); i < len(times) && counts[answer.Word] != nil {
			counts[answer.Word][i]++
		}
	}
	line := lineChart("Final answers", "per second")
	line.SetXAxis(labels)
	for _, series := range []struct{ word, name string }{{"UP", "served"}, {"BUSY", "refused"}, {"ERR", "failed"}} {
		var data []opts.LineData
		for _, count := range counts[series.word] {
			data = append(data, opts.LineData{Value: count * int(time.Second/chartStep)})
		}
		line.AddSeries(series.name, data)
	}
	return line
}
