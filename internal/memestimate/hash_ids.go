package memestimate

import "math/bits"

// hashIDs assigns consecutive IDs to hashes in the order in which they first occur. It replaces a map[uint64]int at a lower
// cost.
type hashIDs struct {
	slots []hashSlot // open addressing; at least half of the slots are free
	count int
}

type hashSlot struct {
	hash      uint64
	idPlusOne uint32 // 0: free
}

// Sizes of hashIDs.slots.
const (
	initialHashSlots = 32
	hashGrowthFactor = 4 // rehashing costs more than the extra memory
)

// id returns the ID of a hash. isNew reports whether the hash occurs for the first time.
func (h *hashIDs) id(hash uint64) (id int, isNew bool) {
	if 2*h.count >= len(h.slots) {
		h.grow()
	}
	s := h.find(hash)
	if s.idPlusOne == 0 {
		h.count++
		*s = hashSlot{hash: hash, idPlusOne: uint32(h.count)}
		isNew = true
	}
	return int(s.idPlusOne) - 1, isNew
}

// lookup returns the ID of a hash, or -1 if it has none.
func (h *hashIDs) lookup(hash uint64) int {
	if h.count == 0 {
		return -1
	}
	return int(h.find(hash).idPlusOne) - 1
}

// find returns the slot of a hash, or the free slot into which it would be inserted.
func (h *hashIDs) find(hash uint64) *hashSlot {
	mask := uint64(len(h.slots) - 1)
	for i := hash; ; i++ {
		if s := &h.slots[i&mask]; s.idPlusOne == 0 || s.hash == hash {
			return s
		}
	}
}

func (h *hashIDs) grow() {
	previous := h.slots
	h.slots = make([]hashSlot, max(hashGrowthFactor*len(previous), initialHashSlots))
	for _, s := range previous {
		if s.idPlusOne != 0 {
			*h.find(s.hash) = s
		}
	}
}

// reset removes all hashes and makes room for n hashes. It reuses the slots if there are enough of them.
func (h *hashIDs) reset(n int) {
	size := 2 << bits.Len(uint(n))
	if cap(h.slots) < size {
		h.slots = make([]hashSlot, size)
	}
	h.slots = h.slots[:size]
	h.count = 0
	clear(h.slots)
}
