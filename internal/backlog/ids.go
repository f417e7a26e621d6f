package backlog

// idSet is a hash table from the hash of a message's id to its sequence number, with
// linear probing. It finds duplicates of spilled messages. A slot takes 8 bytes, and at
// most 7 of 8 slots are used; the table grows one shard at a time, by a quarter.
//
// A slot has 32 bits of the hash and 32 bits of the sequence number, and 8 more bits of
// the hash select the shard. An id that was never submitted is a false positive with a
// probability of about 10⁻¹¹ for each slot probed; reading the message reveals it.
type idSet struct {
	shards [idShards][]idSlot
	used   [idShards]uint32
	n      int
}

const (
	idShards         = 256
	minIDSlots       = 8 // min slots of a shard that is not empty
	maxIDLoadEighths = 7 // max used slots, in eighths of all
	idGrowthDivisor  = 4 // a shard grows by 1/4
)

// idSlot is one message; the slot is empty if foldedSeq is 0.
type idSlot struct{ tag, foldedSeq uint32 }

// homeSlot returns the slot at which the search for a tag begins.
func homeSlot(tag uint32, slots int) int { return int(uint64(tag) * uint64(slots) >> 32) }

// splitHash returns the shard of a hash and the bits of it that a slot stores.
func splitHash(hash uint64) (shard int, tag uint32) { return int(hash >> 56), uint32(hash >> 16) }

// foldSeq reduces a sequence number to the 32 bits that a slot has for it. The result is
// never 0.
func foldSeq(seq uint64) uint32 { return uint32(seq%(1<<32-1)) + 1 }

// add adds a message. A hash may occur more than once.
func (x *idSet) add(hash, seq uint64) {
	shard, tag := splitHash(hash)
	if int(x.used[shard]+1)*8 > len(x.shards[shard])*maxIDLoadEighths {
		x.grow(shard)
	}
	insertSlot(x.shards[shard], idSlot{tag, foldSeq(seq)})
	x.used[shard]++
	x.n++
}

// insertSlot puts a message into the first empty slot from its home slot on.
func insertSlot(slots []idSlot, s idSlot) {
	i := homeSlot(s.tag, len(slots))
	for slots[i].foldedSeq != 0 {
		if i++; i == len(slots) {
			i = 0
		}
	}
	slots[i] = s
}

func (x *idSet) grow(shard int) {
	old := x.shards[shard]
	x.resize(shard, max(minIDSlots, len(old)+len(old)/idGrowthDivisor))
}

func (x *idSet) resize(shard, size int) {
	old := x.shards[shard]
	x.shards[shard] = make([]idSlot, size)
	for _, s := range old {
		if s.foldedSeq != 0 {
			insertSlot(x.shards[shard], s)
		}
	}
}

// remove removes a message. It reports whether the set had it.
func (x *idSet) remove(hash, seq uint64) bool {
	shard, tag := splitHash(hash)
	slots, foldedSeq := x.shards[shard], foldSeq(seq)
	if len(slots) == 0 {
		return false
	}
	i := homeSlot(tag, len(slots))
	for ; slots[i] != (idSlot{tag, foldedSeq}); i = nextSlot(i, len(slots)) {
		if slots[i].foldedSeq == 0 {
			return false
		}
	}
	// The slots after it move up into the gap, so that no search ends at it too early.
	for j := nextSlot(i, len(slots)); slots[j].foldedSeq != 0; j = nextSlot(j, len(slots)) {
		home := homeSlot(slots[j].tag, len(slots))
		if i <= j && (home <= i || home > j) || i > j && home <= i && home > j {
			slots[i], i = slots[j], j
		}
	}
	slots[i] = idSlot{}
	x.used[shard]--
	x.n--
	if size := len(slots); size > minIDSlots && int(x.used[shard])*4 < size { // release the memory of a former backlog
		x.resize(shard, max(minIDSlots, size/2))
	}
	return true
}

func nextSlot(i, n int) int {
	if i+1 == n {
		return 0
	}
	return i + 1
}

// find returns the folded sequence number of a message with this hash; 0 if there is
// none. Of several messages it returns any.
func (x *idSet) find(hash uint64) uint32 {
	shard, tag := splitHash(hash)
	slots := x.shards[shard]
	if len(slots) == 0 {
		return 0
	}
	for i := homeSlot(tag, len(slots)); slots[i].foldedSeq != 0; i = nextSlot(i, len(slots)) {
		if slots[i].tag == tag {
			return slots[i].foldedSeq
		}
	}
	return 0
}
