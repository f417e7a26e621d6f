package plan

import (
	"testing"

	"pgregory.net/rapid"
)

func TestVictim(t *testing.T) {
	for name, c := range map[string]struct {
		segs   []Segment
		haste  bool
		number uint32
		ok     bool
	}{
		"none":                       {},
		"little to gain":             {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 700}}},
		"little to gain, in haste":   {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 700}}, haste: true, number: 1, ok: true},
		"nothing to gain":            {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 990}}, haste: true},
		"the most for each byte":     {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 300}, {Number: 2, Size: 500, LiveBytes: 50}}, number: 2, ok: true},
		"deletions still needed":     {segs: []Segment{{Number: 1, Size: 1000, TombstoneBytes: 900}, {Number: 2, Size: 1000, LiveBytes: 400}}, number: 2, ok: true},
		"what can't be read is kept": {segs: []Segment{{Number: 1, Size: 1000, LiveBytes: 10, Pinned: true}}, haste: true},
	} {
		if n, ok := PickVictim(c.segs, c.haste); n != c.number || ok != c.ok {
			t.Errorf("%s: %d, %v", name, n, ok)
		}
	}
}

// Whatever the bounds: what fits as new fits as owed, room is short before new
// records are refused, and with the capacity live something can be compacted.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seg := rapid.Int64Range(1<<11, 1<<22).Draw(t, "segment")
		b := Bounds{MaxBytes: seg * rapid.Int64Range(5, 300).Draw(t, "segments"), SegmentBytes: seg}
		used := rapid.Int64Range(0, b.MaxBytes).Draw(t, "used")
		more := rapid.Int64Range(0, seg).Draw(t, "more")
		if b.Fits(used, more, false) && !b.Fits(used, more, true) {
			t.Fatal("new fits, owed does not")
		}
		if !b.Fits(used, more, false) && !b.LowSpace(used) {
			t.Fatal("refused while room is not short")
		}
		if b.Fits(used, more, true) && used+more+seg > b.MaxBytes {
			t.Fatal("no room left for the copies of a segment")
		}
		// All segments but the last hold live bytes alike: the files are full, the live part is the capacity.
		n := b.MaxBytes/seg - 1
		live := b.Capacity() / n
		if _, ok := PickVictim([]Segment{{Number: 1, Size: seg, LiveBytes: live}}, true); !ok && n > 4 {
			t.Fatalf("%d of %d live and nothing to compact", live, seg)
		}
	})
}
