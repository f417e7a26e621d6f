package spill

import (
	"log/slog"
	"time"

	"cometrack/internal/backlog"
	"cometrack/internal/backlog/disk"
	"cometrack/internal/message"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// Options bound what is behind the windows.
type Options struct {
	Window   int   // messages of a destination in the module
	MaxBytes int64 // bytes of all files
	// SegmentBytes is the bytes of a file at most; 0 for a default.
	SegmentBytes  int64
	Sync          store.Sync
	FlushInterval time.Duration // store.SyncInterval: how often
	Log           *slog.Logger
}

// Journal is what the journal knows of messages that were behind a window.
type Journal interface {
	// HasLeftBacklog says whether the message of that number is no longer behind it.
	HasLeftBacklog(seq uint64) bool
	// MaxBacklogSeq is the largest number that it knows of.
	MaxBacklogSeq() uint64
	// PruneLeftBacklog drops what it knows of numbers that nothing is left of.
	PruneLeftBacklog(lives func(first, last uint64) bool)
}

const (
	// heads is room for what a message takes beside its body.
	heads = 512
	// ReadRetryDelay is how long after a read that failed it is made again.
	ReadRetryDelay = 250 * time.Millisecond
)

// Spill holds messages behind the windows of their destinations. All of its methods
// belong to one goroutine, the one that decides.
type Spill struct {
	b       *backlog.Backlog
	l       *disk.Log
	log     *slog.Logger
	since   uint64 // numbers from here on were given by this process
	pending []*disk.Record
	bytes   int64                    // of pending, about
	places  map[string]int           // of pending, by destination
	keys    map[uint64]backlog.Queue // of pending, by order key
	work    *worker
	reads   bool // more is to come into the windows
}

// The events that Spill hands to tell. The one that decides hands them back to
// [Spill.HandleEvent].
type (
	cameEvent struct {
		read backlog.RefillRead
		got  []disk.ReadResult
		err  error
	}
	dueEvent struct {
		read  backlog.ExpiryRead
		got   []disk.ReadResult
		after int64
		err   error
	}
	sealedEvent struct {
		first      uint64
		byDeadline []uint32
		runs       []backlog.Run
	}
	removedEvent struct{ first, n uint64 }
	retryEvent   struct{ lane backlog.QueueID }
	failedEvent  struct{ read backlog.ExpiryRead }
	told         struct {
		by    *worker
		event any
	}
	foundEvent struct {
		got  disk.ReadResult
		err  error
		then func(*disk.Record, error)
	}
)

// Open opens what an earlier process has left in a folder, and hands what is read
// beside the caller to tell, which may be called at any time until Close returns, and
// has to return once quit is closed.
func Open(fs vfs.FS, gone Journal, opts Options, tell func(event any, quit <-chan struct{})) (*Spill, error) {
	l, err := disk.Open(fs, gone.MaxBacklogSeq(), disk.Options{MaxBytes: opts.MaxBytes, SegmentBytes: opts.SegmentBytes, Sync: opts.Sync, FlushInterval: opts.FlushInterval, Log: opts.Log})
	if err != nil {
		return nil, err
	}
	s := &Spill{b: backlog.New(backlog.Options{Window: opts.Window}), l: l, log: opts.Log, places: map[string]int{}, keys: map[uint64]backlog.Queue{}, reads: true}
	err = l.Restore(s.b.Queue, func(x disk.RestoredSegment) {
		s.b.Restore(x.First, x.Entries, func(seq uint64) bool { return gone.HasLeftBacklog(seq) || x.Entries[seq-x.First].HeadSize == 0 }, x.ByDeadline, x.Runs)
	})
	if err != nil {
		l.Close()
		return nil, err
	}
	gone.PruneLeftBacklog(s.b.Overlaps)
	s.since, _ = l.StartsSegment()
	s.work = newWorker(l, opts, tell)
	return s, nil
}

// Close ends what is done beside and closes the files.
func (s *Spill) Close() error {
	s.work.stop()
	return s.l.Close()
}

// Len is the number of messages behind the windows, those that Commit is to write
// included.
func (s *Spill) Len() int { return s.b.Len() + len(s.pending) }

// Behind is the number of messages behind the window of a destination.
func (s *Spill) BacklogLen(destination string) int { return s.b.BacklogLen(destination) }

// Terms are the numbers of terms that messages behind the windows may be held to.
func (s *Spill) Terms() []int64 {
	out := s.b.Terms()
	for _, r := range s.pending {
		out = append(out, r.Terms)
	}
	return out
}

// Earlier says whether a number was given by a process before this one.
func (s *Spill) FromEarlierProcess(seq uint64) bool { return seq < s.since }

// Enter counts a message that the module has been given without Spill; Leave counts
// one out that it has had.
func (s *Spill) EnterWindow(destination string) { s.b.EnterWindow(destination) }

// Leave counts out a message that the module has had, however it came.
func (s *Spill) LeaveWindow(destination string) { s.b.LeaveWindow(destination) }

// Place says where a new message goes.
func (s *Spill) Place(m *message.Message, ordered bool) backlog.Placement {
	r := disk.Record{Message: *m, Ordered: ordered}
	order := r.OrderHash()
	if lane, ok := s.keys[order]; ok && order != 0 && lane != r.Queue() {
		return backlog.Rejected
	}
	v := s.b.Place(r.Partner, r.Queue(), order)
	if v == backlog.InWindow && s.places[r.Partner] > 0 {
		v = backlog.InBacklog
	}
	return v
}

// Put has a message that Place sends behind its window written by the next Commit.
func (s *Spill) Stage(r *disk.Record) {
	s.pending = append(s.pending, r)
	s.bytes += int64(len(r.Body) + heads)
	s.places[r.Partner]++
	if order := r.OrderHash(); order != 0 {
		s.keys[order] = r.Queue()
	}
}

// Discard drops the messages that were put behind their windows and not written.
func (s *Spill) Discard() {
	s.pending, s.bytes = nil, 0
	clear(s.places)
	clear(s.keys)
}

// Room says whether a message with such a body is taken behind a window.
func (s *Spill) HasRoom(body int) bool {
	return s.l.HasRoom(s.bytes + int64(body+heads))
}

// Commit writes the messages that were put behind their windows. Once it has
// returned without an error they are as safe as the setting says; else none of them
// counts.
func (s *Spill) Commit() error {
	list := s.pending
	if len(list) == 0 {
		return nil
	}
	s.Discard()
	first, begins := s.l.StartsSegment()
	entries, err := s.l.Append(list)
	if err != nil {
		return err
	}
	if begins {
		if before, closed := s.b.Close(); len(closed) > 0 {
			s.work.add(s.sealing(before, closed))
		}
		s.b.Open(first)
	}
	for i := range entries {
		entries[i].IDHash, entries[i].OrderHash, entries[i].Queue = disk.HashID(list[i].ID), list[i].OrderHash(), s.b.Queue(list[i].Queue())
		s.b.Add(entries[i])
	}
	return nil
}

func (s *Spill) sealing(first uint64, entries []backlog.Entry) job {
	names := map[backlog.QueueID]backlog.Queue{}
	for i := range entries {
		if _, ok := names[entries[i].Queue]; !ok {
			names[entries[i].Queue] = s.b.Name(entries[i].Queue)
		}
	}
	return sealJob{first, entries, names}
}

// Has says whether a message of that id may be behind a window. It reads nothing;
// what it finds may prove to be another one.
func (s *Spill) MayContain(id string) bool { return s.b.Len() > 0 && s.b.Find(disk.HashID(id)) != 0 }

// Lookup reads the message of an id beside the caller, without its body. then is
// called by [Spill.HandleEvent] with it, with nil if none of that id is there, or with an
// error if that can't be told.
func (s *Spill) Lookup(id string, then func(*disk.Record, error)) {
	first, at, e, ok := s.b.Resolve(s.b.Find(disk.HashID(id)))
	if !ok {
		s.work.add(foundEvent{then: then})
		return
	}
	j := lookupJob{first: first, at: at, then: then, id: id}
	if e != nil {
		entry := *e
		j.entry = &entry
	}
	s.work.add(j)
}

// RefilledMessage is a message that comes into the window, or can't.
type RefilledMessage struct {
	*disk.Record // nil if nothing of it can be read
	Seq          uint64
	Err          error // it is damaged
	Partner      string
	lane         backlog.QueueID
	entry        backlog.Entry
}

// Take takes an event that tell was called with. It returns the messages that come
// into the window now, and the numbers of a segment that is gone for good, from
// first on; or ok is false if it is none of its events.
func (s *Spill) HandleEvent(ev any) (in []RefilledMessage, first, n uint64, ok bool) {
	t, ok := ev.(told)
	if !ok {
		return nil, 0, 0, false
	}
	if t.by != s.work { // of one that was closed
		return nil, 0, 0, true
	}
	switch ev := t.event.(type) {
	case cameEvent:
		return s.came(ev), 0, 0, true
	case dueEvent:
		s.due(ev)
	case sealedEvent:
		s.b.Seal(ev.first, ev.byDeadline, ev.runs)
	case removedEvent:
		return nil, ev.first, ev.n, true
	case retryEvent:
		s.b.Retry(ev.lane)
	case failedEvent:
		s.b.ExpiryReadFailed(ev.read)
	case foundEvent:
		if ev.err != nil {
			s.log.Error("backlog: a message can't be looked up", "err", ev.err)
		}
		ev.then(ev.got.Record, ev.err)
	}
	return nil, 0, 0, true
}

func (s *Spill) came(ev cameEvent) (in []RefilledMessage) {
	if ev.err != nil {
		s.log.Error("backlog: messages can't be read yet", "err", ev.err)
		s.b.RefillFailed(ev.read)
		s.retry(ev.read.Queue)
		return nil
	}
	entries := make([]backlog.Entry, len(ev.got))
	for i := range ev.got {
		entries[i] = ev.got[i].Entry
	}
	for i, yes := range s.b.RefillDone(ev.read, entries) {
		if yes {
			g := ev.got[i]
			in = append(in, RefilledMessage{Record: g.Record, Seq: g.Entry.Seq, Err: g.Err, Partner: s.b.Name(ev.read.Queue).Destination, lane: ev.read.Queue, entry: g.Entry})
		}
	}
	return in
}

// Back takes messages back, in order, that could not be taken into the module.
func (s *Spill) PutBack(list []RefilledMessage) {
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].lane == list[0].lane {
			n++
		}
		items := make([]backlog.Item, n)
		for i := range items {
			items[i] = backlog.Item{Entry: list[i].entry, Payload: head(list[i].Record)}
		}
		s.b.PutBack(list[0].lane, items)
		s.retry(list[0].lane)
		list = list[n:]
	}
}

