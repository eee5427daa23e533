package fleetconfig

import (
	"cmp"
	"fmt"
	"slices"
	"unicode/utf8"
)

// Member is a proxy process that the control plane knows. JoinIndex is the index of the command that added it.
type Member struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	JoinIndex   uint64 `json:"joined"`
}

// Members returns the known processes, sorted by node and incarnation. Callers must not modify the list.
func (s *StateMachine) Members() []Member { return s.members }

func (s *StateMachine) addMember(a AddMember) Answer {
	place := fmt.Sprintf("node %.40q", a.Node)
	if !validNodeName(a.Node) {
		return Answer{Err: BadCommand.New(place, "a name has 1 to %d bytes of UTF-8, this one %d", MaxNodeNameBytes, len(a.Node))}
	}
	if latest, ok := latestIncarnation(s.members, a.Node); ok && latest > a.Incarnation {
		return Answer{Err: OldIncarnation.New(place, "incarnation %d is known, %d joins", latest, a.Incarnation)}
	}
	i, found := findMember(s.members, a.Node, a.Incarnation)
	if found {
		return Answer{}
	}
	if len(s.members) >= maxMembers {
		return Answer{Err: TooManyMembers.New(place, "%d have joined", len(s.members))}
	}
	s.members = slices.Insert(slices.Clone(s.members), i, Member{a.Node, a.Incarnation, s.lastIndex})
	return Answer{}
}

func (s *StateMachine) removeMember(r RemoveMember) Answer {
	i, found := findMember(s.members, r.Node, r.Incarnation)
	if !found || r.JoinIndex != 0 && r.JoinIndex != s.members[i].JoinIndex {
		return Answer{Err: NotMember.New(fmt.Sprintf("node %.40q", r.Node), "incarnation %d is no member", r.Incarnation)}
	}
	s.members = slices.Delete(slices.Clone(s.members), i, i+1)
	return Answer{}
}

func validNodeName(node string) bool {
	return node != "" && len(node) <= MaxNodeNameBytes && utf8.ValidString(node)
}

func findMember(members []Member, node string, incarnation uint64) (index int, found bool) {
	return slices.BinarySearchFunc(members, Member{Node: node, Incarnation: incarnation}, compareMembers)
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
}

// latestIncarnation returns the highest known incarnation of a node, and false if the node is unknown.
func latestIncarnation(members []Member, node string) (uint64, bool) {
	// The comparison never returns 0, so the search returns the position after the node's last incarnation.
	after, _ := slices.BinarySearchFunc(members, node, func(m Member, node string) int {
		if m.Node <= node {
			return -1
		}
		return 1
	})
	if after > 0 && members[after-1].Node == node {
		return members[after-1].Incarnation, true
	}
	return 0, false
}
