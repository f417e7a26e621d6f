package journal

import (
	"testing"

	"cometrack/internal/message"
	"cometrack/internal/vfs"
)

// The sequence number of a message that has left the backlog must stay in the set when nothing else of it is stored, or
// a copy left in the backlog would be sent again. That of an entry that could not be written must not be in it, and
// numbers without any message left are dropped.
func TestLeftBacklog(t *testing.T) {
	fs := vfs.NewMem()
	opts := testOptions
	opts.MaxEnded = 0
	j := openJournal(t, fs, opts)
	acceptFromBacklog := func(id string, n uint64) Record {
		r := accept(id, 10)
		r.Entry.BacklogSeq = n
		return r
	}
	mustAppend(t, j, acceptFromBacklog("a", 1024), acceptFromBacklog("b", 1030))
	mustAppend(t, j, Record{Op: OpDone, ID: "a"}, Record{Op: OpLeftBacklog, BacklogSeq: 5000})
	withoutBody := acceptFromBacklog("c", 1031)
	withoutBody.Entry.Body, withoutBody.Entry.StoredBodySize, withoutBody.Entry.StoredDigest = nil, 1, 7
	mustAppend(t, j, withoutBody, Record{Op: OpEnd, ID: "c", End: &message.End{ID: "c", State: message.Returned}})
	if e := j.Entry("c"); e.SubmittedDigest() != 7 {
		t.Errorf("digest of the ended message: %d", e.SubmittedDigest())
	}
	mustAppend(t, j, Record{Op: OpNotified, ID: "c"})
	fs.FailAt(1, vfs.ErrCrashed)
	if j.Append([]Record{acceptFromBacklog("d", 1040)}) == nil || j.HasLeftBacklog(1040) {
		t.Errorf("a message that could not be written counts as having left the backlog")
	}
	for range 2 {
		for n, want := range map[uint64]bool{1024: true, 1030: true, 1031: true, 1040: false, 1025: false,
			5000: true, 5001: false, 0: false} {
			if j.HasLeftBacklog(n) != want {
				t.Errorf("%d has left the backlog: %v", n, !want)
			}
		}
		if j.MaxBacklogSeq() < 5000 {
			t.Errorf("the largest sequence number is %d", j.MaxBacklogSeq())
		}
		j = reopen(t, j, fs)
	}
	mustAppend(t, j, Record{Op: OpDone, ID: "b"}, Record{Op: OpBacklogReclaimed, BacklogSeq: 1024, Count: 40})
	j = reopen(t, j, fs)
	if j.HasLeftBacklog(1024) || !j.HasLeftBacklog(5000) {
		t.Errorf("after numbers were reclaimed: 1024 has left the backlog: %v, 5000: %v",
			j.HasLeftBacklog(1024), j.HasLeftBacklog(5000))
	}
	j.PruneLeftBacklog(func(first, last uint64) bool { return first > 5000 })
	if j = reopen(t, j, fs); j.HasLeftBacklog(5000) {
		t.Errorf("a number without a segment is still in the set")
	}
	j.Close()
}