// head is a message without its body.
func head(r *disk.Record) *disk.Record {
	if r == nil {
		return nil
	}
	out := *r
	out.Body = nil
	return &out
}

// retry has a lane looked at again after a while.
func (s *Spill) retry(lane backlog.QueueID) { s.work.after(ReadRetryDelay, retryEvent{lane}) }

func (s *Spill) due(ev dueEvent) {
	if ev.err != nil {
		s.log.Error("backlog: ends can't be read yet", "err", ev.err)
		s.work.after(ReadRetryDelay, failedEvent{ev.read})
		return
	}
	items := make([]backlog.Item, len(ev.got))
	for i := range ev.got {
		items[i] = backlog.Item{Entry: ev.got[i].Entry, Payload: ev.got[i].Record}
	}
	s.b.ExpiryReadDone(ev.read, items, ev.after)
}

// Over returns a message whose time is over at a time, as no longer behind the
// window; ok is false if there is none. Without a record nothing of it can be read.
func (s *Spill) PopExpired(at int64) (r *disk.Record, seq uint64, ok bool) {
	e, ok := s.b.PopExpired(at)
	if !ok {
		return nil, 0, false
	}
	r, _ = e.Payload.(*disk.Record)
	return r, e.Seq, true
}

// Wake is when Over and Work are to be called next, Unix time in microseconds; the
// largest number for no such time.
func (s *Spill) WakeTime() int64 { return s.b.WakeTime() }

// Rest has no more messages come into the windows.
func (s *Spill) StopRefill() { s.reads = false }

// Work has read what is to be read next.
func (s *Spill) StartReads(now int64) {
	if s.reads {
		for _, r := range s.b.RefillReads() {
			s.work.add(readJob{r})
		}
	}
	for _, r := range s.b.ExpiryReads(now) {
		s.work.add(dueJob{r})
	}
}

// Tidy has segments removed of which nothing is behind a window any more.
func (s *Spill) ReclaimSegments() {
	for _, x := range s.b.Reclaim() {
		s.work.add(removeJob{x.First, x.N})
	}
}

// Stats tells how the files stand.
func (s *Spill) Stats() disk.Stats { return s.l.Stats() }
