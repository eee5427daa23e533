package fleetsim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/catalog"
	"example.org/micafront/internal/fleetconfig"
)

// operatorName is the proposer's name in the operator's proposals. It appears in histories and in the trace.
const operatorName = "staff"

// operate submits a random request of the operator: a rollback, a withdrawal or, in most cases, a proposal.
func (s *scenario) operate() {
	switch s.randomInt(8) {
	case 0:
		s.rollBack()
	case 1:
		s.withdraw()
	default:
		s.propose(false)
	}
}

// rollBack proposes a random earlier version again, if there is one.
func (s *scenario) rollBack() {
	active := s.fleet.Active().Number
	if active <= 1 {
		return
	}
	rollbackOf := 1 + uint64(s.randomInt(int(active)-1))
	s.fleet.Submit(fleetconfig.Command{Propose: &fleetconfig.Propose{RollbackOf: rollbackOf, ProposedBy: operatorName}})
}

// withdraw withdraws the leader's proposed version, if there is one.
func (s *scenario) withdraw() {
	leader := s.fleet.Leader()
	if leader == nil {
		return
	}
	if proposed, ok := leader.state.Proposed(); ok {
		withdraw := &fleetconfig.Withdraw{Number: proposed.Number, Reason: "withdrawn by the operator"}
		s.fleet.Submit(fleetconfig.Command{Withdraw: withdraw})
	}
}

// propose changes the draft and proposes it. The proposal is based on the version that is active at a random replica, which may
// be outdated. With mustSucceed, the proposal compiles and is based on the fleet's active version. As in randomConfig, the order
// of the random draws must not change.
func (s *scenario) propose(mustSucceed bool) *Request {
	s.changeRoutes()
	s.changeTerms()
	if !s.meshesPublish() {
		s.changePublications()
	}
	var base *fleetconfig.Version
	if active, ok := pick(s, s.fleet.Replicas).state.Active(); ok {
		base = &active
	}
	if active := s.fleet.Active(); mustSucceed && active.Number > 0 {
		base = &active
	}
	proposal := &fleetconfig.Propose{ProposedBy: operatorName, Force: s.randomInt(4) == 0}
	proposal.Body, _ = s.fleet.BuildBody(&s.draft, base)
	if !s.fleet.compiles(proposal.Body) && (proposal.Force || mustSucceed || s.randomInt(4) > 0) {
		// In most cases the operator validates a proposal, and removes the routes to services if it does not compile.
		maps.DeleteFunc(s.draft.Routes, func(_, pool string) bool { return strings.HasPrefix(pool, catalog.ServicePrefix) })
		proposal.Body, _ = s.fleet.BuildBody(&s.draft, base)
	}
	if base != nil {
		proposal.Base = base.Number
	}
	return s.fleet.Submit(fleetconfig.Command{Propose: proposal})
}

// changeRoutes changes some of the draft's routes, and sometimes adds a large route or removes all large routes.
func (s *scenario) changeRoutes() {
	d := &s.draft
	for range 1 + s.randomInt(3) {
		key := KeyName(s.randomInt(s.fleet.KeyCount))
		d.Routes[key] = pick(s, []string{"a", "b", "c", "d", catalog.ServicePrefix + "mail"})
	}
	if s.randomInt(4) != 0 {
		return
	}
	if len(d.LargeRoutes) > 0 && s.randomInt(2) == 0 {
		clear(d.LargeRoutes)
		return
	}
	name := fmt.Sprint("heavy", s.randomInt(3))
	d.LargeRoutes[name] = 20 + s.randomInt(300) // keys
}

// changeTerms sometimes changes the draft's timeouts.
func (s *scenario) changeTerms() {
	if s.randomInt(8) != 0 {
		return
	}
	terms := pick(s, []fleetconfig.Terms{
		DefaultTerms,
		{AgreementTimeout: time.Second, MemberTimeout: 4 * time.Second},
		{AgreementTimeout: 2 * time.Second, MemberTimeout: 2 * time.Second},
	})
	if s.fleet.DefaultLink.MaxDelay <= maxLinkDelay || terms.AgreementTimeout == DefaultTerms.AgreementTimeout {
		s.draft.Terms.AgreementTimeout = terms.AgreementTimeout
		s.draft.Terms.MemberTimeout = terms.MemberTimeout
	}
}

// serviceNames lists the services that a mesh may publish. All meshes share them, so that names conflict.
var serviceNames = []string{"mail", "feed", "chat"}

// meshService returns the named service of a mesh, with an owner and a contract that only this mesh uses.
func meshService(mesh, name string) catalog.Service {
	return NewService(mesh, name, "team-"+mesh, name+"-of-"+mesh)
}

// changePublications replaces the publication of a random mesh in the draft. If the mesh is marked lost, it removes the mark;
// otherwise it sometimes marks the mesh lost.
func (s *scenario) changePublications() {
	in := &s.draft.Inputs
	in.Publications = slices.Clone(in.Publications)
	in.Lost = slices.Clone(in.Lost)
	mesh := pick(s, in.Meshes).Name
	next := catalog.Publication{Mesh: mesh, Epoch: 1}
	i := slices.IndexFunc(in.Publications, func(p catalog.Publication) bool { return p.Mesh == mesh })
	if i >= 0 {
		next.Epoch = in.Publications[i].Epoch + uint64(s.randomInt(2))
		next.Seq = in.Publications[i].Seq + 1
		in.Publications = slices.Delete(in.Publications, i, i+1)
	}
	for _, name := range serviceNames {
		if s.randomInt(3) > 0 || name == "mail" && len(in.Publications) == 0 {
			next.Services = append(next.Services, meshService(mesh, name))
		}
	}
	in.Publications = append(in.Publications, next)
	switch i := slices.IndexFunc(in.Lost, func(l catalog.Loss) bool { return l.Mesh == mesh }); {
	case i >= 0:
		in.Lost = slices.Delete(in.Lost, i, i+1)
	case s.randomInt(5) == 0:
		in.Lost = append(in.Lost, catalog.Loss{Mesh: mesh, Since: s.fleet.agreedTime()})
	}
}
