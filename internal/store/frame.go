package store

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is the encoding of one record in a segment:
//
//	4 bytes  CRC-32C of all that follows, seeded with the segment's salt and the offset
//	4 bytes  length of what follows the kind
//	1 byte   kind and flags
//	uvarint  sequence number
//	uvarint  length of the key, then the key
//	delete, sum: uvarint first and last segment that the record covers
//	put, sum: the value
//
// Salt and offset prevent a stale block of a reused file, or a record at another offset, from being read as valid.
// Numbers are little-endian.
const (
	frameHeaderLen = 9 // bytes of checksum, length and kind

	kindPut    byte = 1    // a key and its value
	kindDelete byte = 2    // the deletion of a key
	kindClose  byte = 3    // the store was closed cleanly; no key
	kindSum    byte = 4    // hashes of the deletions in a segment, see sums.go; no key
	kindMask   byte = 0x0f // the bits of the kind; the others are flags
	// flagStartsWrite marks the first frame of a write. With syncs only one write is in flight at a time, so damage
	// before a frame with this flag can't come from a crash.
	flagStartsWrite byte = 0x80
)

// MaxKeyBytes is the largest length of a key in bytes.
const MaxKeyBytes = 1 << 10

// castagnoli is the CRC-32C table.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is a decoded record. Key and value point into the buffer it was read from.
type frame struct {
	kind                      byte
	startsWrite               bool
	seq                       uint64
	key, value                []byte
	firstSegment, lastSegment uint32 // delete, sum
	offset, size              int
}

// frameChecksum returns the checksum of the frame at off, of which rest is all that follows the checksum. It is seeded
// with salt and offset: a CRC maps different seeds to different checksums, and multiplication by an odd factor maps
// different offsets to different seeds.
func frameChecksum(salt uint64, off int, rest []byte) uint32 {
	return crc32.Update(uint32(salt)^uint32(salt>>32)^uint32(off)*0x9e3779b1, castagnoli, rest)
}

// appendFrame appends an encoded record to b, whose first byte is at offset base of the segment.
func appendFrame(b []byte, salt uint64, base int, f *frame) []byte {
	start := len(b)
	kind := f.kind
	if f.startsWrite {
		kind |= flagStartsWrite
	}
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, kind)
	b = binary.AppendUvarint(b, f.seq)
	b = binary.AppendUvarint(b, uint64(len(f.key)))
	b = append(b, f.key...)
	if f.kind == kindDelete || f.kind == kindSum {
		b = binary.AppendUvarint(b, uint64(f.firstSegment))
		b = binary.AppendUvarint(b, uint64(f.lastSegment))
	}
	b = append(b, f.value...)
	binary.LittleEndian.PutUint32(b[start+4:], uint32(len(b)-start-frameHeaderLen))
	binary.LittleEndian.PutUint32(b[start:], frameChecksum(salt, base+start, b[start+4:]))
	f.offset, f.size = base+start, len(b)-start
	return b
}

// parseFrame reads the frame at off of a segment's bytes; false if there is no valid one.
func parseFrame(b []byte, salt uint64, off int) (frame, bool) {
	return parseFrameAt(b[off:], salt, off)
}

// parseFrameAt reads the frame at the start of b, which is at offset off of its segment.
func parseFrameAt(b []byte, salt uint64, off int) (f frame, ok bool) {
	if len(b) < frameHeaderLen {
		return f, false
	}
	payloadLen := int64(binary.LittleEndian.Uint32(b[4:]))
	if payloadLen < 2 || payloadLen > int64(len(b)-frameHeaderLen) {
		return f, false
	}
	end := frameHeaderLen + int(payloadLen)
	if frameChecksum(salt, off, b[4:end]) != binary.LittleEndian.Uint32(b) {
		return f, false
	}
	f = frame{kind: b[8] & kindMask, startsWrite: b[8]&flagStartsWrite != 0, offset: off, size: end}
	rest := b[frameHeaderLen:end]
	var width int
	if f.seq, width = binary.Uvarint(rest); width <= 0 {
		return f, false
	}
	rest = rest[width:]
	keyLen, width := binary.Uvarint(rest)
	if width <= 0 || keyLen > uint64(len(rest)-width) {
		return f, false
	}
	f.key, rest = rest[width:width+int(keyLen)], rest[width+int(keyLen):]
	switch f.kind {
	case kindPut:
		f.value = rest
	case kindDelete, kindSum:
		first, width := binary.Uvarint(rest)
		if width <= 0 {
			return f, false
		}
		last, lastWidth := binary.Uvarint(rest[width:])
		if lastWidth <= 0 {
			return f, false
		}
		f.firstSegment, f.lastSegment, f.value = uint32(first), uint32(last), rest[width+lastWidth:]
	case kindClose:
	default:
		return f, false
	}
	return f, true
}

// span is a byte range of a segment, without its end.
type span struct{ from, to int }

// scanFrames calls visit for each frame of a segment's bytes from an offset on, in order, until visit returns false. It
// returns the unreadable ranges that have frames after them. The last range, with none after it, is the tail: it
// begins at end.
func scanFrames(b []byte, salt uint64, from int, visit func(f *frame) bool) (damage []span, end int) {
	off := from
	var f frame
	for ok := true; off < len(b); {
		f, ok = parseFrame(b, salt, off)
		if !ok {
			next := off + 1
			for ; next < len(b); next++ {
				if f, ok = parseFrame(b, salt, next); ok {
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
