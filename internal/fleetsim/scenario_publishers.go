package fleetsim

import (
	"bytes"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/federation"
)

// meshesPublish reports whether the run has meshes that publish to the replicas. The operator's drafts have no catalog
// then, and the leader completes them.
func (s *scenario) meshesPublish() bool { return len(s.draft.Inputs.Meshes) == 0 }

// startPublishers has the meshes, in a run that has them, publish until a time. Now and then one is disconnected.
func (s *scenario) startPublishers(until time.Duration) {
	if !s.meshesPublish() {
		return
	}
	meshes := federatedMeshes()
	s.fleet.SetFederationTerms(federation.Terms{Meshes: meshes})
	for _, mesh := range meshes {
		m := s.fleet.AddMesh(mesh.Name)
		publish := func() { s.publishRandomServices(m) }
		publish()
		s.repeat(2*time.Second, 8*time.Second, until, publish)
		s.repeat(5*time.Second, 20*time.Second, until, func() {
			s.disconnect([]string{m.Name}, s.replicaNames(), true, 2*meshTimeout) // long enough to be lost
		})
	}
}

// publishRandomServices has a mesh publish some of the service names, or none.
func (s *scenario) publishRandomServices(m *Mesh) {
	var services []catalog.Service
	for _, name := range serviceNames {
		if s.randomInt(3) > 0 {
			services = append(services, serviceOf(m.Name, name))
		}
	}
	m.Publish(services...)
}

// awaitCatalog checks I7: once all faults have ended, the merged catalog becomes active, unless nodes or routes reject it.
func (s *scenario) awaitCatalog() {
	f := s.fleet
	if len(f.Meshes) == 0 || f.Violation != nil {
		return
	}
	active := func() bool {
		leader := f.Leader()
		if leader == nil || !f.Settled() {
			return false
		}
		merged, _ := leader.state.Federation().EncodedCatalog()
		return merged != nil && (bytes.Equal(merged, f.Active().Body.Catalog) || leader.proposer.BlockedReason() != "")
	}
	s.await("I7: the merged catalog after all faults", DefaultTerms.MemberTimeout+healingTime, active)
}
