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
	JSON           []byte             // the configuration that a proxy runs from
	Files          []string           // all files that were read, the root first
	RoutingSet     routing.Set        // pools, policies and routes, with the defaults that a proxy applies
	RoutingTable   *routing.Table     // compiled from RoutingSet
	MatchSpace     routing.MatchSpace // the attributes that a connection can have, to compare routing tables
	Settings       balancer.Settings
	KnownEndpoints discovery.List // the endpoints that the configuration itself lists
}

// Load reads a file and the files that it includes, checks them and compiles them. It returns a nil site if one of the
// findings is an error. It reads a file whose name ends in .json as the JSON form.
func Load(path string) (*Site, Findings) { return LoadWithEndpoints(path, nil) }

// LoadWithEndpoints works like Load, but checks the pools against list instead of the site's own endpoint list. A nil list
// selects the site's own.
func LoadWithEndpoints(path string, list *discovery.List) (*Site, Findings) {
	if strings.HasSuffix(path, ".json") {
		return loadJSON(path, list)
	}
	return readSources(path).compile(list)
}

// loadJSON converts the JSON form to the language and compiles the result. Its findings have no line and column because
// these would refer to the converted text.
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

// Compile checks and compiles one text, which must not include files. Its findings use name as the file name. It returns a
// nil site if one of the findings is an error.
func Compile(name string, text []byte) (*Site, Findings) {
	s := newSourceSet()
	src := s.addText(name, text)
	if src.file != nil {
		for _, inc := range s.extractIncludes(src) {
			s.report(inc.pos, Error, "include is not supported here: this text is not read from a file", "")
		}
	}
	return s.compile(nil)
}

// compile checks and compiles the files of the set. It checks the pools against list, or against the site's own endpoint
// list if list is nil. It returns a nil site if one of the findings is an error.
func (s *sourceSet) compile(list *discovery.List) (*Site, Findings) {
	site := s.compileSite(list)
	findings := s.findings.sorted()
	if findings.HasErrors() {
		return nil, findings
	}
	return site, findings
}

// compileSite compiles the site and adds the findings to the set. After an error it continues with the steps that do not
// depend on the invalid part.
func (s *sourceSet) compileSite(list *discovery.List) *Site {
	if s.findings.HasErrors() { // a file is missing or has syntax errors, so further findings would be misleading
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

// newSite encodes a tree that has passed the checks in the JSON form, and decodes the result as the proxy does.
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

// decode decodes the settings, the endpoint list and the routing of the JSON form, and validates the settings.
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

// ActiveEndpoints returns the attributes of the endpoints in a list whose phase is not Removed, sorted by id.
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
