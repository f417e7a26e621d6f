package journal

import (
	"slices"

	"cometrack/internal/store"
)

// How what the journal knows gets into the store.

// mark says what of a message the store is to get.
type mark byte

const (
	markMessage mark = 1 << iota
	markState
	markAnew // what the store has of it is to be written again
)

func (j *Journal) mark(id string, m mark) {
	if j.dirty[id] == 0 {
		j.changed = append(j.changed, id)
	}
	j.dirty[id] |= m
}

// flush writes what the store does not have, in as many batches as it takes.
func (j *Journal) flush() error {
	err := j.writeAll()
	if j.behind = err != nil; j.behind {
		j.changed = slices.DeleteFunc(j.changed, func(id string) bool { return j.dirty[id] == 0 })
	}
	return err
}

// written notes that the store has the batch.
func (j *Journal) written() {
	for _, id := range j.unsaid {
		delete(j.dirty, id)
	}
	j.unsaid = j.unsaid[:0]
}

func (j *Journal) writeAll() error {
	b := &j.batch
	j.unsaid = j.unsaid[:0]
	b.Reset()
	j.buf.Reset()
	b.Owed = true // Reserve has checked the space
	commit := func(more int) error {
		if b.Size()+int64(more) <= j.store.MaxBatch() {
			return nil
		}
		err := j.store.Commit(b)
		b.Reset()
		if err == nil {
			j.written()
		}
		return err
	}
	if j.newEpoch { // before all that has times
		b.Put(keyClock, encode(&j.buf, &clockRecord{j.epoch.BootID, j.epoch.Offset}))
	}
	for n := range j.dirtyTerms { // before the messages that name them
		if err := commit(mostTermsBytes); err != nil {
			return err
		}
		if t := j.terms[n]; t != nil {
			b.Put(termsKey(n), encode(&j.buf, t))
		} else {
			b.Forget(termsKey(n))
		}
	}
	for _, id := range j.changed {
		more := mostOther
		if e := j.entries[id]; e != nil {
			more += max(len(e.Body), e.StoredBodySize)
		}
		if err := commit(more); err != nil {
			return err
		}
		j.put(b, id, j.dirty[id])
		j.unsaid = append(j.unsaid, id)
	}
	for name := range j.dirtyWaits {
		if err := commit(mostOther); err != nil {
			return err
		}
		if until, ok := j.waits[name]; ok {
			b.Put(keyWait+name, encode(&j.buf, &waitRecord{until}))
		} else {
			b.Forget(keyWait + name)
		}
	}
	for name := range j.partners.dirty {
		if err := commit(mostPartner); err != nil {
			return err
		}
		j.putPartner(b, name)
	}
	// Last, and all at once: none is written unless each message that it says is here, is.
	if err := commit(len(j.passed.dirty) * passedSize); err != nil {
		return err
	}
	for n := range j.passed.dirty {
		if p := j.passed.parts[n]; p != nil {
			b.Put(passedKey(n), p.encode())
		} else {
			b.Delete(passedKey(n))
		}
	}
	if err := j.store.Commit(b); err != nil {
		return err
	}
	for name := range j.partners.dirty {
		if k := j.partners.by[name]; k != nil {
			k.value = nil
		}
	}
	clear(j.partners.dirty)
	clear(j.dirty)
	clear(j.dirtyWaits)
	j.newEpoch = false
	clear(j.dirtyTerms)
	clear(j.passed.dirty)
	j.changed = j.changed[:0]
	return nil
}

// put adds to a batch what the store is to have of a message.
func (j *Journal) put(b *store.Batch, id string, m mark) {
	e, x := j.entries[id], j.ended.byID[id]
	if e != nil && e.End == nil {
		switch {
		case m&markMessage == 0:
		case e.StoredBodySize == 0:
			b.Put(keyMessage+id, messageOf(&j.buf, e))
		case m&markAnew != 0: // one that is left is there, but may not last
			if value, err := j.store.Get(keyMessage + id); err == nil && value != nil {
				b.Put(keyMessage+id, value)
			}
		}
		if m&markState != 0 {
			b.Put(keyState+id, stateOf(&j.buf, e))
		}
		return
	}
	// The end is written before the message goes: in between it is known twice rather than not at all.
	if m&markState != 0 {
		switch {
		case e != nil:
			b.Put(keyState+id, stateOf(&j.buf, e))
		case x != nil && x.saved:
			b.Put(keyState+id, overOf(&j.buf, x))
		default:
			b.Forget(keyState + id)
		}
	}
	if m&markMessage != 0 {
		b.Delete(keyMessage + id)
	}
}
