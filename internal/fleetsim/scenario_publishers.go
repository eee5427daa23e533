package fleetsim

import (
	"bytes"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/federation"
)

// meshesPublish reports whether the run has meshes that publish to the replicas. In such a run, the operator's drafts contain no
// catalog, and the leader adds it.
func (s *scenario) meshesPublish() bool { return len(s.draft.Inputs.Meshes) == 0 }

// startPublishers starts the meshes of a run that has them. They publish until a true time, and are sometimes disconnected.
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
			s.disconnect([]string{m.Name}, s.replicaNames(), true, 2*meshTimeout) // long enough for the mesh to be marked lost
		})
	}
}

// publishRandomServices makes a mesh publish a random selection of the services, possibly none.
func (s *scenario) publishRandomServices(m *Mesh) {
	var services []catalog.Service
	for _, name := range serviceNames {
		if s.randomInt(3) > 0 {
			services = append(services, meshService(m.Name, name))
		}
	}
	m.Publish(services...)
}

// awaitCatalog checks that the merged catalog becomes active after all faults have ended, unless the proposer is blocked because
// nodes or routes reject the catalog. It is part of I7.
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
