package journal

import (
	"cometrack/internal/message"
)

// undo reverts a change that must not take effect if it can't be written.
type undo struct {
	id  string // of the message
	run func()
}

// messageID returns the id of the message that a record is of.
func (rec *Record) messageID() string {
	if rec.Entry != nil {
		return rec.Entry.ID
	}
	return rec.ID
}

// apply updates the journal's state in memory by a record. If the change must not take effect
// unless it is written, apply returns a function that reverts it.
func (j *Journal) apply(rec *Record) (undo func()) {
	switch rec.Op {
	case OpAccept:
		if rec.Entry == nil || j.entries[rec.Entry.ID] != nil {
			return nil
		}
		e := rec.Entry
		e.convertLegacyPartner()
		j.lastNumber++
		e.number = j.lastNumber
		j.entries[e.ID] = e
		dirty := messageDirty
		if e.Attempts > 0 || e.End != nil { // imported from a legacy file
			dirty |= stateDirty
		}
		j.markDirty(e.ID, dirty)
		j.leftBacklog.set(e.BacklogSeq, true)
		return func() {
			delete(j.entries, e.ID)
			j.leftBacklog.set(e.BacklogSeq, false)
			j.markDirty(e.ID, messageDirty|stateDirty) // part of it may be in the store
		}
	case OpWait:
		j.waits[rec.ID] = max(j.waits[rec.ID], rec.At) // a shorter wait does not end an earlier one
		j.dirtyWaits[rec.ID] = true
		if len(j.waits) > maxWaits {
			j.expireWaits(j.clock.Now())
		}
		return nil
	case OpLeftBacklog:
		j.leftBacklog.set(rec.BacklogSeq, true)
		return nil
	case OpBacklogReclaimed:
		j.leftBacklog.remove(rec.BacklogSeq, rec.Count)
		return nil
	case OpPartner:
		j.applyPartner(rec.ID, rec.Partner)
		return nil
	case OpEnded:
		if x := rec.Ended; x != nil {
			j.lastNumber++
			x.number = j.lastNumber
			j.addEnded(x)
		}
		return nil
	}
	e := j.entries[rec.ID]
	if e == nil {
		return nil
	}
	j.markDirty(e.ID, stateDirty)
	switch rec.Op {
	case OpSend:
		attempts, inFlight, since, zone := e.Attempts, e.InFlight, e.MayHaveRunSince, e.MayHaveRunZone
		e.Attempts++
		e.InFlight = true
		if !e.MayHaveRun {
			e.MayHaveRunSince, e.MayHaveRunZone = rec.At, rec.Zone
		}
		return func() {
			e.Attempts, e.InFlight, e.MayHaveRunSince, e.MayHaveRunZone = attempts, inFlight, since, zone
			j.markDirty(e.ID, stateDirty)
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
		j.markDirty(e.ID, messageDirty)
	case OpDone, OpNotified:
		delete(j.entries, e.ID)
		j.markDirty(e.ID, messageDirty)
		j.addEnded(j.endedFrom(e, rec))
	}
	return nil
}

// endedFrom returns the ended message of an entry whose last record is rec.
func (j *Journal) endedFrom(e *Entry, rec *Record) *Ended {
	x := &Ended{ID: e.ID, Tenant: e.Tenant, Partner: e.Partner, Class: e.Class, State: message.Delivered,
		Attempts: e.Attempts, AcceptedAt: e.AcceptedAt, EndedAt: rec.At, Digest: e.SubmittedDigest(), RetainUntil: e.Deadline,
		backlogSeq: e.BacklogSeq, number: e.number}
	if e.End != nil {
		x.State, x.RetryAfterMS, x.EndedAt = e.End.State, e.End.RetryAfterMS, e.End.At
	}
	if retention := j.opts.EndRetention; retention > 0 {
		x.RetainUntil = x.EndedAt + retention.Microseconds()
	}
	return x
}

// addEnded retains an ended message.
func (j *Journal) addEnded(x *Ended) {
	j.ended.add(x)
	j.markDirty(x.ID, stateDirty)
}
