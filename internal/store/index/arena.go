package index

import "encoding/binary"

const (
	// MaxKeyBytes is the largest key length in bytes.
	MaxKeyBytes = 1 << 10

	unitSize    = 8 // addresses count in units of 8 bytes, so that 4 bytes address 32 GB
	chunkBytes  = 64 << 10
	chunkUnits  = chunkBytes / unitSize
	sizeClasses = (MaxKeyBytes+2+unitSize-1)/unitSize + 1
)

// arena stores keys, each prefixed by its length, in whole units. Freed space is reused for keys of as many units; the
// keys of a store have few lengths, so this leaves no lasting fragmentation. No address is 0.
type arena struct {
	chunks    [][]byte
	next      int                 // next free unit of the last chunk
	freeLists [sizeClasses]uint32 // by size in units: address + 1 of the first free slot; 0 for none
}

// unitsFor returns how many units a key of that length takes with its length prefix.
func unitsFor(key int) int { return (key + 2 + unitSize - 1) / unitSize }

// data returns the memory from an address to the end of its chunk.
func (a *arena) data(addr uint32) []byte { return a.chunks[addr/chunkUnits][addr%chunkUnits*unitSize:] }

// get returns the key at an address, which must not be changed.
func (a *arena) get(addr uint32) []byte {
	b := a.data(addr)
	n := int(binary.LittleEndian.Uint16(b))
	return b[2 : 2+n : 2+n]
}

// add stores a copy of a key and returns its address.
func (a *arena) add(key []byte) uint32 {
	size := unitsFor(len(key))
	addr := a.freeLists[size] - 1
	if a.freeLists[size] != 0 {
		a.freeLists[size] = binary.LittleEndian.Uint32(a.data(addr))
	} else {
		if len(a.chunks) == 0 || a.next+size > chunkUnits {
			a.chunks = append(a.chunks, make([]byte, chunkBytes))
			a.next = 0
			if len(a.chunks) == 1 {
				a.next = 1
			}
		}
		addr = uint32((len(a.chunks)-1)*chunkUnits + a.next)
		a.next += size
	}
	b := a.data(addr)
	binary.LittleEndian.PutUint16(b, uint16(len(key)))
	copy(b[2:], key)
	return addr
}

// release puts the space of a key on the free list of its size.
func (a *arena) release(addr uint32) {
	size := unitsFor(len(a.get(addr)))
	binary.LittleEndian.PutUint32(a.data(addr), a.freeLists[size])
	a.freeLists[size] = addr + 1
}
