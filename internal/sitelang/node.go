package sitelang

import (
	"fmt"
	"slices"
	"strings"

	"cuelang.org/go/cue/token"
)

// node is an evaluated value with its position.
type node struct {
	form     nodeForm
	pos      token.Pos
	text     string   // of a string, a number or a boolean ("true" or "false")
	members  []member // of a struct; names are unique
	elements []*node  // of a list

	indexByName map[string]int // indices of the first members by name; memberIndex adds the missing ones
}

// nodeForm is the form of an evaluated value.
type nodeForm int

const (
	formString nodeForm = iota
	formNumber
	formBool
	formNull
	formStruct
	formList
	formInvalid // a value whose error has been reported already
)

// member is a field of a struct. Members have the order in which the files declare them.
type member struct {
	name string
	pos  token.Pos
	node *node
}

// indexThreshold is the smallest number of members for which lookups use indexByName instead of a linear search.
const indexThreshold = 16

// memberIndex returns the index of a member, or -1.
func (n *node) memberIndex(name string) int {
	if len(n.members) < indexThreshold {
		return slices.IndexFunc(n.members, func(m member) bool { return m.name == name })
	}
	if n.indexByName == nil {
		n.indexByName = map[string]int{}
	}
	for i := len(n.indexByName); i < len(n.members); i++ {
		n.indexByName[n.members[i].name] = i
	}
	if i, ok := n.indexByName[name]; ok {
		return i
	}
	return -1
}

// find returns a member; false if there is none, or if n is nil.
func (n *node) find(name string) (member, bool) {
	if n == nil {
		return member{}, false
	}
	if i := n.memberIndex(name); i >= 0 {
		return n.members[i], true
	}
	return member{}, false
}

// member returns the value of a member; nil if there is none, or if n is nil.
func (n *node) member(name string) *node {
	m, _ := n.find(name)
	return m.node
}

// mergeFrom adds the members of another struct. It merges members that are structs in both, and passes any other member
// whose values differ to conflict, with its path. mergeFrom stops and returns false when conflict returns false.
func (n *node) mergeFrom(other *node, parentPath string, conflict func(path string, own, others *node) bool) bool {
	for _, m := range other.members {
		i := n.memberIndex(m.name)
		path := strings.TrimPrefix(parentPath+"."+m.name, ".")
		switch {
		case i < 0:
			n.members = append(n.members, m)
		case n.members[i].node.form == formStruct && m.node.form == formStruct:
			if !n.members[i].node.mergeFrom(m.node, path, conflict) {
				return false
			}
		case !equalNodes(n.members[i].node, m.node):
			if !conflict(path, n.members[i].node, m.node) {
				return false
			}
		}
	}
	return true
}

// memberNames returns the names of the members, in order; none if n is nil.
func (n *node) memberNames() []string {
	if n == nil {
		return nil
	}
	out := make([]string, len(n.members))
	for i := range n.members {
		out[i] = n.members[i].name
	}
	return out
}

// describe returns a description of the value for a finding's text. The value must be valid.
func (n *node) describe() string {
	switch n.form {
	case formString:
		return fmt.Sprintf("the text %q", n.text)
	case formNumber:
		return "the number " + n.text
	case formBool:
		return n.text
	case formNull:
		return "null"
	case formStruct:
		return "a record"
	}
	return "a list"
}

// equalNodes reports whether two values are equal regardless of their positions. Structs are equal only if their members
// have the same order.
func equalNodes(a, b *node) bool {
	if a.form != b.form || a.text != b.text {
		return false
	}
	return slices.EqualFunc(a.elements, b.elements, equalNodes) && slices.EqualFunc(a.members, b.members, equalMembers)
}

func equalMembers(a, b member) bool { return a.name == b.name && equalNodes(a.node, b.node) }

// formatPosition returns a position as FILE:LINE:COLUMN, which editors can jump to.
func formatPosition(p token.Pos) string {
	return fmt.Sprintf("%s:%d:%d", p.Filename(), p.Line(), p.Column())
}
