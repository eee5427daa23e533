package hashing

import "testing"

// Nodes of two versions must place keys alike, so the results are fixed.
func TestResultsNeverChange(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want uint64
	}{
		{"empty string", String(""), 0xf52a15e9a9b5e89b},
		{"string", String("key"), 0x487eb6f7e0ea7e7c},
		{"first candidate", Candidate(42, 0), 42},
		{"third candidate", Candidate(42, 2), 0x28efe333b266f103},
		{"uniform", uint64(Uniform(42, 7) * (1 << 53)), 0x10268087268eac},
	} {
		if c.got != c.want {
			t.Errorf("%s: %#x, want %#x", c.name, c.got, c.want)
		}
	}
}
