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
	files         *disk.Log
	log           *slog.Logger
	notify        func(event any, quit <-chan struct{})
	flushInterval time.Duration // between two flushes; 0 for none

	mu      sync.Mutex
	queue   []job
	wake    chan struct{}
	stopped chan struct{}
	closed  bool
	quit    chan struct{}
}

// job is one thing to do; it returns an event, or nil.
type job interface{ do(w *worker) any }

type (
	refillJob struct{ read backlog.RefillRead }
	expiryJob struct{ read backlog.ExpiryRead }
	removeJob struct{ first, n uint64 }
	sealJob   struct {
		first   uint64
		entries []backlog.Entry
		queues  map[backlog.QueueID]backlog.Queue
	}
	lookupJob struct {
		first    uint64
		at       uint32
		entry    *backlog.Entry
		id       string
		callback func(*disk.Record, error)
	}
)

func newWorker(l *disk.Log, opts Options, tell func(any, <-chan struct{})) *worker {
	w := &worker{files: l, log: opts.Log, notify: tell, wake: make(chan struct{}, 1), stopped: make(chan struct{}), quit: make(chan struct{})}
	if opts.Sync == store.SyncInterval {
		w.flushInterval = max(opts.FlushInterval, time.Millisecond)
	}
	go w.run()
	return w
}

// enqueue hands it a job; it never waits.
func (w *worker) enqueue(j job) {
	w.mu.Lock()
	w.queue = append(w.queue, j)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// enqueueAfter has an event told enqueueAfter a while, or a job done.
func (w *worker) enqueueAfter(d time.Duration, j job) { time.AfterFunc(d, func() { w.enqueue(j) }) }

func (w *worker) run() {
	defer close(w.stopped)
	var tick <-chan time.Time
	if w.flushInterval > 0 {
		t := time.NewTicker(w.flushInterval)
		defer t.Stop()
		tick = t.C
	}
	for {
		select {
		case <-w.wake:
		case <-tick:
			if err := w.files.Flush(); err != nil {
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
				w.notify(workerEvent{w, ev}, w.quit)
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
	<-w.stopped
}

func (j refillJob) do(w *worker) any {
	got, err := w.files.Read(j.read)
	return refillReadEvent{j.read, got, err}
}

func (j expiryJob) do(w *worker) any {
	got, after, err := w.files.ReadExpiring(j.read)
	return expiryReadEvent{j.read, got, after, err}
}

func (j removeJob) do(w *worker) any {
	if err := w.files.Remove(j.first); err != nil {
		w.log.Error("backlog: a segment can't be removed yet", "err", err)
		w.enqueueAfter(time.Second, j)
		return nil
	}
	return removedEvent(j)
}

func (j sealJob) do(w *worker) any {
	byDeadline, runs, err := w.files.Seal(j.first, j.entries, j.queues)
	if err != nil { // a full disk, say; until then they are in memory
		w.log.Error("backlog: an index block can't be written yet", "err", err)
		w.enqueueAfter(time.Second, j)
		return nil
	}
	return sealedEvent{j.first, byDeadline, runs}
}

func (j lookupJob) do(w *worker) any {
	got, err := w.files.Lookup(j.first, j.at, j.entry)
	if got.Record != nil && got.Record.ID != j.id {
		got.Record = nil
	}
	if err == nil {
		err = got.Err
	}
	if err != nil {
		err = fmt.Errorf("message %q: %w", j.id, err)
	}
	return lookupEvent{got, err, j.callback}
}

func (ev retryEvent) do(*worker) any       { return ev }
func (ev expiryRetryEvent) do(*worker) any { return ev }
func (ev lookupEvent) do(*worker) any      { return ev }
