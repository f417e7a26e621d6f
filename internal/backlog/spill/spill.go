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

// Options sets the bounds of a [Spill].
type Options struct {
	Window   int   // max messages of a destination in memory
	MaxBytes int64 // max bytes of all files
	// SegmentBytes is the max number of bytes of a segment; 0 for a default.
	SegmentBytes  int64
	Sync          store.SyncPolicy
	FlushInterval time.Duration // with store.SyncInterval
	Log           *slog.Logger  // must not be nil
}

// Journal is the message journal, as far as it records which messages have left the
// backlog.
type Journal interface {
	// HasLeftBacklog reports whether the message with a sequence number is no longer spilled.
	HasLeftBacklog(seq uint64) bool
	// MaxBacklogSeq returns the largest sequence number in the journal.
	MaxBacklogSeq() uint64
	// PruneLeftBacklog drops the records of sequence numbers in ranges for which lives is false:
	// no segment has them any more.
	PruneLeftBacklog(lives func(first, last uint64) bool)
}

const (
	// headAllowance is the number of bytes reserved for a message beside its body.
	headAllowance = 512
	// ReadRetryDelay is the delay before a failed read is retried.
	ReadRetryDelay = 250 * time.Millisecond
)

// Spill keeps the spilled messages of all destinations. All of its methods must be called
// by one goroutine.
type Spill struct {
	spilled             *backlog.Backlog
	files               *disk.Log
	log                 *slog.Logger
	firstOwnSeq         uint64                   // first sequence number that this process may assign
	staged              []*disk.Record           // the messages that the next Commit writes
	stagedBytes         int64                    // estimated bytes of the staged messages
	stagedByDestination map[string]int           // number of staged messages
	stagedOrderKeys     map[uint64]backlog.Queue // queues of the staged messages, by hash of the order key
	worker              *worker
	refillEnabled       bool // false after StopRefill
}

// The events of the worker, wrapped in a workerEvent. The caller of Open passes them to
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

// Open opens the backlog that an earlier process has left in a folder, or a new one. A
// worker goroutine calls notify with events, for [Spill.HandleEvent], until Close returns;
// notify must return once quit is closed.
func Open(fs vfs.FS, journal Journal, opts Options, notify func(event any, quit <-chan struct{})) (*Spill, error) {
	files, err := disk.Open(fs, journal.MaxBacklogSeq(), disk.Options{MaxBytes: opts.MaxBytes,
		SegmentBytes: opts.SegmentBytes, Sync: opts.Sync, FlushInterval: opts.FlushInterval, Log: opts.Log})
	if err != nil {
		return nil, err
	}
	s := &Spill{spilled: backlog.New(backlog.Options{Window: opts.Window}), files: files, log: opts.Log,
		stagedByDestination: map[string]int{}, stagedOrderKeys: map[uint64]backlog.Queue{}, refillEnabled: true}
	err = files.Restore(s.spilled.Queue, func(x disk.RestoredSegment) {
		s.spilled.Restore(x.First, x.Entries,
			func(seq uint64) bool { return journal.HasLeftBacklog(seq) || x.Entries[seq-x.First].HeadSize == 0 },
			x.ByDeadline, x.Runs)
	})
	if err != nil {
		files.Close()
		return nil, err
	}
	journal.PruneLeftBacklog(s.spilled.Overlaps)
	s.firstOwnSeq, _ = files.StartsSegment()
	s.worker = newWorker(files, opts, notify)
	return s, nil
}

// Close stops the worker and closes the files.
func (s *Spill) Close() error {
	s.worker.stop()
	return s.files.Close()
}

// Len returns the number of spilled messages, staged ones included.
func (s *Spill) Len() int { return s.spilled.Len() + len(s.staged) }

// BacklogLen returns the number of spilled messages of a destination, without staged ones.
func (s *Spill) BacklogLen(destination string) int { return s.spilled.BacklogLen(destination) }

// Terms returns the numbers of the settings (terms) under which spilled messages may have
// been accepted.
func (s *Spill) Terms() []int64 {
	out := s.spilled.Terms()
	for _, r := range s.staged {
		out = append(out, r.Terms)
	}
	return out
}

