package sitelang

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/parser"
	"cuelang.org/go/cue/token"
)

// Limits on what is read.
const (
	maxFileMiB      = 64
	maxFiles        = 10_000
	maxReadAttempts = 5   // of a set of files that changes while it is read
	maxPathSteps    = 255 // components and links on the way to one file
)

const (
	// minSettledAge is the age from which on a file counts as completely written. A younger one is checked again.
	minSettledAge = 100 * time.Millisecond
	// maxClockSkew is how far in the future a modification time may lie and still count as young.
	maxClockSkew = time.Hour
)

// source is one file that was read, or a text that stands for one.
type source struct {
	name     string      // as given: the root's path, or one joined to the including file's folder
	realPath string      // without symbolic links; "" for a text
	info     fs.FileInfo // when the file was read; nil for a text
	text     []byte
	file     *ast.File // the parsed text without its include lists; nil if it has syntax errors
}

// sourceSet is all files of one configuration, with the findings so far.
type sourceSet struct {
	sources     []*source // the root first, each file before those that it includes
	byRealPath  map[string]*source
	globMatches map[string][]string // file names by pattern
	linkTargets map[string]string   // each symbolic link is read once, so that all files are found by the same targets
	findings    Findings
}

func newSourceSet() *sourceSet {
	return &sourceSet{byRealPath: map[string]*source{}, globMatches: map[string][]string{}, linkTargets: map[string]string{}}
}

// report adds a finding at a position. One without a file is reported in the root file.
func (s *sourceSet) report(pos token.Pos, severity Severity, message, resolution string) {
	s.reportInFile(s.rootFile(), pos, severity, message, resolution)
}

// reportInFile adds a finding at a position. file is named if the position has none of its own.
func (s *sourceSet) reportInFile(file string, pos token.Pos, severity Severity, message, resolution string) {
	f := Finding{File: file, Severity: severity, Message: message, Resolution: resolution}
	if pos.IsValid() {
		f.Line = pos.Line()
		f.Column = pos.Column()
		if name := pos.Filename(); name != "" {
			f.File = name
		}
	}
	s.findings = append(s.findings, f)
}

// rootFile returns the name of the file that the others are included from; "" if none was read.
func (s *sourceSet) rootFile() string {
	if len(s.sources) > 0 {
		return s.sources[0].name
	}
	return ""
}

// readSources reads a file and all that it includes as one consistent set: if a file, a link or the matches of a pattern
// changed meanwhile, all is read again.
func readSources(path string) *sourceSet {
	for attempt := 1; ; attempt++ {
		s := newSourceSet()
		s.addFile(path, path, nil, token.NoPos) // no position: nothing includes the root
		changed := s.changedPath()
		if changed == "" {
			return s
		}
		if attempt == maxReadAttempts {
			s.findings = nil
			s.reportInFile(changed, token.NoPos, Error, "the file changes while it is read", "write it beside its place and rename it")
			return s
		}
		time.Sleep(minSettledAge)
	}
}

// changedPath returns a file, link or pattern that is no longer what was read; "" if there is none.
func (s *sourceSet) changedPath() string {
	s.awaitSettled()
	for _, src := range s.sources {
		if src.hasChanged() {
			return src.name
		}
	}
	for link, target := range s.linkTargets {
		if now, err := os.Readlink(link); err != nil || now != target {
			return link
		}
	}
	for pattern, before := range s.globMatches {
		now, _ := sortedGlob(pattern) // the pattern was valid before
		if !slices.Equal(now, before) {
			return pattern
		}
	}
	return ""
}

// hasChanged reports whether the file is no longer the one that was read.
func (src *source) hasChanged() bool {
	now, err := os.Stat(src.realPath)
	if err != nil || !os.SameFile(now, src.info) {
		return true
	}
	return now.Size() != src.info.Size() || !now.ModTime().Equal(src.info.ModTime())
}

// awaitSettled waits if a file is so young that it may be half written.
func (s *sourceSet) awaitSettled() {
	isYoung := func(src *source) bool {
		age := time.Since(src.info.ModTime())
		return -maxClockSkew < age && age < minSettledAge
	}
	if slices.ContainsFunc(s.sources, isYoung) {
		time.Sleep(minSettledAge)
	}
}

// addText adds a text that was not read from a file of the set. name is the file in its findings.
func (s *sourceSet) addText(name string, text []byte) *source {
	src := &source{name: name, text: text}
	s.sources = append(s.sources, src)
	s.parse(src)
	return src
}

