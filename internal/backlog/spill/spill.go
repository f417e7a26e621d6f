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
	// Gone says whether the message of that number is no longer behind it.
	Gone(seq uint64) bool
	// MostBehind is the largest number that it knows of.
	MostBehind() uint64
	// KeepPassed drops what it knows of numbers that nothing is left of.
	KeepPassed(lives func(first, last uint64) bool)
}

const (
	// headAllowance is room for what a message takes beside its body.
	headAllowance = 512
	// ReadRetryDelay is how long after a read that failed it is made again.
	ReadRetryDelay = 250 * time.Millisecond
)

// Spill holds messages behind the windows of their destinations. All of its methods
// belong to one goroutine, the one that decides.
type Spill struct {
	spilled             *backlog.Backlog
	files               *disk.Log
	log                 *slog.Logger
	firstOwnSeq         uint64 // numbers from here on were given by this process
	staged              []*disk.Record
	stagedBytes         int64                    // of pending, about
	stagedByDestination map[string]int           // of pending, by destination
	stagedOrderKeys     map[uint64]backlog.Queue // of pending, by order key
	worker              *worker
	refillEnabled       bool // more is to come into the windows
}

// The events that Spill hands to tell. The one that decides hands them back to
// [Spill.HandleEvent].
type (
	refillReadEvent struct {
		read    backlog.RefillRead
		results []disk.ReadResult
		err     error
	}
	expiryReadEvent struct {
		read    backlog.ExpiryRead
		results []disk.ReadResult
		after   int64
		err     error
	}
	sealedEvent struct {
		first      uint64
		byDeadline []uint32
		runs       []backlog.Run
	}
	removedEvent     struct{ first, n uint64 }
	retryEvent       struct{ queue backlog.QueueID }
	expiryRetryEvent struct{ read backlog.ExpiryRead }
	workerEvent      struct {
		worker *worker
		event  any
	}
	lookupEvent struct {
		result   disk.ReadResult
		err      error
		callback func(*disk.Record, error)
	}
)

// Open opens what an earlier process has left in a folder, and hands what is read
// beside the caller to tell, which may be called at any time until Close returns, and
// has to return once quit is closed.
func Open(fs vfs.FS, gone Journal, opts Options, tell func(event any, quit <-chan struct{})) (*Spill, error) {
	l, err := disk.Open(fs, gone.MostBehind(), disk.Options{MaxBytes: opts.MaxBytes, SegmentBytes: opts.SegmentBytes, Sync: opts.Sync, FlushInterval: opts.FlushInterval, Log: opts.Log})
	if err != nil {
		return nil, err
	}
	s := &Spill{spilled: backlog.New(backlog.Options{Window: opts.Window}), files: l, log: opts.Log, stagedByDestination: map[string]int{}, stagedOrderKeys: map[uint64]backlog.Queue{}, refillEnabled: true}
	err = l.Restore(s.spilled.Queue, func(x disk.RestoredSegment) {
		s.spilled.Restore(x.First, x.Entries, func(seq uint64) bool { return gone.Gone(seq) || x.Entries[seq-x.First].HeadSize == 0 }, x.ByDeadline, x.Runs)
	})
	if err != nil {
		l.Close()
		return nil, err
	}
	gone.KeepPassed(s.spilled.Overlaps)
	s.firstOwnSeq, _ = l.StartsSegment()
	s.worker = newWorker(l, opts, tell)
	return s, nil
}

// Close ends what is done beside and closes the files.
func (s *Spill) Close() error {
	s.worker.stop()
	return s.files.Close()
}

// Len is the number of messages behind the windows, those that Commit is to write
// included.
func (s *Spill) Len() int { return s.spilled.Len() + len(s.staged) }

// Behind is the number of messages behind the window of a destination.
func (s *Spill) BacklogLen(destination string) int { return s.spilled.BacklogLen(destination) }

// Terms are the numbers of terms that messages behind the windows may be held to.
func (s *Spill) Terms() []int64 {
	out := s.spilled.Terms()
	for _, r := range s.staged {
		out = append(out, r.Terms)
	}
	return out
}

// Earlier says whether a number was given by a process before this one.
func (s *Spill) FromEarlierProcess(seq uint64) bool { return seq < s.firstOwnSeq }

// Enter counts a message that the module has been given without Spill; Leave counts
// one out that it has had.
func (s *Spill) EnterWindow(destination string) { s.spilled.EnterWindow(destination) }

