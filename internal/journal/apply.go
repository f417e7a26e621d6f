package journal

import (
	"cometrack/internal/message"
)

// What each record does to what the journal knows.

// undo takes back what must not count if it can't be written.
type undo struct {
	id  string // the message
	run func()
}

// subject is the id of the message that a record is of.
func (rec *Record) subject() string {
	if rec.Entry != nil {
		return rec.Entry.ID
	}
	return rec.ID
}

// apply brings the entries up to date with a record. What must not count if it
// can't be written comes with a way to undo it.
func (j *Journal) apply(rec *Record) (undo func()) {
	switch rec.Op {
	case OpAccept:
		if rec.Entry == nil || j.entries[rec.Entry.ID] != nil {
			return nil
		}
		e := rec.Entry
		e.upgrade()
		j.n++
		e.n = j.n
		j.entries[e.ID] = e
		m := markMessage
		if e.Attempts > 0 || e.End != nil { // of an older file
			m |= markState
		}
		j.mark(e.ID, m)
		j.passed.set(e.BacklogSeq, true)
		return func() {
			delete(j.entries, e.ID)
			j.passed.set(e.BacklogSeq, false)
			j.mark(e.ID, markMessage|markState) // part of it may have been written
		}
	case OpWait:
		j.waits[rec.ID] = max(j.waits[rec.ID], rec.At) // a shorter one takes nothing back
		j.dirtyWaits[rec.ID] = true
		if len(j.waits) > mostWaits {
			j.dropWaits(j.clock.Now())
		}
		return nil
	case OpLeftBacklog:
		j.passed.set(rec.BacklogSeq, true)
		return nil
	case OpBacklogReclaimed:
		j.passed.clear(rec.BacklogSeq, rec.Count)
		return nil
	case OpPartner:
		j.applyPartner(rec.ID, rec.Partner)
		return nil
	case OpTerms:
		if rec.Terms != nil {
			j.applyTerms(rec.Terms)
		}
		return nil
	case OpEnded:
		if x := rec.Ended; x != nil {
			j.n++
			x.n = j.n
			j.remember(x)
		}
		return nil
	}
	e := j.entries[rec.ID]
	if e == nil {
		return nil
	}
	j.mark(e.ID, markState)
	switch rec.Op {
	case OpSend:
		tries, open, firstMay, firstZone := e.Attempts, e.InFlight, e.MayHaveRunSince, e.MayHaveRunZone
		e.Attempts++
		e.InFlight = true
		if !e.MayHaveRun {
			e.MayHaveRunSince, e.MayHaveRunZone = rec.At, rec.Zone
		}
		return func() {
			e.Attempts, e.InFlight, e.MayHaveRunSince, e.MayHaveRunZone = tries, open, firstMay, firstZone
			j.mark(e.ID, markState)
		}
	case OpOutcome:
		e.InFlight = false
		e.MayHaveRun = e.MayHaveRun || rec.MayHaveRun
	case OpEnd:
		if rec.End == nil || e.End != nil {
			return nil
		}
		e.StoredDigest = e.SubmittedDigest()
		e.End = rec.End
		e.Body, e.StoredBodySize = nil, 0
		j.mark(e.ID, markMessage)
	case OpDone, OpNotified:
		delete(j.entries, e.ID)
		j.mark(e.ID, markMessage)
		j.remember(j.endedOf(e, rec))
	}
	return nil
}

// endedOf is what is remembered of a message whose last record is rec.
func (j *Journal) endedOf(e *Entry, rec *Record) *Ended {
	x := &Ended{ID: e.ID, Tenant: e.Tenant, Partner: e.Partner, Class: e.Class, State: message.Delivered, Attempts: e.Attempts,
		AcceptedAt: e.AcceptedAt, EndedAt: rec.At, Digest: e.SubmittedDigest(), RetainUntil: e.Deadline, behind: e.BacklogSeq, n: e.n}
	if e.End != nil {
		x.State, x.RetryAfterMS, x.EndedAt = e.End.State, e.End.RetryAfterMS, e.End.At
	}
	if k := j.opts.EndRetention; k > 0 {
		x.RetainUntil = x.EndedAt + k.Microseconds()
	}
	return x
}

func (j *Journal) remember(x *Ended) {
	j.ended.add(x)
	j.mark(x.ID, markState)
}
