package plan

// BlockSize is the allocation unit of the disk in bytes: each file counts in whole blocks.
const BlockSize = 512

// RoundToBlocks rounds a size in bytes up to whole blocks.
func RoundToBlocks(size int64) int64 { return (size + BlockSize - 1) / BlockSize * BlockSize }

// Segment describes a segment that takes no more records. All figures but Number are bytes.
type Segment struct {
	Number         uint32
	Size           int64 // of the file
	LiveBytes      int64 // current records
	TombstoneBytes int64 // deletions still needed, since older records of their keys may be on disk
	Pinned         bool  // can't be emptied: a current record in it can't be read any more
}

// Reclaimable returns how many bytes compacting the segment frees.
func (s Segment) Reclaimable() int64 { return s.Size - s.LiveBytes - s.TombstoneBytes }

// Bounds are the space limits of a store, in bytes.
type Bounds struct {
	MaxBytes     int64 // all files together; 0 for no limit
	SegmentBytes int64 // largest size of a segment
}

const (
	// spareSegments are kept free in addition to live records: one for the active segment, one for the copies
	// made by compaction, one for writes from the reserve.
	spareSegments = 3
	// maxLiveFraction of the space left may be live. The closer to 1, the more bytes are copied for each
	// byte freed: at 0.85 about three in the worst case.
	maxLiveFraction = 0.85
	// minGainIdle is the fraction of a segment that must be reclaimable for it to be compacted while space
	// is not low.
	minGainIdle = 0.5
	// minGainUrgent is the fraction that must be reclaimable when space is low.
	minGainUrgent = 0.02
	// maxDeadFraction of all files may be dead before compaction runs although space is not low.
	maxDeadFraction = 0.5
)

// Capacity returns how many bytes of live records the store accepts; 0 for no limit.
func (b Bounds) Capacity() int64 {
	if b.MaxBytes == 0 {
		return 0
	}
	return max(int64(maxLiveFraction*float64(b.MaxBytes-spareSegments*b.SegmentBytes)), 1)
}

// Fits reports whether files of used bytes may grow by more bytes. Ordinary writes leave two segments free. Writes from
// the reserve may use one of the two; the last is for the copies made by compaction.
func (b Bounds) Fits(used, more int64, useReserve bool) bool {
	if b.MaxBytes == 0 {
		return true
	}
	reserved := 2 * b.SegmentBytes
	if useReserve {
		reserved = b.SegmentBytes
	}
	return used+more <= b.MaxBytes-reserved
}

// LowSpace reports whether free space is so low that compaction must run without pauses.
func (b Bounds) LowSpace(used int64) bool {
	return b.MaxBytes > 0 && used > b.MaxBytes-4*b.SegmentBytes
}

// PickVictim returns the segment to compact next: the one with the largest reclaimable fraction, which frees most bytes
// for each byte copied. Unless urgent, that fraction must be at least minGainIdle. It returns false if no segment
// qualifies.
func PickVictim(segments []Segment, urgent bool) (number uint32, ok bool) {
	minGain := minGainIdle
	if urgent {
		minGain = minGainUrgent
	}
	best := 0.0
	for _, s := range segments {
		if s.Pinned || s.Size == 0 {
			continue
		}
		if gain := float64(s.Reclaimable()) / float64(s.Size); gain >= minGain && gain > best {
			best, number, ok = gain, s.Number, true
		}
	}
	return number, ok
}

// checkpointInterval is how many times the size of the last checkpoint is written before the next one. It bounds the
// share of checkpoints in what is written, and what a start must read.
const checkpointInterval = 4

// CheckpointDue reports whether a checkpoint is due when so many bytes have been written since the last one of lastSize
// bytes. Four segments are read so quickly at a start that a checkpoint is not worth while before.
func (b Bounds) CheckpointDue(written, lastSize int64) bool {
	return written > max(checkpointInterval*lastSize, 4*b.SegmentBytes)
}

// ShouldCompact reports whether compaction should run: space is low, or more than half of the bytes in the files are
// dead.
func (b Bounds) ShouldCompact(used, live int64) bool {
	return b.LowSpace(used) || used > 4*b.SegmentBytes && float64(used-live) > maxDeadFraction*float64(used)
}
