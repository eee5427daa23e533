package config

import (
	"io"
	"os/exec"
	"strings"
	"testing"

	"example.org/micafront/internal/testing/testkit"
)

// TestBoundedBufferLimitsCommandOutput checks the limit for the output of a child process, which os/exec copies with io.Copy.
func TestBoundedBufferLimitsCommandOutput(t *testing.T) {
	const printed = 100 << 10
	for _, test := range []struct {
		name     string
		max      int
		overflow bool
	}{
		{"at the limit", printed, false},
		{"above the limit", printed / 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			output := &boundedBuffer{max: test.max}
			cmd := exec.Command("cat")
			cmd.Stdin = io.LimitReader(strings.NewReader(strings.Repeat("x", printed)), printed)
			cmd.Stdout = output
			if err := cmd.Run(); err != nil {
				t.Fatal(err)
			}
			testkit.Equal(t, "overflow", test.overflow, output.overflow)
			if output.buffer.Len() > test.max {
				t.Errorf("%d bytes are stored, want at most %d", output.buffer.Len(), test.max)
			}
		})
	}
}
