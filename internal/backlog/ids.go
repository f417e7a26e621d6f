package backlog

// ids is a set of numbers of messages by the hash of their id, for answers to
// those that are handed in again. It takes 8 bytes for a slot, of which at most 7 of
// 8 are taken; a shard of it grows at a time, by a quarter.
//
// A slot has 32 bits of the hash and 32 of the number, and 8 more bits of the hash
// are the shard: of ids that were never handed in about one in 10¹¹ for each slot that
// is looked at is found all the same, and proves to be another one when it is read.
type ids struct {
	shards [idShards][]idSlot
	taken  [idShards]uint32
	n      int
}

const (
	idShards   = 256
	idLeast    = 8
	idFullest  = 7 // in eighths
	idGrowPart = 4
)

// idSlot is a message; a zero number is none.
type idSlot struct{ tag, number uint32 }

// place is where a search for a hash begins in a shard of so many slots.
func place(tag uint32, slots int) int { return int(uint64(tag) * uint64(slots) >> 32) }

func split(hash uint64) (shard int, tag uint32) { return int(hash >> 56), uint32(hash >> 16) }

// number folds a message's number to what a slot has room for. It is never zero.
func fold(seq uint64) uint32 { return uint32(seq%(1<<32-1)) + 1 }

func (x *ids) add(hash, seq uint64) {
	shard, tag := split(hash)
	if int(x.taken[shard]+1)*8 > len(x.shards[shard])*idFullest {
		x.grow(shard)
	}
	put(x.shards[shard], idSlot{tag, fold(seq)})
	x.taken[shard]++
	x.n++
}

func put(slots []idSlot, s idSlot) {
	i := place(s.tag, len(slots))
	for slots[i].number != 0 {
		if i++; i == len(slots) {
			i = 0
		}
	}
	slots[i] = s
}

func (x *ids) grow(shard int) {
	old := x.shards[shard]
	x.resize(shard, max(idLeast, len(old)+len(old)/idGrowPart))
}

func (x *ids) resize(shard, size int) {
	old := x.shards[shard]
	x.shards[shard] = make([]idSlot, size)
	for _, s := range old {
		if s.number != 0 {
			put(x.shards[shard], s)
		}
	}
}

// remove takes a message out; false if it is not there.
func (x *ids) remove(hash, seq uint64) bool {
	shard, tag := split(hash)
	slots, number := x.shards[shard], fold(seq)
	if len(slots) == 0 {
		return false
	}
	i := place(tag, len(slots))
	for ; slots[i] != (idSlot{tag, number}); i = next(i, len(slots)) {
		if slots[i].number == 0 {
			return false
		}
	}
	// Those behind move up, so that no search ends too early.
	for j := next(i, len(slots)); slots[j].number != 0; j = next(j, len(slots)) {
		home := place(slots[j].tag, len(slots))
		if i <= j && (home <= i || home > j) || i > j && home <= i && home > j {
			slots[i], i = slots[j], j
		}
	}
	slots[i] = idSlot{}
	x.taken[shard]--
	x.n--
	if size := len(slots); size > idLeast && int(x.taken[shard])*4 < size { // room that a backlog took is given back
		x.resize(shard, max(idLeast, size/2))
	}
	return true
}

func next(i, n int) int {
	if i+1 == n {
		return 0
	}
	return i + 1
}

// find returns the folded number of a message with this hash; 0 if there is none. Of
// several it returns any.
func (x *ids) find(hash uint64) uint32 {
	shard, tag := split(hash)
	slots := x.shards[shard]
	if len(slots) == 0 {
		return 0
	}
	for i := place(tag, len(slots)); slots[i].number != 0; i = next(i, len(slots)) {
		if slots[i].tag == tag {
			return slots[i].number
		}
	}
	return 0
}
