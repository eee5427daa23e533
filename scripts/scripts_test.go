package scripts_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	mass  = "calm+mass   G 0.813  floor 0.497  top 0.947  score 0.70\nscore of the real nodes 0.646 (seven tenths)\n"
	later = "upgrade   G 0.9  floor 0.5  top 0.9  score 0.98\nscore of the real nodes 0.969 (seven tenths)\n"
	sim   = "quick estimate on the standard days of thies-albums (set 89b77dad): 0.941, +0.000 against snapshot b17c1464\n"
)

// kit writes a stand-in for the operators' kit, whose programs print what they are given.
func kit(t *testing.T, mass, later, sim string) string {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string, mode os.FileMode) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), mode); err != nil {
			t.Fatal(err)
		}
	}
	say := func(text string) string { return "cat <<'E'\n" + text + "E\n" }
	write("sites/thies-albums.toml", "", 0o644)
	write("users/couva-main.toml", "", 0o644)
	write("real/bin/lbreal", "#!/bin/sh\n"+say("upgrade   G 0.9  score 0.91\nscore of the real nodes 0.940 (the weighted mean of the days)\n"), 0o755)
	write("more/mass/bin/lbreal", "#!/bin/sh\ncase \"$*\" in *later*) "+say(later)+";; *) "+say(mass)+";; esac\n", 0o755)
	write("more/bin/lbreal", "#!/bin/sh\n"+say("herd+vast   G 0.8  score 0.79\nscore of the real nodes 0.792 (seven tenths)\n"), 0o755)
	write("bin/lbsim", "#!/bin/sh\n"+say(sim), 0o755)
	return dir
}

func TestReleaseCheck(t *testing.T) {
	for _, c := range []struct {
		name, mass, later, sim string
		noKit                  bool
		code                   int
		want                   []string
	}{
		{"all pass", mass + "GATE passed\n", later, sim, false, 0,
			[]string{"mass-quick calm+mass 0.71 0.70 kept", "simulator-quick", "0.941", "second-quick upgrade - 0.91 kept",
				"second-sim-quick", "all passed"}},
		{"a figure fell", mass + "GATE passed (three of the six days)\n", strings.ReplaceAll(later, "0.969", "0.931"), sim, false, 0,
			[]string{"later-quick total 0.969 0.931 fell"}},
		{"the gate failed", mass + "GATE failed: drain on calm+mass\n", later, sim, false, 1, []string{"GATE failed: drain on calm+mass", "FAILED"}},
		{"another word", mass + "GATE passed over\n", later, sim, false, 1, []string{"GATE passed over"}},
		{"no verdict", mass, later, sim, false, 1, []string{"no gate's verdict"}},
		{"a day reads nothing", mass + "GATE passed\n", strings.ReplaceAll(later, "0.98", "0.00"), sim, false, 1, []string{"upgrade reads 0.00"}},
		{"no figure", mass + "GATE passed\n", later, "the adapter crashed\n", false, 1, []string{"simulator failed: no figure"}},
		{"a rule was broken", mass + "GATE passed\n", later, sim + "rules: drain 3\n", false, 1, []string{"simulator failed: rules: drain 3"}},
		{"no kit", "", "", "", true, 2, []string{"no operators' kit"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			record := filepath.Join(t.TempDir(), "figures.tsv")
			was := "# before\nmass-quick\tcalm+mass\t0.71\nlater-quick\ttotal\t0.969\nmass-full\ttotal\t0.642\n"
			if err := os.WriteFile(record, []byte(was), 0o644); err != nil {
				t.Fatal(err)
			}
			place := filepath.Join(t.TempDir(), "none")
			if !c.noKit {
				place = kit(t, c.mass, c.later, c.sim)
			}
			cmd := exec.Command("./release-check", "--quick", "--record")
			cmd.Env = append(os.Environ(), "KIT="+place, "RECORD_FILE="+record)
			out, err := cmd.CombinedOutput()
			code := 0
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				code = exit.ExitCode()
			} else if err != nil {
				t.Fatal(err)
			}
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			for _, want := range c.want {
				if !strings.Contains(strings.Join(strings.Fields(string(out)), " "), want) {
					t.Errorf("does not say %q", want)
				}
			}
			now, err := os.ReadFile(record)
			if err != nil {
				t.Fatal(err)
			}
			if c.code != 0 && string(now) != was {
				t.Errorf("recorded after a failure:\n%s", now)
			}
			if c.code == 0 && (!strings.Contains(string(now), "mass-full\ttotal\t0.642\n") || !strings.Contains(string(now), "mass-quick\tcalm+mass\t0.70\n")) {
				t.Errorf("recorded:\n%s", now)
			}
			if t.Failed() {
				t.Logf("%s", out)
			}
		})
	}
}

// day is what the standing test's bench prints of a day, as far as it is read.
func day(kind, seed, served, rules string) string {
	return "seed " + seed + "\nG 0.5   worst class 0.61   worst tenant 0.6" + seed + "\n" + rules + "\nclass album-feed  served 0.7" + seed +
		"00\nclass album-notes served 0.61" + seed + "0\nnodes: ready after 0.1 s, restarts took [0.0, 2." + seed + "] s\n" +
		"sockets: 9 from clients, " + seed + " not taken\n" + kind + "+mass G 0.5  floor 0.4  top 0.9  served " + served +
		" (gate 0.490)  score 0." + seed + "0\n"
}

func TestDrawnDays(t *testing.T) {
	const kept = "rules kept, no fault"
	for _, c := range []struct {
		name, second, rules string
		code                int
		want                []string
	}{
		{"all over the gate", "0.521", kept, 0, []string{"roll 0.10 0.20 0.150", "roll 0.031 2 0.6110 0.61 2.2 3"}},
		{"one at its gate", "0.490", kept, 1, []string{"roll 0.000 2 0.6110 0.61 2.2 3"}},
		{"a rule was broken", "0.521", "rules: drain 3", 1, []string{"roll 0.10 BROKEN 0.100", "rules: drain 3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			place := kit(t, "", "", "")
			bench := "#!/bin/sh\ncase \"$*\" in *'--seed 1'*) cat <<'E'\n" + day("roll", "1", "0.600", kept) + "E\n;; *) cat <<'E'\n" +
				day("roll", "2", c.second, c.rules) + "E\n;; esac\n"
			if err := os.WriteFile(filepath.Join(place, "more/mass/bin/lbreal"), []byte(bench), 0o755); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("./drawn-days")
			cmd.Env = append(os.Environ(), "KIT="+place, "KINDS=roll", "SEEDS=1 2", "SKIP_BUILD=1", "OUT="+t.TempDir())
			out, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			code := 0
			if errors.As(err, &exit) {
				code = exit.ExitCode()
			} else if err != nil {
				t.Fatal(err)
			}
			text := strings.Join(strings.Fields(string(out)), " ")
			for _, w := range c.want {
				if !strings.Contains(text, w) {
					t.Errorf("%q is not in:\n%s", w, out)
				}
			}
			if code != c.code {
				t.Errorf("exit code %d, not %d:\n%s", code, c.code, out)
			}
		})
	}
}