// addFile reads one file, unless it was read before, and then what it includes. displayName is the name in findings,
// chain the files through which it was reached, from the root on, and pos the position of the include; the root has none.
func (s *sourceSet) addFile(name, displayName string, chain []*source, pos token.Pos) {
	realPath, err := s.resolveLinks(name)
	if err != nil {
		s.reportInFile(name, pos, Error, fmt.Sprintf("file %q %s", displayName, describeReadError(err)), "")
		return
	}
	if cycle := includeCycle(chain, realPath); cycle != nil {
		s.report(pos, Error, "files include each other in a circle: "+strings.Join(append(cycle, name), " -> "),
			"take one of these includes out")
		return
	}
	if s.byRealPath[realPath] != nil {
		return // a file counts once, however it is reached
	}
	if len(s.sources) >= maxFiles {
		s.report(pos, Error, fmt.Sprintf("over %d files", maxFiles), "")
		return
	}
	src := &source{name: name, realPath: realPath}
	s.byRealPath[realPath] = src
	if err := src.read(); err != nil {
		s.reportInFile(name, pos, Error, fmt.Sprintf("file %q %s", displayName, describeReadError(err)), "")
		return
	}
	s.sources = append(s.sources, src)
	s.parse(src)
	if src.file == nil {
		return
	}
	chain = append(slices.Clone(chain), src)
	for _, inc := range s.extractIncludes(src) {
		s.addInclude(inc, src, chain)
	}
}

// includeCycle returns the names of the files in the chain from realPath on; nil if realPath is not in the chain.
func includeCycle(chain []*source, realPath string) []string {
	start := slices.IndexFunc(chain, func(src *source) bool { return src.realPath == realPath })
	if start < 0 {
		return nil
	}
	var names []string
	for _, src := range chain[start:] {
		names = append(names, src.name)
	}
	return names
}

var (
	errIsDirectory  = errors.New("is a folder, not a file")
	errTooManyLinks = errors.New("leads through too many links")
)

// read reads the file at the real path.
func (src *source) read() error {
	var err error
	if src.info, err = os.Stat(src.realPath); err != nil {
		return err
	}
	if src.info.IsDir() {
		return errIsDirectory
	}
	if src.info.Size() > maxFileMiB<<20 {
		return fmt.Errorf("is larger than %d MiB", maxFileMiB)
	}
	src.text, err = os.ReadFile(src.realPath)
	return err
}

// describeReadError returns the predicate of a sentence about a file that could not be read.
func describeReadError(err error) string {
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "does not exist"
	case errors.Is(err, fs.ErrPermission):
		return "may not be read by this user"
	}
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return "cannot be read: " + pathError.Err.Error()
	}
	return err.Error()
}

// resolveLinks returns a path without symbolic links, by the target that each link had when it was first met.
func (s *sourceSet) resolveLinks(path string) (string, error) {
	path, err := filepath.Abs(path)
	if err != nil {
		return "", err
	}
	resolved := "/"
	remaining := strings.Split(path, "/")
	for steps := 0; len(remaining) > 0; steps++ {
		if steps > maxPathSteps {
			return "", errTooManyLinks
		}
		next := filepath.Join(resolved, remaining[0])
		remaining = remaining[1:]
		target, isLink, err := s.linkTarget(next)
		if err != nil {
			return "", err
		}
		if !isLink {
			resolved = next
			continue
		}
		if filepath.IsAbs(target) {
			resolved = "/"
		}
		remaining = append(strings.Split(target, "/"), remaining...)
	}
	return resolved, nil
}

// linkTarget returns where a symbolic link leads; false if the path is no link.
func (s *sourceSet) linkTarget(path string) (target string, isLink bool, err error) {
	if target, known := s.linkTargets[path]; known {
		return target, true, nil
	}
	info, err := os.Lstat(path)
	if err != nil || info.Mode()&fs.ModeSymlink == 0 {
		return "", false, err
	}
	if target, err = os.Readlink(path); err != nil {
		return "", false, err
	}
	s.linkTargets[path] = target
	return target, true, nil
}

// parse parses a file's text. If it fails, the errors are reported and the source has no file.
func (s *sourceSet) parse(src *source) {
	file, err := parser.ParseFile(src.name, src.text, parser.ParseComments)
	if err != nil {
		s.reportSyntaxErrors(src.name, err)
		return
	}
	src.file = file
}
