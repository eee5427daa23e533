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
	maxReadAttempts = 5   // for a set of files that changes while it is read
	maxPathSteps    = 255 // path components and symbolic links to resolve for one file
)

const (
	// minSettledAge is the age at which a file counts as completely written. A younger file is checked again after this time.
	minSettledAge = 100 * time.Millisecond
	// maxClockSkew is how far a modification time may be in the future for the file to still count as just modified.
	maxClockSkew = time.Hour
)

// source is one file that was read, or a text that was passed in place of a file.
type source struct {
	name     string      // as given: the root's path, or one joined to the including file's folder
	realPath string      // without symbolic links; "" for a text
	info     fs.FileInfo // as of the read; nil for a text
	text     []byte
	file     *ast.File // the parsed text without its include lists; nil if it has syntax errors
}

// sourceSet is all files of one configuration, with the findings so far.
type sourceSet struct {
	sources     []*source // the root first, each file before those that it includes
	byRealPath  map[string]*source
	globMatches map[string][]string // file names by pattern
	linkTargets map[string]string   // targets by symbolic link; each link is read only once, so that all paths resolve consistently
	findings    Findings
}

func newSourceSet() *sourceSet {
	return &sourceSet{byRealPath: map[string]*source{}, globMatches: map[string][]string{}, linkTargets: map[string]string{}}
}

// report adds a finding at a position. One without a file is reported in the root file.
func (s *sourceSet) report(pos token.Pos, severity Severity, message, resolution string) {
	s.reportInFile(s.rootFile(), pos, severity, message, resolution)
}

// reportInFile adds a finding at a position. The finding names file if the position has no file name.
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

// readSources reads a file and all files that it includes as one consistent set. If a file, a link or the matches of a
// pattern change meanwhile, it reads everything again, at most maxReadAttempts times in all.
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

// changedPath returns a file, link or pattern that has changed since it was read; "" if there is none.
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

// hasChanged reports whether the file was replaced, modified or removed since it was read.
func (src *source) hasChanged() bool {
	now, err := os.Stat(src.realPath)
	if err != nil || !os.SameFile(now, src.info) {
		return true
	}
	return now.Size() != src.info.Size() || !now.ModTime().Equal(src.info.ModTime())
}

// awaitSettled waits if a file was modified so recently that it may be only partly written.
func (s *sourceSet) awaitSettled() {
	isRecent := func(src *source) bool {
		age := time.Since(src.info.ModTime())
		return -maxClockSkew < age && age < minSettledAge
	}
	if slices.ContainsFunc(s.sources, isRecent) {
		time.Sleep(minSettledAge)
	}
}

// addText adds a text that is not read from a file. Its findings use name as the file name.
func (s *sourceSet) addText(name string, text []byte) *source {
	src := &source{name: name, text: text}
	s.sources = append(s.sources, src)
	s.parse(src)
	return src
}

// addFile reads one file, unless it was read before, and the files that it includes. displayName is its name in findings,
// chain holds the files from the root to the including file, and pos is the position of the include. The root file has an
// empty chain and no position.
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
		return // a file is read once, even if several paths lead to it
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

// includeCycle returns the names of the files in the chain, starting at realPath; nil if realPath is not in the chain.
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

// describeReadError returns the reason why a file could not be read, worded to follow the file's name in a sentence.
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

// resolveLinks returns a path without symbolic links. It uses the target that each link had when it was first read.
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

// linkTarget returns the target of a symbolic link; false if the path is not a link.
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

// parse parses a source's text. If that fails, it reports the errors and leaves src.file nil.
func (s *sourceSet) parse(src *source) {
	file, err := parser.ParseFile(src.name, src.text, parser.ParseComments)
	if err != nil {
		s.reportSyntaxErrors(src.name, err)
		return
	}
	src.file = file
}
