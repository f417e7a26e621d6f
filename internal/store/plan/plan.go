package plan

// BlockSize is what a disk hands out in one piece: each file counts in whole blocks.
const BlockSize = 512

// RoundToBlocks rounds a size up to whole blocks.
func RoundToBlocks(size int64) int64 { return (size + BlockSize - 1) / BlockSize * BlockSize }

// Segment is what a store knows of one that takes no more records. All figures
// but Number are bytes.
type Segment struct {
	Number         uint32
	Size           int64 // of the file
	LiveBytes      int64 // records that count
	TombstoneBytes int64 // deletions that are still needed, since older records of their keys may be about
	Pinned         bool  // it can't be emptied: a record that counts can't be read any more
}

// Reclaimable is what compacting the segment frees.
func (s Segment) Reclaimable() int64 { return s.Size - s.LiveBytes - s.TombstoneBytes }

// Bounds are the figures that a store keeps to. All are bytes.
type Bounds struct {
	MaxBytes     int64 // all files together; 0 for no limit
	SegmentBytes int64 // the largest size of one
}

const (
	// spare segments are kept free beside live records: one that is written, one
	// for the copies of the one that is compacted, one for what is owed.
	spare = 3
	// livePart of the rest may be live. The closer to 1, the more copies are made
	// for each byte that is freed: at 0.85 about three in the worst case.
	livePart = 0.85
	// idleGain is the part of a segment that must be gained for it to be compacted
	// while there is room.
	idleGain = 0.5
	// leastGain is the part that must be gained when room is short.
	leastGain = 0.02
	// wasteful is the part of all files that may be dead while there is no limit.
	wasteful = 0.5
)

// Capacity is how many bytes of live records are taken on at most; 0 for no limit.
func (b Bounds) Capacity() int64 {
	if b.MaxBytes == 0 {
		return 0
	}
	return max(int64(livePart*float64(b.MaxBytes-spare*b.SegmentBytes)), 1)
}

// Fits says whether files of so many bytes may grow by more. New records leave
// room for two segments; owed ones may take one of the two, and the last is for
// the copies of compaction.
func (b Bounds) Fits(used, more int64, owed bool) bool {
	if b.MaxBytes == 0 {
		return true
	}
	kept := 2 * b.SegmentBytes
	if owed {
		kept = b.SegmentBytes
	}
	return used+more <= b.MaxBytes-kept
}

// LowSpace says whether room is so short that compaction must not rest.
func (b Bounds) LowSpace(used int64) bool {
	return b.MaxBytes > 0 && used > b.MaxBytes-4*b.SegmentBytes
}

// PickVictim picks the segment to compact next: the one that frees most for each byte
// that must be copied. Without haste it waits until that is worth it. None is
// picked when nothing is to be gained.
func PickVictim(segments []Segment, haste bool) (number uint32, ok bool) {
	least := idleGain
	if haste {
		least = leastGain
	}
	best := 0.0
	for _, s := range segments {
		if s.Pinned || s.Size == 0 {
			continue
		}
		if part := float64(s.Reclaimable()) / float64(s.Size); part >= least && part > best {
			best, number, ok = part, s.Number, true
		}
	}
	return number, ok
}

// checkpointTimes is how much is written, in times of a checkpoint's size, until
// another one is: its share of what is written, and what a start reads at most.
const checkpointTimes = 4

// CheckpointDue says whether one is due after so many bytes, if the last one had so
// many; four segments are read faster than anybody notices.
func (b Bounds) CheckpointDue(since, last int64) bool {
	return since > max(checkpointTimes*last, 4*b.SegmentBytes)
}

// ShouldCompact says whether compaction has a reason to run: room is short, or more than
// half of what the files hold is dead.
func (b Bounds) ShouldCompact(used, live int64) bool {
	return b.LowSpace(used) || used > 4*b.SegmentBytes && float64(used-live) > wasteful*float64(used)
}
