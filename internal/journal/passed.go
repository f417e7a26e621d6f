package journal

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

// passedPart is how many numbers one record of the store is for. Segments of messages
// behind the windows begin at multiples of it.
const passedPart = 1024

// passed knows by number which of the messages that were behind the windows of their
// destinations no longer are. A message comes into its window by one write of the
// message here and then of this: a crash between the two leaves it in both places,
// and then it is here.
type passed struct {
	parts map[uint64]*passedSet // by number over passedPart
	dirty map[uint64]bool
	most  uint64
}

// passedSize is more than a record of one takes.
const passedSize = passedPart/8 + 64

type passedSet [passedPart / 64]uint64

func newPassed() passed { return passed{parts: map[uint64]*passedSet{}, dirty: map[uint64]bool{}} }

func passedKey(part uint64) string { return keyPassed + strconv.FormatUint(part, 16) }

func (p *passed) load(id string, value []byte) error {
	part, err := strconv.ParseUint(id, 16, 64)
	if err != nil || len(value) != passedPart/8 {
		return fmt.Errorf("record %q of %d bytes: %w", keyPassed+id, len(value), err)
	}
	set := &passedSet{}
	for i := range set {
		set[i] = binary.LittleEndian.Uint64(value[8*i:])
	}
	p.parts[part] = set
	p.most = max(p.most, part*passedPart+passedPart-1)
	return nil
}

func (s *passedSet) encode() []byte {
	var b []byte
	for _, x := range s {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	return b
}

// set notes a number; 0 is none.
func (p *passed) set(n uint64, on bool) {
	if n == 0 {
		return
	}
	part, bit := n/passedPart, n%passedPart
	s := p.parts[part]
	if s == nil {
		s = &passedSet{}
		p.parts[part] = s
	}
	if on {
		s[bit/64] |= 1 << (bit % 64)
	} else {
		s[bit/64] &^= 1 << (bit % 64)
	}
	p.dirty[part] = true
	p.most = max(p.most, n)
}

// keep notes a number of a message that the store has; 0 is none.
func (p *passed) keep(n uint64) {
	if n > 0 && !p.has(n) {
		p.set(n, true)
	}
}

func (p *passed) has(n uint64) bool {
	s := p.parts[n/passedPart]
	return s != nil && s[n%passedPart/64]&(1<<(n%64)) != 0
}

// clear drops what is known of count numbers from first on, which a segment began with.
func (p *passed) clear(first, count uint64) {
	for part := first / passedPart; part*passedPart < first+count; part++ {
		if p.parts[part] != nil {
			delete(p.parts, part)
			p.dirty[part] = true
		}
	}
}

// PruneLeftBacklog drops what is known of numbers in no segment that lives says there is.
func (j *Journal) PruneLeftBacklog(lives func(first, last uint64) bool) {
	for part := range j.passed.parts {
		if !lives(part*passedPart, part*passedPart+passedPart-1) {
			j.passed.clear(part*passedPart, 1)
		}
	}
}

// HasLeftBacklog says whether the message of a number is no longer behind its window.
func (j *Journal) HasLeftBacklog(n uint64) bool { return j.passed.has(n) }

// MaxBacklogSeq is the largest number of a message behind a window that was ever told,
// or one above it.
func (j *Journal) MaxBacklogSeq() uint64 { return j.passed.most }
