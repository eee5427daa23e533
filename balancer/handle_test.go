package balancer

import (
	"fmt"
	"testing"
	"time"
)

// TestDeterministic checks that the same seed and events produce the same actions.
func TestDeterministic(t *testing.T) {
	run := func() string {
		b := startBalancer(t, testSettings(), testEndpoints(9), 5)
		text := ""
		for i := range 400 {
			now := 2*sec + time.Duration(i)*20*ms
			req := testRequest(i, now)
			req.Group = fmt.Sprintf("g%d", i%7)
			actions := b.Handle(now, req)
			text += fmt.Sprint(actions)
			if endpoint := sentTo(actions); endpoint != "" {
				text += fmt.Sprint(b.Handle(now, Established{ID: req.ID, Endpoint: endpoint}))
				text += fmt.Sprint(b.Handle(now, LatencyChanged{ID: req.ID, Endpoint: endpoint, Latency: time.Duration(i%130) * ms}))
			}
		}
		return text
	}
	if first, second := run(), run(); first != second {
		t.Error("two runs with the same seed and events returned different actions")
	}
}
