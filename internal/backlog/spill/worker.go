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

// worker runs jobs in order, in a goroutine of its own.
type worker struct {
	files         *disk.Log
	log           *slog.Logger
	notify        func(event any, quit <-chan struct{})
	flushInterval time.Duration // 0 if the worker does not flush

	mu      sync.Mutex // protects queue and closed
	queue   []job
	wake    chan struct{} // signals a change of queue or closed
	stopped chan struct{} // is closed when run has returned
	closed  bool
	quit    chan struct{} // is closed when stop is called
}

// job is a unit of work; do returns an event for the notify function, or nil.
type job interface{ do(w *worker) any }

// The jobs.
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

// newWorker starts a worker. notify is called with each event until stop returns, and must
// return once quit is closed.
func newWorker(files *disk.Log, opts Options, notify func(any, <-chan struct{})) *worker {
	w := &worker{files: files, log: opts.Log, notify: notify, wake: make(chan struct{}, 1),
		stopped: make(chan struct{}), quit: make(chan struct{})}
	if opts.Sync == store.SyncInterval {
		w.flushInterval = max(opts.FlushInterval, time.Millisecond)
	}
	go w.run()
	return w
}

// enqueue adds a job to the queue; it does not block.
func (w *worker) enqueue(j job) {
	w.mu.Lock()
	w.queue = append(w.queue, j)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// enqueueAfter adds a job to the queue after a delay; it does not block.
func (w *worker) enqueueAfter(d time.Duration, j job) { time.AfterFunc(d, func() { w.enqueue(j) }) }

// run runs jobs, and flushes the log with store.SyncInterval, until the worker is stopped.
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

// stop ends the worker after the current job, and drops the jobs in its queue.
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

// do reads spilled messages for the in-memory window and returns a refillReadEvent with the result or the error.
func (j refillJob) do(w *worker) any {
	result, err := w.files.Read(j.read)
	return refillReadEvent{j.read, result, err}
}

// do reads spilled messages whose deadline is near and returns an expiryReadEvent with the result or the error.
func (j expiryJob) do(w *worker) any {
	result, after, err := w.files.ReadExpiring(j.read)
	return expiryReadEvent{j.read, result, after, err}
}

// do removes the files of a segment and returns a removedEvent. If that fails, it enqueues the job again for a second
// later and returns nil.
func (j removeJob) do(w *worker) any {
	if err := w.files.Remove(j.first); err != nil {
		w.log.Error("backlog: a segment can't be removed yet", "err", err)
		w.enqueueAfter(time.Second, j)
		return nil
	}
	return removedEvent(j)
}

// do writes the index block of a closed segment and returns a sealedEvent. If that fails, it enqueues the job again
// for a second later and returns nil.
func (j sealJob) do(w *worker) any {
	byDeadline, runs, err := w.files.Seal(j.first, j.entries, j.queues)
	if err != nil { // for example a full disk; until the retry succeeds, the entries stay in memory
		w.log.Error("backlog: an index block can't be written yet", "err", err)
		w.enqueueAfter(time.Second, j)
		return nil
	}
	return sealedEvent{j.first, byDeadline, runs}
}

// do reads the message with an id and returns a lookupEvent, without a record if the message at that place has
// another id.
func (j lookupJob) do(w *worker) any {
	result, err := w.files.Lookup(j.first, j.at, j.entry)
	if result.Record != nil && result.Record.ID != j.id {
		result.Record = nil
	}
	if err == nil {
		err = result.Err
	}
	if err != nil {
		err = fmt.Errorf("message %q: %w", j.id, err)
	}
	return lookupEvent{result, err, j.callback}
}

// These events are jobs as well, which are enqueued after a delay or without a read. The worker passes them on
// unchanged, and [Spill.HandleEvent] acts on them.

// do returns the event itself: the queue becomes eligible for refill reads again.
func (ev retryEvent) do(*worker) any { return ev }

// do returns the event itself: the expiry read that failed is started again.
func (ev expiryRetryEvent) do(*worker) any { return ev }

// do returns the event itself: the result of a lookup that needed no read.
func (ev lookupEvent) do(*worker) any { return ev }
