package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"example.org/micafront/internal/sitelang"
	"example.org/micafront/internal/testing/testkit"
)

const childEnv = "MICAFRONT_TOOLS_TEST_CHILD"

// TestMain makes the test binary run main instead of the tests if the environment sets childEnv.
func TestMain(m *testing.M) { testkit.RunTestsOrProgram(m, childEnv, main) }

// runProgram runs the program and returns its output and exit code.
func runProgram(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), childEnv+"=1")
	var stdoutBuffer, stderrBuffer bytes.Buffer
	cmd.Stdout = &stdoutBuffer
	cmd.Stderr = &stderrBuffer
	var exitError *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exitError) {
		t.Fatal(err)
	}
	return stdoutBuffer.String(), stderrBuffer.String(), cmd.ProcessState.ExitCode()
}

// sampleSite is the path of the site that is embedded in the program.
const sampleSite = "../../deploy/thies.cue"

// writeChangedSite writes a copy of the sample site in which the first occurrence of a text is replaced, and returns the
// copy's path.
func writeChangedSite(t *testing.T, from, to string) string {
	t.Helper()
	text, err := os.ReadFile(sampleSite)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), from) {
		t.Fatalf("the sample site does not contain %q", from)
	}
	path := filepath.Join(t.TempDir(), "site.cue")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestConfigCheck(t *testing.T) {
	stdout, stderr, code := runProgram(t, "config", "check", "--strict", sampleSite)
	testkit.Equal(t, "check of the sample site", []any{"", 0}, []any{stderr, code})
	testkit.Equal(t, "summary", sampleSite+": 1 files, 2 classes, 2 pools, 2 routes, 2 policies\n", stdout)
	bad := writeChangedSite(t, `"90 %"`, `90`)
	_, stderr, code = runProgram(t, "config", "check", bad)
	testkit.Equal(t, "a number without a unit", []any{bad + `:83:11: error: route.feeds.to.thies: 90 has no unit: it could be "90 %" or "90 ppm"` + "\n", 1}, []any{stderr, code})
	stdout, _, code = runProgram(t, "config", "check", "--json", bad)
	var findings []sitelang.Finding
	if err := json.Unmarshal([]byte(stdout), &findings); err != nil || code != 1 {
		t.Fatal(err, code, stdout)
	}
	testkit.Equal(t, "finding as JSON", []any{83, 11, sitelang.Error}, []any{findings[0].Line, findings[0].Column, findings[0].Severity})
}

func TestConfigFmt(t *testing.T) {
	messy := writeChangedSite(t, `aim:         "300 ms"`, `aim: "300ms"`)
	stdout, _, code := runProgram(t, "config", "fmt", "--check", messy, sampleSite)
	testkit.Equal(t, "unformatted files", []any{messy + "\n", 1}, []any{stdout, code})
	_, stderr, code := runProgram(t, "config", "fmt", "-w", messy)
	testkit.Equal(t, "formatting in place", []any{"", 0}, []any{stderr, code})
	want, err := os.ReadFile(sampleSite)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(messy)
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "formatted file", string(want), string(got))
}

