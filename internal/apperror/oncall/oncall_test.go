// Package oncall contains only tests, which compare docs/ON-CALL.md with the error kinds that the programs declare.
package oncall

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/testing/testkit"

	// All packages that declare kinds.
	_ "example.org/micafront/internal/catalog"
	_ "example.org/micafront/internal/config"
	_ "example.org/micafront/internal/consensus"
	_ "example.org/micafront/internal/controlclient"
	_ "example.org/micafront/internal/controlplane"
	_ "example.org/micafront/internal/discovery"
	_ "example.org/micafront/internal/endpointlist"
	_ "example.org/micafront/internal/federation"
	_ "example.org/micafront/internal/fleetconfig"
	_ "example.org/micafront/internal/hotrestart"
	_ "example.org/micafront/internal/proxy"
	_ "example.org/micafront/internal/routing"
	_ "example.org/micafront/internal/testing/faultinject"
	_ "example.org/micafront/internal/testing/fleettest"
)

const (
	root  = "../../.."
	page  = root + "/docs/ON-CALL.md"
	begin = "<!-- written by: go test ./internal/apperror/oncall -update -->\n"
	end   = "<!-- to here -->\n"

	// minResolutionBytes is the length below which a resolution cannot state anything useful.
	minResolutionBytes = 12
)

var update = flag.Bool("update", false, "write the table of errors into "+page)

// TestPageListsAllKinds checks that the page lists exactly the declared kinds, each with its resolution.
func TestPageListsAllKinds(t *testing.T) {
	var table strings.Builder
	table.WriteString("| kind | what can be done |\n| --- | --- |\n")
	for _, k := range apperror.Kinds() {
		fmt.Fprintf(&table, "| `%s` | %s |\n", k.Name, strings.ReplaceAll(k.Resolution, "|", "\\|"))
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, opened := strings.Cut(string(text), begin)
	got, after, closed := strings.Cut(rest, end)
	if !opened || !closed {
		t.Fatalf("%s lacks the markers of the table: %q and %q", page, begin, end)
	}
	if *update && got != table.String() {
		if err := os.WriteFile(page, []byte(before+begin+table.String()+end+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	testkit.Equal(t, "the table of kinds; go test ./internal/apperror/oncall -update rewrites it", strings.Split(table.String(), "\n"), strings.Split(got, "\n"))
}

// declaration matches the declaration of a kind. Its submatch is the kind's name.
var declaration = regexp.MustCompile(`apperror\.NewKind\(\s*"([^"]+)"`)

// TestAllKindsAreImported checks that every kind that a source file declares is registered in this test, which means that its
// package is imported above. It also checks that each kind has a family and a resolution.
func TestAllKindsAreImported(t *testing.T) {
	registered, found := map[string]bool{}, 0
	for _, k := range apperror.Kinds() {
		registered[k.Name] = true
		if family, _, ok := strings.Cut(k.Name, "/"); !ok || family == "" || len(k.Resolution) < minResolutionBytes {
			t.Errorf("kind %q has no family, or its resolution %q is too short", k.Name, k.Resolution)
		}
	}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declaration.FindAllSubmatch(text, -1) {
			if found++; !registered[string(m[1])] {
				t.Errorf("%s declares the kind %s: import its package in this test", path, m[1])
			}
		}
		return err
	})
	testkit.Equal(t, "error of walking the source tree", nil, err)
	if found != len(registered) {
		t.Errorf("source files declare %d kinds, but %d are registered", found, len(registered))
	}
}
