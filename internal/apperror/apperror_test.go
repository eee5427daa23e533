package apperror

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

func TestResolutionsThroughJoinsAndWraps(t *testing.T) {
	a, b := &Kind{"x/a", "do a"}, &Kind{"x/b", "do b"}
	inner := b.New("route r", "no pool %q", "p")
	err := fmt.Errorf("loading it: %w", errors.Join(a.Wrap("file", inner), a.New("", "again")))
	if got := Resolutions(err); !slices.Equal(got, []string{"do a", "do b"}) {
		t.Errorf("resolutions %q", got)
	}
	if !errors.Is(err, b.New("", "")) || !a.Matches(err) || b.Matches(errors.New("other")) || !b.Matches(a.Wrap("file", inner)) {
		t.Error("kinds are not told apart")
	}
	if got := a.Wrap("file", inner).Error(); got != `file: route r: no pool "p"` {
		t.Errorf("error text %q", got)
	}
	if typed, plain := b.WrapUntyped("x", fmt.Errorf("in words: %w", inner)), a.WrapUntyped("x", errors.New("y")); typed != inner ||
		plain.Kind != a || plain.Error() != "x: y" {
		t.Errorf("typed as %v and %v", typed, plain)
	}
	if Resolutions(nil) != nil || a.New("", "").Error() != "x/a" {
		t.Error("an error of nothing")
	}
}

func TestKindsAreDeclaredOnce(t *testing.T) {
	registered := kinds
	t.Cleanup(func() { kinds = registered }) // the registry outlives a run of the test
	before := len(Kinds())
	NewKind("apperror-test/one", "nothing to do")
	for _, bad := range [][2]string{{"apperror-test/one", "again"}, {"", "x"}, {"apperror-test/two", ""}} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%q was accepted", bad)
				}
			}()
			NewKind(bad[0], bad[1])
		}()
	}
	if len(Kinds()) != before+1 {
		t.Error("refused kinds were registered")
	}
}