func TestConfigDiffAndExplain(t *testing.T) {
	list := filepath.Join(t.TempDir(), "list.json")
	if err := os.WriteFile(list, []byte(`{"generation":1,"reset":true,"instances":[
		{"instanceId":"t-1","hostPort":"127.0.0.1:1","zone":"thies","lifecycle":"in_service","weight":1},
		{"instanceId":"d-1","hostPort":"127.0.0.1:2","zone":"dakar","lifecycle":"in_service","weight":1}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	next := writeChangedSite(t, `"90 %"
			dakar: "10 %"`, `"70 %"
			dakar: "30 %"`)
	stdout, stderr, code := runProgram(t, "config", "diff", "--against", list, "--keys", "1000", sampleSite, next)
	if !strings.HasPrefix(stdout, "class \"album-feed\": 20 % of the keys: from pool \"thies\" to pool \"dakar\"\n") || code != 1 || stderr != "" {
		t.Errorf("diff: exit code %d, output %s%s", code, stdout, stderr)
	}
	if !strings.Contains(stdout, "of 1000 keys of each class") || !strings.Contains(stdout, "t-1 ") {
		t.Errorf("the output has no count of moved keys: %s", stdout)
	}
	stdout, stderr, code = runProgram(t, "config", "diff", sampleSite, writeChangedSite(t, "// A tenth of", "// Some of"))
	testkit.Equal(t, "a comment changes nothing", []any{"routing stays as it is\n", "", 0}, []any{stdout, stderr, code})
	stdout, stderr, code = runProgram(t, "config", "explain", "--against", list, sampleSite, "OPEN id key c=album-feed,d=2000")
	testkit.Equal(t, "explain", []any{"", 0}, []any{stderr, code})
	for _, want := range []string{`route "feeds" matches (class "album-feed"): it has the connection`, `policy "patient": at most 5 attempts in 2s, then falls back to pool "dakar"`,
		`1. t-1 of pool "thies": its key's place in the table of pool "thies"`, `2. d-1 of pool "dakar": its key's place in the table of pool "dakar", since pool "thies" has refused`,
		`if all of these are full: BUSY, once pool "dakar" has refused`} {
		if !strings.Contains(stdout, want) {
			t.Errorf("the output does not contain %q:\n%s", want, stdout)
		}
	}
	_, stderr, code = runProgram(t, "config", "explain", sampleSite, "HELLO")
	if code != 1 || !strings.Contains(stderr, `"HELLO\r\n" is not a first line`) {
		t.Errorf("explain of an invalid line: exit code %d, output %s", code, stderr)
	}
}

// The sample site's JSON form survives conversion to the site language and back.
func TestConfigConvert(t *testing.T) {
	stdout, stderr, code := runProgram(t, "config", "convert", sampleSite)
	testkit.Equal(t, "to JSON", []any{"", 0}, []any{stderr, code})
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, []byte(stdout), 0o600); err != nil {
		t.Fatal(err)
	}
	cue, stderr, code := runProgram(t, "config", "convert", path)
	testkit.Equal(t, "to the language", []any{"", 0}, []any{stderr, code})
	back := strings.TrimSuffix(path, "json") + "cue"
	if err := os.WriteFile(back, []byte(cue), 0o600); err != nil {
		t.Fatal(err)
	}
	again, _, _ := runProgram(t, "config", "convert", back)
	testkit.Equal(t, "round trip", stdout, again)
}

// The program ends with a message if evaluating a site exceeds the memory limit. Each value of the site is twice as long as
// the one before it.
func TestEvaluationLimits(t *testing.T) {
	text := "_a0: \"xxxxxxxxxxxxxxxx\"\n"
	const doublings = 30
	for i := range doublings {
		text += fmt.Sprintf("_a%[2]d: \"\\(_a%[1]d)\\(_a%[1]d)\"\n", i, i+1)
	}
	path := writeChangedSite(t, "proxy: {", text+"proxy: {\n\tzone: _a30")
	_, stderr, code := runProgram(t, "config", "--memory", "512", "check", path)
	if code != 3 || !strings.Contains(stderr, "does it refer to itself in a cycle?") {
		t.Errorf("exit code %d, output %.300s", code, stderr)
	}
}

// The language reference in the docs equals the program's output.
func TestReferenceIsCurrent(t *testing.T) {
	stdout, _, _ := runProgram(t, "config", "reference")
	page, err := os.ReadFile("../../docs/SITE-LANGUAGE.md")
	if err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "docs/SITE-LANGUAGE.md, made by: micafront config reference", stdout, string(page))
}

// The demonstration runs the real proxy during a deploy of its endpoints and finds no violation.
func TestDemo(t *testing.T) {
	dir := t.TempDir()
	for name, from := range map[string]string{"micafront": "../micafront", "micafrontctl": "."} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), from).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	out, err := exec.Command(filepath.Join(dir, "micafront"), "demo", "--seconds", "6", "--clients", "40", "--servers", "4").CombinedOutput()
	if err != nil || !strings.Contains(string(out), "no rule violation was observed") || !strings.Contains(string(out), "a deploy begins") {
		t.Errorf("%v\n%s", err, out)
	}
}
