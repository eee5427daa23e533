package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/testkit"
)

const childEnv = "PLAY_TEST_AS_PLAY"

func TestMain(m *testing.M) { testkit.RunTestsOrProgram(m, childEnv, main) }

func results() []result {
	s := time.Second
	return []result{
		{Seed: 1, Overlaps: []time.Duration{s, 3 * s}, CommitTimes: []time.Duration{s}, Versions: 2, DiscoveryCalls: 7, DiscoveryPeak: 4, Files: 9,
			Tally: fakes.Counts{Answers: 4, Served: 2, Rejected: 1, Failed: 1}},
		{Seed: 2, Overlaps: []time.Duration{2 * s}, CommitTimes: []time.Duration{4 * s}, Versions: 3, DiscoveryCalls: 1, DiscoveryPeak: 6,
			Lost:  []string{"3"},
			Tally: fakes.Counts{Answers: 4, Served: 4}},
		{Seed: 3, Failure: "signal: killed", Versions: 100, Overlaps: []time.Duration{time.Hour}},
	}
}

func TestSumResults(t *testing.T) {
	sum := sumResults(results())
	testkit.Equal(t, "sums without the failed run", []int{5, 8, 6, 8, 6, 9, 1},
		[]int{sum.Versions, sum.DiscoveryCalls, sum.DiscoveryPeak,
			sum.Tally.Answers, sum.Tally.Served, sum.Files, len(sum.Lost)})
	testkit.Equal(t, "overlaps", "2000 ms, 3000 ms, 3000 ms", quantiles(sum.Overlaps))
	testkit.Equal(t, "shares", "75.00 / 12.50 / 12.50 % of 8", sum.answers())
	empty := sumResults(nil)
	testkit.Equal(t, "sum of no results", []string{"0 ms, 0 ms, 0 ms", "none"}, []string{quantiles(empty.Overlaps), empty.answers()})
}

func TestViolationsAreReported(t *testing.T) {
	good := results()[:2]
	if err := violationsError(good); err != nil {
		t.Error(err)
	}
	bad := results()
	bad[1].Violations, bad[1].Unanswered = []string{"request r7 has 2 final answers"}, 1
	text := seedTable(flags{parallel: 2}, bad)
	for _, want := range []string{"seed 2: request r7 has 2 final answers", "seed 3 failed: signal: killed"} {
		if err := violationsError(bad); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(text, "- "+want) {
			t.Errorf("%q is not in the error %v, or not in the table:\n%s", want, err, text)
		}
	}
	if rows := strings.Count(text, "\n| "); rows != 2+3+1 || !strings.Contains(text, "| no: 1 violations |") {
		t.Errorf("%d rows:\n%s", rows, text)
	}
}

// The table and the command's error report each seed whose process fails.
func TestFailedProcessesAreReported(t *testing.T) {
	t.Setenv(childEnv, "1")
	dir := t.TempDir() // contains no programs, so that no fleet starts
	var out, errOut bytes.Buffer
	err := command(context.Background(), []string{"-proxies=1", "-keepers=1", "-seconds=1", "-seeds=4,6", "-programs=" +
		dir}, &out, &errOut)
	for _, want := range []string{"seed 4 failed", "seed 6 failed", "no such file"} {
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in %v and\n%s", want, err, out.String())
		}
	}
}

func TestInvalidFlags(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"-seeds 1-x", `seeds "1-x", part 1: "x" is not a number`}, {"-seeds 1,5-4", `seeds "1,5-4", part 2: 5 comes after 4`},
		{"-seeds 1-3,2", "part 2: seed 2 comes twice"}, {"-seeds 0-18446744073709551615", "more than 10000 seeds"},
		{"-silence sleep", `"sleep": must be "hold" or "serve"`}, {"-blackout 61s -seconds 120",
			"-blackout 1m1s: must be from 0 to half"},
		{"-blackout 5s -keepers 0", "needs -keepers"}, {"-pause 0s", "-pause"}, {"-side 0", "-side"}, {"more",
			`"more": no arguments other than flags`},
	} {
		if _, err := parseFlags(strings.Fields(c.args), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.args, err, c.want)
		}
	}
	f, err := parseFlags([]string{"-seeds", "18446744073709551615,2-4", "-hops", "3", "-blackout", "0s"}, &bytes.Buffer{})
	testkit.Equal(t, "seeds", []any{nil, []uint64{1<<64 - 1, 2, 3, 4}}, []any{err, f.seeds})
	testkit.Equal(t, "flags of a seed's process", []string{"-blackout=0s", "-hops=3"}, f.forwarded)
}

// The command rejects a fleet that needs more open files than the limit before it starts any process.
func TestTooFewDescriptors(t *testing.T) {
	err := command(context.Background(), []string{"-proxies=100000000", "-programs=" + t.TempDir()}, &bytes.Buffer{},
		&bytes.Buffer{})
	var typed *apperror.Error
	if !errors.As(err, &typed) || typed.Kind.Name != "fleettest/descriptors" || !strings.Contains(err.Error(), "the limit is") {
		t.Error(err)
	}
}

// servedAfterMemberTimeout matches the percentages, without decimals, of requests served after the member timeout under each lease
// expiry policy.
var servedAfterMemberTimeout = regexp.MustCompile(`\| after that, without replicas \| (\d+)\.\S+ [^|]*\| (\d+)\.`)

// The command runs a small fleet in several processes and writes a report, once for several seeds and once for an outage.
func TestSeedsAndOutage(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes for several seconds")
	}
	t.Setenv(childEnv, "1")
	dir := t.TempDir()
	tiny := []string{"-proxies=2", "-keepers=1", "-between=500ms", "-pause=50ms", "-discovery=0", "-out=" + dir}
	for _, c := range []struct {
		name string
		args []string
		want []string
	}{
		{"fleet-play", []string{"-seconds=3", "-seeds=1,2", "-side=2"}, []string{"\n| 1 | 0 |", "\n| 2 | 0 |",
			"\n| all | 0 |"}},
		{"fleet-blackout", []string{"-seconds=6", "-blackout=2s", "-know=1s", "-within=500ms", "-calm"},
			[]string{"| hold, without other faults | serve, without", "\n| persistent connections, of them closed | 2, 0 | 2, 0 " +
				"|"}},
	} {
		var out, errOut bytes.Buffer
		if err := command(context.Background(), append(c.args, tiny...), &out, &errOut); err != nil {
			t.Fatalf("%s: %v\n%s", c.name, err, errOut.String())
		}
		text, err := os.ReadFile(filepath.Join(dir, c.name+".md"))
		page, perr := os.ReadFile(filepath.Join(dir, c.name+".html"))
		if err := errors.Join(err, perr); err != nil || !bytes.Contains(page, []byte("bound")) {
			t.Fatalf("%s: %v, %d bytes of chart", c.name, err, len(page))
		}
		if m := servedAfterMemberTimeout.FindSubmatch(text); c.name == "fleet-blackout" && (m == nil || len(m[1]) > 1 || len(m[2]) < 2) {
			t.Errorf("served after the member timeout: %q, want less than 10 %% with hold and at least 10 %% with serve\n%s", m, text)
		}
		for _, want := range append(c.want, "No guarantee was violated.") {
			if !strings.Contains(string(text), want) {
				t.Errorf("%s: %q is missing:\n%s", c.name, want, text)
			}
		}
	}
}
