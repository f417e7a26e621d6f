package plan

import (
	"testing"

	"pgregory.net/rapid"
)

func TestVictim(t *testing.T) {
	for name, c := range map[string]struct {
		segs   []Segment
		urgent bool
		number uint32
		ok     bool
	}{
		"none":           {},
		"little to gain": {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 700}}},
		"little to gain, urgent": {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 700}}, urgent: true,
			number: 1, ok: true},
		"nothing to gain": {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 990}}, urgent: true},
		"the most for each byte": {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 300},
			{Number: 2, Size: 500, LiveBytes: 50}}, number: 2, ok: true},
		"deletions still needed": {segs: []Segment{{Number: 1, Size: 1000, TombstoneBytes: 900},
			{Number: 2, Size: 1000, LiveBytes: 400}}, number: 2, ok: true},
		"what can't be read is kept": {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 10, Pinned: true}},
			urgent: true},
	} {
		if n, ok := PickVictim(c.segs, c.urgent); n != c.number || ok != c.ok {
			t.Errorf("%s: %d, %v", name, n, ok)
		}
	}
}

// Checks for any bounds that what fits as an ordinary write fits from the reserve, that space is low before ordinary
// writes are rejected, and that a segment can be compacted when live bytes are at capacity.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seg := rapid.Int64Range(1<<11, 1<<22).Draw(t, "segment")
		b := Bounds{MaxBytes: seg * rapid.Int64Range(5, 300).Draw(t, "segments"), SegmentBytes: seg}
		used := rapid.Int64Range(0, b.MaxBytes).Draw(t, "used")
		more := rapid.Int64Range(0, seg).Draw(t, "more")
		if b.Fits(used, more, false) && !b.Fits(used, more, true) {
			t.Fatal("fits as an ordinary write, not from the reserve")
		}
		if !b.Fits(used, more, false) && !b.LowSpace(used) {
			t.Fatal("rejected although space is not low")
		}
		if b.Fits(used, more, true) && used+more+seg > b.MaxBytes {
			t.Fatal("no space left for the copies of a segment")
		}
		// The files are full and the live bytes, at capacity, are spread evenly over all segments but the last.
		n := b.MaxBytes/seg - 1
		live := b.Capacity() / n
		if _, ok := PickVictim([]Segment{{Number: 1, Size: seg, LiveBytes: live}}, true); !ok && n > 4 {
			t.Fatalf("%d of %d live and nothing to compact", live, seg)
		}
	})
}
