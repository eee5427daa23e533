package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/apperror"
)

// plainConfig is a valid configuration without a fleet record.
const plainConfig = `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"memory_mb":64,"sockets":64},
	"known":{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:2","zone":"a","lifecycle":"in_service","weight":1}]},
	"routing":{"pools":[{"name":"a"}],"routes":[{"name":"r","to":[{"pool":"a","ppm":1000000}]}]},
	"settings":{"Balancers":1,"Discovery":"subscribe","Zone":"a","Categories":[
	{"Name":"x","Aim":1,"GiveUp":2,"Credit":1,"Effect":"keyed","DedupScope":"zone","MemorySpan":3},
	{"Name":"y","Aim":1,"GiveUp":2,"Credit":1,"Effect":"unsafe"}],"Customers":[{"Name":"t","Share":1,"QuotaPerS":3}],
	"Limits":{"AttemptsCap":2,"ConnectTimeout":1,"MaxOpen":1,"MaxRetryAfter":1},
	"Invariants":{"AnswerSlack":0,"AskEvery":1,"Cold":1,"ColdFrom":1,"DrainGrace":1,"Fall":1,"OverloadFactor":1}}}`

// FuzzLoad checks that a file is either loaded, and then accepted by the balancer and the routes, or rejected with a
// resolution, and that Reload returns either a configuration or an error.
func FuzzLoad(f *testing.F) {
	for _, text := range []string{
		plainConfig,
		plainConfig[:len(plainConfig)/2],
		`{}`,
		`[]`,
		`null`,
		strings.Replace(plainConfig, `"seed"`, `"fleet":{"keepers":["127.0.0.1:3"]},"seed"`, 1),
		strings.Replace(plainConfig, `"GiveUp":2`, `"GiveUp":-2`, 1),
		strings.Replace(plainConfig, `"ppm":1000000`, `"ppm":1e99`, 1),
	} {
		f.Add([]byte(text))
	}
	path := filepath.Join(f.TempDir(), "config.json")
	env := func(name string) string {
		if name == "EDGE_CONFIG" {
			return path
		}
		return ""
	}
	if err := os.WriteFile(path, []byte(plainConfig), 0o600); err != nil {
		f.Fatal(err)
	}
	active, err := Load(env)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(env)
		if err == nil {
			_, err := balancer.New(c.Settings, c.Seed)
			if err != nil || c.Routes == nil || len(c.Routes.Set.Pools) == 0 {
				t.Fatalf("%q is loaded, but the balancer or the routes reject it: %v", text, err)
			}
		} else if len(apperror.Resolutions(err)) == 0 {
			t.Fatalf("%q: %v has no resolution", text, err)
		}
		if reloaded, err := active.Reload(env); (reloaded == nil) == (err == nil) {
			t.Fatalf("%q: Reload returns %v and %v, want either a configuration or an error", text, reloaded, err)
		}
	})
}
