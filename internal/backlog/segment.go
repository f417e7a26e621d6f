package backlog

import (
	"cmp"
	"math"
	"slices"
)

// Entry describes a spilled message. It is in memory until the message's segment is
// sealed; from then on the segment's index block has it.
type Entry struct {
	Seq       uint64 // sequence number in the order of spilling, from 1 on
	IDHash    uint64
	OrderHash uint64 // hash of its order key, if its class keeps order; else 0
	Queue     QueueID
	Deadline  int64  // by the sender's clock, in microseconds
	Offset    uint32 // of its record in the segment, in bytes
	HeadSize  uint32 // bytes of the record before the body
	Size      uint32 // bytes of the record
	Terms     int64  // number of the settings (terms) it was accepted under
}

// Item is a spilled message with a payload that its reader gets back when it expires.
type Item struct {
	Entry
	Payload any
}

// Run is a range of an index block's by-queue order: the messages of one queue, in order.
type Run struct {
	Queue QueueID
	From  uint32 // first position in the by-queue order
	N     uint32 // number of messages
}

// SortEntries returns the orders that the index block of a closed segment stores, as
// positions in the segment: by queue, with the run of each queue, and by deadline.
func SortEntries(entries []Entry) (byQueue, byDeadline []uint32, runs []Run) {
	byQueue, byDeadline = make([]uint32, len(entries)), make([]uint32, len(entries))
	for i := range entries {
		byQueue[i], byDeadline[i] = uint32(i), uint32(i)
	}
	slices.SortStableFunc(byQueue, func(a, b uint32) int { return cmp.Compare(entries[a].Queue, entries[b].Queue) })
	slices.SortStableFunc(byDeadline,
		func(a, b uint32) int { return cmp.Compare(entries[a].Deadline, entries[b].Deadline) })
	for i, at := range byQueue {
		if id := entries[at].Queue; i == 0 || runs[len(runs)-1].Queue != id {
			runs = append(runs, Run{Queue: id, From: uint32(i)})
		}
		runs[len(runs)-1].N++
	}
	return byQueue, byDeadline, runs
}

// segment is a file of messages with consecutive sequence numbers.
type segment struct {
	first   uint64   // sequence number of the first message
	n       uint32   // number of its messages
	removed []uint64 // a bit for each message that is no longer spilled
	live    uint32   // number of messages that are still spilled
	terms   []int64  // distinct Entry.Terms of its messages

	// Until it is sealed:
	entries    []Entry
	byQueue    map[QueueID][]uint32 // positions of each queue's messages, in order
	expiryHeap []uint32             // a heap by deadline of the positions that no expiry read has requested
	closed     bool                 // no more messages are added

	// Once it is sealed, that is, its index block is on disk:
	sealed       bool
	requested    uint32 // number of messages, in by-deadline order, that expiry reads have requested
	nextDeadline int64  // deadline of the first message not requested

	readingExpiry bool // an expiry read is in flight
	refillReads   int  // number of refill reads in flight
}

func (s *segment) isRemoved(seq uint64) bool {
	at := seq - s.first
	return s.removed[at/64]&(1<<(at%64)) != 0
}

func (s *segment) setRemoved(seq uint64, on bool) {
	at := seq - s.first
	if on {
		s.removed[at/64] |= 1 << (at % 64)
		s.live--
	} else {
		s.removed[at/64] &^= 1 << (at % 64)
		s.live++
	}
}

// nextUnreadDeadline returns the earliest deadline that no expiry read has requested;
// math.MaxInt64 if there is none or an expiry read is in flight.
func (s *segment) nextUnreadDeadline() int64 {
	switch {
	case s.live == 0 || s.readingExpiry:
		return math.MaxInt64
	case s.sealed && s.requested < s.n:
		return s.nextDeadline
	case !s.sealed && len(s.expiryHeap) > 0:
		return s.entries[s.expiryHeap[0]].Deadline
	}
	return math.MaxInt64
}

// earlier reports whether the message at position a has the earlier deadline.
func (s *segment) earlier(a, b uint32) bool { return s.entries[a].Deadline < s.entries[b].Deadline }
