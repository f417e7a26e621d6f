package journal

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

// seqsPerPage is the number of sequence numbers in one record of the store. Segments of the
// backlog begin at multiples of it.
const seqsPerPage = 1024

// seqSet is a bitmap of the backlog sequence numbers of messages that have left the backlog of
// their destination. A message that enters the window is first written to the journal, and its
// number after it: a crash in between leaves it in both places, and then the journal's copy
// counts.
type seqSet struct {
	pages   map[uint64]*seqPage // by sequence number / seqsPerPage
	dirty   map[uint64]bool     // pages that changed since they were written
	highest uint64              // largest number seen, or the last of its page after a restart
}

// maxPageRecord is an upper bound of the size of a page's record in bytes.
const maxPageRecord = seqsPerPage/8 + 64

// seqPage is the part of a seqSet in one record of the store: a bit for each of seqsPerPage
// consecutive sequence numbers.
type seqPage [seqsPerPage / 64]uint64

// newSeqSet returns an empty set.
func newSeqSet() seqSet { return seqSet{pages: map[uint64]*seqPage{}, dirty: map[uint64]bool{}} }

// pageKey returns the key of a page in the store.
func pageKey(page uint64) string { return keyLeftBacklog + strconv.FormatUint(page, 16) }

// load reads a page from the value of its record; id is the record's key without its first byte.
func (p *seqSet) load(id string, value []byte) error {
	page, err := strconv.ParseUint(id, 16, 64)
	if err != nil || len(value) != seqsPerPage/8 {
		return fmt.Errorf("record %q of %d bytes: %w", keyLeftBacklog+id, len(value), err)
	}
	bits := &seqPage{}
	for i := range bits {
		bits[i] = binary.LittleEndian.Uint64(value[8*i:])
	}
	p.pages[page] = bits
	p.highest = max(p.highest, page*seqsPerPage+seqsPerPage-1)
	return nil
}

// encode returns the value of the page's record in the store: a bitmap of seqsPerPage bits as
// little-endian words. seqSet.load reads it.
func (s *seqPage) encode() []byte {
	var b []byte
	for _, x := range s {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	return b
}

// set adds a number (on) or removes it; 0 stands for none and is ignored.
func (p *seqSet) set(n uint64, on bool) {
	if n == 0 {
		return
	}
	page, bit := n/seqsPerPage, n%seqsPerPage
	s := p.pages[page]
	if s == nil {
		s = &seqPage{}
		p.pages[page] = s
	}
	if on {
		s[bit/64] |= 1 << (bit % 64)
	} else {
		s[bit/64] &^= 1 << (bit % 64)
	}
	p.dirty[page] = true
	p.highest = max(p.highest, n)
}

// add adds a number unless the set has it, so that an unchanged page is not written again; 0
// stands for none and is ignored.
func (p *seqSet) add(n uint64) {
	if n > 0 && !p.has(n) {
		p.set(n, true)
	}
}

// has reports whether the set has a number.
func (p *seqSet) has(n uint64) bool {
	s := p.pages[n/seqsPerPage]
	return s != nil && s[n%seqsPerPage/64]&(1<<(n%64)) != 0
}

// remove removes the pages of count numbers from first on, the first number of a segment.
func (p *seqSet) remove(first, count uint64) {
	for page := first / seqsPerPage; page*seqsPerPage < first+count; page++ {
		if p.pages[page] != nil {
			delete(p.pages, page)
			p.dirty[page] = true
		}
	}
}

// PruneLeftBacklog drops records of messages that have left the backlog, by backlog sequence
// number, where the backlog has no segment with that number any more. exists reports whether a
// segment of the backlog overlaps the numbers from first to last. The backlog calls it when it is
// opened.
func (j *Journal) PruneLeftBacklog(exists func(first, last uint64) bool) {
	for page := range j.leftBacklog.pages {
		if !exists(page*seqsPerPage, page*seqsPerPage+seqsPerPage-1) {
			j.leftBacklog.remove(page*seqsPerPage, 1)
		}
	}
}

// HasLeftBacklog reports whether the message with a sequence number has left the backlog.
func (j *Journal) HasLeftBacklog(seq uint64) bool { return j.leftBacklog.has(seq) }

// MaxBacklogSeq returns the largest sequence number that is known to have left the backlog, or a
// larger one.
func (j *Journal) MaxBacklogSeq() uint64 { return j.leftBacklog.highest }
