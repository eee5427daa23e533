package balancer

import (
	"strings"
	"testing"
)

// TestNewRejectsInvalidSettings checks that the error names a setting by its key in a settings file.
func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, test := range map[string]struct {
		invalidate func(*Settings)
		want       string
	}{
		"no classes":      {func(settings *Settings) { settings.Classes = nil }, "no classes"},
		"no nodes":        {func(settings *Settings) { settings.Nodes = 0 }, "Balancers must"},
		"attempts 0":      {func(settings *Settings) { settings.Limits.Attempts = 0 }, "Limits.AttemptsCap must"},
		"negative retry":  {func(settings *Settings) { settings.Limits.MaxRetryAfter = -1 }, "Limits.MaxRetryAfter must"},
		"timeout 0":       {func(settings *Settings) { settings.Classes[0].Timeout = 0 }, `class "light": GiveUp must`},
		"priority NaN":    {func(settings *Settings) { settings.Classes[0].PriorityWeight = notANumber() }, `class "light": Credit must`},
		"capacity NaN":    {func(settings *Settings) { settings.Rules.InitialCapacity = notANumber() }, "Invariants.ColdFrom must"},
		"capacity 2":      {func(settings *Settings) { settings.Rules.InitialCapacity = 2 }, "Invariants.ColdFrom must"},
		"factor 0":        {func(settings *Settings) { settings.Rules.OverloadFactor = 0 }, "Invariants.OverloadFactor must"},
		"window 0":        {func(settings *Settings) { settings.Rules.OverloadWindow = 0 }, "Invariants.Fall must"},
		"negative tenant": {func(settings *Settings) { settings.Tenants = []Tenant{{Name: "a", Share: -1}} }, `tenant "a": Share must`},
		"interval 0": {func(settings *Settings) { settings.Subscribe, settings.Rules.DiscoveryInterval = true, 0 },
			"Invariants.AskEvery must be above 0 where Discovery is subscribe"},
	} {
		settings := testSettings()
		test.invalidate(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, test.want)
		}
	}
	if _, err := New(testSettings(), 1); err != nil {
		t.Error(err)
	}
}

func notANumber() float64 { var z float64; return z / z }
