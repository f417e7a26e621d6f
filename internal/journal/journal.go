package journal

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/message"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// Options bound the journal.
type Options struct {
	Disk int64 // bytes in the folder; 0 for a default
	// Ends of messages are remembered for KeepEnded after the end, or if that is 0 until the message's own
	// deadline, and no more than MostEnded at once; the oldest go first. Those that fit into a fifth of the
	// room outlive the process.
	KeepEnded time.Duration
	MostEnded int
	Bodies    int  // a larger body is left on the disk until it is asked for; 0 to have all in memory
	Partners  bool // what is known of partners is kept too, in a twentieth of the room
	Sync      store.Sync
	Every     time.Duration // store.SyncInterval: how often
	Log       *slog.Logger  // nil for none
}

const (
	defaultDisk = 16 << 20
	mostWaits   = 10_000
	// endedPart is the part of the room that remembered ends may fill.
	endedPart = 0.2
	// reserve is kept free for each message that is held, for what becomes of it: its state, its end, and the
	// records that take it away. What these replace is dead and made room of by compaction.
	reserve = 128
	// mostOther is more than the records of a message take beside its body: eight names, twice, and numbers.
	mostOther = 16*(message.MaxName+8) + 512
	// messageOverhead is about what a message takes beside its id and body.
	messageOverhead = 128
)

// Journal keeps accepted messages in a store that outlives the process. All that
// it knows is in memory too. It is not safe for concurrent use.
type Journal struct {
	store    *store.Store
	opts     Options
	log      *slog.Logger
	n        int64
	entries  map[string]*Entry
	ended    *ended
	waits    map[string]int64 // told waits: until when, by endpoint
	clock    *clock.Clock
	epoch    clock.Epoch
	newEpoch bool  // the store does not have it
	promised int64 // bytes that Room has said yes to and Append has not had
	batch    store.Batch
	buf      bytes.Buffer // values of the batch
	undo     []undo
	unsaid   []string // ids in the batch that is being put together
	behind   bool     // a write has failed, and what it was of is not in the store
	// What the store does not have as it is here: messages by id, in the order in which they changed, and waits.
	dirty      map[string]mark
	changed    []string
	dirtyWaits map[string]bool
	partners   partners
	terms      map[int64]*Terms
	dirtyTerms map[int64]bool
	passed     passed
	heldTerms  func() []int64 // those that messages elsewhere are held to; nil for none
	newest     int64          // the terms that messages are taken on under
	lastTerms  int64
}

// mark says what of a message the store is to get.
type mark byte

const (
	markMessage mark = 1 << iota
	markState
)

// Open reads the journal in dir, and takes over a file that a version before 0.3
// has left.
func Open(dir string, opts Options) (*Journal, error) {
	fs, err := vfs.OpenDir(dir)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return OpenOn(fs, opts)
}

