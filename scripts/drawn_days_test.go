package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// dayOutput returns the part of the bench's output for a day that the script reads.
func dayOutput(kind, seed, served, rules string) string {
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
		{"all days above the gate", "0.521", kept, 0, []string{"roll 0.10 0.20 0.150", "roll 0.031 2 0.6110 0.61 2.2 3"}},
		{"one day at its gate", "0.490", kept, 1, []string{"roll 0.000 2 0.6110 0.61 2.2 3"}},
		{"a rule was broken", "0.521", "rules: drain 3", 1, []string{"roll 0.10 BROKEN 0.100", "rules: drain 3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			kitPath := fakeKit(t, "", "", "")
			benchScript := "#!/bin/sh\ncase \"$*\" in *'--seed 1'*) cat <<'E'\n" + dayOutput("roll", "1", "0.600", kept) + "E\n;; *) cat <<'E'\n" +
				dayOutput("roll", "2", c.second, c.rules) + "E\n;; esac\n"
			if err := os.WriteFile(filepath.Join(kitPath, "more/mass/bin/lbreal"), []byte(benchScript), 0o755); err != nil {
				t.Fatal(err)
			}
			cmd := exec.Command("./drawn-days")
			cmd.Env = append(os.Environ(), "KIT="+kitPath, "KINDS=roll", "SEEDS=1 2", "SKIP_BUILD=1", "OUT="+t.TempDir())
			output, code := run(t, cmd)
			text := strings.Join(strings.Fields(output), " ")
			for _, w := range c.want {
				if !strings.Contains(text, w) {
					t.Errorf("%q is not in:\n%s", w, output)
				}
			}
			if code != c.code {
				t.Errorf("exit code %d, not %d:\n%s", code, c.code, output)
			}
		})
	}
}

// panelDay returns the line that the bench prints for a day of a panel.
func panelDay(name, score string) string {
	return name + "  G 0.555  floor 0.542  top 0.842  served 0.675 (gate 0.470)  memory 3 of 72 MB  descriptors 244 of 608  score " + score + "\n"
}

// panel returns the bench's output for a panel of two days: the days, the total, the verdict and one line after it.
func panel(roll, herd, total, verdict string) string {
	return "built in 0.1 s; policy 1195 lines in 3 files\nplaying roll+brink+mass-1 ...\n" + panelDay("roll+brink+mass-1        ", roll) +
		panelDay("herd+crowd+brink+mass-13 ", herd) + "score of the real nodes " + total + " (seven tenths the weighted mean of the days)\n" +
		verdict + "one day in full: lbreal SITE --rough NAME --seed N; seeds [4, 7]\n"
}

