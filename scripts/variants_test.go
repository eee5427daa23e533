package scripts_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

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
				return fakeBench(args, benchOutput{"east/east.toml --panel brink --seed 2", c.brink}, benchOutput{"west/west.toml --quick", c.quick},
					benchOutput{"score", good})
			})
			cmd := exec.Command("./variants")
			cmd.Env = append(os.Environ(), "KIT="+dir+"/kit", "SITES="+dir+"/east "+dir+"/west", "SEEDS=1 2", "SKIP_BUILD=1", "OUT="+dir+"/out")
			output, code := run(t, cmd)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			text := strings.Join(strings.Fields(output), " ")
			// The script runs all days even after a failure.
			for _, w := range append(c.want, "east, brink days day seed-1 seed-2", "east, quick days day quick", "west, brink days", "west, quick days") {
				if !strings.Contains(text, w) {
					t.Errorf("output does not contain %q", w)
				}
			}
			if called, err := os.ReadFile(dir + "/args"); err != nil || strings.Count(string(called), "score ") != 6 {
				t.Errorf("bench called with %q, %v", called, err)
			}
			if t.Failed() {
				t.Logf("%s", output)
			}
		})
	}
}

func TestVariantsCopiesKitFiles(t *testing.T) {
	dir := variantKit(t, func(string) string { return "#!/bin/sh\nexit 1\n" })
	// The second run checks that the first run's copies of the kit's read-only files can be overwritten.
	for range 2 {
		cmd := exec.Command("./variants", "lay")
		cmd.Env = append(os.Environ(), "KIT="+dir+"/kit", "SITES="+dir+"/east "+dir+"/west")
		if output, code := run(t, cmd); code != 0 {
			t.Fatalf("exit code %d: %s", code, output)
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
		t.Error("the bench was called")
	}
}

func TestVariantsInvalidArguments(t *testing.T) {
	dir := variantKit(t, func(string) string { return "#!/bin/sh\nexit 1\n" })
	for _, c := range []struct{ kit, sites, arg, want string }{
		{dir + "/none", dir + "/east", "lay", "there is no kit"},
		{dir + "/kit", dir + "/north", "lay", "holds no north.toml"},
		{dir + "/kit", dir + "/east", "play", "usage"},
	} {
		cmd := exec.Command("./variants", c.arg)
		cmd.Env = append(os.Environ(), "KIT="+c.kit, "SITES="+c.sites)
		if output, code := run(t, cmd); code != 2 || !strings.Contains(output, c.want) {
			t.Errorf("%s: exit code %d: %s", c.want, code, output)
		}
	}
}

// variantKit writes a fake kit and two sites, east and west, and returns their parent directory. benchScript gets the path of
// the file args in this directory, to which the bench appends its arguments.
func variantKit(t *testing.T, benchScript func(argumentsPath string) string) string {
	t.Helper()
	dir := t.TempDir()
	write(t, dir, "kit/sites/real.json", "{}\n", 0o444)
	write(t, dir, "kit/sites/wire.json", "[]\n", 0o444)
	write(t, dir, "kit/sites/unlock.txt", "unlock a 1\n", 0o444)
	write(t, dir, "kit/users/unlock.txt", "unlock a,b 2\n", 0o444)
	write(t, dir, "kit/more/mass/unlock.txt", "unlock sock 3\nunlock a 1\n", 0o444)
	write(t, dir, "kit/more/mass/bin/lbreal", benchScript(dir+"/args"), 0o755)
	write(t, dir, "east/east.toml", "", 0o644)
	write(t, dir, "west/west.toml", "", 0o644)
	return dir
}