// OpenOn is [Open] on a file system.
func OpenOn(fs vfs.FS, opts Options) (*Journal, error) {
	if opts.Disk <= 0 {
		opts.Disk = defaultDisk
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	st, err := store.Open(fs, store.Options{Limit: opts.Disk, Sync: opts.Sync, Every: opts.Every, Log: opts.Log})
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{store: st, opts: opts, log: opts.Log, entries: map[string]*Entry{}, waits: map[string]int64{}, dirty: map[string]mark{}, dirtyWaits: map[string]bool{},
		terms: map[int64]*Terms{}, dirtyTerms: map[int64]bool{}, passed: newPassed()}
	j.ended = newEnded(opts.MostEnded, int64(endedPart*float64(st.Stats().Capacity)), func(id string) { j.mark(id, markState) })
	j.partners = partners{by: map[string]*known{}, dirty: map[string]bool{}}
	if opts.Partners {
		j.partners.room = int64(partnersPart * float64(st.Stats().Capacity))
	}
	if err = j.load(); err == nil {
		err = j.takeOver(fs)
	}
	if err != nil {
		st.Close()
		return nil, fmt.Errorf("journal: %w", err)
	}
	return j, nil
}

// load reads all that the store has.
func (j *Journal) load() error {
	states := map[string]*stateRecord{}
	var kept *clock.Epoch
	unread, err := j.store.Range(func(key string, value []byte) error {
		id := key[1:]
		switch key[:1] {
		case keyMessage:
			var r messageRecord
			if err := decode(key, value, &r); err != nil {
				return err
			}
			j.entries[id] = r.entry(id)
			j.leave(j.entries[id])
			j.n = max(j.n, r.N)
		case keyState:
			r := &stateRecord{}
			if err := decode(key, value, r); err != nil {
				return err
			}
			states[id] = r
			j.n = max(j.n, r.N)
		case keyWait:
			var r waitRecord
			if err := decode(key, value, &r); err != nil {
				return err
			}
			j.waits[id] = r.Until
		case keyClock:
			var r clockRecord
			if err := decode(key, value, &r); err != nil {
				return err
			}
			kept = &clock.Epoch{Boot: r.Boot, Offset: r.Offset}
		case keyTerms:
			t := &Terms{}
			if err := decode(key, value, t); err != nil {
				return err
			}
			j.terms[t.N], j.lastTerms = t, max(j.lastTerms, t.N)
		case keyPassed:
			if err := j.passed.load(id, value); err != nil {
				return err
			}
		case keyPartner:
			r := &Partner{}
			if err := decode(key, value, r); err != nil { // not worth a refusal to start
				j.log.Warn("journal: what was known of a partner is dropped", "err", err)
				j.partners.dirty[id] = true
				return nil
			}
			j.partners.by[id] = &known{at: r.At, sick: r.Sick, value: r, size: store.FrameSize(len(key), len(value))}
			j.partners.bytes += j.partners.by[id].size
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, e := range j.entries { // one that a crash has left in both places is here
		j.passed.keep(e.Behind)
	}
	for _, r := range states {
		j.passed.keep(r.Behind)
	}
	if unread > 0 {
		j.log.Error("journal: records can't be read", "records", unread)
	}
	var over []*Ended
	for id, r := range states {
		e := j.entries[id]
		switch {
		case e != nil && e.n > r.N: // of an earlier message of this id
		case r.Over:
			if e != nil {
				delete(j.entries, id)
				j.mark(id, markMessage)
			}
			over = append(over, r.ended(id))
		case r.End != 0:
			if e != nil {
				j.mark(id, markMessage)
			}
			j.entries[id] = r.owed(id)
		case e == nil || e.n != r.N:
			j.mark(id, markState)
		default:
			r.merge(e)
		}
	}
	if j.store.Found().Doubt() || unread > 0 {
		// What became of a message may be lost: it may have run.
		for _, e := range j.entries {
			if e.End == nil && !e.MayRun && !e.Open {
				e.MayRun, e.FirstMay, e.FirstZone = true, e.Accepted, ""
				j.mark(e.ID, markState)
			}
		}
	}
	slices.SortFunc(over, func(a, b *Ended) int { return int(min(max(a.Over-b.Over, -1), 1)) })
	known := j.startClock(kept, over)
	for _, x := range over {
		if !known { // nothing is forgotten early: its window begins anew
			x.Until = max(x.Until, j.clock.Now()+max(x.Until-x.Over, 0))
		}
		j.ended.add(x)
	}
	j.ended.forget(j.clock.Now())
	if j.partners.bytes > j.partners.room { // less than before
		j.partners.evict()
	}
	j.partners.forget(j.clock.Now())
	return nil
}

// startClock makes the clock that the times of the records are of, and says whether the time that has passed since they
// were written is known. If it is not, no window for repeats is taken to be open.
func (j *Journal) startClock(kept *clock.Epoch, over []*Ended) (known bool) {
	latest := int64(0)
	for _, e := range j.entries {
		latest = max(latest, e.Accepted, e.FirstMay)
		if e.End != nil {
			latest = max(latest, e.End.At)
		}
	}
	for _, x := range over {
		latest = max(latest, x.Over)
	}
	j.clock, j.epoch, known = clock.Start(kept, latest)
	j.newEpoch = kept == nil || *kept != j.epoch
	if known {
		return true
	}
	j.log.Warn("journal: how long ago it was written is not known; the wall clock is taken, and nothing that may have run is repeated by its key")
	j.doubtWindows()
	return false
}

// doubtWindows takes the windows for repeats of all that may have run for over.
func (j *Journal) doubtWindows() {
	for _, e := range j.entries {
		if e.MayRun || e.Open {
			e.FirstMay = longAgo
			j.mark(e.ID, markState)
		}
	}
}

// longAgo is a time before all others.
const longAgo = 1

// Clock is the clock that the times in the journal are of.
func (j *Journal) Clock() *clock.Clock { return j.clock }

// Append takes records on in one go, so that a process that dies leaves all of
// the earlier ones before any later one. On an error the caller must not act on a
// message taken on or a send: they count as not having been. What only records
// the past counts all the same, and is written with the next records, of which there
// may be none. What takes several batches may be written in part: a message that
// [Journal.Entry] knows has been taken on even so.
func (j *Journal) Append(recs []Record) error {
	if len(recs) == 0 && !j.behind {
		return nil
	}
	j.promised = 0
	clear(j.undo)
	j.undo = j.undo[:0]
	for i := range recs {
		if u := j.apply(&recs[i]); u != nil {
			j.undo = append(j.undo, undo{recs[i].subject(), u})
		}
	}
	if err := j.flush(); err != nil {
		for _, u := range slices.Backward(j.undo) {
			if j.dirty[u.id] != 0 { // else it was in a batch that was written, and counts
				u.run()
			}
		}
		return fmt.Errorf("journal: %w", err)
	}
	for i := range recs {
		if recs[i].Op == OpAccept && recs[i].Entry != nil {
			j.leave(recs[i].Entry)
		}
	}
	return nil
}

// leave leaves a large body to the store.
func (j *Journal) leave(e *Entry) {
	if most := j.opts.Bodies; most > 0 && len(e.Body) > most {
		e.EndDigest, e.Left, e.Body = e.Digest(), len(e.Body), nil
	}
}

// Body reads the body of a message back that was left to the store; see
// [Entry.Left]. It may be called beside all else.
func (j *Journal) Body(id string) ([]byte, error) {
	value, err := j.store.Get(keyMessage + id)
	if err != nil {
		return nil, fmt.Errorf("journal: the body of %q: %w", id, err)
	}
	var r messageRecord
	if value == nil {
		return nil, fmt.Errorf("journal: the body of %q: %w", id, ErrNoBody)
	}
	if err := decode(keyMessage+id, value, &r); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return r.Body, nil
}

// ErrNoBody says that nothing is held under an id.
var ErrNoBody = errors.New("not held")

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
		if e.Tries > 0 || e.End != nil { // of an older file
			m |= markState
		}
		j.mark(e.ID, m)
		j.passed.set(e.Behind, true)
		return func() {
			delete(j.entries, e.ID)
			j.passed.set(e.Behind, false)
			j.mark(e.ID, markMessage|markState) // part of it may have been written
		}
	case OpWait:
		j.waits[rec.ID] = max(j.waits[rec.ID], rec.At) // a shorter one takes nothing back
		j.dirtyWaits[rec.ID] = true
		if len(j.waits) > mostWaits {
			j.dropWaits(j.clock.Now())
		}
		return nil
	case OpPassed:
		j.passed.set(rec.Behind, true)
		return nil
	case OpCleared:
		j.passed.clear(rec.Behind, rec.Count)
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
		tries, open, firstMay, firstZone := e.Tries, e.Open, e.FirstMay, e.FirstZone
		e.Tries++
		e.Open = true
		if !e.MayRun {
			e.FirstMay, e.FirstZone = rec.At, rec.Zone
		}
		return func() {
			e.Tries, e.Open, e.FirstMay, e.FirstZone = tries, open, firstMay, firstZone
			j.mark(e.ID, markState)
		}
	case OpOutcome:
		e.Open = false
		e.MayRun = e.MayRun || rec.MayRun
	case OpEnd:
		if rec.End == nil || e.End != nil {
			return nil
		}
		e.EndDigest = e.Told()
		e.End = rec.End
		e.Body, e.Left = nil, 0
		j.mark(e.ID, markMessage)
	case OpDone, OpNoticed:
		delete(j.entries, e.ID)
		j.mark(e.ID, markMessage)
		j.remember(j.endedOf(e, rec))
	}
	return nil
}

// endedOf is what is remembered of a message whose last record is rec.
func (j *Journal) endedOf(e *Entry, rec *Record) *Ended {
	x := &Ended{ID: e.ID, Tenant: e.Tenant, Partner: e.Partner, Class: e.Class, State: message.Delivered, Tries: e.Tries,
		Accepted: e.Accepted, Over: rec.At, Digest: e.Told(), Until: e.Deadline, behind: e.Behind, n: e.n}
	if e.End != nil {
		x.State, x.AfterMS, x.Over = e.End.State, e.End.AfterMS, e.End.At
	}
	if k := j.opts.KeepEnded; k > 0 {
		x.Until = x.Over + k.Microseconds()
	}
	return x
}

func (j *Journal) remember(x *Ended) {
	j.ended.add(x)
	j.mark(x.ID, markState)
}

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
	b.Owed = true // Room has seen to the room
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
		b.Put(keyClock, encode(&j.buf, &clockRecord{j.epoch.Boot, j.epoch.Offset}))
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
			more += len(e.Body)
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
		if m&markMessage != 0 && e.Left == 0 { // one that is left is there
			b.Put(keyMessage+id, messageOf(&j.buf, e))
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

// Ended returns what is remembered of a message that is over; nil if nothing is.
func (j *Journal) Ended(id string) *Ended { return j.ended.byID[id] }

// Unsaved lists the ends that are remembered in memory only, the oldest first: what
// another process that opens the journal does not find in it.
func (j *Journal) Unsaved() []*Ended { return j.ended.queue[j.ended.head:j.ended.saved] }

// AddUnsaved has ends remembered that another process knew of and that are older
// than all that are in the store.
func (j *Journal) AddUnsaved(list []*Ended) { j.ended.before(list) }

// Waits lists the waits that endpoints have told and that are not over: until when,
// by the endpoint's name.
func (j *Journal) Waits() map[string]int64 {
	j.dropWaits(j.clock.Now())
	return j.waits
}

// dropWaits drops waits that are over, and above the bound those that end first.
func (j *Journal) dropWaits(now int64) {
	drop := func(name string) {
		delete(j.waits, name)
		j.dirtyWaits[name] = true
	}
	for name, until := range j.waits {
		if until <= now {
			drop(name)
		}
	}
	for len(j.waits) > mostWaits {
		soonest := ""
		for name, until := range j.waits {
			if soonest == "" || until < j.waits[soonest] {
				soonest = name
			}
		}
		drop(soonest)
	}
}

// Forget drops ends whose time is up.
func (j *Journal) Forget(now int64) {
	j.ended.forget(now)
	j.partners.forget(now)
	j.dropTerms()
	if len(j.dirty)+len(j.passed.dirty)+len(j.dirtyTerms)+len(j.dirtyWaits)+len(j.partners.dirty) > 0 {
		if err := j.flush(); err != nil {
			j.log.Warn("journal: what is forgotten is not written yet", "err", err)
		}
	}
}

// Room says whether the journal can take on a message with such a body, beside all
// that it holds and what is owed for it. A yes counts until the next Append.
func (j *Journal) Room(body int) bool {
	need := store.FrameSize(message.MaxName+1, body+messageOverhead) + reserve
	if !j.store.Room(j.promised + need + int64(len(j.entries))*reserve + j.partners.free()) {
		return false
	}
	j.promised += need
	return true
}

// Entries lists what is owed, in the order in which it was taken on.
func (j *Journal) Entries() []*Entry {
	list := make([]*Entry, 0, len(j.entries))
	for _, e := range j.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return int(min(max(a.n-b.n, -1), 1)) })
	return list
}

// Entry returns what is known of a message; nil if nothing is owed for it.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Len is the number of messages that something is owed for.
func (j *Journal) Len() int { return len(j.entries) }

// Stats tells how the store beneath stands.
func (j *Journal) Stats() store.Stats { return j.store.Stats() }

// Close writes what is not written yet and closes the store.
func (j *Journal) Close() error { return errors.Join(j.flush(), j.store.Close()) }
