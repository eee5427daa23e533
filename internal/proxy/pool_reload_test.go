package proxy

import (
	"runtime"
	"testing"
	"time"
	"weak"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
)

// TestRemovedPoolIsReleased guards against a leak: the periodic timer of a removed pool's balancer kept the balancer in memory,
// and called it for ever.
func TestRemovedPoolIsReleased(t *testing.T) {
	p := newScaledProxy(t, true)
	p.applyList(balancer.CachedList, scaledEntries(0, 6, discovery.InService))
	p.applyConfig(p.config.Settings, p.config.LoadIsLatency, zonePools(t))
	removed := weak.Make(p.pools.active[1].balancer)
	p.applyConfig(p.config.Settings, p.config.LoadIsLatency, p.config.Routes)
	done := make(chan error, 1)
	go func() { done <- p.Run() }()
	for end := time.Now().Add(10 * time.Second); removed.Value() != nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Error("the removed pool's balancer is still in memory")
			break
		}
		runtime.GC()
	}
	_ = p.loop.Stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
