package sitelang

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the expected findings; review them before committing")

// The findings of each invalid file equal those in the .want file beside it.
func TestFindingsOfInvalidFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.cue")
	if err != nil || len(files) < 80 {
		t.Fatalf("found %d invalid files, want at least 80: %v", len(files), err)
	}
	files = append(files, "testdata/circle/a.cue", "testdata/self/a.cue")
	for _, file := range files {
		site, findings := Load(file)
		var got strings.Builder
		for _, f := range findings {
			got.WriteString(f.String() + "\n")
		}
		if len(findings) == 0 {
			t.Errorf("%s: no finding", file)
		}
		if (site == nil) != findings.HasErrors() {
			t.Errorf("%s: site returned: %v, errors found: %v", file, site != nil, findings.HasErrors())
		}
		wantFile := strings.TrimSuffix(file, ".cue") + ".want"
		if *update {
			if err := os.WriteFile(wantFile, []byte(got.String()), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(wantFile)
		if err != nil {
			t.Error(err)
		}
		testkit.Equal(t, file, string(want), got.String())
	}
}

func mustLoad(t *testing.T, path string) *Site {
	t.Helper()
	site, findings := Load(path)
	if site == nil {
		t.Fatalf("%s: %v", path, findings)
	}
	return site
}

func TestFileIncludedTwiceIsReadOnce(t *testing.T) {
	site := mustLoad(t, "testdata/diamond/a.cue")
	testkit.Equal(t, "files", []string{"testdata/diamond/a.cue", "testdata/diamond/left.cue", "testdata/base.cue",
		"testdata/diamond/right.cue"}, site.Files)
	testkit.Equal(t, "teams", 2, len(site.Settings.Tenants))
}

// The files that a pattern matches are read in the order of their whole paths, in which "a-b/" precedes "a/".
func TestPatternOverFolders(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"a/x.cue", "a-b/x.cue"} {
		writeSettledFile(t, filepath.Join(dir, name), "")
	}
	writeSettledFile(t, filepath.Join(dir, "root.cue"), `include: ["a*/x.cue"]`)
	s := readSources(filepath.Join(dir, "root.cue"))
	var names []string
	for _, src := range s.sources {
		names = append(names, strings.TrimPrefix(src.name, dir))
	}
	testkit.Equal(t, "files", []string{"/root.cue", "/a-b/x.cue", "/a/x.cue"}, names)
	testkit.Equal(t, "findings", Findings(nil), s.findings)
}

// decodeJSON decodes a JSON text, with numbers as float64.
func decodeJSON(t *testing.T, text []byte) any {
	t.Helper()
	var v any
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	return v
}

// Converting the JSON form to the language and back preserves everything, including members that the schema doesn't
// describe.
func TestJSONRoundTrip(t *testing.T) {
	text, err := os.ReadFile("testdata/platform.json")
	if err != nil {
		t.Fatal(err)
	}
	checkRoundTrip(t, text)
	// A string that contains the characters of an escape sequence keeps them.
	checkRoundTrip(t, []byte(strings.Replace(string(text), `"name":"`, `"name":"<\\u003c>`, 1)))
	site := mustLoad(t, "testdata/base.cue")
	again := checkRoundTrip(t, site.JSON)
	testkit.Equal(t, "routes", site.RoutingSet, again.RoutingSet)
}

func checkRoundTrip(t *testing.T, text []byte) *Site {
	t.Helper()
	cue, err := FromJSON(text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	site, findings := Compile("converted.cue", cue)
	if site == nil {
		t.Fatalf("%v\n%s", findings, cue)
	}
	testkit.Equal(t, "after the round trip", decodeJSON(t, text), decodeJSON(t, site.JSON))
	formatted, findings := Format("converted.cue", cue)
	testkit.Equal(t, "already formatted", string(cue), string(formatted))
	if findings != nil {
		t.Error(findings)
	}
	return site
}

// Random members anywhere in the JSON form, of valid and invalid types, survive the round trip.
func TestJSONRoundTripWithRandomMembers(t *testing.T) {
	text, err := os.ReadFile("testdata/platform.json")
	if err != nil {
		t.Fatal(err)
	}
	testkit.Property(t, func(rt *rapid.T) {
		var o map[string]any
		d := json.NewDecoder(strings.NewReader(string(text)))
		d.UseNumber()
		if err := d.Decode(&o); err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 4).Draw(rt, "changes") {
			changeRandomMember(rt, o)
		}
		changed, err := json.Marshal(o)
		if err != nil {
			rt.Fatal(err)
		}
		cue, err := FromJSON(changed)
		if err != nil {
			rt.Fatalf("%v\n%s", err, changed)
		}
		site, findings := Compile("x.cue", cue)
		if site == nil {
			// The change made the site invalid, so there is nothing to compare.
			if !findings.HasErrors() {
				rt.Fatal("Compile returned neither a site nor an error")
			}
			return
		}
		if d := cmp.Diff(decodeJSON(t, changed), decodeJSON(t, site.JSON)); d != "" {
			rt.Fatalf("%s\n%s", d, cue)
		}
	})
}

