package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// panelDay is a day's line as the bench prints it.
func panelDay(name, score string) string {
	return name + "  G 0.555  floor 0.542  top 0.842  served 0.675 (gate 0.470)  memory 3 of 72 MB  descriptors 244 of 608  score " + score + "\n"
}

// panel is what the bench prints of a panel of two days and ends in the verdict, and one line after it.
func panel(roll, herd, total, verdict string) string {
	return "built in 0.1 s; policy 1195 lines in 3 files\nplaying roll+brink+mass-1 ...\n" + panelDay("roll+brink+mass-1        ", roll) +
		panelDay("herd+crowd+brink+mass-13 ", herd) + "score of the real nodes " + total + " (seven tenths the weighted mean of the days)\n" +
		verdict + "one day in full: lbreal SITE --rough NAME --seed N; seeds [4, 7]\n"
}

// bench is a stand-in for the bench that prints what belongs to the first of the texts whose key stands in its arguments,
// and keeps these in a file.
func bench(args string, texts ...[2]string) string {
	var b strings.Builder
	b.WriteString("#!/bin/sh\necho \"$*\" >>'" + args + "'\ncase \"$*\" in\n")
	for _, t := range texts {
		b.WriteString("*'" + t[0] + "'*) cat <<'E'\n" + t[1] + "E\n;;\n")
	}
	b.WriteString("esac\n")
	return b.String()
}

func TestPanel(t *testing.T) {
	const passed = "GATE passed\n"
	good := panel("0.04", "1.00", "0.222", passed)
	fell := "GATE failed: floor (class album-notes served 0.477, wanted 0.488), roll+brink+mass-1; crash, herd+crowd+brink+mass-13\n"
	for _, c := range []struct {
		name, second string
		code         int
		want, not    []string
	}{
		{"both pass", panel("0.20", "0.90", "0.400", passed), 0,
			[]string{"day seed-1 seed-2 roll+brink+mass-1 0.04 0.20 herd+crowd+brink+mass-13 1.00 0.90 total 0.222 0.400 gate passed passed output"},
			[]string{"failed", "playing"}},
		{"one fails", panel("-0.10", "0.00", "0.010", fell), 1,
			[]string{"roll+brink+mass-1 0.04 -0.10", "gate passed failed",
				"failed: floor (class album-notes served 0.477, wanted 0.488), roll+brink+mass-1, seed-2",
				"failed: crash, herd+crowd+brink+mass-13, seed-2"}, nil},
		{"no verdict", panel("0.20", "0.90", "0.400", ""), 1, []string{"gate passed failed", "failed: no verdict of the gate, seed-2"}, nil},
		{"another word", panel("0.20", "0.90", "0.400", "GATE passed over\n"), 1, []string{"gate passed failed", "failed: GATE passed over, seed-2"}, nil},
		{"a part of the days", panel("0.20", "0.90", "0.400", "GATE passed (one of the two days)\n"), 1, []string{"gate passed failed"}, nil},
		{"passed and then failed", panel("0.20", "0.90", "0.400", passed+"GATE failed: crash, roll+brink+mass-1\n"), 1,
			[]string{"failed: crash, roll+brink+mass-1, seed-2"}, nil},
		{"it says nothing", "cannot read the site\n", 1, []string{"roll+brink+mass-1 0.04 -", "total 0.222 -", "failed: no verdict of the gate, seed-2"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, out := t.TempDir(), t.TempDir()
			args := filepath.Join(dir, "args")
			write(t, dir, "kit/more/mass/bin/lbreal", bench(args, [2]string{"--seed 1 ", good}, [2]string{"--seed 2 ", c.second}), 0o755)
			write(t, dir, "site.toml", "", 0o644)
			cmd := exec.Command("./drawn-days")
			cmd.Env = append(os.Environ(), "KIT="+dir+"/kit", "SITE="+dir+"/site.toml", "PANEL=brink", "SEEDS=1 2", "SKIP_BUILD=1",
				"WHY=a look", "OUT="+out)
			said, code := run(t, cmd)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			text := strings.Join(strings.Fields(said), " ")
			for _, w := range c.want {
				if !strings.Contains(text, w) {
					t.Errorf("does not say %q", w)
				}
			}
			for _, w := range c.not {
				if strings.Contains(text, w) {
					t.Errorf("says %q", w)
				}
			}
			if kept, err := os.ReadFile(out + "/brink-2.txt"); err != nil || string(kept) != c.second {
				t.Errorf("kept %q, %v", kept, err)
			}
			called, err := os.ReadFile(args)
			want := "score " + dir + "/site.toml --panel brink --seed 1 --why a look --no-build\n" +
				"score " + dir + "/site.toml --panel brink --seed 2 --why a look --no-build\n"
			if err != nil || string(called) != want {
				t.Errorf("called with %q, %v", called, err)
			}
			if t.Failed() {
				t.Logf("%s", said)
			}
		})
	}
}

func TestPanelOfQuickDays(t *testing.T) {
	for verdict, want := range map[string]int{"GATE passed (one of the two days)\n": 0, "GATE passed\n": 0, "GATE passed (one) over\n": 1, "": 1} {
		dir := t.TempDir()
		args := filepath.Join(dir, "args")
		write(t, dir, "kit/more/mass/bin/lbreal", bench(args, [2]string{"--quick", panel("0.20", "0.90", "0.400", verdict)}), 0o755)
		write(t, dir, "kit/sites/thies-albums.toml", "", 0o644)
		cmd := exec.Command("./drawn-days")
		cmd.Env = append(os.Environ(), "KIT="+dir+"/kit", "PANEL=quick", "SEEDS=1 2", "SKIP_BUILD=1", "WHY=a look", "OUT="+t.TempDir())
		said, code := run(t, cmd)
		if text := strings.Join(strings.Fields(said), " "); code != want || !strings.Contains(text, "day quick roll+brink+mass-1 0.20") {
			t.Errorf("%q: exit code %d, want %d:\n%s", verdict, code, want, said)
		}
		called, err := os.ReadFile(args)
		if err != nil || string(called) != "score "+dir+"/kit/sites/thies-albums.toml --quick --why a look --no-build\n" {
			t.Errorf("called with %q, %v", called, err)
		}
	}
}

