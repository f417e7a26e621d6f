package index

import (
	"bytes"
	"hash/maphash"
)

const (
	// chunkEntries entries are allocated at a time: what is there never moves.
	chunkEntries = 1024
	// fullest is the part of the slots, in eighths, that is taken at most.
	fullest   = 6
	leastSize = 64
)

// entry is a key and its value. A free one has no key and links to the next in hash.
type entry[V any] struct {
	value V
	hash  uint32
	key   uint32 // its address; 0 for none
}

// Index is a hash table with open addressing. Slots hold numbers of entries, so
// that growing moves four bytes for each key. Its zero value is not usable; it is
// not safe for concurrent use, but reads may run beside each other.
type Index[V any] struct {
	seed   maphash.Seed
	slots  []uint32 // number of an entry + 1; 0: free. A power of two of them.
	chunks [][]entry[V]
	used   uint32 // entries that have ever been used
	free   uint32 // number + 1 of a free one among them
	n      int
	keys   arena
}

// New makes an index.
func New[V any]() *Index[V] {
	return &Index[V]{seed: maphash.MakeSeed(), slots: make([]uint32, leastSize)}
}

// Len is the number of keys.
func (x *Index[V]) Len() int { return x.n }

// Reserve makes room for so many keys in all, which are then added without growing.
func (x *Index[V]) Reserve(n int) {
	size := len(x.slots)
	for size*fullest/8 < n {
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

// find returns the key's entry and its slot; nil, and the slot where it would go.
func (x *Index[V]) find(key []byte, hash uint32) (*entry[V], uint32) {
	mask := uint32(len(x.slots) - 1)
	for i := hash & mask; ; i = (i + 1) & mask {
		number := x.slots[i]
		if number == 0 {
			return nil, i
		}
		if e := x.entry(number - 1); e.hash == hash && bytes.Equal(x.keys.get(e.key), key) {
			return e, i
		}
	}
}

// Get returns a key's value.
func (x *Index[V]) Get(key []byte) (value V, ok bool) {
	if e, _ := x.find(key, x.hash(key)); e != nil {
		return e.value, true
	}
	return value, false
}

// Set gives a key a value. The key's bytes are copied; it has at most [MaxKeyBytes].
func (x *Index[V]) Set(key []byte, value V) {
	hash := x.hash(key)
	e, slot := x.find(key, hash)
	if e != nil {
		e.value = value
		return
	}
	if (x.n+1)*8 > len(x.slots)*fullest {
		x.resize(2 * len(x.slots))
		_, slot = x.find(key, hash)
	}
	number := x.free
	if number != 0 {
		x.free = x.entry(number - 1).hash
	} else {
		if x.used%chunkEntries == 0 {
			x.chunks = append(x.chunks, make([]entry[V], chunkEntries))
		}
		x.used++
		number = x.used
	}
	*x.entry(number - 1) = entry[V]{value, hash, x.keys.add(key)}
	x.slots[slot] = number
	x.n++
}

// Delete takes a key away.
func (x *Index[V]) Delete(key []byte) {
	e, slot := x.find(key, x.hash(key))
	if e == nil {
		return
	}
	number := x.slots[slot]
	x.keys.free(e.key)
	*e = entry[V]{hash: x.free}
	x.free = number
	x.n--
	// Those behind it that could stand nearer to their own slots move up, so that no search ends too early.
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

// Visit calls visit for each key and its value, in no order, until it returns
// false. The key's bytes are visit's only for the call. Nothing is to change
// meanwhile.
func (x *Index[V]) Visit(visit func(key []byte, value V) bool) {
	for at := 0; at >= 0; {
		at = x.VisitRange(at, chunkEntries, func(key []byte, value V) bool {
			if !visit(key, value) {
				at = -1
				return false
			}
			return true
		})
	}
}

// VisitRange is [Index.Visit] for a stretch: it looks at so many entries from a place
// on, which is 0 at first, and returns the next place; negative at the end. Between
// two stretches the index may change: a key that is there all the time is visited
// once, one that comes or goes may be.
func (x *Index[V]) VisitRange(at, most int, visit func(key []byte, value V) bool) (next int) {
	end := min(at+most, int(x.used))
	for ; at < end; at++ {
		if e := x.entry(uint32(at)); e.key != 0 && !visit(x.keys.get(e.key), e.value) {
			return -1
		}
	}
	if at >= int(x.used) {
		return -1
	}
	return at
}
