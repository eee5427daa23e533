package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Output of the benches, without a verdict of the gate.
const (
	massOutput  = "calm+mass   G 0.813  floor 0.497  top 0.947  score 0.70\nscore of the real nodes 0.646 (seven tenths)\n"
	laterOutput = "upgrade   G 0.9  floor 0.5  top 0.9  score 0.98\nscore of the real nodes 0.969 (seven tenths)\n"
	simOutput   = "quick estimate on the standard days of thies-albums (set 89b77dad): 0.941, +0.000 against snapshot b17c1464\n"
)

func TestReleaseCheck(t *testing.T) {
	for _, c := range []struct {
		name, mass, later, sim string
		noKit                  bool
		code                   int
		want                   []string
	}{
		{"all pass", massOutput + "GATE passed\n", laterOutput, simOutput, false, 0,
			[]string{"mass-quick calm+mass 0.71 0.70 kept", "simulator-quick", "0.941", "second-quick upgrade - 0.91 kept",
				"second-sim-quick", "all passed"}},
		{"a score fell", massOutput + "GATE passed (three of the six days)\n", strings.ReplaceAll(laterOutput, "0.969", "0.931"), simOutput, false, 0,
			[]string{"later-quick total 0.969 0.931 fell"}},
		{"the gate failed", massOutput + "GATE failed: drain on calm+mass\n", laterOutput, simOutput, false, 1, []string{"GATE failed: drain on calm+mass", "FAILED"}},
		{"a word after the verdict", massOutput + "GATE passed over\n", laterOutput, simOutput, false, 1, []string{"GATE passed over"}},
		{"no verdict", massOutput, laterOutput, simOutput, false, 1, []string{"the bench printed no verdict of the gate"}},
		{"a day has the score 0", massOutput + "GATE passed\n", strings.ReplaceAll(laterOutput, "0.98", "0.00"), simOutput, false, 1, []string{"upgrade has the score 0.00"}},
		{"no total score", massOutput + "GATE passed\n", laterOutput, "the adapter crashed\n", false, 1, []string{"simulator failed: the bench printed no total score"}},
		{"a rule was broken", massOutput + "GATE passed\n", laterOutput, simOutput + "rules: drain 3\n", false, 1, []string{"simulator failed: rules: drain 3"}},
		{"no kit", "", "", "", true, 2, []string{"no operators' kit"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			record := filepath.Join(t.TempDir(), "figures.tsv")
			before := "# before\nmass-quick\tcalm+mass\t0.71\nlater-quick\ttotal\t0.969\nmass-full\ttotal\t0.642\n"
			if err := os.WriteFile(record, []byte(before), 0o644); err != nil {
				t.Fatal(err)
			}
			kitPath := filepath.Join(t.TempDir(), "none")
			if !c.noKit {
				kitPath = fakeKit(t, c.mass, c.later, c.sim)
			}
			cmd := exec.Command("./release-check", "--quick", "--record")
			cmd.Env = append(os.Environ(), "KIT="+kitPath, "RECORD_FILE="+record)
			output, code := run(t, cmd)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			for _, want := range c.want {
				if !strings.Contains(strings.Join(strings.Fields(output), " "), want) {
					t.Errorf("output does not contain %q", want)
				}
			}
			after, err := os.ReadFile(record)
			if err != nil {
				t.Fatal(err)
			}
			if c.code != 0 && string(after) != before {
				t.Errorf("the record changed although the check failed:\n%s", after)
			}
			if c.code == 0 && (!strings.Contains(string(after), "mass-full\ttotal\t0.642\n") || !strings.Contains(string(after), "mass-quick\tcalm+mass\t0.70\n")) {
				t.Errorf("the record contains:\n%s", after)
			}
			if t.Failed() {
				t.Logf("%s", output)
			}
		})
	}
}