// FromEarlierProcess reports whether an earlier process assigned a sequence number.
func (s *Spill) FromEarlierProcess(seq uint64) bool { return seq < s.firstOwnSeq }

// EnterWindow counts a message that entered the window of its destination without having
// been spilled.
func (s *Spill) EnterWindow(destination string) { s.spilled.EnterWindow(destination) }

// LeaveWindow counts out a message that left the window of its destination, however it had
// entered it.
func (s *Spill) LeaveWindow(destination string) { s.spilled.LeaveWindow(destination) }

// Place decides where a new message goes. ordered reports whether its class keeps order
// and it has an order key.
func (s *Spill) Place(m *message.Message, ordered bool) backlog.Placement {
	r := disk.Record{Message: *m, Ordered: ordered}
	order := r.OrderHash()
	if queue, ok := s.stagedOrderKeys[order]; ok && order != 0 && queue != r.Queue() {
		return backlog.Rejected
	}
	v := s.spilled.Place(r.Partner, r.Queue(), order)
	if v == backlog.InWindow && s.stagedByDestination[r.Partner] > 0 {
		v = backlog.InBacklog
	}
	return v
}

// Stage adds a message to those that the next Commit spills.
func (s *Spill) Stage(r *disk.Record) {
	s.staged = append(s.staged, r)
	s.stagedBytes += int64(len(r.Body) + headAllowance)
	s.stagedByDestination[r.Partner]++
	if order := r.OrderHash(); order != 0 {
		s.stagedOrderKeys[order] = r.Queue()
	}
}

// Discard drops the staged messages.
func (s *Spill) Discard() {
	s.staged, s.stagedBytes = nil, 0
	clear(s.stagedByDestination)
	clear(s.stagedOrderKeys)
}

// HasRoom reports whether a message with a body of that many bytes can be staged.
func (s *Spill) HasRoom(body int) bool {
	return s.files.HasRoom(s.stagedBytes + int64(body+headAllowance))
}

// Commit writes the staged messages. When it returns nil, they are spilled and as durable
// as Options.Sync requires; otherwise none of them is.
func (s *Spill) Commit() error {
	list := s.staged
	if len(list) == 0 {
		return nil
	}
	s.Discard()
	first, starts := s.files.StartsSegment()
	entries, err := s.files.Append(list)
	if err != nil {
		return err
	}
	if starts {
		if before, closed := s.spilled.Close(); len(closed) > 0 {
			s.worker.enqueue(s.newSealJob(before, closed))
		}
		s.spilled.Open(first)
	}
	for i := range entries {
		entries[i].IDHash, entries[i].OrderHash, entries[i].Queue = disk.HashID(list[i].ID), list[i].OrderHash(),
			s.spilled.Queue(list[i].Queue())
		s.spilled.Add(entries[i])
	}
	return nil
}

// newSealJob returns the job that writes the index block of a closed segment.
func (s *Spill) newSealJob(first uint64, entries []backlog.Entry) job {
	names := map[backlog.QueueID]backlog.Queue{}
	for i := range entries {
		if _, ok := names[entries[i].Queue]; !ok {
			names[entries[i].Queue] = s.spilled.Name(entries[i].Queue)
		}
	}
	return sealJob{first, entries, names}
}

// MayContain reports whether a message with that id may be spilled. It reads nothing;
// [Spill.Lookup] tells false positives apart.
func (s *Spill) MayContain(id string) bool {
	return s.spilled.Len() > 0 && s.spilled.Find(disk.HashID(id)) != 0
}

// Lookup has the worker read the spilled message with an id, without its body.
// [Spill.HandleEvent] later calls callback with the message, with nil if there is none, or
// with an error if the read failed.
func (s *Spill) Lookup(id string, callback func(*disk.Record, error)) {
	first, at, e, ok := s.spilled.Resolve(s.spilled.Find(disk.HashID(id)))
	if !ok {
		s.worker.enqueue(lookupEvent{callback: callback})
		return
	}
	j := lookupJob{first: first, at: at, callback: callback, id: id}
	if e != nil {
		entry := *e
		j.entry = &entry
	}
	s.worker.enqueue(j)
}

