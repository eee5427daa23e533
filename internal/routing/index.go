package routing

import (
	"encoding/binary"
	"fmt"
	"math/bits"

	"example.org/micafront/balancer/hashing"
	"github.com/cespare/xxhash/v2"
)

// shape is the hash table of all rules whose patterns have the same lengths, as a tuple in tuple space search. A single lookup
// finds the matching rule. The data that a lookup reads is stored contiguously, because in a large table each further access is
// a cache miss.
type shape struct {
	lengths    []int32
	dimensions []int32 // dimensions with a condition
	firstRule  int32   // position of the first rule of the shape in Table.rules
	slots      []slot  // open addressing; at least half of the slots are free
}

// slot refers to the record of a rule in Table.records, by the hash of the rule's texts.
type slot struct {
	hash   uint32
	offset uint32 // 0: free
}

// A record starts with the positions of the rule in Table.rules, of its route in Set.Routes, and of its target in
// Table.sharedTargets, as 32-bit little-endian integers. The texts of the conditions follow. The length of an exact text
// precedes it as a 16-bit little-endian integer.
const (
	recordRouteOffset  = 4
	recordTargetOffset = 8
	recordHeaderBytes  = 12
	recordLengthBytes  = 2
)

// buildIndex builds the shapes and their records from the sorted rules.
func (t *Table) buildIndex() {
	byLengths := map[string]int{} // position in t.shapes
	var members [][]int32         // positions of the rules of each shape
	for i := range t.rules {
		r := &t.rules[i]
		key := fmt.Sprint(r.lengths)
		s, ok := byLengths[key]
		if !ok {
			s = len(t.shapes)
			byLengths[key] = s
			t.shapes = append(t.shapes, newShape(r, i))
			members = append(members, nil)
		}
		members[s] = append(members[s], int32(i))
	}
	t.records = make([]byte, recordHeaderBytes) // so that no record has the offset 0
	sharedTargets := map[string]int32{}
	for i := range t.shapes {
		s := &t.shapes[i]
		s.slots = make([]slot, 2<<bits.Len(uint(len(members[i]))))
		for _, position := range members[i] {
			t.insert(s, position, sharedTargets)
		}
	}
}

// newShape returns an empty shape for a rule at a position in Table.rules.
func newShape(r *rule, position int) shape {
	s := shape{lengths: r.lengths, firstRule: int32(position)}
	for dimension, length := range r.lengths {
		if length != anyText {
			s.dimensions = append(s.dimensions, int32(dimension))
		}
	}
	return s
}

// insert adds a rule to a shape. Rules must be inserted by precedence: a rule with the same texts as an earlier one follows it
// in the probe sequence, so lookups never return it.
func (t *Table) insert(s *shape, position int32, sharedTargets map[string]int32) {
	r := &t.rules[position]
	offset := uint32(len(t.records))
	t.records = binary.LittleEndian.AppendUint32(t.records, uint32(position))
	t.records = binary.LittleEndian.AppendUint32(t.records, uint32(r.route))
	t.records = binary.LittleEndian.AppendUint32(t.records, uint32(t.internTarget(&t.targets[r.route], sharedTargets)))
	hash := uint64(0)
	for _, dimension := range s.dimensions {
		text := r.texts[dimension]
		hash = hashing.Combine(hash, xxhash.Sum64String(text))
		if r.lengths[dimension] == exactText {
			t.records = binary.LittleEndian.AppendUint16(t.records, uint16(len(text)))
		}
		t.records = append(t.records, text...)
	}
	mask := uint64(len(s.slots) - 1)
	i := hash & mask
	for s.slots[i].offset != 0 {
		i = (i + 1) & mask
	}
	s.slots[i] = slot{hash: slotHash(hash), offset: offset}
}

// internTarget returns the position of a target in t.sharedTargets. It adds the target if there is no equal one.
func (t *Table) internTarget(to *target, positions map[string]int32) int32 {
	key := fmt.Sprint(to.shares, to.policy)
	position, ok := positions[key]
	if !ok {
		position = int32(len(t.sharedTargets))
		positions[key] = position
		t.sharedTargets = append(t.sharedTargets, *to)
	}
	return position
}

// slotHash returns the upper half of a hash. It distinguishes rules in neighboring slots, because the lower bits select the
// slot.
func slotHash(hash uint64) uint32 { return uint32(hash >> 32) }

// Decide returns the routing decision for a connection. ok is false if no route matches and there is no default route. Decide
// does not allocate.
func (t *Table) Decide(connection *ConnectionAttributes) (d Decision, ok bool) {
	best := int32(len(t.rules))
	var found []byte
	for i := range t.shapes {
		s := &t.shapes[i]
		if s.firstRule >= best {
			break // shapes are sorted by their first rules
		}
		if record := t.find(s, connection); record != nil {
			if position := int32(binary.LittleEndian.Uint32(record)); position < best {
				best = position
				found = record
			}
		}
	}
	var to *target
	switch {
	case found != nil:
		d.Rule = int(best)
		d.Route = int(binary.LittleEndian.Uint32(found[recordRouteOffset:]))
		to = &t.sharedTargets[binary.LittleEndian.Uint32(found[recordTargetOffset:])]
	case t.defaultRoute >= 0:
		d.Rule = -1
		d.Route = t.defaultRoute
		to = &t.targets[t.defaultRoute]
	default:
		return Decision{Route: -1, Pool: -1, Policy: -1, Rule: -1}, false
	}
	d.SplitPosition = SplitPosition(connection)
	d.Policy = to.policy
	d.Pool = to.pools[to.shareAt(d.SplitPosition)]
	return d, true
}

// find returns t.records from the record of the matching rule of a shape on, or nil if no rule of the shape matches.
func (t *Table) find(s *shape, connection *ConnectionAttributes) (record []byte) {
	hash := uint64(0)
	for _, dimension := range s.dimensions {
		text := t.connectionText(connection, int(dimension))
		if length := s.lengths[dimension]; length != exactText {
			if len(text) < int(length) {
				return nil
			}
			text = text[:length]
		}
		hash = hashing.Combine(hash, xxhash.Sum64String(text))
	}
	mask := uint64(len(s.slots) - 1)
	for i := hash & mask; ; i = (i + 1) & mask {
		candidate := &s.slots[i]
		if candidate.offset == 0 {
			return nil
		}
		if candidate.hash == slotHash(hash) {
			record = t.records[candidate.offset:]
			if t.recordMatches(s, record[recordHeaderBytes:], connection) {
				return record
			}
		}
	}
}

// recordMatches reports whether a connection has the texts of a record. texts is the record without its header. The texts of
// the connection must be at least as long as the prefixes of the shape.
func (t *Table) recordMatches(s *shape, texts []byte, connection *ConnectionAttributes) bool {
	for _, dimension := range s.dimensions {
		text := t.connectionText(connection, int(dimension))
		length := int(s.lengths[dimension])
		if length == exactText {
			if length = int(binary.LittleEndian.Uint16(texts)); length != len(text) {
				return false
			}
			texts = texts[recordLengthBytes:]
		}
		if string(texts[:length]) != text[:length] {
			return false
		}
		texts = texts[length:]
	}
	return true
}
