package backlog

import (
	"cmp"
	"math"
	"slices"
)

// Entry is what is known of a message behind the window when it is taken on, and
// again once it has been read. Its index block on the disk has it.
type Entry struct {
	Seq       uint64 // its place in the order in which messages went behind the window, from 1 on
	IDHash    uint64 // hash of its id
	OrderHash uint64 // hash of its order key, if its class keeps order; else 0
	Queue     QueueID
	Deadline  int64  // by the sender's clock
	Offset    uint32 // of its record in the segment, in bytes
	HeadSize  uint32 // bytes of the record before the body
	Size      uint32 // bytes of the record
	Terms     int64  // the number of the terms that it was taken on under
}

// Item is a message with what whoever reads it wants back when it ends.
type Item struct {
	Entry
	Payload any
}

// Run is a stretch of an index block: the messages of one lane, in order.
type Run struct {
	Queue QueueID
	From  uint32 // in the order of lanes
	N     uint32
}

// SortEntries gives the orders in which a closed segment's index block has its messages,
// as places in the segment: by lane, with the runs, and by deadline.
func SortEntries(entries []Entry) (byLane, byDeadline []uint32, runs []Run) {
	byLane, byDeadline = make([]uint32, len(entries)), make([]uint32, len(entries))
	for i := range entries {
		byLane[i], byDeadline[i] = uint32(i), uint32(i)
	}
	slices.SortStableFunc(byLane, func(a, b uint32) int { return cmp.Compare(entries[a].Queue, entries[b].Queue) })
	slices.SortStableFunc(byDeadline, func(a, b uint32) int { return cmp.Compare(entries[a].Deadline, entries[b].Deadline) })
	for i, p := range byLane {
		if l := entries[p].Queue; i == 0 || runs[len(runs)-1].Queue != l {
			runs = append(runs, Run{Queue: l, From: uint32(i)})
		}
		runs[len(runs)-1].N++
	}
	return byLane, byDeadline, runs
}

// segment is a file of messages that are numbered in a row.
type segment struct {
	first uint64
	n     uint32
	gone  []uint64 // a bit for each that is no longer behind the window
	left  uint32   // those that are
	terms []int64  // numbers of the terms of its messages

	// Until its index block is on the disk:
	entries []Entry
	lists   map[QueueID][]uint32 // places by lane, in order
	waiting []uint32             // a heap of places by deadline: those whose end has not been asked for
	closed  bool                 // nothing is added any more

	// From then on:
	sealed bool
	asked  uint32 // of the order of deadlines, those that have been asked for
	due    int64  // the next deadline of that order

	reading bool // a read of deadlines is out
	out     int  // reads of lanes that are out
}

func (s *segment) isGone(seq uint64) bool {
	at := seq - s.first
	return s.gone[at/64]&(1<<(at%64)) != 0
}

func (s *segment) setGone(seq uint64, on bool) {
	at := seq - s.first
	if on {
		s.gone[at/64] |= 1 << (at % 64)
		s.left--
	} else {
		s.gone[at/64] &^= 1 << (at % 64)
		s.left++
	}
}

// next is the first deadline that has not been asked for.
func (s *segment) next() int64 {
	switch {
	case s.left == 0 || s.reading:
		return math.MaxInt64
	case s.sealed && s.asked < s.n:
		return s.due
	case !s.sealed && len(s.waiting) > 0:
		return s.entries[s.waiting[0]].Deadline
	}
	return math.MaxInt64
}

func (s *segment) sooner(a, b uint32) bool { return s.entries[a].Deadline < s.entries[b].Deadline }
