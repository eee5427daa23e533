package catalog

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"example.org/micafront/internal/apperror"
)

// validateServices drops a mesh's services that are invalid, not exported, drained, or of an owner for which the mesh may not
// publish. validateReexports checks the owners of re-exports.
func (v *validation) validateServices(p *publisher) {
	if !p.isActive() {
		return
	}
	slices.SortFunc(p.services, func(a, b *Service) int {
		if c := cmp.Compare(a.Name, b.Name); c != 0 {
			return c
		}
		return bytes.Compare(appendService(nil, a), appendService(nil, b))
	})
	p.services = slices.DeleteFunc(p.services, func(s *Service) bool { return !v.isPublishable(p, s) })
}

// isPublishable reports whether a mesh's service is kept, and adds a finding if it is not. A service that the terms do not allow
// the mesh to export, or whose drain has ended, is dropped without a finding.
func (v *validation) isPublishable(p *publisher, s *Service) bool {
	mesh := p.name()
	if kind, fault := findFault(s); kind != nil {
		v.add(kind, mesh, s.Name, "%s", fault)
		return false
	}
	if repeated := repeatedMesh(mesh, s); repeated != "" {
		v.add(ReexportLoop, mesh, s.Name, "service %s comes from %s through %s: it passes %s twice", s.Name, s.Origin,
			strings.Join(append(slices.Clone(s.Via), mesh), ", "), repeated)
		return false
	}
	if !matchesAny(p.terms.Export, s.Name) || s.DrainBy != 0 && s.DrainBy.Microseconds() <= v.nowUS {
		return false
	}
	if s.Origin == "" && !v.mayPublishFor(p, s.Owner) {
		v.addUnauthorizedClaim(mesh, s)
		return false
	}
	return true
}

func (v *validation) addUnauthorizedClaim(mesh string, s *Service) {
	v.add(UnauthorizedClaim, mesh, s.Name, "mesh %s may not publish service %s of owner %s; meshes whose terms list this owner: %s",
		mesh, s.Name, s.Owner, cmp.Or(strings.Join(v.meshesByOwner[s.Owner], ", "), "none"))
}

// mayPublishFor reports whether the terms allow a mesh to publish an owner's services as its own.
func (v *validation) mayPublishFor(p *publisher, owner string) bool {
	if len(p.terms.Owners) > 0 {
		return slices.Contains(p.terms.Owners, owner)
	}
	return len(v.meshesByOwner[owner]) == 0
}

// findFault returns the kind and text of a finding about an invalid service record. kind is nil if the record is valid.
func findFault(s *Service) (kind *apperror.Kind, text string) {
	if !IsValidName(s.Name) {
		return BadName, fmt.Sprintf("service %.140q is not a valid name", s.Name)
	}
	pool := &s.Pool
	selector := &s.Pool.Select
	texts := []string{s.Name, s.Owner, s.Contract, s.Class, s.Origin, pool.Name}
	for _, list := range [][]string{texts, s.Zones, s.Via, pool.FormerNames, selector.Zones, selector.MachineTypes, selector.IDPrefixes} {
		if len(list) > maxListEntries || slices.ContainsFunc(list, func(text string) bool {
			return len(text) > maxTextBytes || !utf8.ValidString(text)
		}) {
			return BadService, fmt.Sprintf("one of its texts is over %d bytes or not UTF-8, or one of its lists has over %d entries",
				maxTextBytes, maxListEntries)
		}
	}
	switch {
	case s.Owner == "" || s.Contract == "":
		return BadService, "it has no owner or no contract"
	case !(s.SpareCapacity >= 0 && s.SpareCapacity <= 1): // NaN is invalid too
		return BadService, fmt.Sprintf("its spare is %v, which is not from 0 to 1", s.SpareCapacity)
	case s.LatencyObjective < 0:
		return BadService, fmt.Sprintf("its aim is %v, which is below 0", s.LatencyObjective)
	case pool.MaxOpen < 0 || pool.MaxWaiting < 0:
		return BadService, fmt.Sprintf("its pool has a limit below 0: max_open %d, max_waiting %d", pool.MaxOpen, pool.MaxWaiting)
	case len(selector.Cells) > maxListEntries:
		return BadService, fmt.Sprintf("its pool selects %d cells; at most %d are allowed", len(selector.Cells), maxListEntries)
	case !selector.HasValidSizes():
		return BadService, fmt.Sprintf("its pool selects sizes from %v to %v, which is not a range of finite sizes of 0 or more",
			selector.SizeFrom, selector.SizeTo)
	}
	return nil, ""
}

// repeatedMesh returns a mesh that a re-export passes through twice, or "" if there is none. Via may begin with the origin.
func repeatedMesh(mesh string, s *Service) string {
	if s.Origin == "" && len(s.Via) == 0 {
		return ""
	}
	via := s.Via
	if len(via) > 0 && via[0] == s.Origin {
		via = via[1:]
	}
	for i, passed := range via {
		if passed == s.Origin || passed == mesh || slices.Contains(via[:i], passed) {
			return passed
		}
	}
	if s.Origin == mesh {
		return mesh
	}
	return ""
}

// validateReexports drops a mesh's re-exports that their origin does not publish, unless the terms allow the mesh to publish for
// the owner.
func (v *validation) validateReexports(p *publisher) {
	if !p.isActive() {
		return
	}
	p.services = slices.DeleteFunc(p.services, func(s *Service) bool {
		if s.Origin == "" || v.mayPublishFor(p, s.Owner) || v.originPublishes(s) {
			return false
		}
		v.addUnauthorizedClaim(p.name(), s)
		return true
	})
}

// originPublishes reports whether the origin of a re-export publishes the same service as its own.
func (v *validation) originPublishes(s *Service) bool {
	origin := v.publisherByMesh[s.Origin]
	if origin == nil {
		return false
	}
	for i := origin.firstServiceIndex(s.Name); i < len(origin.services) && origin.services[i].Name == s.Name; i++ {
		if own := origin.services[i]; own.Origin == "" && own.Owner == s.Owner && own.Contract == s.Contract {
			return true
		}
	}
	return false
}
