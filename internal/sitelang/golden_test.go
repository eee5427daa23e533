package sitelang

import (
	"path/filepath"
	"reflect"
	"testing"

	"example.org/micafront/internal/testing/testkit"
)

// Converting sites to the JSON form that a proxy runs from, and back to the language, yields the bytes of the golden
// files. every-key.cue sets each key of the schema.
func TestGoldenSites(t *testing.T) {
	for name, path := range map[string]string{
		"thies":     filepath.Join("..", "..", "deploy", "thies.cue"),
		"every-key": filepath.Join("testdata", "golden", "every-key.cue"),
	} {
		t.Run(name, func(t *testing.T) {
			golden := testkit.GoldenFile(t, name+".json")
			testkit.Equal(t, "to JSON", string(golden), string(mustLoad(t, path).JSON))
			converted, err := FromJSON(golden)
			if err != nil {
				t.Fatal(err)
			}
			testkit.Equal(t, "to the language", string(testkit.GoldenFile(t, name+".converted.cue")), string(converted))
			roundTripped, findings := Compile("converted.cue", converted)
			if roundTripped == nil {
				t.Fatal(findings)
			}
			testkit.Equal(t, "round trip", string(golden), string(roundTripped.JSON))
		})
	}
}

// The fixture sets each key of each record of the schema, so that the golden files cover the conversion of all keys.
func TestGoldenSiteHasEveryKey(t *testing.T) {
	sources := readSources(filepath.Join("testdata", "golden", "every-key.cue"))
	tree := sources.evaluate()
	if tree == nil {
		t.Fatal(sources.findings)
	}
	seen := map[*field]bool{}
	markFields(siteRecord(), tree, seen)
	for name, record := range schema() {
		for _, f := range record.fields {
			if !seen[f] && f.name != "include" {
				t.Errorf("the fixture doesn't set %s of %s", f.name, name)
			}
		}
	}
}

// markFields adds to seen the fields of the schema that a value sets, including those of nested records.
func markFields(r *record, value *node, seen map[*field]bool) {
	for _, f := range r.fields {
		if member := value.member(f.name); member != nil {
			seen[f] = true
			markNested(f.valueType, member, seen)
		}
	}
}

func markNested(t *fieldType, value *node, seen map[*field]bool) {
	switch t.kind {
	case kindRecord:
		markFields(t.record, value, seen)
	case kindMap:
		for _, m := range value.members {
			markNested(t.element, m.node, seen)
		}
	case kindList:
		for _, element := range value.elements {
			markNested(t.element, element, seen)
		}
	}
}

// The JSON form of findings, which editors read, equals the golden files.
func TestGoldenFinding(t *testing.T) {
	finding := Finding{File: "site.cue", Line: 7, Column: 3, Severity: Warning, Message: `route "feeds" <is> never taken`, Resolution: "drop it"}
	testkit.CheckAllSet(t, "finding", reflect.ValueOf(finding))
	testkit.CheckEncoding(t, "finding.json", finding)
	testkit.CheckEncoding(t, "finding-of-a-file.json", Finding{File: "site.cue", Severity: Error, Message: "it is empty"})
}
