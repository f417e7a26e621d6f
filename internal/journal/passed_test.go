package journal

import (
	"testing"

	"cometrack/internal/message"
	"cometrack/internal/vfs"
)

// What came into its window stays known by its number when nothing else is remembered of it, what was refused does
// not, and numbers of which nothing is left are forgotten.
func TestPassed(t *testing.T) {
	fs := vfs.NewMem()
	opts := testOptions
	opts.MaxEnded = 0
	j := openJournal(t, fs, opts)
	behind := func(id string, n uint64) Record {
		r := accept(id, 10)
		r.Entry.BacklogSeq = n
		return r
	}
	mustAppend(t, j, behind("a", 1024), behind("b", 1030))
	mustAppend(t, j, Record{Op: OpDone, ID: "a"}, Record{Op: OpLeftBacklog, BacklogSeq: 5000})
	gone := behind("c", 1031)
	gone.Entry.Body, gone.Entry.StoredBodySize, gone.Entry.StoredDigest = nil, 1, 7
	mustAppend(t, j, gone, Record{Op: OpEnd, ID: "c", End: &message.End{ID: "c", State: message.Returned}})
	if e := j.Entry("c"); e.SubmittedDigest() != 7 {
		t.Errorf("the end has the digest %d", e.SubmittedDigest())
	}
	mustAppend(t, j, Record{Op: OpNotified, ID: "c"})
	fs.FailAt(1, vfs.ErrCrashed)
	if j.Append([]Record{behind("d", 1040)}) == nil || j.HasLeftBacklog(1040) {
		t.Errorf("what was refused has passed")
	}
	for range 2 {
		for n, want := range map[uint64]bool{1024: true, 1030: true, 1031: true, 1040: false, 1025: false, 5000: true, 5001: false, 0: false} {
			if j.HasLeftBacklog(n) != want {
				t.Errorf("%d has passed: %v", n, !want)
			}
		}
		if j.MaxBacklogSeq() < 5000 {
			t.Errorf("the largest number is %d", j.MaxBacklogSeq())
		}
		j = reopen(t, j, fs)
	}
	mustAppend(t, j, Record{Op: OpDone, ID: "b"}, Record{Op: OpBacklogReclaimed, BacklogSeq: 1024, Count: 40})
	j = reopen(t, j, fs)
	if j.HasLeftBacklog(1024) || !j.HasLeftBacklog(5000) {
		t.Errorf("after a clear 1024 has passed: %v, 5000: %v", j.HasLeftBacklog(1024), j.HasLeftBacklog(5000))
	}
	j.PruneLeftBacklog(func(first, last uint64) bool { return first > 5000 })
	if j = reopen(t, j, fs); j.HasLeftBacklog(5000) {
		t.Errorf("what nothing is left of is known")
	}
	j.Close()
}
