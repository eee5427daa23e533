// Command play has a fleet of real processes live through a drawn schedule of faults while versions of the rules are put
// up one after the other, and writes what it came to as a table and a chart.
//
//	go run ./internal/fleettest/play -proxies 200 -keepers 5 -seconds 120 -seed 1 -out docs/results
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"example.org/micafront/internal/fleettest"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

type flags struct {
	fleettest.Options
	seconds        int
	every, between time.Duration
	out, name      string
}

func main() {
	var f flags
	flag.IntVar(&f.Proxies, "proxies", 200, "how many proxies")
	flag.IntVar(&f.Keepers, "keepers", 5, "how many keepers; 0: the proxies go by their files and SIGHUP")
	flag.IntVar(&f.seconds, "seconds", 120, "for how long things happen")
	flag.Uint64Var(&f.Seed, "seed", 1, "of what happens and of the links' chances")
	flag.IntVar(&f.Clients, "clients", 2, "of each proxy")
	flag.DurationVar(&f.Pause, "pause", 400*time.Millisecond, "between a client's requests, on average")
	flag.IntVar(&f.PerPool, "hops", 2, "next hops in each of the four pools")
	flag.DurationVar(&f.SetUp, "set-up", 2*time.Millisecond, "what a connection costs a next hop; ten times as much while it is cold")
	flag.DurationVar(&f.Cold, "cold", 3*time.Second, "how long a next hop is cold")
	flag.Float64Var(&f.Discovery, "discovery", 50, "calls a second that discovery takes; 0: any number")
	flag.DurationVar(&f.Within, "within", 2*time.Second, "the bound that the fleet agrees on")
	flag.DurationVar(&f.Know, "know", 10*time.Second, "how long a silent proxy holds up a version")
	flag.DurationVar(&f.every, "every", 2*time.Second, "between events, on average")
	flag.DurationVar(&f.between, "between", 3*time.Second, "between versions")
	flag.StringVar(&f.out, "out", "", "the folder for the table and the chart; without it, the table is printed")
	flag.StringVar(&f.name, "name", "fleet-play", "of their files")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := play(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "play:", err)
		os.Exit(1)
	}
}

var errBroken = errors.New("a rule was broken; the table says which")

func play(ctx context.Context, f flags) (err error) {
	if f.Dir, err = os.MkdirTemp("", "play"); err != nil {
		return err
	}
	defer os.RemoveAll(f.Dir)
	if f.Programs, err = fleettest.Build(f.Dir, "micafront", "micafront-keeper"); err != nil {
		return err
	}
	began := time.Now()
	w, err := fleettest.New(ctx, f.Options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, w.Close()) }()
	if len(w.Keepers) > 0 {
		if err := w.InForce(1, w.Proxies); err != nil {
			return err
		}
	}
	fmt.Fprintf(os.Stderr, "%d proxies and %d keepers serve after %v\n", len(w.Proxies), len(w.Keepers),
		time.Since(began).Round(time.Millisecond))
	length := time.Duration(f.seconds) * time.Second
	plan := fleettest.Draw(f.Seed, length, f.every, f.Proxies, f.Keepers, 4*f.PerPool)
	proposing, enough := context.WithTimeout(ctx, length)
	defer enough()
	var took []time.Duration
	proposed := make(chan error, 1)
	go func() {
		var err error
		took, err = w.Versions(proposing, f.between)
		proposed <- err
	}()
	played := w.Run(plan)
	if err := errors.Join(played, <-proposed); err != nil {
		return err
	}
	last, err := w.Propose()
	if err == nil {
		err = w.InForce(last, w.Proxies)
	}
	if err == nil {
		err = w.Kept()
	}
	if err != nil {
		return err
	}
	w.Quiet()
	found := w.Find()
	r := report{f, found, took, last, plan}
	if f.out == "" {
		fmt.Print(r.table())
	} else if err := r.write(); err != nil {
		return err
	}
	if len(found.Broken) > 0 {
		return errBroken
	}
	return nil
}

// report is a run's results.
type report struct {
	flags
	fleettest.Findings
	took []time.Duration
	last uint64
	plan []fleettest.Event
}

func ms(d time.Duration) string { return fmt.Sprintf("%.0f ms", float64(d.Microseconds())/1e3) }

// of is the value at a part of the values in order.
func of(v []time.Duration, part float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	v = slices.Sorted(slices.Values(v))
	return v[min(int(part*float64(len(v))), len(v)-1)]
}

