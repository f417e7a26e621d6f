package index

import (
	"bytes"
	"hash/maphash"
)

const (
	// chunkEntries entries are allocated at a time, so that entries never move.
	chunkEntries = 1024
	// maxLoadEighths is the largest load factor of the slots, in eighths.
	maxLoadEighths = 6
	minSlots       = 64
)

// entry is a key and its value. A free entry has no key, and hash holds the next free entry's number + 1.
type entry[V any] struct {
	value   V
	hash    uint32
	keyAddr uint32 // address in the arena; 0 for none
}

// Index is a hash table with open addressing. Slots hold entry numbers, so that growing moves four bytes for each key.
// The zero value is not usable. An Index is not safe for concurrent use, except for concurrent reads.
type Index[V any] struct {
	seed        maphash.Seed
	slots       []uint32 // entry number + 1; 0: empty. The length is a power of two.
	chunks      [][]entry[V]
	usedEntries uint32 // entries that have ever been used
	freeList    uint32 // number + 1 of the first free entry; 0 for none
	count       int
	keys        arena
}

// New returns an empty index.
func New[V any]() *Index[V] {
	return &Index[V]{seed: maphash.MakeSeed(), slots: make([]uint32, minSlots)}
}

// Len returns the number of keys.
func (x *Index[V]) Len() int { return x.count }

// Reserve grows the table for n keys in total, which are then added without growing.
func (x *Index[V]) Reserve(n int) {
	size := len(x.slots)
	for size*maxLoadEighths/8 < n {
		size *= 2
	}
	if size > len(x.slots) {
		x.resize(size)
	}
}

func (x *Index[V]) hash(key []byte) uint32 {
	h := maphash.Bytes(x.seed, key)
	return uint32(h) ^ uint32(h>>32)
}

func (x *Index[V]) entry(number uint32) *entry[V] {
	return &x.chunks[number/chunkEntries][number%chunkEntries]
}

// find returns the key's entry and its slot, or nil and the slot where the key would go.
func (x *Index[V]) find(key []byte, hash uint32) (*entry[V], uint32) {
	mask := uint32(len(x.slots) - 1)
	for i := hash & mask; ; i = (i + 1) & mask {
		number := x.slots[i]
		if number == 0 {
			return nil, i
		}
		if e := x.entry(number - 1); e.hash == hash && bytes.Equal(x.keys.get(e.keyAddr), key) {
			return e, i
		}
	}
}

// Get returns the value of a key.
func (x *Index[V]) Get(key []byte) (value V, ok bool) {
	if e, _ := x.find(key, x.hash(key)); e != nil {
		return e.value, true
	}
	return value, false
}

// Set sets the value of a key. The key's bytes are copied; their number is at most [MaxKeyBytes].
func (x *Index[V]) Set(key []byte, value V) {
	hash := x.hash(key)
	e, slot := x.find(key, hash)
	if e != nil {
		e.value = value
		return
	}
	if (x.count+1)*8 > len(x.slots)*maxLoadEighths {
		x.resize(2 * len(x.slots))
		_, slot = x.find(key, hash)
	}
	number := x.freeList
	if number != 0 {
		x.freeList = x.entry(number - 1).hash
	} else {
		if x.usedEntries%chunkEntries == 0 {
			x.chunks = append(x.chunks, make([]entry[V], chunkEntries))
		}
		x.usedEntries++
		number = x.usedEntries
	}
	*x.entry(number - 1) = entry[V]{value, hash, x.keys.add(key)}
	x.slots[slot] = number
	x.count++
}

// Delete removes a key.
func (x *Index[V]) Delete(key []byte) {
	e, slot := x.find(key, x.hash(key))
	if e == nil {
		return
	}
	number := x.slots[slot]
	x.keys.release(e.keyAddr)
	*e = entry[V]{hash: x.freeList}
	x.freeList = number
	x.count--
	// Entries after the hole that may stand nearer to their home slot move up, so that no search ends too early.
	mask := uint32(len(x.slots) - 1)
	hole := slot
	for i := (slot + 1) & mask; x.slots[i] != 0; i = (i + 1) & mask {
		if home := x.entry(x.slots[i]-1).hash & mask; (i-home)&mask >= (i-hole)&mask {
			x.slots[hole] = x.slots[i]
			hole = i
		}
	}
	x.slots[hole] = 0
}

// resize rebuilds the slots with a new size, a power of two.
func (x *Index[V]) resize(size int) {
	old := x.slots
	x.slots = make([]uint32, size)
	mask := uint32(size - 1)
	for _, number := range old {
		if number == 0 {
			continue
		}
		i := x.entry(number-1).hash & mask
		for x.slots[i] != 0 {
			i = (i + 1) & mask
		}
		x.slots[i] = number
	}
}

// Visit calls visit for each key and its value, in no order, until visit returns false. The key's bytes are valid only
// during the call. The index must not change meanwhile.
func (x *Index[V]) Visit(visit func(key []byte, value V) bool) {
	for position := 0; position >= 0; {
		position = x.VisitRange(position, chunkEntries, func(key []byte, value V) bool {
			if !visit(key, value) {
				position = -1
				return false
			}
			return true
		})
	}
}

// VisitRange calls visit for the keys among the next count entries from a position on, which is 0 at first. It
// returns the next position, negative at the end or once visit returns false. The index may change between two calls: a
// key that is present all the time is visited once, one that is added or removed meanwhile may be.
func (x *Index[V]) VisitRange(position, count int, visit func(key []byte, value V) bool) (next int) {
	end := min(position+count, int(x.usedEntries))
	for ; position < end; position++ {
		if e := x.entry(uint32(position)); e.keyAddr != 0 && !visit(x.keys.get(e.keyAddr), e.value) {
			return -1
		}
	}
	if position >= int(x.usedEntries) {
		return -1
	}
	return position
}
