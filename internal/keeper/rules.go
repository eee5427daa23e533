package keeper

import (
	"example.org/micafront/internal/agreement"
	"example.org/micafront/internal/routing"
	"example.org/micafront/internal/rulebook"
)

// checkRules refuses a proposal that no proxy could act on, before it is in the log: the settings are whole and make
// sense, services have homes for the proxies of every mesh, and the routes compile. It takes what the Book takes, and what
// each proxy will find again.
func checkRules(p agreement.Propose) error {
	if p.Body == nil {
		return nil // a rollback; the Book knows whether the version is there, and its body has its own catalog
	}
	body, err := p.Body.Checked("proposal")
	if err != nil {
		return err
	}
	rules, err := rulebook.Decode(body)
	if err != nil {
		return BrokenRules.Wrap("proposal", err)
	}
	for i, at := range rules.Places() {
		place := "proposal"
		if i > 0 {
			place += ": for " + at.String()
		}
		bound, err := rules.Bind(at)
		if err != nil {
			return BrokenRules.Wrap(place, err)
		}
		if i > 0 {
			continue // they differ in which pools go first, not in what they need
		}
		if _, err := routing.New(bound.Set); err != nil {
			return BrokenRules.Wrap("proposal: routing", err)
		}
	}
	return nil
}
