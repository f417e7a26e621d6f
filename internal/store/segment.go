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

// The header of a segment is written twice, so that a single flipped bit does not lose the salt: magic number, format
// version, segment number, salt, number and size of the previous segment, CRC-32C of these.
const (
	segmentMagic  = "cmtrkseg"
	formatVersion = 1                         // a later one gives ErrNewerFormat
	headerCopyLen = 8 + 4 + 4 + 8 + 4 + 8 + 4 // bytes of one copy
	headerLen     = 2 * headerCopyLen         // bytes of both copies
	segmentSuffix = ".seg"                    // of the file's name
)

// ErrNewerFormat reports that a store was written by a later version of this program.
var ErrNewerFormat = errors.New("the store is of a later format")

// segment is one file of the log.
type segment struct {
	number         uint32
	salt           uint64
	file           vfs.File
	size           int64
	liveBytes      int64 // current records
	tombstoneBytes int64 // deletions
	// The deletions here cover records in segments of these numbers; minCovered > maxCovered if there are none.
	minCovered, maxCovered uint32
	pinned                 bool // can't be emptied: a current record can't be read any more
	obsolete               bool // all current records are copied; to be removed once the copies are synced
}

// segmentName returns the file name of a segment.
func segmentName(number uint32) string { return fmt.Sprintf("%08d%s", number, segmentSuffix) }

// parseSegmentName returns the number in a segment's file name; false for other names.
func parseSegmentName(name string) (number uint32, ok bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
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
	return uint32(n), n < 1<<32 && segmentName(uint32(n)) == name
}

// segmentHeader is the variable part of a header.
type segmentHeader struct {
	salt       uint64
	prevNumber uint32 // number of the previous segment; 0 for none
	prevSize   int64  // size of the previous segment when this one was begun: it may not be smaller
}

// encodeHeader returns both copies of a header.
func encodeHeader(number uint32, h segmentHeader) []byte {
	b := []byte(segmentMagic)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, number)
	b = binary.LittleEndian.AppendUint64(b, h.salt)
	b = binary.LittleEndian.AppendUint32(b, h.prevNumber)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.prevSize))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, b...)
}

// parseHeader reads a header; ok is false if neither copy is valid.
func parseHeader(b []byte, number uint32) (header segmentHeader, ok bool, err error) {
	for offset := 0; offset+headerCopyLen <= min(len(b), headerLen); offset += headerCopyLen {
		raw := b[offset : offset+headerCopyLen]
		if string(raw[:8]) != segmentMagic ||
			crc32.Checksum(raw[:headerCopyLen-4], castagnoli) != binary.LittleEndian.Uint32(raw[headerCopyLen-4:]) {
			continue
		}
		if v := binary.LittleEndian.Uint32(raw[8:]); v > formatVersion {
			return header, false, fmt.Errorf("%s: %w (%d; this program reads %d)", segmentName(number), ErrNewerFormat,
				v, formatVersion)
		}
		if binary.LittleEndian.Uint32(raw[12:]) != number {
			continue // the file of another segment under this name: its records are not valid here
		}
		return segmentHeader{binary.LittleEndian.Uint64(raw[16:]), binary.LittleEndian.Uint32(raw[24:]),
			int64(binary.LittleEndian.Uint64(raw[28:]))}, true, nil
	}
	return header, false, nil
}

// readAll returns the contents of a segment's file.
func readAll(f vfs.File) ([]byte, error) { return readInto(nil, f) }

// readInto is readAll with a buffer that is used if it is large enough.
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

// addTombstone accounts for a deletion.
func (g *segment) addTombstone(f *frame) {
	g.tombstoneBytes += int64(f.size)
	if g.minCovered > g.maxCovered {
		g.minCovered, g.maxCovered = f.firstSegment, f.lastSegment
		return
	}
	g.minCovered, g.maxCovered = min(g.minCovered, f.firstSegment), max(g.maxCovered, f.lastSegment)
}

// planView returns the description of a segment that package plan needs.
func (s *Store) planView(g *segment) plan.Segment {
	v := plan.Segment{Number: g.number, Size: plan.RoundToBlocks(g.size), LiveBytes: g.liveBytes, Pinned: g.pinned}
	if g.minCovered <= g.maxCovered && s.hasSegmentInRange(g.minCovered, g.maxCovered, g.number) {
		v.TombstoneBytes = g.tombstoneBytes
	}
	return v
}

// hasSegmentInRange reports whether a segment numbered lo to hi, other than except, exists.
func (s *Store) hasSegmentInRange(lo, hi, except uint32) bool {
	for _, g := range s.segments {
		if g.number >= lo && g.number <= hi && g.number != except {
			return true
		}
	}
	return false
}
