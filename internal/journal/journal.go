package journal

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/message"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// Options bound the journal.
type Options struct {
	MaxBytes int64 // bytes in the folder; 0 for a default
	// Ends of messages are remembered for EndRetention after the end, or if that is 0 until the message's own
	// deadline, and no more than MostEnded at once; the oldest go first. Those that fit into a fifth of the
	// room outlive the process.
	EndRetention    time.Duration
	MaxEnded        int
	MaxBodyInMemory int  // a larger body is left on the disk until it is asked for; 0 to have all in memory
	KeepPartners    bool // what is known of partners is kept too, in a twentieth of the room
	Sync            store.Sync
	SyncInterval    time.Duration // store.SyncInterval: how often
	Log             *slog.Logger  // nil for none
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
	storeMu  sync.RWMutex // of the field store, for those beside the owner
	store    *store.Store
	fs       vfs.FS
	opts     Options
	log      *slog.Logger
	n        int64
	entries  map[string]*Entry
	ended    *ended
	waits    map[string]int64 // told waits: until when, by endpoint
	clock    *clock.Clock
	epoch    clock.Epoch
	newEpoch bool  // the store does not have it
	promised int64 // bytes that Reserve has said yes to and Append has not had
	batch    store.Batch
	buf      bytes.Buffer // values of the batch
	undo     []undo
	unsaid   []string // ids in the batch that is being put together
	reviving bool     // the store has failed and is not whole again
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
	if opts.MaxBytes <= 0 {
		opts.MaxBytes = defaultDisk
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	st, err := openStore(fs, opts)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{store: st, fs: fs, opts: opts, log: opts.Log, entries: map[string]*Entry{}, waits: map[string]int64{}, dirty: map[string]mark{}, dirtyWaits: map[string]bool{},
		terms: map[int64]*Terms{}, dirtyTerms: map[int64]bool{}, passed: newPassed()}
	j.ended = newEnded(opts.MaxEnded, int64(endedPart*float64(st.Stats().Capacity)), func(id string) { j.mark(id, markState) })
	j.partners = partners{by: map[string]*known{}, dirty: map[string]bool{}}
	if opts.KeepPartners {
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
			kept = &clock.Epoch{BootID: r.Boot, Offset: r.Offset}
		case keyTerms:
			t := &Terms{}
			if err := decode(key, value, t); err != nil {
				return err
			}
			j.terms[t.Number], j.lastTerms = t, max(j.lastTerms, t.Number)
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
			j.partners.by[id] = &known{at: r.At, sick: r.Unhealthy, value: r, size: store.FrameSize(len(key), len(value))}
			j.partners.bytes += j.partners.by[id].size
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, e := range j.entries { // one that a crash has left in both places is here
		j.passed.keep(e.BacklogSeq)
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
			if e.End == nil && !e.MayHaveRun && !e.InFlight {
				e.MayHaveRun, e.MayHaveRunSince, e.MayHaveRunZone = true, e.AcceptedAt, ""
				j.mark(e.ID, markState)
			}
		}
	}
	slices.SortFunc(over, func(a, b *Ended) int { return int(min(max(a.EndedAt-b.EndedAt, -1), 1)) })
	known := j.startClock(kept, over)
	for _, x := range over {
		if !known { // nothing is forgotten early: its window begins anew
			x.RetainUntil = max(x.RetainUntil, j.clock.Now()+max(x.RetainUntil-x.EndedAt, 0))
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
	if err := j.revive(); err != nil {
		return fmt.Errorf("journal: %w", err)
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
	if most := j.opts.MaxBodyInMemory; most > 0 && len(e.Body) > most {
		e.StoredDigest, e.StoredBodySize, e.Body = e.Digest(), len(e.Body), nil
	}
}

// Body reads the body of a message back that was left to the store; see
// [Entry.Left]. It may be called beside all else.
func (j *Journal) Body(id string) ([]byte, error) {
	j.storeMu.RLock()
	defer j.storeMu.RUnlock()
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

// Ended returns what is remembered of a message that is over; nil if nothing is.
func (j *Journal) Ended(id string) *Ended { return j.ended.byID[id] }

// UnsavedEnds lists the ends that are remembered in memory only, the oldest first: what
// another process that opens the journal does not find in it.
func (j *Journal) UnsavedEnds() []*Ended { return j.ended.queue[j.ended.head:j.ended.saved] }

// AddUnsavedEnds has ends remembered that another process knew of and that are older
// than all that are in the store.
func (j *Journal) AddUnsavedEnds(list []*Ended) { j.ended.before(list) }

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

// DropExpired drops ends whose time is up.
func (j *Journal) DropExpired(now int64) {
	if err := j.revive(); err != nil {
		j.log.Warn("journal: the store can't be opened again yet", "err", err)
		return
	}
	j.ended.forget(now)
	j.partners.forget(now)
	j.dropTerms()
	if len(j.dirty)+len(j.passed.dirty)+len(j.dirtyTerms)+len(j.dirtyWaits)+len(j.partners.dirty) > 0 {
		if err := j.flush(); err != nil {
			j.log.Warn("journal: what is forgotten is not written yet", "err", err)
		}
	}
}

// Reserve says whether the journal can take on a message with such a body, beside all
// that it holds and what is owed for it. A yes counts until the next Append.
func (j *Journal) Reserve(body int) bool {
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
