package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strings"

	"cometrack/internal/store/plan"
	"cometrack/internal/vfs"
)

// The header of a segment stands there twice, so that no flipped bit takes the
// salt away: magic, format version, number, salt, number and size of the segment
// before, CRC-32C of these.
const (
	magic     = "cmtrkseg"
	version   = 1
	headOne   = 8 + 4 + 4 + 8 + 4 + 8 + 4
	headerLen = 2 * headOne
	segSuffix = ".seg"
)

// ErrNewerFormat says that a store was written by a later version of this program.
var ErrNewerFormat = errors.New("the store is of a later format")

// segment is one file of the log.
type segment struct {
	number uint32
	salt   uint64
	file   vfs.File
	size   int64
	live   int64 // bytes of records that count
	tombs  int64 // bytes of deletions
	// The deletions here are for records in segments of these numbers; lo > hi if there are none.
	lo, hi uint32
	pinned bool
	doomed bool // all that counted has been copied: it may go once the copies are safe
}

func segName(number uint32) string { return fmt.Sprintf("%08d%s", number, segSuffix) }

// segNumber reads a segment's name; false if it is none.
func segNumber(name string) (number uint32, ok bool) {
	digits, ok := strings.CutSuffix(name, segSuffix)
	if !ok || len(digits) < 8 {
		return 0, false
	}
	n := uint64(0)
	for _, c := range digits {
		if c < '0' || c > '9' || n > 1<<32 {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return uint32(n), n < 1<<32 && segName(uint32(n)) == name
}

// head is what a header says.
type head struct {
	salt     uint64
	before   uint32 // number of the segment that was written before; 0 for none
	sizeThen int64  // its size when this one was begun: it may not be smaller
}

func header(number uint32, h head) []byte {
	b := []byte(magic)
	b = binary.LittleEndian.AppendUint32(b, version)
	b = binary.LittleEndian.AppendUint32(b, number)
	b = binary.LittleEndian.AppendUint64(b, h.salt)
	b = binary.LittleEndian.AppendUint32(b, h.before)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.sizeThen))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, b...)
}

// readHeader reads a header; ok is false if neither copy can be read.
func readHeader(b []byte, number uint32) (out head, ok bool, err error) {
	for at := 0; at+headOne <= min(len(b), headerLen); at += headOne {
		h := b[at : at+headOne]
		if string(h[:8]) != magic || crc32.Checksum(h[:headOne-4], castagnoli) != binary.LittleEndian.Uint32(h[headOne-4:]) {
			continue
		}
		if v := binary.LittleEndian.Uint32(h[8:]); v > version {
			return out, false, fmt.Errorf("%s: %w (%d; this program reads %d)", segName(number), ErrNewerFormat, v, version)
		}
		if binary.LittleEndian.Uint32(h[12:]) != number {
			continue // under another's name: its records are not to be trusted
		}
		return head{binary.LittleEndian.Uint64(h[16:]), binary.LittleEndian.Uint32(h[24:]), int64(binary.LittleEndian.Uint64(h[28:]))}, true, nil
	}
	return out, false, nil
}

// read returns all that a segment's file holds.
func read(f vfs.File) ([]byte, error) { return readInto(nil, f) }

// readInto is read with a buffer to use if it is large enough.
func readInto(b []byte, f vfs.File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if int64(cap(b)) < size {
		b = make([]byte, size)
	}
	b = b[:size]
	n, err := f.ReadAt(b, 0)
	if err == io.EOF {
		err = nil
	}
	return b[:n], err
}

// addTombstone notes a deletion.
func (g *segment) addTombstone(f *frame) {
	g.tombs += int64(f.size)
	if g.lo > g.hi {
		g.lo, g.hi = f.first, f.last
		return
	}
	g.lo, g.hi = min(g.lo, f.first), max(g.hi, f.last)
}

// view is what [plan] needs to know of the segment.
func (s *Store) view(g *segment) plan.Segment {
	v := plan.Segment{Number: g.number, Size: plan.RoundToBlocks(g.size), LiveBytes: g.live, Pinned: g.pinned}
	if g.lo <= g.hi && s.holds(g.lo, g.hi, g.number) {
		v.TombstoneBytes = g.tombs
	}
	return v
}

// holds says whether a segment numbered lo to hi, other than but, is there.
func (s *Store) holds(lo, hi, but uint32) bool {
	for _, g := range s.segs {
		if g.number >= lo && g.number <= hi && g.number != but {
			return true
		}
	}
	return false
}