// Leave counts out a message that the module has had, however it came.
func (s *Spill) LeaveWindow(destination string) { s.spilled.LeaveWindow(destination) }

// Place says where a new message goes.
func (s *Spill) Place(m *message.Message, ordered bool) backlog.Placement {
	r := disk.Record{Message: *m, Ordered: ordered}
	order := r.OrderHash()
	if lane, ok := s.stagedOrderKeys[order]; ok && order != 0 && lane != r.Queue() {
		return backlog.Rejected
	}
	v := s.spilled.Place(r.Partner, r.Queue(), order)
	if v == backlog.InWindow && s.stagedByDestination[r.Partner] > 0 {
		v = backlog.InBacklog
	}
	return v
}

// Put has a message that Place sends behind its window written by the next Commit.
func (s *Spill) Stage(r *disk.Record) {
	s.staged = append(s.staged, r)
	s.stagedBytes += int64(len(r.Body) + headAllowance)
	s.stagedByDestination[r.Partner]++
	if order := r.OrderHash(); order != 0 {
		s.stagedOrderKeys[order] = r.Queue()
	}
}

// Discard drops the messages that were put behind their windows and not written.
func (s *Spill) Discard() {
	s.staged, s.stagedBytes = nil, 0
	clear(s.stagedByDestination)
	clear(s.stagedOrderKeys)
}

// Room says whether a message with such a body is taken behind a window.
func (s *Spill) HasRoom(body int) bool {
	return s.files.HasRoom(s.stagedBytes + int64(body+headAllowance))
}

// Commit writes the messages that were put behind their windows. Once it has
// returned without an error they are as safe as the setting says; else none of them
// counts.
func (s *Spill) Commit() error {
	list := s.staged
	if len(list) == 0 {
		return nil
	}
	s.Discard()
	first, begins := s.files.StartsSegment()
	entries, err := s.files.Append(list)
	if err != nil {
		return err
	}
	if begins {
		if before, closed := s.spilled.Close(); len(closed) > 0 {
			s.worker.enqueue(s.newSealJob(before, closed))
		}
		s.spilled.Open(first)
	}
	for i := range entries {
		entries[i].IDHash, entries[i].OrderHash, entries[i].Queue = disk.HashID(list[i].ID), list[i].OrderHash(), s.spilled.Queue(list[i].Queue())
		s.spilled.Add(entries[i])
	}
	return nil
}

func (s *Spill) newSealJob(first uint64, entries []backlog.Entry) job {
	names := map[backlog.QueueID]backlog.Queue{}
	for i := range entries {
		if _, ok := names[entries[i].Queue]; !ok {
			names[entries[i].Queue] = s.spilled.Name(entries[i].Queue)
		}
	}
	return sealJob{first, entries, names}
}

// Has says whether a message of that id may be behind a window. It reads nothing;
// what it finds may prove to be another one.
func (s *Spill) MayContain(id string) bool {
	return s.spilled.Len() > 0 && s.spilled.Find(disk.HashID(id)) != 0
}

// Lookup reads the message of an id beside the caller, without its body. then is
// called by [Spill.HandleEvent] with it, with nil if none of that id is there, or with an
// error if that can't be told.
func (s *Spill) Lookup(id string, then func(*disk.Record, error)) {
	first, at, e, ok := s.spilled.Resolve(s.spilled.Find(disk.HashID(id)))
	if !ok {
		s.worker.enqueue(lookupEvent{callback: then})
		return
	}
	j := lookupJob{first: first, at: at, callback: then, id: id}
	if e != nil {
		entry := *e
		j.entry = &entry
	}
	s.worker.enqueue(j)
}

// RefilledMessage is a message that comes into the window, or can't.
type RefilledMessage struct {
	*disk.Record // nil if nothing of it can be read
	Seq          uint64
	Err          error // it is damaged
	Partner      string
	queue        backlog.QueueID
	entry        backlog.Entry
}

