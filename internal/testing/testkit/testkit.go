// Package testkit provides helpers that the tests of all packages share: comparison, property tests with a fixed seed, and
// running the test binary as the program under test.
package testkit

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Equal reports an error with the differences if got is not equal to want. what names the compared value.
func Equal(t testing.TB, what string, want, got any, opts ...cmp.Option) {
	t.Helper()
	if diff := cmp.Diff(want, got, opts...); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// RunTestsOrProgram is the body of a TestMain. If the environment variable is set, the test binary runs main in place of the tests,
// so that a test can start the program by starting its own binary.
func RunTestsOrProgram(m *testing.M, variable string, main func()) {
	if os.Getenv(variable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// propertySeed is the seed of property tests. It replaces rapid's default, which differs on each run.
const propertySeed = "20261201"

// Property checks a property on random input. The input is the same on each run unless -rapid.seed is set.
func Property(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		if err := seed.Value.Set(propertySeed); err != nil {
			t.Fatal(err)
		}
	}
	if noFailFile := flag.Lookup("rapid.nofailfile"); noFailFile != nil {
		_ = noFailFile.Value.Set("true") // the seed reproduces a failure without the file
	}
	rapid.Check(t, check)
}
