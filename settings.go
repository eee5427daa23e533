package micafront

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// validate refuses settings that make no sense. It decides nothing about traffic.
func (set *Settings) validate() error {
	set.Classes = slices.Clone(set.Classes)
	set.Tenants = slices.Clone(set.Tenants)
	if len(set.Classes) == 0 {
		return errors.New("no classes")
	}
	for _, c := range set.Classes {
		if c.Aim < 0 || c.GiveUp <= 0 || c.MessageAim < 0 || c.Memory < 0 || !(c.Worth >= 0) ||
			math.IsInf(c.Worth, 0) {
			return fmt.Errorf("class %q has a figure that makes no sense", c.Name)
		}
	}
	for _, t := range set.Tenants {
		if !(t.PerSecond >= 0) || !(t.Share >= 0) || !(t.Connections >= 0) {
			return fmt.Errorf("tenant %q has a figure that makes no sense", t.Name)
		}
	}
	l, r := set.Limits, set.Rules
	switch {
	case set.Nodes < 1:
		return errors.New("Nodes must be at least 1")
	case l.Attempts < 1:
		return errors.New("Limits.Attempts must be at least 1")
	case l.ConnectTimeout <= 0 || l.MaxRetryAfter < 0 || l.MaxOpen < 0:
		return errors.New("a limit is negative, or ConnectTimeout is not positive")
	case r.Cold <= 0 || r.Fall <= 0 || r.DrainGrace < 0 || r.AnswerSlack < 0 || r.AskEvery < 0:
		return errors.New("a rule's time is negative, or Cold or Fall is not positive")
	case !(r.ColdFrom > 0 && r.ColdFrom <= 1):
		return errors.New("Rules.ColdFrom must be above 0 and at most 1")
	case !(r.OverloadFactor > 0) || math.IsInf(r.OverloadFactor, 0):
		return errors.New("Rules.OverloadFactor must be positive")
	case set.Subscribe && r.AskEvery == 0:
		return errors.New("Rules.AskEvery is needed where discovery is asked")
	}
	return nil
}
