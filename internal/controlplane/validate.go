package controlplane

import (
	"example.org/micafront/internal/configbundle"
	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
)

// validateProposal rejects a proposal that no proxy could apply, before it enters the log: the settings must be complete
// and valid, services must have providers, and the routes must compile. It accepts only what the state machine accepts. It
// does not check what a mesh imports, because replicas do not know whether a proxy belongs to a mesh: a proxy that cannot
// resolve a service rejects the version and names the service.
func validateProposal(proposal fleetconfig.Propose) error {
	if proposal.Body == nil {
		return nil // a rollback: the state machine checks that the version exists, and the version's body contains a catalog
	}
	body, err := proposal.Body.Validated("proposal")
	if err != nil {
		return err
	}
	bundle, err := configbundle.Decode(body, configbundle.Locality{})
	if err != nil {
		return InvalidProposal.Wrap("proposal", err)
	}
	if _, err := routing.New(bundle.Routing); err != nil {
		return InvalidProposal.Wrap("proposal: routing", err)
	}
	return nil
}