func (r *report) table() string {
	var b strings.Builder
	line := func(form string, args ...any) { fmt.Fprintf(&b, form+"\n", args...) }
	line("# %d proxies and %d keepers, %d seconds of faults", r.Proxies, r.Keepers, r.seconds)
	line("")
	line("command: go run ./internal/fleettest/play %s", strings.Join(os.Args[1:], " "))
	line("")
	line("seed %d, %d processors, %s. The bound is %v, a silent proxy holds up a version for %v.", r.Seed, runtime.NumCPU(),
		runtime.Version(), r.Within, r.Know)
	line("")
	line("| figure | value |\n| --- | --- |")
	versions, late := 0, 0
	var lengths []time.Duration
	for _, o := range r.Overlaps {
		if !o.First.IsZero() {
			versions++
			lengths = append(lengths, o.Longest)
		}
		late += o.Lines
	}
	var setUps, stood []time.Duration
	for _, a := range r.Answers {
		if a.Word == "UP" {
			setUps = append(setUps, a.Took)
		}
	}
	for _, d := range r.Standing {
		stood = append(stood, d)
	}
	line("| versions put up, seen on lines | %d, %d |", len(r.Switches), versions)
	line("| longest contradiction acted on | %s |", ms(r.Longest))
	line("| contradiction by version, median and longest | %s, %s |", ms(of(lengths, 0.5)), ms(of(lengths, 1)))
	line("| first lines of the contested class, of them late | %d, %d |", r.Lines, late)
	line("| late lines over the bound, excused by a standstill | %d |", len(r.Excused))
	line("| proposal until active, median, 9 of 10, longest | %s, %s, %s |", ms(of(r.took, 0.5)), ms(of(r.took, 0.9)), ms(of(r.took, 1)))
	line("| version at the end, at all proxies | %d |", r.last)
	t := r.Tally
	line("| requests answered: served, refused, failed | %d: %d, %d, %d |", t.Answers, t.Served, t.Refused, t.Failed)
	line("| set-up time, median and 99 of 100 | %s, %s |", ms(of(setUps, 0.5)), ms(of(setUps, 0.99)))
	line("| requests lost with a proxy that was killed | %d |", r.Lost)
	line("| calls of discovery, turned away, in the busiest second | %d, %d, %d |", r.Calls, r.Away, r.Busiest)
	line("| time that a proxy could not run, median and longest | %s, %s |", ms(of(stood, 0.5)), ms(of(stood, 1)))
	line("| rules broken | %d |", len(r.Broken))
	line("")
	line("## What happened\n\n| at | event |\n| --- | --- |")
	for _, m := range r.Marks {
		line("| %.1f s | %s |", m.At.Sub(r.Began).Seconds(), m.Text)
	}
	if len(r.Broken)+len(r.Excused) > 0 {
		line("\n## Lines and rules\n")
	}
	for _, s := range r.Broken[:min(len(r.Broken), 50)] {
		line("- broken: %s", s)
	}
	for _, l := range r.Excused[:min(len(r.Excused), 50)] {
		line("- excused: %v", l)
	}
	return b.String()
}

func (r *report) write() error {
	if err := os.MkdirAll(r.out, 0o755); err != nil {
		return err
	}
	path := filepath.Join(r.out, r.name)
	if err := os.WriteFile(path+".md", []byte(r.table()), 0o644); err != nil {
		return err
	}
	page := components.NewPage()
	page.PageTitle = "A fleet under faults"
	page.AddCharts(r.versions(), r.contradictions(), r.answers())
	out, err := os.Create(path + ".html")
	if err != nil {
		return err
	}
	return errors.Join(page.Render(out), out.Close())
}

const step = 250 * time.Millisecond

// steps are the times of the charts' points.
func (r *report) steps() (at []time.Time, names []string) {
	end := r.Began
	for _, a := range r.Answers {
		if a.At.After(end) {
			end = a.At
		}
	}
	for t := r.Began; t.Before(end); t = t.Add(step) {
		at, names = append(at, t), append(names, fmt.Sprintf("%.2f", t.Sub(r.Began).Seconds()))
	}
	return at, names
}

func chart(title, y string) *charts.Line {
	c := charts.NewLine()
	c.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title}), charts.WithYAxisOpts(opts.YAxis{Name: y}),
		charts.WithXAxisOpts(opts.XAxis{Name: "s"}), charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "bottom"}),
		charts.WithDataZoomOpts(opts.DataZoom{Type: "inside"}))
	return c
}

// versions shows how many proxies have the newest version in force, and how many one before it.
func (r *report) versions() *charts.Line {
	at, names := r.steps()
	var newest, before []opts.LineData
	for _, t := range at {
		by, top := map[uint64]int{}, uint64(0)
		for _, changes := range r.InForce {
			v := uint64(0)
			for _, c := range changes {
				if !c.At.After(t) {
					v = c.Version
				}
			}
			by[v]++
			top = max(top, v)
		}
		newest = append(newest, opts.LineData{Value: by[top]})
		before = append(before, opts.LineData{Value: len(r.InForce) - by[top]})
	}
	c := chart("Proxies by the version that they last took", "proxies")
	c.SetXAxis(names).AddSeries("the newest", newest).AddSeries("an older one, or none", before)
	return c
}

// contradictions shows the longest one of each version, against the bound.
func (r *report) contradictions() *charts.Bar {
	var names []string
	var longest []opts.BarData
	for _, o := range r.Overlaps {
		names = append(names, fmt.Sprint(o.Against))
		longest = append(longest, opts.BarData{Value: float64(o.Longest.Microseconds()) / 1e3})
	}
	c := charts.NewBar()
	c.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: "Longest contradiction acted on, by version"}),
		charts.WithYAxisOpts(opts.YAxis{Name: "ms"}), charts.WithXAxisOpts(opts.XAxis{Name: "version"}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true)}), charts.WithLegendOpts(opts.Legend{Show: opts.Bool(false)}))
	c.SetXAxis(names).AddSeries("contradiction", longest,
		charts.WithMarkLineNameYAxisItemOpts(opts.MarkLineNameYAxisItem{Name: "bound", YAxis: float64(r.Within.Milliseconds())}))
	return c
}

// answers shows final answers by their kind.
func (r *report) answers() *charts.Line {
	at, names := r.steps()
	counts := map[string][]int{}
	for _, word := range []string{"UP", "BUSY", "ERR"} {
		counts[word] = make([]int, len(at))
	}
	for _, a := range r.Answers {
		if i := int(a.At.Sub(r.Began) / step); i < len(at) && counts[a.Word] != nil {
			counts[a.Word][i]++
		}
	}
	c := chart("Final answers", "a second")
	c.SetXAxis(names)
	for _, s := range []struct{ word, name string }{{"UP", "served"}, {"BUSY", "refused"}, {"ERR", "failed"}} {
		var data []opts.LineData
		for _, n := range counts[s.word] {
			data = append(data, opts.LineData{Value: n * int(time.Second/step)})
		}
		c.AddSeries(s.name, data)
	}
	return c
}
