package spill

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"cometrack/internal/backlog"
	"cometrack/internal/backlog/disk"
	"cometrack/internal/store"
)

// worker does jobs in order, beside the one that decides.
type worker struct {
	l     *disk.Log
	log   *slog.Logger
	tell  func(event any, quit <-chan struct{})
	every time.Duration // between two flushes; 0 for none

	mu     sync.Mutex
	queue  []job
	wake   chan struct{}
	ended  chan struct{}
	closed bool
	quit   chan struct{}
}

// job is one thing to do; it returns an event, or nil.
type job interface{ do(w *worker) any }

type (
	readJob   struct{ read backlog.RefillRead }
	dueJob    struct{ read backlog.ExpiryRead }
	removeJob struct{ first, n uint64 }
	sealJob   struct {
		first   uint64
		entries []backlog.Entry
		names   map[backlog.QueueID]backlog.Queue
	}
	lookupJob struct {
		first uint64
		at    uint32
		entry *backlog.Entry
		id    string
		then  func(*disk.Record, error)
	}
)

func newWorker(l *disk.Log, opts Options, tell func(any, <-chan struct{})) *worker {
	w := &worker{l: l, log: opts.Log, tell: tell, wake: make(chan struct{}, 1), ended: make(chan struct{}), quit: make(chan struct{})}
	if opts.Sync == store.SyncInterval {
		w.every = max(opts.FlushInterval, time.Millisecond)
	}
	go w.run()
	return w
}

// add hands it a job; it never waits.
func (w *worker) add(j job) {
	w.mu.Lock()
	w.queue = append(w.queue, j)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// after has an event told after a while, or a job done.
func (w *worker) after(d time.Duration, j job) { time.AfterFunc(d, func() { w.add(j) }) }

func (w *worker) run() {
	defer close(w.ended)
	var tick <-chan time.Time
	if w.every > 0 {
		t := time.NewTicker(w.every)
		defer t.Stop()
		tick = t.C
	}
	for {
		select {
		case <-w.wake:
		case <-tick:
			if err := w.l.Flush(); err != nil {
				w.log.Error("backlog", "err", err)
			}
		}
		for {
			w.mu.Lock()
			if w.closed {
				w.mu.Unlock()
				return
			}
			var j job
			if len(w.queue) > 0 {
				j = w.queue[0]
				w.queue[0] = nil
				w.queue = w.queue[1:]
			}
			w.mu.Unlock()
			if j == nil {
				break
			}
			if ev := j.do(w); ev != nil {
				w.tell(told{w, ev}, w.quit)
			}
		}
	}
}

// stop ends it after the job at hand.
func (w *worker) stop() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.quit)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	<-w.ended
}

func (j readJob) do(w *worker) any {
	got, err := w.l.Read(j.read)
	return cameEvent{j.read, got, err}
}

func (j dueJob) do(w *worker) any {
	got, after, err := w.l.ReadExpiring(j.read)
	return dueEvent{j.read, got, after, err}
}

func (j removeJob) do(w *worker) any {
	if err := w.l.Remove(j.first); err != nil {
		w.log.Error("backlog: a segment can't be removed yet", "err", err)
		w.after(time.Second, j)
		return nil
	}
	return removedEvent(j)
}

func (j sealJob) do(w *worker) any {
	byDeadline, runs, err := w.l.Seal(j.first, j.entries, j.names)
	if err != nil { // a full disk, say; until then they are in memory
		w.log.Error("backlog: an index block can't be written yet", "err", err)
		w.after(time.Second, j)
		return nil
	}
	return sealedEvent{j.first, byDeadline, runs}
}

func (j lookupJob) do(w *worker) any {
	got, err := w.l.Lookup(j.first, j.at, j.entry)
	if got.Record != nil && got.Record.ID != j.id {
		got.Record = nil
	}
	if err == nil {
		err = got.Err
	}
	if err != nil {
		err = fmt.Errorf("message %q: %w", j.id, err)
	}
	return foundEvent{got, err, j.then}
}

func (ev retryEvent) do(*worker) any  { return ev }
func (ev failedEvent) do(*worker) any { return ev }
func (ev foundEvent) do(*worker) any  { return ev }
