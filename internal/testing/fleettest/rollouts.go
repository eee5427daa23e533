package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/fakes"
	"example.org/micafront/internal/testing/faultinject"
)

func (f *Fleet) addRollout(rollout Rollout) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rollouts = append(f.rollouts, rollout)
}

// Propose proposes the next version and returns its number. In a fleet without replicas it rewrites the configuration files of all
// proxies except the given ones and sends them SIGHUP. It does not wait until the version is active.
func (f *Fleet) Propose(except ...*Proxy) (uint64, error) {
	f.mu.Lock()
	next := uint64(len(f.rollouts) + 1)
	f.mu.Unlock()
	f.addRollout(Rollout{Number: next, Pool: contestedPool(next), ProposedAt: time.Now()})
	if len(f.Replicas) > 0 {
		return next, f.propose(next)
	}
	return next, f.forEachProxy(f.ProxiesExcept(except...), func(p *Proxy) error {
		text, err := os.ReadFile(p.configPath)
		if err != nil {
			return err
		}
		var config proxyConfig
		if err := json.Unmarshal(text, &config); err != nil {
			return err
		}
		config.Routing = routes(next)
		if err := writeJSON(p.configPath, config); err != nil {
			return err
		}
		return p.Reload()
	})
}

// AwaitRequestLine waits until a proxy has written a request line that follows a version.
func (f *Fleet) AwaitRequestLine(number uint64) error {
	ctx, cancel := context.WithTimeout(f.ctx, fakes.WaitTimeout)
	defer cancel()
	f.mu.Lock()
	rollout := f.rollouts[number-1]
	f.mu.Unlock()
	follows := func(line RequestLine) bool { return line.Pool == rollout.Pool && line.At.After(rollout.ProposedAt) }
	for checked := 0; ; pause(ctx, localPollInterval) {
		f.mu.Lock()
		found := slices.ContainsFunc(f.requestLines[checked:], follows)
		checked = len(f.requestLines)
		f.mu.Unlock()
		if found {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("no request line followed version %d: %w", number, ctx.Err())
		}
	}
}

// recordRequestLine records the first line of a connection from a proxy to an endpoint if it is a request of the contested class.
func (f *Fleet) recordRequestLine(segment faultinject.Segment) {
	if segment.Direction != faultinject.Up || segment.Offset != 0 {
		return
	}
	words := bytes.Fields(segment.Data)
	contested := len(words) > 2 && string(words[0]) == "OPEN" && bytes.HasPrefix(words[2], []byte(ContestedClass))
	if !contested {
		return
	}
	proxy, endpoint, _ := strings.Cut(segment.Link, "/")
	line := RequestLine{
		At:       segment.At,
		Proxy:    proxy,
		Endpoint: endpoint,
		Pool:     poolOfEndpoint(endpoint),
		ID:       string(words[1]),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestLines = append(f.requestLines, line)
}
