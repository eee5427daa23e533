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

// childEnv is the environment variable that makes the test binary run as the proxy.
const childEnv = "MICAFRONT_TEST_CHILD"

// TestMain runs the tests, or the real program if the test binary is started with childEnv.
func TestMain(m *testing.M) {
	testkit.RunTestsOrProgram(m, childEnv, func() {
		if err := soak.InstallFaults(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		main()
	})
}

// completeSettings are the smallest valid settings.
const completeSettings = `{"Balancers":1,"Discovery":"subscribe","Categories":[{"Name":"feed","Aim":1,"GiveUp":2,"Credit":1,"Effect":"safe"}],
	"Limits":{"AttemptsCap":1,"ConnectTimeout":1,"MaxOpen":1,"MaxRetryAfter":1},
	"Invariants":{"AnswerSlack":0,"AskEvery":1,"Cold":1,"ColdFrom":1,"DrainGrace":1,"Fall":1,"OverloadFactor":1}}`

// TestConfigErrors checks that the program reports a fatal configuration error on one line, with the fault and its
// resolution.
func TestConfigErrors(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",` +
		`"known":{"generation":0,"reset":true,"instances":[]},"settings":{}}`
	for _, c := range []struct{ name, from, to, want string }{
		{"not JSON", good, "{", "not valid"},
		{"no listen address", `"listen":"127.0.0.1:0",`, "", "EDGE_LISTEN is not set"},
		{"host name as listen address", "127.0.0.1:0", "localhost:0", "not a numeric address"},
		{"invalid seed", `"seed":"1"`, `"seed":"x"`, "seed"},
		{"invalid known list", `"generation":0`, `"generation":"x"`, "known"},
		{"settings as an array", `"settings":{}`, `"settings":[]`, "settings"},
		{"empty file", good, "", "not valid"},
		{"no settings", `,"settings":{}`, "", "settings"},
		{"missing settings key", "", "", "key Balancers is missing (set what is named"},
		{"two invalid routes", `"settings":{}`, `"settings":` + completeSettings + `,"routing":{"pools":[{"name":"a"},{"name":"a"}],"default":"b"}`, `defined twice; the default route "b" does not exist (give it`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var errs bytes.Buffer
			cmd, _ := newCommand(t, strings.Replace(good, c.from, c.to, 1))
			cmd.Stderr = &errs
			if cmd.Run() == nil {
				t.Error("the program exited with code 0")
			}
			if got := errs.String(); !strings.Contains(got, c.want) || strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, ")\n") {
				t.Errorf("standard error %q, want one line with %q and a resolution", got, c.want)
			}
		})
	}
}
