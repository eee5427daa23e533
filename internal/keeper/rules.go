package keeper

import (
	"example.org/micafront/internal/agreement"
	"example.org/micafront/internal/config"
	"example.org/micafront/internal/routing"
)

// checkRules refuses a proposal that no proxy could act on, before it is in the log: the settings are whole and make
// sense, and the routes compile. It takes what the Book takes, and what each proxy will find again.
func checkRules(p agreement.Propose) error {
	if p.Body == nil {
		return nil // a rollback; the Book knows whether the version is there
	}
	body, err := p.Body.Checked("proposal")
	if err != nil {
		return err
	}
	if _, _, err := config.DecodeSettings(body.Settings); err != nil {
		return BrokenRules.Wrap("proposal: settings", err)
	}
	set, err := config.DecodeRoutes(body.Routing)
	if err != nil {
		return BrokenRules.Wrap("proposal: routing", err)
	}
	if _, err := routing.New(set); err != nil {
		return BrokenRules.Wrap("proposal: routing", err)
	}
	return nil
}
