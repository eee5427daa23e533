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
		t.Error("errors.Is or Matches confuses kinds")
	}
	if got := a.Wrap("file", inner).Error(); got != `file: route r: no pool "p"` {
		t.Errorf("error text %q", got)
	}
	if typed, wrapped := b.WrapUntyped("x", fmt.Errorf("in words: %w", inner)), a.WrapUntyped("x", errors.New("y")); typed != inner ||
		wrapped.Kind != a || wrapped.Error() != "x: y" {
		t.Errorf("WrapUntyped returned %v and %v", typed, wrapped)
	}
	if Resolutions(nil) != nil || a.New("", "").Error() != "x/a" {
		t.Error("wrong resolutions of a nil error, or wrong text of an empty one")
	}
}

func TestNewKindRejectsInvalidKinds(t *testing.T) {
	registered := kinds
	t.Cleanup(func() { kinds = registered }) // with -count the test runs more than once in a process
	kindsBefore := len(Kinds())
	NewKind("apperror-test/one", "nothing to do")
	for _, invalid := range [][2]string{{"apperror-test/one", "again"}, {"", "x"}, {"apperror-test/two", ""}} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("NewKind accepted %q", invalid)
				}
			}()
			NewKind(invalid[0], invalid[1])
		}()
	}
	if len(Kinds()) != kindsBefore+1 {
		t.Error("rejected kinds were registered")
	}
}
