package sitelang

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/parser"
	"cuelang.org/go/cue/token"
)

// Bounds on what is read.
const (
	maxFile  = 64 << 20
	maxFiles = 10_000
)

// source is one file that was read.
type source struct {
	name string // as named: the root's, or relative to the including file
	real string // free of links
	info fs.FileInfo
	text []byte
	file *ast.File
}

// set is all files of one configuration.
type set struct {
	sources  []*source
	by       map[string]*source
	globs    map[string][]string // what they gave
	links    map[string]string   // where they lead: each is read once, so that all that lies behind it is of one set
	findings Findings
}

func (s *set) find(pos token.Pos, file string, severity Severity, fault, cure string) {
	f := Finding{File: file, Severity: severity, Fault: fault, Cure: cure}
	if pos.IsValid() {
		f.Line, f.Column = pos.Line(), pos.Column()
		if name := pos.Filename(); name != "" {
			f.File = name
		}
	}
	s.findings = append(s.findings, f)
}

// looks is how often a set that changes while it is read is read again.
const looks = 5

// settled is how old a file must be to count as written; a younger one is looked at twice.
const settled = 100 * time.Millisecond

func newSet() *set {
	return &set{by: map[string]*source{}, globs: map[string][]string{}, links: map[string]string{}}
}

// resolve frees a path of links, by where each of them led when it was first met.
func (s *set) resolve(path string) (string, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return "", err
	}
	done, rest := "/", strings.Split(path, "/")
	for steps := 0; len(rest) > 0; steps++ {
		if steps > 255 {
			return "", errors.New("leads through too many links")
		}
		next := filepath.Join(done, rest[0])
		rest = rest[1:]
		to, known := s.links[next]
		if !known {
			info, err := os.Lstat(next)
			if err != nil {
				return "", err
			}
			if info.Mode()&fs.ModeSymlink == 0 {
				done = next
				continue
			}
			if to, err = os.Readlink(next); err != nil {
				return "", err
			}
			s.links[next] = to
		}
		if filepath.IsAbs(to) {
			done = "/"
		}
		rest = append(strings.Split(to, "/"), rest...)
	}
	return done, nil
}

// read takes in a file and all that it includes, as they are at one moment: whatever changed meanwhile, a link that
// points elsewhere included, has all of it read again.
func read(path string) *set {
	for look := 1; ; look++ {
		s := newSet()
		s.add(path, path, nil, token.NoPos)
		changed := s.changed()
		if changed == "" {
			return s
		}
		if look == looks {
			s.findings = nil
			s.find(token.NoPos, changed, Error, "the file changes while it is read", "write it beside its place and rename it")
			return s
		}
		time.Sleep(settled)
	}
}

// changed names a file that is no longer what was read; "": none.
func (s *set) changed() string {
	for _, src := range s.sources {
		if time.Since(src.info.ModTime()) < settled && time.Since(src.info.ModTime()) > -time.Hour {
			time.Sleep(settled) // it may be half written
			break
		}
	}
	for _, src := range s.sources {
		now, err := os.Stat(src.real)
		if err != nil || !os.SameFile(now, src.info) || now.Size() != src.info.Size() ||
			!now.ModTime().Equal(src.info.ModTime()) {
			return src.name
		}
	}
	for link, to := range s.links {
		if now, err := os.Readlink(link); err != nil || now != to {
			return link
		}
	}
	for pattern, before := range s.globs {
		if now, _ := filepath.Glob(pattern); !slices.Equal(now, before) {
			return pattern
		}
	}
	return ""
}

