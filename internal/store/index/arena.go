package index

import "encoding/binary"

const (
	// MaxKeyBytes is the most bytes of a key.
	MaxKeyBytes = 1 << 10

	unit       = 8 // bytes; addresses count in them, so that four bytes reach 32 GB
	chunkBytes = 64 << 10
	chunkUnits = chunkBytes / unit
	classes    = (MaxKeyBytes+2+unit-1)/unit + 1
)

// arena holds keys, each behind its length, in whole units. What is freed is used
// again for keys of as many units: with keys of a few lengths, as here, nothing is
// lost by that. No address is 0.
type arena struct {
	chunks [][]byte
	at     int // next free unit of the last chunk
	freed  [classes]uint32
}

func units(key int) int { return (key + 2 + unit - 1) / unit }

func (a *arena) bytes(addr uint32) []byte { return a.chunks[addr/chunkUnits][addr%chunkUnits*unit:] }

func (a *arena) get(addr uint32) []byte {
	b := a.bytes(addr)
	n := int(binary.LittleEndian.Uint16(b))
	return b[2 : 2+n : 2+n]
}

func (a *arena) add(key []byte) uint32 {
	size := units(len(key))
	addr := a.freed[size] - 1
	if a.freed[size] != 0 {
		a.freed[size] = binary.LittleEndian.Uint32(a.bytes(addr))
	} else {
		if len(a.chunks) == 0 || a.at+size > chunkUnits {
			a.chunks = append(a.chunks, make([]byte, chunkBytes))
			a.at = 0
			if len(a.chunks) == 1 {
				a.at = 1
			}
		}
		addr = uint32((len(a.chunks)-1)*chunkUnits + a.at)
		a.at += size
	}
	b := a.bytes(addr)
	binary.LittleEndian.PutUint16(b, uint16(len(key)))
	copy(b[2:], key)
	return addr
}

func (a *arena) free(addr uint32) {
	size := units(len(a.get(addr)))
	binary.LittleEndian.PutUint32(a.bytes(addr), a.freed[size])
	a.freed[size] = addr + 1
}