func TestDrawnDaysPanel(t *testing.T) {
	const passed = "GATE passed\n"
	good := panel("0.04", "1.00", "0.222", passed)
	failedVerdict := "GATE failed: floor (class album-notes served 0.477, wanted 0.488), roll+brink+mass-1; crash, herd+crowd+brink+mass-13\n"
	for _, c := range []struct {
		name, second string
		code         int
		want, not    []string
	}{
		{"both seeds pass", panel("0.20", "0.90", "0.400", passed), 0,
			[]string{"day seed-1 seed-2 roll+brink+mass-1 0.04 0.20 herd+crowd+brink+mass-13 1.00 0.90 total 0.222 0.400 gate passed passed output"},
			[]string{"failed", "playing"}},
		{"one seed fails", panel("-0.10", "0.00", "0.010", failedVerdict), 1,
			[]string{"roll+brink+mass-1 0.04 -0.10", "gate passed failed",
				"failed: floor (class album-notes served 0.477, wanted 0.488), roll+brink+mass-1, seed-2",
				"failed: crash, herd+crowd+brink+mass-13, seed-2"}, nil},
		{"no verdict", panel("0.20", "0.90", "0.400", ""), 1, []string{"gate passed failed", "failed: the bench printed no verdict of the gate, seed-2"}, nil},
		{"a word after the verdict", panel("0.20", "0.90", "0.400", "GATE passed over\n"), 1, []string{"gate passed failed", "failed: GATE passed over, seed-2"}, nil},
		{"the verdict of quick days", panel("0.20", "0.90", "0.400", "GATE passed (one of the two days)\n"), 1, []string{"gate passed failed"}, nil},
		{"passed and then failed", panel("0.20", "0.90", "0.400", passed+"GATE failed: crash, roll+brink+mass-1\n"), 1,
			[]string{"failed: crash, roll+brink+mass-1, seed-2"}, nil},
		{"no day and no verdict", "cannot read the site\n", 1, []string{"roll+brink+mass-1 0.04 -", "total 0.222 -", "failed: the bench printed no verdict of the gate, seed-2"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, out := t.TempDir(), t.TempDir()
			args := filepath.Join(dir, "args")
			write(t, dir, "kit/more/mass/bin/lbreal", fakeBench(args, benchOutput{"--seed 1 ", good}, benchOutput{"--seed 2 ", c.second}), 0o755)
			write(t, dir, "site.toml", "", 0o644)
			cmd := exec.Command("./drawn-days")
			cmd.Env = append(os.Environ(), "KIT="+dir+"/kit", "SITE="+dir+"/site.toml", "PANEL=brink", "SEEDS=1 2", "SKIP_BUILD=1",
				"WHY=a look", "OUT="+out)
			output, code := run(t, cmd)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			text := strings.Join(strings.Fields(output), " ")
			for _, w := range c.want {
				if !strings.Contains(text, w) {
					t.Errorf("output does not contain %q", w)
				}
			}
			for _, w := range c.not {
				if strings.Contains(text, w) {
					t.Errorf("output contains %q", w)
				}
			}
			if kept, err := os.ReadFile(out + "/brink-2.txt"); err != nil || string(kept) != c.second {
				t.Errorf("output file contains %q, %v", kept, err)
			}
			called, err := os.ReadFile(args)
			want := "score " + dir + "/site.toml --panel brink --seed 1 --why a look --no-build\n" +
				"score " + dir + "/site.toml --panel brink --seed 2 --why a look --no-build\n"
			if err != nil || string(called) != want {
				t.Errorf("bench called with %q, %v", called, err)
			}
			if t.Failed() {
				t.Logf("%s", output)
			}
		})
	}
}

func TestDrawnDaysQuickPanel(t *testing.T) {
	for verdict, want := range map[string]int{"GATE passed (one of the two days)\n": 0, "GATE passed\n": 0, "GATE passed (one) over\n": 1, "": 1} {
		dir := t.TempDir()
		args := filepath.Join(dir, "args")
		write(t, dir, "kit/more/mass/bin/lbreal", fakeBench(args, benchOutput{"--quick", panel("0.20", "0.90", "0.400", verdict)}), 0o755)
		write(t, dir, "kit/sites/thies-albums.toml", "", 0o644)
		cmd := exec.Command("./drawn-days")
		cmd.Env = append(os.Environ(), "KIT="+dir+"/kit", "PANEL=quick", "SEEDS=1 2", "SKIP_BUILD=1", "WHY=a look", "OUT="+t.TempDir())
		output, code := run(t, cmd)
		if text := strings.Join(strings.Fields(output), " "); code != want || !strings.Contains(text, "day quick roll+brink+mass-1 0.20") {
			t.Errorf("%q: exit code %d, want %d:\n%s", verdict, code, want, output)
		}
		called, err := os.ReadFile(args)
		if err != nil || string(called) != "score "+dir+"/kit/sites/thies-albums.toml --quick --why a look --no-build\n" {
			t.Errorf("bench called with %q, %v", called, err)
		}
	}
}

func TestDrawnDaysWithoutKitOrSite(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "kit/more/mass/bin/lbreal", "#!/bin/sh\n", 0o755)
	for kit, want := range map[string]string{dir + "/none": "there is no kit", dir + "/kit": "there is no site"} {
		cmd := exec.Command("./drawn-days")
		cmd.Env = append(os.Environ(), "KIT="+kit, "SITE="+dir+"/none.toml", "PANEL=brink", "SKIP_BUILD=1")
		if output, code := run(t, cmd); code != 2 || !strings.Contains(output, want) {
			t.Errorf("exit code %d: %s", code, output)
		}
	}
}
