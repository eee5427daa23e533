package faultinject

import (
	"cmp"
	"context"
	"path"
	"slices"
	"sync"

	"example.org/micafront/internal/apperror"
)

var (
	invalidFault = apperror.NewKind("faultnet/fault",
		"correct the fault: a known kind and direction, no figure below 0, and the figures that the kind needs")
	invalidLinks = apperror.NewKind("faultnet/links",
		"name links that are open, or a pattern that path.Match takes; * does not go across a /")
	linkFailed = apperror.NewKind("faultnet/link", "free the port or raise the number of descriptors that the process may have")
)

// Net is a set of links and their faults. It implements Injector and is safe for concurrent use.
type Net struct {
	seed   uint64
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup // goroutines of listeners and connections

	mu      sync.Mutex
	links   map[string]*link
	waiters []*connectionWaiter

	logMu sync.Mutex
	log   []LogEntry
}

var _ Injector = (*Net)(nil)

// New returns a network without links, whose random choices depend on the seed. The network closes when the context ends or
// Close is called. Only Close waits for its goroutines.
func New(ctx context.Context, seed uint64) *Net {
	n := &Net{seed: seed, links: map[string]*link{}}
	n.ctx, n.cancel = context.WithCancel(ctx)
	context.AfterFunc(n.ctx, n.closeLinks)
	return n
}

// Close implements Injector. It returns when all goroutines of the network have ended.
func (n *Net) Close() {
	n.cancel()
	n.closeLinks()
	n.wg.Wait()
}

func (n *Net) closeLinks() {
	for _, l := range n.sortedLinks() {
		l.close()
	}
}

// sortedLinks returns all links, sorted by name.
func (n *Net) sortedLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*link
	for _, l := range n.links {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *link) int { return cmp.Compare(a.name, b.name) })
	return out
}

// Link implements Injector. The relay listens on a free loopback port.
func (n *Net) Link(name, target string) (Link, error) {
	l := &link{owner: n, name: name, target: target, conns: map[*conn]bool{}, faultsChanged: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, used := n.links[name]
	switch {
	case name == "":
		return nil, invalidLinks.New("opening a link", "the name is empty")
	case used:
		return nil, invalidLinks.New(name, "the name is already in use")
	case n.ctx.Err() != nil:
		return nil, invalidLinks.New(name, "the network is closed")
	}
	if err := l.listen("127.0.0.1:0"); err != nil {
		return nil, linkFailed.Wrap(name, err)
	}
	n.links[name] = l
	return l, nil
}

// matching returns the links whose names match the pattern. If there are none, it returns an error, because a test whose
// faults have no effect would prove nothing.
func (n *Net) matching(pattern string) ([]*link, error) {
	if _, err := path.Match(pattern, ""); err != nil {
		return nil, invalidLinks.Wrap(pattern, err)
	}
	links := slices.DeleteFunc(n.sortedLinks(), func(l *link) bool { return !matches(pattern, l.name) })
	if len(links) == 0 {
		return nil, invalidLinks.New(pattern, "no link matches the pattern")
	}
	return links, nil
}

// matches reports whether a name matches a pattern that is known to be valid.
func matches(pattern, name string) bool {
	ok, _ := path.Match(pattern, name) // matching has checked the pattern
	return ok
}

// Set implements Injector. When it returns, an immediate Reset has been done, and other faults apply to all bytes sent from
// then on. Links are changed in the order of their names; after an error, the remaining links are unchanged.
func (n *Net) Set(pattern string, f Fault) error {
	if err := f.validate(); err != nil {
		return err
	}
	return n.forEachMatching(pattern, func(l *link) error { return l.setFault(f) })
}

// Clear implements Injector.
func (n *Net) Clear(pattern string, kind Kind) error {
	return n.forEachMatching(pattern, func(l *link) error { return l.clearFaults(kind) })
}

// Tap implements Injector.
func (n *Net) Tap(pattern string, observe func(Segment)) error {
	return n.forEachMatching(pattern, func(l *link) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.observe = observe
		return nil
	})
}

func (n *Net) forEachMatching(pattern string, apply func(*link) error) error {
	links, err := n.matching(pattern)
	if err != nil {
		return err
	}
	for _, l := range links {
		if err := apply(l); err != nil {
			return linkFailed.Wrap(l.name, err)
		}
	}
	return nil
}

func (n *Net) addLogEntry(entry LogEntry) {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	n.log = append(n.log, entry)
}

// Log implements Injector. A Delay, Rate, Split or Blackhole has one entry per direction of a connection, with the offset of
// the first byte that it applied to. A Corrupt has one entry per changed byte, up to MaxLoggedCorruptions.
func (n *Net) Log() []LogEntry {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	out := slices.Clone(n.log)
	slices.SortFunc(out, func(a, b LogEntry) int {
		return cmp.Or(cmp.Compare(a.Link, b.Link), cmp.Compare(a.Connection, b.Connection),
			cmp.Compare(a.Direction, b.Direction), cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Kind, b.Kind))
	})
	return out
}
