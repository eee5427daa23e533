package routing

import (
	"encoding/json"
	"testing"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/testing/testkit"
)

// goldenSet returns a set in which every field is set.
func goldenSet() Set {
	return Set{
		Pools: []Pool{{Name: "thies", Precedence: 3, FormerNames: []string{"senegal"}, MaxOpen: 400, MaxWaiting: 50,
			Select: EndpointSelector{Zones: []string{"thies"}, MachineTypes: []string{"m2"}, Cells: []int{7, 9}, IDPrefixes: []string{"s-"},
				SizeFrom: 0.5, SizeTo: 2}}},
		Policies: []Policy{{Name: "patient", Attempts: 5, Deadline: 800_000, RetryAfterMin: 200_000, RetryAfterMax: 900_000,
			Fallback: []string{"thies"}}},
		Routes: []Route{{Name: "feeds", Precedence: 4, To: []SplitShare{{Pool: "thies", PPM: TotalPPM}}, Policy: "patient", MaxOpen: 300,
			MaxWaiting: 40, Match: Match{Class: []string{"album-feed"}, Listener: []string{"inner"}, Zone: []string{"thies"},
				Key: goldenStrings("k"), Group: goldenStrings("g"), Fields: map[string]StringMatcher{"app": goldenStrings("a"), "tenant": goldenStrings("t")}}}},
		Default:      "feeds",
		Zones:        []Zone{{Name: "thies", Title: "Thiès"}},
		Listeners:    map[string]string{"inner": "127.0.0.1:8082", "outer": "127.0.0.1:8083"},
		DrainTimeout: 30_000_000,
	}
}

func goldenStrings(letter string) StringMatcher {
	return StringMatcher{Exact: []string{letter + "1", letter + "2"}, Prefix: []string{letter + "-"}}
}

func goldenChange() Change {
	return Change{PPM: 250_000, Aspects: []string{"route", "pool", "policy"},
		Cell: []Span{{Dimension: "class", Texts: []string{"album-feed"}, Prefix: "album-", ExceptTexts: []string{"album-notes"}, ExceptPrefixes: []string{"album-x"}}},
		Old:  Outcome{Route: "feeds", Pool: "thies", Policy: "patient"},
		New:  Outcome{Route: "rest", Pool: "dakar", Policy: "brief"}}
}

// TestGoldenEncodings checks that the JSON encodings of the package's types do not change.
func TestGoldenEncodings(t *testing.T) {
	for file, check := range map[string]func(t *testing.T, file string){
		"set.json":       testkit.PinnedEncoding(goldenSet()),
		"change.json":    testkit.PinnedEncoding(goldenChange()),
		"candidate.json": testkit.PinnedEncoding(Candidate{Route: "feeds", Match: `class "album-feed"`, Reason: "it has the connection"}),
	} {
		t.Run(file, func(t *testing.T) { check(t, file) })
	}
}

// TestGoldenSparseSet checks that absent optional fields are omitted from the JSON encoding.
func TestGoldenSparseSet(t *testing.T) {
	testkit.CheckEncoding(t, "single.json", SinglePoolSet())
}

// TestGoldenSetDecoded checks that decoding restores every field of a set, and that the decoded set compiles.
func TestGoldenSetDecoded(t *testing.T) {
	var decoded Set
	if err := json.Unmarshal(testkit.GoldenFile(t, "set.json"), &decoded); err != nil {
		t.Fatal(err)
	}
	testkit.Equal(t, "set", goldenSet(), decoded)
	if _, err := New(decoded); err != nil {
		t.Error(err)
	}
}

// TestGoldenComparison checks the JSON encodings of a Diff result and of Candidates, which operators see.
func TestGoldenComparison(t *testing.T) {
	current, changed := goldenSet(), goldenSet()
	current.Routes[0].Match = Match{Class: []string{"album-feed"}, Key: goldenStrings("k")}
	changed.Routes[0].Match = current.Routes[0].Match
	changed.Routes[0].Policy = ""
	changed.Pools[0].MaxOpen = 200
	currentTable, err := New(current)
	if err != nil {
		t.Fatal(err)
	}
	changedTable, err := New(changed)
	if err != nil {
		t.Fatal(err)
	}
	changes, err := Diff(currentTable, changedTable, MatchSpace{Classes: []string{"album-feed", "album-notes"}, Listeners: []string{"inner"}, Zones: []string{"thies"}})
	if err != nil {
		t.Fatal(err)
	}
	attributes := ConnectionAttributes{Class: "album-feed", Key: "k1"}
	for file, value := range map[string]any{"diff.json": changes, "candidates.json": currentTable.Candidates(&attributes)} {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		testkit.Equal(t, file, string(testkit.GoldenFile(t, file)), string(text))
	}
}

// TestGoldenKinds checks the names of the error kinds, which are sent on the wire.
func TestGoldenKinds(t *testing.T) {
	for name, kind := range map[string]*apperror.Kind{
		"routing/name": invalidName, "routing/unknown-name": unknownName, "routing/figure": outOfRange, "routing/split": invalidSplit,
		"routing/ambiguous": ambiguousRoutes, "routing/too-many": tooManyConditions, "routing/too-wide": tooManyCells,
	} {
		testkit.Equal(t, "kind", name, kind.Name)
	}
}
