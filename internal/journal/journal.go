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

// Options configure a journal.
type Options struct {
	MaxBytes int64 // maximum size of the folder in bytes; 0 for a default
	// EndRetention is how long the end of a message is retained after it; 0 retains it until the message's deadline.
	EndRetention time.Duration
	// MaxEnded bounds the number of ended messages that are retained; the oldest are dropped first. Those that fit
	// into a fifth of the capacity outlive the process.
	MaxEnded        int
	MaxBodyInMemory int  // bytes; larger bodies are read from the disk when needed; 0 to keep all in memory
	KeepPartners    bool // persist the state of partners as well, in a twentieth of the capacity
	Sync            store.SyncPolicy
	SyncInterval    time.Duration // time between syncs for store.SyncInterval
	Log             *slog.Logger  // nil for none
}

const (
	// defaultMaxBytes is the maximum size of the folder in bytes if the options give none.
	defaultMaxBytes = 16 << 20
	// maxWaits is the maximum number of waits requested by endpoints that are retained, one per endpoint; above it,
	// those that end first are dropped.
	maxWaits = 10_000
	// endedShare is the share of the capacity that ended messages may occupy.
	endedShare = 0.2
	// reservePerMessage is the number of bytes kept free for each pending message, for the records of its state, its
	// end and its removal. The records that these replace are dead, and compaction reclaims their space.
	reservePerMessage = 128
	// maxRecordOverhead is an upper bound of the bytes that a message's records take beside its body: eight names,
	// twice, and numbers.
	maxRecordOverhead = 16*(message.MaxName+8) + 512
	// messageOverhead is about the number of bytes that a message's record takes beside its id and body.
	messageOverhead = 128
)

// Journal persists accepted messages in a store. It holds all of its state in memory too, except
// large bodies. It is not safe for concurrent use, except for [Journal.Body].
type Journal struct {
	storeMu         sync.RWMutex // guards the field store against calls of Body by other goroutines
	store           *store.Store
	fs              vfs.FS
	opts            Options
	log             *slog.Logger
	lastNumber      int64 // of the messages, in the order of their acceptance
	entries         map[string]*Entry
	ended           *endedMessages
	waits           map[string]int64 // end of the waits that endpoints requested, by the endpoint's name
	clock           *clock.Clock
	epoch           clock.Epoch
	newEpoch        bool  // epoch is not in the store yet
	reserved        int64 // bytes that Reserve has granted since the last Append
	batch           store.Batch
	buf             bytes.Buffer // holds the values of batch
	undo            []undo
	batched         []string              // ids of the messages in the batch being built
	reopening       bool                  // the store has failed and is not open again
	unwritten       bool                  // changes that are in no record given to Append are not in the store
	dirty           map[string]dirtyFlags // messages whose records in the store are out of date, by id
	changed         []string              // keys of dirty, in the order of the changes
	dirtyWaits      map[string]bool       // endpoints whose waits in the store are out of date
	partners        partnerStates
	terms           map[int64]*Terms
	dirtyTerms      map[int64]bool // terms whose records in the store are out of date
	leftBacklog     seqSet
	termsInUse      func() []int64 // terms of messages outside the journal; nil for none
	acceptingTerms  []int64        // terms under which messages were accepted since the last Append, and the current ones
	lastTermsNumber int64

	termsInForce      *termsInForceRecord // nil if it is not known
	dirtyTermsInForce bool                // the record in the store is out of date
}

// Open opens the journal in the folder dir and reads it. It imports the file that a version
// before 0.3 has left there.
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
		opts.MaxBytes = defaultMaxBytes
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	st, err := openStore(fs, opts)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{store: st, fs: fs, opts: opts, log: opts.Log, entries: map[string]*Entry{}, waits: map[string]int64{},
		dirty: map[string]dirtyFlags{}, dirtyWaits: map[string]bool{},
		terms: map[int64]*Terms{}, dirtyTerms: map[int64]bool{}, leftBacklog: newSeqSet()}
	j.ended = newEnded(opts.MaxEnded, int64(endedShare*float64(st.Stats().Capacity)),
		func(id string) { j.markDirty(id, stateDirty) })
	j.partners = partnerStates{byName: map[string]*partnerState{}, dirty: map[string]bool{}}
	if opts.KeepPartners {
		j.partners.maxBytes = int64(partnersShare * float64(st.Stats().Capacity))
	}
	if err = j.load(); err == nil {
		err = j.importLegacyFile(fs)
	}
	if err != nil {
		st.Close()
		return nil, fmt.Errorf("journal: %w", err)
	}
	return j, nil
}

