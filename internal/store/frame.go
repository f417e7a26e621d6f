package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is one record as it stands in a segment:
//
//	4 bytes  CRC-32C of all that follows, begun from the segment's salt and the offset
//	4 bytes  length of what follows the kind
//	1 byte   kind and flags
//	uvarint  sequence number
//	uvarint  length of the key, then the key
//	del, sum: uvarint first and last segment that it is about
//	put, sum: the value
//
// Salt and offset keep a stale block of a reused file, or a record at another
// place, from passing for one. Numbers are little-endian.
const (
	frameHead = 9

	kindPut   byte = 1
	kindDel   byte = 2
	kindClose byte = 3 // the store was closed in good order; no key
	kindSum   byte = 4 // the deletions in a segment once more, see sums.go; no key
	kindMask  byte = 0x0f
	// flagStart marks the first frame of a write. With syncs one write is out at a
	// time, so damage before a frame with this flag is none that a crash has left.
	flagStart byte = 0x80
)

// MaxKeyBytes is the most bytes of a key.
const MaxKeyBytes = 1 << 10

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is a record that has been read. Key and value lie in the buffer that was
// read.
type frame struct {
	kind        byte
	start       bool
	seq         uint64
	key, value  []byte
	first, last uint32 // del, sum
	off, size   int
}

// sum is the checksum of a frame at off, of which rest is all behind the sum. It
// begins from salt and offset: a CRC maps different beginnings to different sums, and
// an odd factor different offsets to different beginnings.
func sum(salt uint64, off int, rest []byte) uint32 {
	return crc32.Update(uint32(salt)^uint32(salt>>32)^uint32(off)*0x9e3779b1, castagnoli, rest)
}

// appendFrame frames a record; b is what stands in the segment from base on.
func appendFrame(b []byte, salt uint64, base int, f *frame) []byte {
	at := len(b)
	kind := f.kind
	if f.start {
		kind |= flagStart
	}
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, kind)
	b = binary.AppendUvarint(b, f.seq)
	b = binary.AppendUvarint(b, uint64(len(f.key)))
	b = append(b, f.key...)
	if f.kind == kindDel || f.kind == kindSum {
		b = binary.AppendUvarint(b, uint64(f.first))
		b = binary.AppendUvarint(b, uint64(f.last))
	}
	b = append(b, f.value...)
	binary.LittleEndian.PutUint32(b[at+4:], uint32(len(b)-at-frameHead))
	binary.LittleEndian.PutUint32(b[at:], sum(salt, base+at, b[at+4:]))
	f.off, f.size = base+at, len(b)-at
	return b
}

// parse reads the frame at off of a segment's bytes; false if there is none.
func parse(b []byte, salt uint64, off int) (frame, bool) { return parseAt(b[off:], salt, off) }

// parseAt reads the frame that b begins with and that stands at off.
func parseAt(b []byte, salt uint64, off int) (f frame, ok bool) {
	if len(b) < frameHead {
		return f, false
	}
	n := int64(binary.LittleEndian.Uint32(b[4:]))
	if n < 2 || n > int64(len(b)-frameHead) {
		return f, false
	}
	end := frameHead + int(n)
	if sum(salt, off, b[4:end]) != binary.LittleEndian.Uint32(b) {
		return f, false
	}
	f = frame{kind: b[8] & kindMask, start: b[8]&flagStart != 0, off: off, size: end}
	rest := b[frameHead:end]
	var w int
	if f.seq, w = binary.Uvarint(rest); w <= 0 {
		return f, false
	}
	rest = rest[w:]
	klen, w := binary.Uvarint(rest)
	if w <= 0 || klen > uint64(len(rest)-w) {
		return f, false
	}
	f.key, rest = rest[w:w+int(klen)], rest[w+int(klen):]
	switch f.kind {
	case kindPut:
		f.value = rest
	case kindDel, kindSum:
		first, w := binary.Uvarint(rest)
		if w <= 0 {
			return f, false
		}
		last, v := binary.Uvarint(rest[w:])
		if v <= 0 {
			return f, false
		}
		f.first, f.last, f.value = uint32(first), uint32(last), rest[w+v:]
	case kindClose:
	default:
		return f, false
	}
	return f, true
}

// span is a stretch of a segment.
type span struct{ from, to int }

// walk calls visit for each frame of a segment's bytes from from on, in order, and
// tells the stretches that can't be read and have frames behind them. The last
// stretch, with none behind it, is the tail: it begins at end.
func walk(b []byte, salt uint64, from int, visit func(f *frame) bool) (damage []span, end int) {
	off := from
	var f frame
	for ok := true; off < len(b); {
		f, ok = parse(b, salt, off)
		if !ok {
			next := off + 1
			for ; next < len(b); next++ {
				if f, ok = parse(b, salt, next); ok {
					break
				}
			}
			if !ok {
				return damage, off
			}
			damage = append(damage, span{off, next})
			off = next
		}
		if !visit(&f) {
			return damage, off + f.size
		}
		off += f.size
	}
	return damage, off
}
