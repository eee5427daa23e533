package oncall

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"example.org/micafront/internal/apperror"
)

// goldenKindCount is the number of kinds in kinds.txt. It detects lines that were removed from the file.
const goldenKindCount = 98

// TestGoldenKinds checks that all kinds in kinds.txt still exist, because programs send, store and log their names. The file
// does not list kinds of packages that only tests use. New kinds need not be added.
func TestGoldenKinds(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "golden", "kinds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	registered := map[string]bool{}
	for _, kind := range apperror.Kinds() {
		registered[kind.Name] = true
	}
	names := strings.Fields(string(golden))
	if len(names) != goldenKindCount {
		t.Errorf("kinds.txt lists %d kinds, want %d", len(names), goldenKindCount)
	}
	for _, name := range names {
		if !registered[name] {
			t.Errorf("no package declares the kind %s anymore", name)
		}
	}
}