// changeRandomMember adds or replaces one member of the object or of an object nested in it.
func changeRandomMember(t *rapid.T, object map[string]any) {
	for {
		name := rapid.SampledFrom(slices.Sorted(maps.Keys(object))).Draw(t, "member")
		next := object[name]
		if list, ok := next.([]any); ok && len(list) > 0 {
			next = rapid.SampledFrom(list).Draw(t, "element")
		}
		inner, ok := next.(map[string]any)
		if ok && len(inner) > 0 && rapid.IntRange(0, 3).Draw(t, "deeper") > 0 {
			object = inner
			continue
		}
		if rapid.Bool().Draw(t, "new") {
			name = rapid.SampledFrom([]string{"extra", "Name", "x y", "#d", "_h", "a-b", "zone", "select", "0"}).Draw(t, "name")
		}
		object[name] = rapid.SampledFrom([]any{json.Number("0.1"), json.Number("-3"), json.Number("1e-7"), json.Number("7"), "text \n\"\\(x)", true,
			nil, map[string]any{}, []any{}, map[string]any{"a": []any{json.Number("1")}}, []any{json.Number("0.5"), json.Number("2")}}).Draw(t, "value")
		return
	}
}

// Converting literals directly yields the same site as CUE's evaluator.
func TestLiteralNodeEqualsCUEEvaluation(t *testing.T) {
	for _, file := range []string{"testdata/base.cue", "testdata/diamond/a.cue"} {
		loaded := mustLoad(t, file)
		s := readSources(file)
		s.reportDuplicates()
		evaluated := s.evaluateWithCUE()
		if evaluated == nil || len(s.findings) > 0 {
			t.Fatal(s.findings)
		}
		text, err := json.Marshal(encodeSite(evaluated))
		if err != nil {
			t.Fatal(err)
		}
		testkit.Equal(t, file, decodeJSON(t, loaded.JSON), decodeJSON(t, text))
	}
}

// Patterns, defaults, references and interpolation are evaluated by CUE.
func TestEvaluationByCUE(t *testing.T) {
	text, err := os.ReadFile("testdata/base.cue")
	if err != nil {
		t.Fatal(err)
	}
	site, findings := Compile("x.cue", append(text, `
class: [string]: worth: *7 | number
class: late: {aim: _slow, give_up: "\(2 + 3) s", effect: class."album-feed".effect}
_slow: "900 ms"
if proxy.zone == "thies" {team: home: share: "12.5 %"}
`...))
	if site == nil {
		t.Fatal(findings)
	}
	c := site.Settings.Classes[2]
	testkit.Equal(t, "class", []any{"late", 900 * time.Millisecond, 5 * time.Second, 7.0}, []any{c.Name, c.LatencyObjective, c.Timeout, c.PriorityWeight})
	testkit.Equal(t, "team", 0.125, site.Settings.Tenants[0].Share)
}

// scrambleFormatting adds spaces, line breaks and comments to a text, outside its strings and comments. It returns the
// number of added comments, which are "// remark 0", "// remark 1" and so on.
func scrambleFormatting(rt *rapid.T, text string) (scrambled string, comments int) {
	var out strings.Builder
	insideString := false
	line := ""
	for _, r := range text {
		if r == '"' {
			insideString = !insideString
		}
		if line += string(r); r == '\n' {
			line = ""
		}
		out.WriteRune(r)
		if insideString || strings.Contains(line, "//") {
			continue
		}
		switch {
		case r == ' ' && rapid.IntRange(0, 9).Draw(rt, "space") == 0:
			out.WriteString(strings.Repeat(" ", rapid.IntRange(1, 4).Draw(rt, "n")))
		case r == '\n' && rapid.IntRange(0, 6).Draw(rt, "line") == 0:
			fmt.Fprintf(&out, "\n\t// remark %d\n", comments)
			comments++
		case r == ',' && rapid.IntRange(0, 12).Draw(rt, "break") == 0:
			out.WriteString("\n\n")
		}
	}
	return out.String(), comments
}

