package main

import (
	"fmt"
	"slices"
	"time"

	"example.org/micafront/internal/stats"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// label returns the name of a run in charts.
func (r *result) label() string {
	if r.Outage != nil {
		return r.variant()
	}
	return fmt.Sprint(r.Seed)
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 {
	const microsPerMilli = 1000
	return float64(d.Microseconds()) / microsPerMilli
}

// overlapBoxPlot shows the distribution of each seed's overlaps as a box, and the agreement timeout.
func overlapBoxPlot(f flags, results []result) *charts.BoxPlot {
	var names []string
	var boxes []opts.BoxPlotData
	for i := range results {
		r := &results[i]
		var box []float64
		for _, quantile := range []float64{0, 0.25, 0.5, 0.75, 1} {
			box = append(box, millis(stats.Quantile(r.Overlaps, quantile)))
		}
		names = append(names, r.label())
		boxes = append(boxes, opts.BoxPlotData{Value: box})
	}
	plot := charts.NewBoxPlot()
	plot.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "Longest overlap, by seed", Subtitle: "minimum, quartiles and maximum of its versions"}),
		charts.WithXAxisOpts(opts.XAxis{Name: "seed"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "ms"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true)}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(false)}),
	)
	plot.SetXAxis(names).AddSeries("overlap", boxes, markBound(f.AgreementTimeout))
	return plot
}

// markBound marks the agreement timeout in a chart of milliseconds.
func markBound(agreementTimeout time.Duration) charts.SeriesOpts {
	return charts.WithMarkLineNameYAxisItemOpts(opts.MarkLineNameYAxisItem{Name: "bound", YAxis: millis(agreementTimeout)})
}

// overlapDistributionChart shows the sorted overlaps of all versions of all seeds, and the agreement timeout.
func overlapDistributionChart(f flags, results []result) *charts.Line {
	longest := slices.Sorted(slices.Values(sumResults(results).Overlaps))
	var names []string
	var data []opts.LineData
	for i, d := range longest {
		names = append(names, fmt.Sprintf("%.1f", 100*float64(i+1)/float64(len(longest))))
		data = append(data, opts.LineData{Value: millis(d)})
	}
	line := lineChart(fmt.Sprintf("Longest overlap of %d versions, in order", len(longest)), "ms")
	line.SetGlobalOptions(charts.WithXAxisOpts(opts.XAxis{Name: "% of versions"}))
	line.SetXAxis(names).AddSeries("overlap", data, markBound(f.AgreementTimeout))
	return line
}

// servedByPhaseChart shows the percentage of requests served in each phase of an outage.
func servedByPhaseChart(f flags, results []result) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: "Requests served around an outage"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "%"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true)}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "bottom"}),
	)
	bar.SetXAxis(phaseNames(f.MemberTimeout))
	for i := range results {
		if results[i].Failure != "" {
			continue
		}
		var data []opts.BarData
		for _, phase := range results[i].Outage.Phases {
			data = append(data, opts.BarData{Value: phase.servedPercent()})
		}
		bar.AddSeries(results[i].label(), data)
	}
	return bar
}