// RefilledMessage is a message that enters its window, or one that can't be read.
type RefilledMessage struct {
	*disk.Record // nil if nothing of it can be read
	Seq          uint64
	Err          error  // wraps disk.ErrDamaged if the message is damaged
	Partner      string // its destination
	queue        backlog.QueueID
	entry        backlog.Entry
}

// HandleEvent handles an event that notify was called with. It returns the messages that
// enter their windows, or the first sequence number and the number of messages of a
// segment that was removed. ok is false if the event is not one of a Spill.
func (s *Spill) HandleEvent(ev any) (in []RefilledMessage, first, n uint64, ok bool) {
	t, ok := ev.(workerEvent)
	if !ok {
		return nil, 0, 0, false
	}
	if t.worker != s.worker { // an event of a Spill that has been closed
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

// finishRefill completes a refill read and returns the messages that enter their window.
func (s *Spill) finishRefill(ev refillReadEvent) (in []RefilledMessage) {
	if ev.err != nil {
		s.log.Error("backlog: messages can't be read yet", "err", ev.err)
		s.spilled.RefillFailed(ev.read)
		s.retry(ev.read.Queue)
		return nil
	}
	entries := make([]backlog.Entry, len(ev.results))
	for i := range ev.results {
		entries[i] = ev.results[i].Entry
	}
	for i, yes := range s.spilled.RefillDone(ev.read, entries) {
		if yes {
			g := ev.results[i]
			in = append(in, RefilledMessage{Record: g.Record, Seq: g.Entry.Seq, Err: g.Err,
				Partner: s.spilled.Name(ev.read.Queue).Destination, queue: ev.read.Queue, entry: g.Entry})
		}
	}
	return in
}

// PutBack spills refilled messages again, in order, that could not be taken into memory.
// They are requested again after [ReadRetryDelay].
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
		s.retry(list[0].queue)
		list = list[n:]
	}
}

// withoutBody returns a copy of a message without its body.
func withoutBody(r *disk.Record) *disk.Record {
	if r == nil {
		return nil
	}
	out := *r
	out.Body = nil
	return &out
}

// retry makes a queue eligible for refill reads again after [ReadRetryDelay].
func (s *Spill) retry(id backlog.QueueID) { s.worker.enqueueAfter(ReadRetryDelay, retryEvent{id}) }

// finishExpiryRead completes an expiry read, or has it retried after [ReadRetryDelay].
func (s *Spill) finishExpiryRead(ev expiryReadEvent) {
	if ev.err != nil {
		s.log.Error("backlog: expiring messages can't be read yet", "err", ev.err)
		s.worker.enqueueAfter(ReadRetryDelay, expiryRetryEvent{ev.read})
		return
	}
	items := make([]backlog.Item, len(ev.results))
	for i := range ev.results {
		items[i] = backlog.Item{Entry: ev.results[i].Entry, Payload: ev.results[i].Record}
	}
	s.spilled.ExpiryReadDone(ev.read, items, ev.after)
}

// PopExpired removes a message whose deadline is at or before a time, Unix time in
// microseconds, from the backlog and returns it; ok is false if there is none. r is nil if
// the message can't be read.
func (s *Spill) PopExpired(at int64) (r *disk.Record, seq uint64, ok bool) {
	e, ok := s.spilled.PopExpired(at)
	if !ok {
		return nil, 0, false
	}
	r, _ = e.Payload.(*disk.Record)
	return r, e.Seq, true
}

// WakeTime returns when PopExpired and StartReads are to be called next, Unix time in
// microseconds; math.MaxInt64 if there is no such time.
func (s *Spill) WakeTime() int64 { return s.spilled.WakeTime() }

// StopRefill ends the refilling of the windows.
func (s *Spill) StopRefill() { s.refillEnabled = false }

// StartReads has the worker read the messages that refill the windows and those that
// expire soon. now is Unix time in microseconds.
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

// ReclaimSegments has the worker remove the segments without spilled messages.
func (s *Spill) ReclaimSegments() {
	for _, x := range s.spilled.Reclaim() {
		s.worker.enqueue(removeJob{x.First, x.N})
	}
}

// Stats returns the state of the files.
func (s *Spill) Stats() disk.Stats { return s.files.Stats() }
