package deploy_test

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/encoding/toml"
)

// benchSite holds the parts of a site file in deploy/sites whose consistency is checked.
type benchSite struct {
	Name  string             `json:"name"`
	Wire  string             `json:"wire"`
	Goal  map[string]float64 `json:"goal"`
	Net   struct{ Zones []string }
	Tier  []struct{ Kind []struct{ Share []float64 } }
	Class []struct {
		Name, Effect string
		Share        []float64
		Aim          float64 `json:"aim_ms"`
		Deadline     float64 `json:"deadline_ms"`
	}
	Tenant []struct {
		Name  string
		Share float64
	}
	Fam struct{ Class []map[string]any }
}

// The synthetic sites are consistent and share no names. All of their classes have the effect "safe", the only one that the
// bench accepts in a site of connections. On its short days the bench sets other effects itself.
func TestBenchSitesAreConsistent(t *testing.T) {
	files, err := filepath.Glob("sites/*/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("found the site files %q, want at least 2: %v", files, err)
	}
	fileOfName := map[string]string{}
	for _, file := range files {
		site := readBenchSite(t, file)
		site.check(t, file)
		for _, name := range site.names() {
			if fileOfName[name] != "" {
				t.Errorf("%s and %s both name %s", fileOfName[name], file, name)
			}
			fileOfName[name] = file
		}
	}
}

func readBenchSite(t *testing.T, file string) benchSite {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	expression, err := toml.NewDecoder(file, bytes.NewReader(text)).Decode()
	if err != nil {
		t.Fatal(err)
	}
	var site benchSite
	if err := cuecontext.New().BuildExpr(expression).Decode(&site); err != nil {
		t.Fatal(err)
	}
	return site
}

// names returns the names of zones, classes and tenants.
func (s *benchSite) names() []string {
	names := slices.Clone(s.Net.Zones)
	for _, class := range s.Class {
		names = append(names, class.Name)
	}
	for _, tenant := range s.Tenant {
		names = append(names, tenant.Name)
	}
	return names
}

// check checks a single site: its file names, its classes, and that the shares of each kind add up to 1. The midpoint
// represents a share that is a range.
func (s *benchSite) check(t *testing.T, file string) {
	t.Helper()
	directory := filepath.Base(filepath.Dir(file))
	if s.Name != directory || filepath.Base(file) != directory+".toml" || s.Wire != "wire.json" {
		t.Errorf("%s: name is %q, want the directory's name; wire is %q, want wire.json", file, s.Name, s.Wire)
	}
	sums := map[string]float64{}
	for _, share := range s.Goal {
		sums["goal"] += share
	}
	for _, class := range s.Class {
		sums["classes"] += midpoint(class.Share)
		if class.Effect != "safe" {
			t.Errorf("%s: class %s has the effect %q, want safe", file, class.Name, class.Effect)
		}
		if class.Aim >= class.Deadline {
			t.Errorf("%s: %s has a latency objective of %v ms and a timeout of %v ms", file, class.Name, class.Aim, class.Deadline)
		}
	}
	for _, tenant := range s.Tenant {
		sums["tenants"] += tenant.Share
	}
	for _, kind := range s.Tier[0].Kind {
		sums["kinds"] += midpoint(kind.Share)
	}
	for what, sum := range sums {
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%s: shares of the %s add up to %v", file, what, sum)
		}
	}
	if len(s.Fam.Class) != len(s.Class) {
		t.Errorf("%s: %d classes, but fam.class has %d entries", file, len(s.Class), len(s.Fam.Class))
	}
}

// midpoint returns the midpoint of a range, given its two bounds.
func midpoint(bounds []float64) float64 { return (bounds[0] + bounds[1]) / 2 }