// Take takes an event that tell was called with. It returns the messages that come
// into the window now, and the numbers of a segment that is gone for good, from
// first on; or ok is false if it is none of its events.
func (s *Spill) HandleEvent(ev any) (in []RefilledMessage, first, n uint64, ok bool) {
	t, ok := ev.(workerEvent)
	if !ok {
		return nil, 0, 0, false
	}
	if t.worker != s.worker { // of one that was closed
		return nil, 0, 0, true
	}
	switch ev := t.event.(type) {
	case refillReadEvent:
		return s.finishRefill(ev), 0, 0, true
	case expiryReadEvent:
		s.finishExpiryRead(ev)
	case sealedEvent:
		s.spilled.Seal(ev.first, ev.byDeadline, ev.runs)
	case removedEvent:
		return nil, ev.first, ev.n, true
	case retryEvent:
		s.spilled.Retry(ev.queue)
	case expiryRetryEvent:
		s.spilled.ExpiryReadFailed(ev.read)
	case lookupEvent:
		if ev.err != nil {
			s.log.Error("backlog: a message can't be looked up", "err", ev.err)
		}
		ev.callback(ev.result.Record, ev.err)
	}
	return nil, 0, 0, true
}

func (s *Spill) finishRefill(ev refillReadEvent) (in []RefilledMessage) {
	if ev.err != nil {
		s.log.Error("backlog: messages can't be read yet", "err", ev.err)
		s.spilled.RefillFailed(ev.read)
		s.retryLater(ev.read.Queue)
		return nil
	}
	entries := make([]backlog.Entry, len(ev.results))
	for i := range ev.results {
		entries[i] = ev.results[i].Entry
	}
	for i, yes := range s.spilled.RefillDone(ev.read, entries) {
		if yes {
			g := ev.results[i]
			in = append(in, RefilledMessage{Record: g.Record, Seq: g.Entry.Seq, Err: g.Err, Partner: s.spilled.Name(ev.read.Queue).Destination, queue: ev.read.Queue, entry: g.Entry})
		}
	}
	return in
}

// Back takes messages back, in order, that could not be taken into the module.
func (s *Spill) PutBack(list []RefilledMessage) {
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].queue == list[0].queue {
			n++
		}
		items := make([]backlog.Item, n)
		for i := range items {
			items[i] = backlog.Item{Entry: list[i].entry, Payload: withoutBody(list[i].Record)}
		}
		s.spilled.PutBack(list[0].queue, items)
		s.retryLater(list[0].queue)
		list = list[n:]
	}
}

// withoutBody is a message without its body.
func withoutBody(r *disk.Record) *disk.Record {
	if r == nil {
		return nil
	}
	out := *r
	out.Body = nil
	return &out
}

// retryLater has a lane looked at again after a while.
func (s *Spill) retryLater(lane backlog.QueueID) {
	s.worker.enqueueAfter(ReadRetryDelay, retryEvent{lane})
}

func (s *Spill) finishExpiryRead(ev expiryReadEvent) {
	if ev.err != nil {
		s.log.Error("backlog: ends can't be read yet", "err", ev.err)
		s.worker.enqueueAfter(ReadRetryDelay, expiryRetryEvent{ev.read})
		return
	}
	items := make([]backlog.Item, len(ev.results))
	for i := range ev.results {
		items[i] = backlog.Item{Entry: ev.results[i].Entry, Payload: ev.results[i].Record}
	}
	s.spilled.ExpiryReadDone(ev.read, items, ev.after)
}

// Over returns a message whose time is over at a time, as no longer behind the
// window; ok is false if there is none. Without a record nothing of it can be read.
func (s *Spill) PopExpired(at int64) (r *disk.Record, seq uint64, ok bool) {
	e, ok := s.spilled.PopExpired(at)
	if !ok {
		return nil, 0, false
	}
	r, _ = e.Payload.(*disk.Record)
	return r, e.Seq, true
}

// Wake is when Over and Work are to be called next, Unix time in microseconds; the
// largest number for no such time.
func (s *Spill) WakeTime() int64 { return s.spilled.WakeTime() }

// Rest has no more messages come into the windows.
func (s *Spill) StopRefill() { s.refillEnabled = false }

// Work has read what is to be read next.
func (s *Spill) StartReads(now int64) {
	if s.refillEnabled {
		for _, r := range s.spilled.RefillReads() {
			s.worker.enqueue(refillJob{r})
		}
	}
	for _, r := range s.spilled.ExpiryReads(now) {
		s.worker.enqueue(expiryJob{r})
	}
}

// Tidy has segments removed of which nothing is behind a window any more.
func (s *Spill) ReclaimSegments() {
	for _, x := range s.spilled.Reclaim() {
		s.worker.enqueue(removeJob{x.First, x.N})
	}
}

// Stats tells how the files stand.
func (s *Spill) Stats() disk.Stats { return s.files.Stats() }
