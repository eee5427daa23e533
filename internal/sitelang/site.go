package sitelang

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"cuelang.org/go/cue/token"
	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/simwire"
)

// Site is a configuration that has been checked and compiled.
type Site struct {
	JSON           []byte             // the form that a proxy runs from
	Files          []string           // all files that were read, the root first
	RoutingSet     routing.Set        // pools, policies and routes, completed as a proxy does it
	RoutingTable   *routing.Table     // compiled from RoutingSet
	MatchSpace     routing.MatchSpace // what a connection can be, for comparisons of tables
	Settings       balancer.Settings
	KnownEndpoints discovery.List // the endpoints that the configuration itself lists
}

// Load reads a file and what it includes, checks all of it and compiles it. It returns a site if no finding is an
// error. A file whose name ends in .json is read as the JSON form.
func Load(path string) (*Site, Findings) { return LoadWithEndpoints(path, nil) }

// LoadWithEndpoints does what Load does, and checks the pools against an endpoint list; nil stands for the list of the site
// itself.
func LoadWithEndpoints(path string, list *discovery.List) (*Site, Findings) {
	if strings.HasSuffix(path, ".json") {
		return loadJSON(path, list)
	}
	return readSources(path).compile(list)
}

// loadJSON converts the JSON form to the language and compiles that. Its findings have no line and column: those would
// be of the converted text.
func loadJSON(path string, list *discovery.List) (*Site, Findings) {
	s := newSourceSet()
	text, err := os.ReadFile(path)
	if err != nil {
		s.reportInFile(path, token.NoPos, Error, fmt.Sprintf("file %q %s", path, describeReadError(err)), "")
		return nil, s.findings
	}
	converted, err := FromJSON(text)
	if err != nil {
		s.reportInFile(path, token.NoPos, Error, err.Error(), "")
		return nil, s.findings
	}
	s.addText(path, converted)
	site, findings := s.compile(list)
	for i := range findings {
		findings[i].Line = 0
		findings[i].Column = 0
	}
	return site, findings.sorted()
}

// Compile checks and compiles one text, which may not include files. name is the file in the findings.
func Compile(name string, text []byte) (*Site, Findings) {
	s := newSourceSet()
	src := s.addText(name, text)
	if src.file != nil {
		for _, inc := range s.extractIncludes(src) {
			s.report(inc.pos, Error, "a text of its own has nothing to include from", "")
		}
	}
	return s.compile(nil)
}

// compile checks and compiles the files of the set. list is the endpoint list to check the pools against; nil stands for
// that of the site itself. It returns no site if there is an error among the findings.
func (s *sourceSet) compile(list *discovery.List) (*Site, Findings) {
	site := s.compileSite(list)
	findings := s.findings.sorted()
	if findings.HasErrors() {
		return nil, findings
	}
	return site, findings
}

// compileSite does the work of compile and reports the findings. It goes on after errors as far as the next step does not
// depend on what is wrong.
func (s *sourceSet) compileSite(list *discovery.List) *Site {
	if s.findings.HasErrors() { // a file that is missing or has syntax errors; what would follow from that misleads
		return nil
	}
	tree := s.evaluate()
	if tree == nil {
		return nil
	}
	c := &checker{sourceSet: s, invalid: map[*node]bool{}}
	c.checkRecord(siteRecord(), tree, "", token.NoPos)
	c.checkReferences(tree)
	if s.findings.HasErrors() {
		return nil
	}
	site, err := newSite(tree)
	if err != nil {
		s.report(token.NoPos, Error, err.Error(), "")
		return nil
	}
	if list == nil {
		list = &site.KnownEndpoints
	}
	site.MatchSpace = MatchSpaceOf(&site.RoutingSet, tree.member("class").memberNames())
	site.RoutingTable = c.compileRoutes(tree, &site.RoutingSet, ActiveEndpoints(list))
	for _, src := range s.sources {
		site.Files = append(site.Files, src.name)
	}
	return site
}

// newSite encodes a tree that has passed the checks, and decodes the result as the proxy will.
func newSite(tree *node) (*Site, error) {
	site := &Site{}
	var err error
	if site.JSON, err = json.MarshalIndent(encodeSite(tree), "", "\t"); err != nil {
		return nil, err
	}
	if err := site.decode(); err != nil {
		return nil, err
	}
	return site, nil
}

// decode decodes and checks the parts of the JSON form that this program needs.
func (s *Site) decode() error {
	var parts struct {
		Settings json.RawMessage
		Known    json.RawMessage
		Routing  json.RawMessage
	}
	if err := json.Unmarshal(s.JSON, &parts); err != nil {
		return err
	}
	var err error
	if s.Settings, err = simwire.DecodeSettings(parts.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := s.Settings.Validate(); err != nil {
		return err
	}
	if parts.Known != nil {
		if s.KnownEndpoints, err = discovery.ParseList(parts.Known); err != nil {
			return fmt.Errorf("known: %w", err)
		}
	}
	if parts.Routing != nil {
		decoder := json.NewDecoder(bytes.NewReader(parts.Routing))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&s.RoutingSet); err != nil {
			return fmt.Errorf("routing: %w", err)
		}
	}
	s.RoutingSet = s.RoutingSet.WithDefaults()
	return nil
}

// ActiveEndpoints returns the attributes of the endpoints of a list that are not removed, sorted by id.
func ActiveEndpoints(list *discovery.List) []routing.EndpointAttributes {
	var out []routing.EndpointAttributes
	for _, entry := range list.Entries() {
		if entry.Phase != balancer.Removed {
			out = append(out, entry.Attributes())
		}
	}
	slices.SortFunc(out, func(a, b routing.EndpointAttributes) int { return strings.Compare(a.ID, b.ID) })
	return out
}
