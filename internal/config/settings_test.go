package config

import (
	"fmt"
	"testing"
	"time"

	"example.org/micafront/internal/testing/testkit"
)

// TestDiscoveryInterval checks that a proxy on sockets always subscribes to lists: with pushedListInterval if they are pushed,
// regardless of the interval in the settings, and with that interval if they are polled.
func TestDiscoveryInterval(t *testing.T) {
	const settings = `{"Balancers":1,"Discovery":%q,"Categories":[{"Name":"feed","Aim":1,"GiveUp":2,"Credit":1,"Effect":"safe"}],
		"Limits":{"AttemptsCap":1,"ConnectTimeout":1,"MaxOpen":1,"MaxRetryAfter":1},
		"Invariants":{"AnswerSlack":0,"AskEvery":%d,"Cold":1,"ColdFrom":1,"DrainGrace":1,"Fall":1,"OverloadFactor":1}}`
	for _, c := range []struct {
		name     string
		mode     string
		askEvery int // seconds
		want     time.Duration
	}{
		{"pushed, no interval", "automatic", 0, pushedListInterval},
		{"pushed, with an interval", "automatic", 10, pushedListInterval},
		{"polled", "subscribe", 10, 10 * time.Second},
	} {
		set, _, err := DecodeSettings(fmt.Appendf(nil, settings, c.mode, c.askEvery))
		testkit.Equal(t, c.name, []any{true, c.want, nil}, []any{set.Subscribe, set.Rules.DiscoveryInterval, err})
	}
}
