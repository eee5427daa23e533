package federation

import (
	"cmp"
	"slices"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/catalog"
)

// findLoss returns the index of a mesh's loss in s.lost, or the index at which to insert it.
func (s *State) findLoss(mesh string) (index int, found bool) {
	return slices.BinarySearchFunc(s.lost, mesh, func(l catalog.Loss, mesh string) int { return cmp.Compare(l.Mesh, mesh) })
}

// markLost records that a mesh is lost since the current agreed time, and reports whether it was not lost before. It
// returns an UnknownMesh error if the terms do not list the mesh.
func (s *State) markLost(mesh string) (changed bool, err *apperror.Error) {
	if !s.hasMesh(mesh) {
		return false, unknownMesh(mesh)
	}
	index, found := s.findLoss(mesh)
	if !found {
		s.lost = slices.Insert(slices.Clone(s.lost), index, catalog.Loss{Mesh: mesh, Since: s.agreedTime})
	}
	return !found, nil
}

// markReturned removes the loss of a mesh, and reports whether it was lost. It returns an UnknownMesh error if the terms do
// not list the mesh.
func (s *State) markReturned(mesh string) (changed bool, err *apperror.Error) {
	if !s.hasMesh(mesh) {
		return false, unknownMesh(mesh)
	}
	index, found := s.findLoss(mesh)
	if found {
		s.lost = slices.Delete(slices.Clone(s.lost), index, index+1)
	}
	return found, nil
}
