package journal

import (
	"slices"

	"cometrack/internal/store"
)

// dirtyFlags are the records of a message that must be written to the store.
type dirtyFlags byte

const (
	messageDirty  dirtyFlags = 1 << iota // the record of the message itself, or its removal
	stateDirty                           // the record of the state of its attempts
	rewriteStored                        // a body that is only in the store must be written again too
)

// markDirty notes that records of a message must be written.
func (j *Journal) markDirty(id string, flags dirtyFlags) {
	if j.dirty[id] == 0 {
		j.changed = append(j.changed, id)
	}
	j.dirty[id] |= flags
}

// flush writes all changes that the store does not have, in as many batches as needed.
func (j *Journal) flush() error {
	err := j.writeAll()
	if j.unwritten = err != nil; j.unwritten {
		j.changed = slices.DeleteFunc(j.changed, func(id string) bool { return j.dirty[id] == 0 })
	}
	return err
}

// batchWritten notes that the messages of the batch are in the store.
func (j *Journal) batchWritten() {
	for _, id := range j.batched {
		delete(j.dirty, id)
	}
	j.batched = j.batched[:0]
}

// writeAll builds and commits the batches of [Journal.flush].
func (j *Journal) writeAll() error {
	b := &j.batch
	j.batched = j.batched[:0]
	b.Reset()
	j.buf.Reset()
	b.UseReserve = true // Reserve has reserved the space
	// commit writes the batch if it would exceed the maximum with more bytes.
	commit := func(more int) error {
		if b.Size()+int64(more) <= j.store.MaxBatch() {
			return nil
		}
		err := j.store.Commit(b)
		b.Reset()
		if err == nil {
			j.batchWritten()
		}
		return err
	}
	if j.newEpoch { // before all records with times
		b.Put(keyClock, encode(&j.buf, &clockRecord{j.epoch.BootID, j.epoch.Offset}))
	}
	for n := range j.dirtyTerms { // before the messages that refer to them
		if err := commit(maxTermsBytes); err != nil {
			return err
		}
		if t := j.terms[n]; t != nil {
			b.Put(termsKey(n), encode(&j.buf, t))
		} else {
			b.DeleteWeak(termsKey(n))
		}
	}
	if err := commit(maxRecordOverhead); err != nil {
		return err
	}
	j.putTermsInForce(b, &j.buf)
	for _, id := range j.changed {
		more := maxRecordOverhead
		if e := j.entries[id]; e != nil {
			more += max(len(e.Body), e.StoredBodySize)
		}
		if err := commit(more); err != nil {
			return err
		}
		j.putMessage(b, id, j.dirty[id])
		j.batched = append(j.batched, id)
	}
	for name := range j.dirtyWaits {
		if err := commit(maxRecordOverhead); err != nil {
			return err
		}
		if until, ok := j.waits[name]; ok {
			b.Put(keyWait+name, encode(&j.buf, &waitRecord{until}))
		} else {
			b.DeleteWeak(keyWait + name)
		}
	}
	for name := range j.partners.dirty {
		if err := commit(maxPartnerBytes); err != nil {
			return err
		}
		j.putPartner(b, name)
	}
	// The numbers that have left the backlog come last, in one batch: a number must not be in the store without its
	// message.
	if err := commit(len(j.leftBacklog.dirty) * maxPageRecord); err != nil {
		return err
	}
	for n := range j.leftBacklog.dirty {
		if p := j.leftBacklog.pages[n]; p != nil {
			b.Put(pageKey(n), p.encode())
		} else {
			b.Delete(pageKey(n))
		}
	}
	if err := j.store.Commit(b); err != nil {
		return err
	}
	for name := range j.partners.dirty {
		if k := j.partners.byName[name]; k != nil {
			k.value = nil
		}
	}
	clear(j.partners.dirty)
	clear(j.dirty)
	clear(j.dirtyWaits)
	j.newEpoch = false
	clear(j.dirtyTerms)
	j.dirtyTermsInForce = false
	clear(j.leftBacklog.dirty)
	j.changed = j.changed[:0]
	return nil
}

// putMessage adds the dirty records of a message to a batch.
func (j *Journal) putMessage(b *store.Batch, id string, flags dirtyFlags) {
	e, ended := j.entries[id], j.ended.byID[id]
	if e != nil && e.End == nil {
		switch {
		case flags&messageDirty == 0:
		case e.StoredBodySize == 0:
			b.Put(keyMessage+id, encodeMessage(&j.buf, e))
		case flags&rewriteStored != 0: // the body is only in the store, where it may not be safe after a failed sync
			if value, err := j.store.Get(keyMessage + id); err == nil && value != nil {
				b.Put(keyMessage+id, value)
			}
		}
		if flags&stateDirty != 0 {
			b.Put(keyState+id, encodeState(&j.buf, e))
		}
		return
	}
	// The end is written before the message is deleted: a crash in between leaves both records rather than none.
	if flags&stateDirty != 0 {
		switch {
		case e != nil:
			b.Put(keyState+id, encodeState(&j.buf, e))
		case ended != nil && ended.saved:
			b.Put(keyState+id, encodeEnded(&j.buf, ended))
		default:
			b.DeleteWeak(keyState + id)
		}
	}
	if flags&messageDirty != 0 {
		b.Delete(keyMessage + id)
	}
}