// load reads the whole store.
func (j *Journal) load() error {
	states := map[string]*stateRecord{}
	var savedEpoch *clock.Epoch
	unread, err := j.store.Range(func(key string, value []byte) error {
		id := key[1:]
		switch key[:1] {
		case keyMessage:
			var r messageRecord
			if err := decode(key, value, &r); err != nil {
				return err
			}
			j.entries[id] = r.entry(id)
			j.dropLargeBody(j.entries[id])
			j.lastNumber = max(j.lastNumber, r.N)
		case keyState:
			r := &stateRecord{}
			if err := decode(key, value, r); err != nil {
				return err
			}
			states[id] = r
			j.lastNumber = max(j.lastNumber, r.N)
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
			savedEpoch = &clock.Epoch{BootID: r.Boot, Offset: r.Offset}
		case keyTerms:
			t := &Terms{}
			if err := decode(key, value, t); err != nil {
				return err
			}
			j.terms[t.Number], j.lastTermsNumber = t, max(j.lastTermsNumber, t.Number)
		case keyTermsInForce:
			r := &termsInForceRecord{}
			if err := decode(key, value, r); err != nil { // without it all stored terms bind
				j.log.Warn("journal: discarding the record of the terms in force, which can't be decoded", "err", err)
				return nil
			}
			j.termsInForce = r
		case keyLeftBacklog:
			if err := j.leftBacklog.load(id, value); err != nil {
				return err
			}
		case keyPartner:
			r := &Partner{}
			if err := decode(key, value, r); err != nil { // starting without it is better than not at all
				j.log.Warn("journal: discarding the state of a partner, which can't be decoded", "err", err)
				j.partners.dirty[id] = true
				return nil
			}
			j.partners.byName[id] = &partnerState{updatedAt: r.At, unhealthy: r.Unhealthy, value: r,
				size: store.MaxFrameSize(len(key), len(value))}
			j.partners.bytes += j.partners.byName[id].size
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, e := range j.entries { // a crash may have left it in the backlog too: the journal's copy counts
		j.leftBacklog.add(e.BacklogSeq)
	}
	for _, r := range states {
		j.leftBacklog.add(r.Behind)
	}
	if unread > 0 {
		j.log.Error("journal: records can't be read", "records", unread)
	}
	var ended []*Ended
	for id, r := range states {
		e := j.entries[id]
		switch {
		case e != nil && e.number > r.N: // the state is of an earlier message with this id
		case r.Over:
			if e != nil {
				delete(j.entries, id)
				j.markDirty(id, messageDirty)
			}
			ended = append(ended, r.ended(id))
		case r.End != 0:
			if e != nil {
				j.markDirty(id, messageDirty)
			}
			j.entries[id] = r.unconfirmedEntry(id)
		case e == nil || e.number != r.N:
			j.markDirty(id, stateDirty)
		default:
			r.merge(e)
		}
	}
	if j.store.Recovery().RecordsLost() || unread > 0 {
		// The state of a message may be lost, so an attempt may have run.
		for _, e := range j.entries {
			if e.End == nil && !e.MayHaveRun && !e.InFlight {
				e.MayHaveRun, e.MayHaveRunSince, e.MayHaveRunZone = true, e.AcceptedAt, ""
				j.markDirty(e.ID, stateDirty)
			}
		}
	}
	slices.SortFunc(ended, func(a, b *Ended) int { return int(min(max(a.EndedAt-b.EndedAt, -1), 1)) })
	known := j.startClock(savedEpoch, ended)
	j.checkTermsInForce(known)
	for _, x := range ended {
		if !known { // its retention starts again, so that it is not dropped too early
			x.RetainUntil = max(x.RetainUntil, j.clock.Now()+max(x.RetainUntil-x.EndedAt, 0))
		}
		j.ended.add(x)
	}
	j.ended.expire(j.clock.Now())
	if j.partners.bytes > j.partners.maxBytes { // the limit may have become smaller
		j.partners.evict()
	}
	j.partners.expire(j.clock.Now())
	return nil
}

// Append applies records and writes them, in their order: if the process dies, none is in the
// store without all earlier ones. After an error the caller must not act on an accepted message
// or a send, which are undone. Records of past events are kept despite the error and written
// with the next call of Append, which may be without records. Records that take several batches
// may be written in part: a message that [Journal.Entry] returns after an error is accepted.
//
// It gives back the space that [Journal.Reserve] has reserved, whether or not there are records.
func (j *Journal) Append(recs []Record) error {
	j.reserved = 0
	if len(recs) == 0 && !j.unwritten {
		return nil
	}
	if err := j.reopenFailedStore(); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer j.releaseTerms()
	clear(j.undo)
	j.undo = j.undo[:0]
	for i := range recs {
		if u := j.apply(&recs[i]); u != nil {
			j.undo = append(j.undo, undo{recs[i].messageID(), u})
		}
	}
	if err := j.flush(); err != nil {
		for _, u := range slices.Backward(j.undo) {
			if j.dirty[u.id] != 0 { // otherwise its batch was written, and it stands
				u.run()
			}
		}
		return fmt.Errorf("journal: %w", err)
	}
	for i := range recs {
		if recs[i].Op == OpAccept && recs[i].Entry != nil {
			j.dropLargeBody(recs[i].Entry)
		}
	}
	return nil
}

// dropLargeBody drops a large body from memory; it stays in the store.
func (j *Journal) dropLargeBody(e *Entry) {
	if limit := j.opts.MaxBodyInMemory; limit > 0 && len(e.Body) > limit {
		e.StoredDigest, e.StoredBodySize, e.Body = e.Digest(), len(e.Body), nil
	}
}

// Body reads the body of a message from the store, see [Entry.StoredBodySize]. It may be called
// concurrently with all other methods. The error is [ErrNoBody] if there is no such message.
func (j *Journal) Body(id string) ([]byte, error) {
	j.storeMu.RLock()
	defer j.storeMu.RUnlock()
	value, err := j.store.Get(keyMessage + id)
	if err != nil {
		return nil, fmt.Errorf("journal: body of %q: %w", id, err)
	}
	var r messageRecord
	if value == nil {
		return nil, fmt.Errorf("journal: body of %q: %w", id, ErrNoBody)
	}
	if err := decode(keyMessage+id, value, &r); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return r.Body, nil
}

// ErrNoBody reports that the store has no message with an id.
var ErrNoBody = errors.New("no such message in the store")

// Ended returns the ended message with an id; nil if none is retained.
func (j *Journal) Ended(id string) *Ended { return j.ended.byID[id] }

// UnsavedEnds lists the ended messages that are retained in memory only, the oldest first.
// Another process that opens the journal does not find them in it.
func (j *Journal) UnsavedEnds() []*Ended { return j.ended.queue[j.ended.head:j.ended.firstSaved] }

// AddUnsavedEnds adds ended messages that another process retained in memory. They must be older
// than all that are in the store.
func (j *Journal) AddUnsavedEnds(list []*Ended) { j.ended.addOlder(list) }

// Waits returns the ends of the waits that endpoints requested and that are not over, by the
// endpoint's name.
func (j *Journal) Waits() map[string]int64 {
	j.expireWaits(j.clock.Now())
	return j.waits
}

// expireWaits drops the waits that are over, and those that end first if there are more than
// maxWaits.
func (j *Journal) expireWaits(now int64) {
	drop := func(name string) {
		delete(j.waits, name)
		j.dirtyWaits[name] = true
	}
	for name, until := range j.waits {
		if until <= now {
			drop(name)
		}
	}
	for len(j.waits) > maxWaits {
		soonest := ""
		for name, until := range j.waits {
			if soonest == "" || until < j.waits[soonest] {
				soonest = name
			}
		}
		drop(soonest)
	}
}

// DropExpired drops ended messages and partner states whose retention has ended, and terms that
// are no longer in use. now is a time of [Journal.Clock]. It reopens a store that has failed.
func (j *Journal) DropExpired(now int64) {
	if err := j.reopenFailedStore(); err != nil {
		j.log.Warn("journal: the store can't be reopened yet", "err", err)
		return
	}
	j.ended.expire(now)
	j.partners.expire(now)
	j.dropTerms()
	if len(j.dirty)+len(j.leftBacklog.dirty)+len(j.dirtyTerms)+len(j.dirtyWaits)+len(j.partners.dirty) > 0 {
		if err := j.flush(); err != nil {
			j.log.Warn("journal: expired records can't be removed from the store yet", "err", err)
		}
	}
}

// Reserve reports whether there is space for another message with a body of so many bytes, in
// addition to the pending messages and the records that they still need. If so, it reserves the
// space until the next Append.
func (j *Journal) Reserve(body int) bool {
	need := store.MaxFrameSize(message.MaxName+1, body+messageOverhead) + reservePerMessage
	if !j.store.HasRoom(j.reserved + need + int64(len(j.entries))*reservePerMessage + j.partners.unused()) {
		return false
	}
	j.reserved += need
	return true
}

// Entries lists the messages that have not ended or whose end is not confirmed, in the order of
// their acceptance.
func (j *Journal) Entries() []*Entry {
	list := make([]*Entry, 0, len(j.entries))
	for _, e := range j.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return int(min(max(a.number-b.number, -1), 1)) })
	return list
}

// Entry returns the message with an id; nil if there is none, or its end is confirmed.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Len returns the number of entries.
func (j *Journal) Len() int { return len(j.entries) }

// Stats returns the statistics of the underlying store.
func (j *Journal) Stats() store.Stats { return j.store.Stats() }

// Close writes pending changes and closes the store.
func (j *Journal) Close() error { return errors.Join(j.flush(), j.store.Close()) }