// Formatting a second time changes nothing; every comment stays, and the file compiles to the same site.
func TestFormatIsIdempotent(t *testing.T) {
	base, err := os.ReadFile("testdata/base.cue")
	if err != nil {
		t.Fatal(err)
	}
	want := mustLoad(t, "testdata/base.cue")
	testkit.Property(t, func(rt *rapid.T) {
		text, comments := scrambleFormatting(rt, string(base))
		once, findings := Format("x.cue", []byte(strings.ReplaceAll(text, "300 ms", "300ms")))
		if findings != nil {
			rt.Fatalf("%v\n%s", findings, text)
		}
		twice, _ := Format("x.cue", once)
		if string(once) != string(twice) {
			rt.Fatalf("formatting twice differs: %s", cmp.Diff(string(once), string(twice)))
		}
		for i := range comments {
			if !strings.Contains(string(once), fmt.Sprintf("// remark %d\n", i)) {
				rt.Fatalf("remark %d is missing:\n%s", i, once)
			}
		}
		if strings.Contains(string(once), "300ms") {
			rt.Fatal("the formatted file has no space before the unit in 300ms")
		}
		site, findings := Compile("x.cue", once)
		if site == nil {
			rt.Fatal(findings)
			return
		}
		if d := cmp.Diff(decodeJSON(t, want.JSON), decodeJSON(t, site.JSON)); d != "" {
			rt.Fatal(d)
		}
	})
}

// writeSettledFile writes a file and sets its modification time beyond minSettledAge, so that the file counts as completely
// written.
func writeSettledFile(t *testing.T, path, text string) {
	t.Helper()
	if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, []byte(text), 0o644)); err != nil {
		t.Fatal(err)
	}
	modified := time.Now().Add(-time.Hour)
	if err := os.Chtimes(path, modified, modified); err != nil {
		t.Fatal(err)
	}
}

// swapLink switches the symbolic link dir/now between two targets until the test ends.
func swapLink(t *testing.T, dir string, targets [2]string) {
	t.Helper()
	point := func(target string) {
		next := filepath.Join(dir, "next")
		if err := errors.Join(os.Symlink(target, next), os.Rename(next, filepath.Join(dir, "now"))); err != nil {
			t.Error(err)
		}
	}
	point(targets[0])
	stop := make(chan struct{})
	done := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		<-done
	})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				point(targets[i%len(targets)])
			}
		}
	}()
}

// While a symbolic link switches between two folders, each read returns files of one folder only, never a mix.
func TestReadSourcesIsConsistent(t *testing.T) {
	dir := t.TempDir()
	base, err := os.ReadFile("testdata/base.cue")
	if err != nil {
		t.Fatal(err)
	}
	writeSettledFile(t, filepath.Join(dir, "base.cue"), string(base))
	folders := [2]string{"one", "two"}
	for _, folder := range folders {
		writeSettledFile(t, filepath.Join(dir, folder, "x.cue"), fmt.Sprintf("team: %s: {}\n", folder))
		writeSettledFile(t, filepath.Join(dir, folder, "y.cue"), fmt.Sprintf("team: %s2: {}\n", folder))
	}
	root := filepath.Join(dir, "root.cue")
	writeSettledFile(t, root, `include: ["base.cue", "now/x.cue", "now/y.cue"]`)
	swapLink(t, dir, folders)
	for range 30 {
		s := readSources(root)
		if s.findings.HasErrors() {
			for _, f := range s.findings {
				if !strings.Contains(f.Message, "changes while it is read") && !strings.Contains(f.Message, "does not exist") {
					t.Fatal(f)
				}
			}
			continue
		}
		var from []string
		for _, src := range s.sources[2:] {
			from = append(from, filepath.Base(filepath.Dir(src.realPath)))
		}
		if from[0] != from[1] {
			t.Fatalf("one read returned files of both folders: %v", from)
		}
	}
}

// Every record and field of the schema has a doc comment, and every record is reachable from a site.
func TestSchemaIsDocumentedAndReachable(t *testing.T) {
	reached := map[string]bool{}
	var visit func(r *record)
	visit = func(r *record) {
		if reached[r.name] {
			return
		}
		reached[r.name] = true
		if r.doc == "" {
			t.Errorf("%s has no doc comment", r.name)
		}
		for _, f := range r.fields {
			if f.doc == "" {
				t.Errorf("%s.%s has no doc comment", r.name, f.name)
			}
			for of := f.valueType; of != nil; of = of.element {
				if of.record != nil {
					visit(of.record)
				}
			}
		}
	}
	visit(siteRecord())
	for name := range schema() {
		if !reached[name] {
			t.Errorf("%s is not reachable from a site", name)
		}
	}
}

func FuzzCompile(f *testing.F) {
	files, _ := filepath.Glob("testdata/broken/*.cue")
	for _, file := range append(files, "testdata/base.cue") {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		site, findings := Compile("x.cue", text)
		if (site == nil) != findings.HasErrors() {
			t.Fatalf("site returned: %v, findings: %v", site != nil, findings)
		}
		if once, _ := Format("x.cue", text); once != nil {
			if twice, f := Format("x.cue", once); string(twice) != string(once) {
				t.Fatalf("formatting twice differs: %q, %q %v", once, twice, f)
			}
		}
	})
}