// add reads one file, unless it was read before, and then what it includes. chain is the files through which it is
// reached, at is where it is named.
func (s *set) add(name, shown string, chain []*source, at token.Pos) {
	within := ""
	if len(chain) > 0 {
		within = chain[len(chain)-1].name
	}
	real, err := s.resolve(name)
	if err != nil {
		s.find(at, orName(within, name), Error, fmt.Sprintf("file %q %s", shown, whyUnread(err)), "")
		return
	}
	for i, up := range chain {
		if up.real == real {
			names := []string{}
			for _, c := range chain[i:] {
				names = append(names, c.name)
			}
			s.find(at, within, Error, "files include each other in a circle: "+strings.Join(append(names, name), " -> "),
				"take one of these includes out")
			return
		}
	}
	if s.by[real] != nil {
		return // a file named once counts once, however it is reached
	}
	if len(s.sources) >= maxFiles {
		s.find(at, within, Error, fmt.Sprintf("over %d files", maxFiles), "")
		return
	}
	src := &source{name: name, real: real}
	s.by[real] = src
	if src.info, err = os.Stat(real); err == nil {
		switch {
		case src.info.IsDir():
			err = errIsDir
		case src.info.Size() > maxFile:
			err = fmt.Errorf("is larger than %d MiB", maxFile>>20)
		default:
			src.text, err = os.ReadFile(real)
		}
	}
	if err != nil {
		s.find(at, orName(within, name), Error, fmt.Sprintf("file %q %s", shown, whyUnread(err)), "")
		return
	}
	s.sources = append(s.sources, src)
	s.parse(src)
	if src.file == nil {
		return
	}
	chain = append(slices.Clone(chain), src)
	for _, inc := range s.includes(src) {
		s.include(inc, src, chain)
	}
}

func orName(within, name string) string {
	if within != "" {
		return within
	}
	return name
}

var errIsDir = errors.New("is a folder, not a file")

func whyUnread(err error) string {
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "does not exist"
	case errors.Is(err, fs.ErrPermission):
		return "may not be read by this user"
	}
	var p *fs.PathError
	if errors.As(err, &p) {
		return "cannot be read: " + p.Err.Error()
	}
	return err.Error()
}

// parse turns a file's text into its tree; without one its faults are booked.
func (s *set) parse(src *source) {
	f, err := parser.ParseFile(src.name, src.text, parser.ParseComments)
	if err != nil {
		s.syntax(src.name, err)
		return
	}
	src.file = f
}

// include is one entry of an include list.
type include struct {
	path string
	pos  token.Pos
}

// includes takes the include lists out of a file's tree.
func (s *set) includes(src *source) (out []include) {
	src.file.Decls = slices.DeleteFunc(src.file.Decls, func(d ast.Decl) bool {
		f, ok := d.(*ast.Field)
		if !ok {
			return false
		}
		if name, _, err := ast.LabelName(f.Label); err != nil || name != "include" {
			return false
		}
		list, ok := f.Value.(*ast.ListLit)
		if !ok {
			s.find(f.Value.Pos(), src.name, Error, "include is not a list of files", `write it like include: ["pools.cue"]`)
			return true
		}
		for _, e := range list.Elts {
			lit, ok := e.(*ast.BasicLit)
			if ok && lit.Kind == token.STRING {
				if path, err := strconv.Unquote(lit.Value); err == nil && path != "" {
					out = append(out, include{path, lit.Pos()})
					continue
				}
			}
			s.find(e.Pos(), src.name, Error, "an include that is not the name of a file", "includes are read before anything is worked out")
		}
		return true
	})
	return out
}

func (s *set) include(inc include, src *source, chain []*source) {
	path := inc.path
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(src.name), path)
	}
	if !strings.ContainsAny(inc.path, "*?[") {
		s.add(path, inc.path, chain, inc.pos)
		return
	}
	names, err := filepath.Glob(path)
	slices.Sort(names)
	if err != nil {
		s.find(inc.pos, src.name, Error, fmt.Sprintf("%q is no pattern of file names", inc.path), "a [ needs its ]")
		return
	}
	s.globs[path] = names
	if len(names) == 0 {
		s.find(inc.pos, src.name, Error, fmt.Sprintf("no file is named like %q", inc.path), "")
	}
	for _, name := range names {
		if real, err := s.resolve(name); err == nil && real == src.real {
			continue // a pattern that takes the including file itself means the others
		}
		s.add(name, inc.path, chain, inc.pos)
	}
}