func TestPanelWithoutKitOrSite(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "kit/more/mass/bin/lbreal", "#!/bin/sh\n", 0o755)
	for kit, want := range map[string]string{dir + "/none": "there is no kit", dir + "/kit": "there is no site"} {
		cmd := exec.Command("./drawn-days")
		cmd.Env = append(os.Environ(), "KIT="+kit, "SITE="+dir+"/none.toml", "PANEL=brink", "SKIP_BUILD=1")
		if said, code := run(t, cmd); code != 2 || !strings.Contains(said, want) {
			t.Errorf("exit code %d: %s", code, said)
		}
	}
}

func TestVariants(t *testing.T) {
	const passed, failed = "GATE passed\n", "GATE failed: crash, roll+brink+mass-1\n"
	good, bad := panel("0.04", "1.00", "0.222", passed), panel("0.00", "1.00", "0.111", failed)
	for _, c := range []struct {
		name, brink, quick string
		code               int
		want               []string
	}{
		{"all pass", good, good, 0, nil},
		{"a short day fails", bad, good, 1, []string{"failed: crash, roll+brink+mass-1, seed-2"}},
		{"a quick day fails", good, bad, 1, []string{"failed: crash, roll+brink+mass-1, quick"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := variantKit(t, func(args string) string {
				return bench(args, [2]string{"east/east.toml --panel brink --seed 2", c.brink}, [2]string{"west/west.toml --quick", c.quick},
					[2]string{"score", good})
			})
			cmd := exec.Command("./variants")
			cmd.Env = append(os.Environ(), "KIT="+dir+"/kit", "SITES="+dir+"/east "+dir+"/west", "SEEDS=1 2", "SKIP_BUILD=1", "OUT="+dir+"/out")
			said, code := run(t, cmd)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			text := strings.Join(strings.Fields(said), " ")
			// A failure ends nothing: all that was to be played is played.
			for _, w := range append(c.want, "east, brink days day seed-1 seed-2", "east, quick days day quick", "west, brink days", "west, quick days") {
				if !strings.Contains(text, w) {
					t.Errorf("does not say %q", w)
				}
			}
			if called, err := os.ReadFile(dir + "/args"); err != nil || strings.Count(string(called), "score ") != 6 {
				t.Errorf("called with %q, %v", called, err)
			}
			if t.Failed() {
				t.Logf("%s", said)
			}
		})
	}
}

func TestVariantsLay(t *testing.T) {
	dir := variantKit(t, func(string) string { return "#!/bin/sh\nexit 1\n" })
	// Twice, since the kit's files can't be written to.
	for range 2 {
		cmd := exec.Command("./variants", "lay")
		cmd.Env = append(os.Environ(), "KIT="+dir+"/kit", "SITES="+dir+"/east "+dir+"/west")
		if said, code := run(t, cmd); code != 0 {
			t.Fatalf("exit code %d: %s", code, said)
		}
	}
	for _, site := range []string{"/east/", "/west/"} {
		for name, want := range map[string]string{"real.json": "{}\n", "wire.json": "[]\n", "unlock.txt": "unlock a 1\nunlock a,b 2\n"} {
			if got, err := os.ReadFile(dir + site + name); err != nil || string(got) != want {
				t.Errorf("%s%s holds %q, %v", site, name, got, err)
			}
		}
	}
	if _, err := os.Stat(dir + "/args"); err == nil {
		t.Error("played something")
	}
}

func TestVariantsRefuses(t *testing.T) {
	dir := variantKit(t, func(string) string { return "#!/bin/sh\nexit 1\n" })
	for _, c := range []struct{ kit, sites, arg, want string }{
		{dir + "/none", dir + "/east", "lay", "there is no kit"},
		{dir + "/kit", dir + "/north", "lay", "holds no north.toml"},
		{dir + "/kit", dir + "/east", "play", "usage"},
	} {
		cmd := exec.Command("./variants", c.arg)
		cmd.Env = append(os.Environ(), "KIT="+c.kit, "SITES="+c.sites)
		if said, code := run(t, cmd); code != 2 || !strings.Contains(said, c.want) {
			t.Errorf("%s: exit code %d: %s", c.want, code, said)
		}
	}
}

// variantKit writes a stand-in kit and two sites, east and west, and returns where they lie. The bench keeps its arguments
// in the file args there.
func variantKit(t *testing.T, bench func(args string) string) string {
	t.Helper()
	dir := t.TempDir()
	write(t, dir, "kit/sites/real.json", "{}\n", 0o444)
	write(t, dir, "kit/sites/wire.json", "[]\n", 0o444)
	write(t, dir, "kit/sites/unlock.txt", "unlock a 1\n", 0o444)
	write(t, dir, "kit/users/unlock.txt", "unlock a,b 2\n", 0o444)
	write(t, dir, "kit/more/mass/unlock.txt", "unlock sock 3\nunlock a 1\n", 0o444)
	write(t, dir, "kit/more/mass/bin/lbreal", bench(dir+"/args"), 0o755)
	write(t, dir, "east/east.toml", "", 0o644)
	write(t, dir, "west/west.toml", "", 0o644)
	return dir
}
