package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"example.org/micafront/internal/testing/soak"
	"example.org/micafront/internal/testing/testkit"
)

const childEnv = "MICAFRONT_TEST_CHILD"

// TestMain lets the test binary be the real program when it is started as such.
func TestMain(m *testing.M) {
	testkit.RunTestsOrProgram(m, childEnv, func() {
		if err := soak.InstallFaults(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		main()
	})
}

const completeSettings = `{"Balancers":1,"Discovery":"subscribe","Categories":[{"Name":"feed","Aim":1,"GiveUp":2,"Credit":1,"Effect":"safe"}],
	"Limits":{"AttemptsCap":1,"ConnectTimeout":1,"MaxOpen":1,"MaxRetryAfter":1},
	"Invariants":{"AnswerSlack":0,"AskEvery":1,"Cold":1,"ColdFrom":1,"DrainGrace":1,"Fall":1,"OverloadFactor":1}}`

// TestConfigErrors checks that a fatal configuration error is one line that names the fault and its resolution.
func TestConfigErrors(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",` +
		`"known":{"generation":0,"reset":true,"instances":[]},"settings":{}}`
	for _, c := range []struct{ name, from, to, want string }{
		{"not JSON", good, "{", "not valid"},
		{"no listen", `"listen":"127.0.0.1:0",`, "", "EDGE_LISTEN is not set"},
		{"listen by name", "127.0.0.1:0", "localhost:0", "not a numeric address"},
		{"seed", `"seed":"1"`, `"seed":"x"`, "seed"},
		{"known", `"generation":0`, `"generation":"x"`, "known"},
		{"settings", `"settings":{}`, `"settings":[]`, "settings"},
		{"empty", good, "", "not valid"},
		{"no settings", `,"settings":{}`, "", "settings"},
		{"a key of the settings", "", "", "key Balancers is missing (set what is named"},
		{"two faults of the routes", `"settings":{}`, `"settings":` + completeSettings + `,"routing":{"pools":[{"name":"a"},{"name":"a"}],"default":"b"}`, `defined twice; the default route "b" does not exist (give it`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var errs bytes.Buffer
			cmd, _ := newCommand(t, strings.Replace(good, c.from, c.to, 1))
			cmd.Stderr = &errs
			if cmd.Run() == nil {
				t.Error("exit code 0")
			}
			if got := errs.String(); !strings.Contains(got, c.want) || strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, ")\n") {
				t.Errorf("standard error %q, want one line with %q and a resolution", got, c.want)
			}
		})
	}
}
