package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cometrack/internal/store/index"
	"cometrack/internal/store/plan"
	"cometrack/internal/vfs"
)

// SyncPolicy selects when committed batches are synced, so that they survive a crash of the machine.
type SyncPolicy int

// The sync policies. With each of them commits survive the end of the process.
const (
	SyncAlways   SyncPolicy = iota // before a commit returns
	SyncInterval                   // every Options.FlushInterval
	SyncNever                      // when the operating system writes them back
)

// Options are the limits and settings of a store.
type Options struct {
	MaxBytes      int64         // limit of all files, in whole blocks of 512 bytes; 0 for no limit
	SegmentBytes  int64         // largest size of a segment; 0 for a default
	Sync          SyncPolicy    // when to sync
	FlushInterval time.Duration // SyncInterval: time between syncs; 0 for one second
	// Manual disables the background goroutine: compaction, and the syncs of SyncInterval, are left to the
	// caller, who calls [Store.CompactStep] and [Store.Flush].
	Manual bool
	// MinCheckpointKeys is the number of keys from which on checkpoints of the index are written, so that the
	// next start need not read all segments; 0 for a default.
	MinCheckpointKeys int
	Log               *slog.Logger // nil for none
}

const (
	// minSegmentBytes and maxSegmentBytes bound the default size of a segment, in bytes.
	minSegmentBytes = 128 << 10
	maxSegmentBytes = 4 << 20
	// lockName is the file whose lock keeps other processes out.
	lockName = "lock"
	// compactStepBytes is about how many bytes one step of compaction copies.
	compactStepBytes = 32 << 10
)

// Errors of a store. They are returned wrapped.
var (
	// ErrFull reports that a write would exceed the capacity of the store.
	ErrFull = errors.New("the store is full")
	// ErrTooLarge reports a batch that does not fit into a segment, or a key longer than MaxKeyBytes.
	ErrTooLarge = errors.New("larger than a segment")
	// ErrClosed reports a call on a closed store.
	ErrClosed = errors.New("the store is closed")
	// ErrSyncFailed reports that a sync has failed: data written before it may be lost, whatever the operating
	// system reports afterwards. The store rejects writes until it is opened again.
	ErrSyncFailed = errors.New("the store rejects writes since a sync failed")
	// ErrDamaged reports that a record can't be read back.
	ErrDamaged = errors.New("damaged record")
)

// location is the position of a key's current record: 24 bytes for each key.
type location struct {
	seq          uint64
	segment      uint32
	offset       uint32
	size         uint32
	firstSegment uint32 // no older segment has a record of the key that no deletion covers
}

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	fs             vfs.FS
	opts           Options
	bounds         plan.Bounds
	lock           io.Closer
	recovery       Recovery
	stop           chan struct{} // closed by Close
	wakeBackground chan struct{} // wakes the background goroutine
	goroutines     sync.WaitGroup

	queueMu    sync.Mutex
	queue      []*waiter
	spareQueue []*waiter // buffer of an earlier queue, for reuse
	hasLeader  bool      // a committing goroutine leads a group, or is about to

	// writeMu is held for writing. It guards the fields up to syncFailure.
	writeMu       sync.Mutex
	pending       pendingWrite
	victim        *victim
	victimBuf     []byte      // buffer for the victim's data, for reuse
	obsolete      []*segment  // segments to be unlinked
	syncedSize    int64       // synced bytes of the active segment; all others are synced
	tombstones    []tombstone // deletions in the active segment
	tombstoneSeed uint64      // seed of their hashes
	tornTail      bool        // a failed write left bytes beyond the active segment's size
	closed        bool
	syncFailure   error

	// mu guards what readers need. It is locked for writing only by a holder of writeMu.
	mu        sync.RWMutex
	index     *index.Index[location]
	segments  []*segment // by number; the last one is active
	seq       uint64
	usedBytes int64 // all files, in whole blocks
	liveBytes int64 // current records
	counts    Counts

	checkpointMu         sync.Mutex // held while a checkpoint is written
	bytesSinceCheckpoint int64      // written since the last checkpoint was begun
	checkpointBytes      int64      // size of the checkpoint file, in whole blocks; 0 if there is none
}

// Counts are counters since the store was opened.
type Counts struct {
	Commits           int64 // batches
	Writes            int64 // write calls for batches
	Syncs             int64
	BytesWritten      int64 // including copies made by compaction
	BytesCopied       int64 // copied by compaction
	SegmentsCompacted int64 // removed after compaction
}

// Stats is a snapshot of a store's size and counters.
type Stats struct {
	Keys      int
	Segments  int
	UsedBytes int64 // all files, in whole blocks
	LiveBytes int64 // current records
	Capacity  int64 // largest number of bytes of current records; 0 for no limit
	Failed    bool  // see [ErrSyncFailed]
	Counts
}

// Open opens the store in a folder of its own, locks the folder, and recovers the committed batches. [Store.Recovery]
// returns what recovery found. Errors include [vfs.ErrLocked] and [ErrNewerFormat].
func Open(dir vfs.FS, opts Options) (*Store, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = segmentSize(opts.MaxBytes)
	}
	if opts.MinCheckpointKeys <= 0 {
		opts.MinCheckpointKeys = defaultCheckpointKeys
	}
	if opts.FlushInterval <= 0 {
		opts.FlushInterval = time.Second
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	lock, err := dir.Lock(lockName)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{fs: dir, opts: opts, lock: lock, bounds: plan.Bounds{MaxBytes: opts.MaxBytes,
		SegmentBytes: opts.SegmentBytes},
		tombstoneSeed: rand.Uint64(), stop: make(chan struct{}), wakeBackground: make(chan struct{}, 1),
		index: index.New[location]()}
	if err := s.recover(); err != nil {
		s.closeFiles()
		return nil, fmt.Errorf("store: %w", err)
	}
	if !opts.Manual {
		s.goroutines.Go(s.background)
	}
	return s, nil
}

// segmentSize returns the default segment size in bytes for a limit of the whole store.
func segmentSize(limit int64) int64 {
	if limit <= 0 {
		return maxSegmentBytes
	}
	return min(max(limit/16, minSegmentBytes), maxSegmentBytes)
}

// MaxOpenFiles returns about how many files a store with a limit of so many bytes has open at once.
func MaxOpenFiles(limit int64) int { return int(limit/segmentSize(limit)) + 2 }

// Recovery returns what recovery found when the store was opened.
func (s *Store) Recovery() Recovery { return s.recovery }

// newSalt returns a random salt for the checksums of a segment.
func newSalt() uint64 { return rand.Uint64() }

// active returns the segment that takes new records; nil if there is none.
func (s *Store) active() *segment {
	if len(s.segments) == 0 {
		return nil
	}
	return s.segments[len(s.segments)-1]
}

// segment returns the segment with a number; nil if there is none.
func (s *Store) segment(number uint32) *segment {
	for i := len(s.segments) - 1; i >= 0; i-- {
		if s.segments[i].number == number {
			return s.segments[i]
		}
	}
	return nil
}

// Get reads the value of a key from its segment; nil and no error if the key has none. The error is [ErrDamaged] if the
// record can't be read back.
func (s *Store) Get(key string) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	loc, ok := s.index.Get([]byte(key))
	if !ok {
		return nil, nil
	}
	g := s.segment(loc.segment)
	f, err := g.readFrame(loc)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return f.value, nil
}

// readFrame reads the record at a location.
func (g *segment) readFrame(loc location) (frame, error) {
	b := make([]byte, loc.size)
	if n, err := g.file.ReadAt(b, int64(loc.offset)); err != nil && (err != io.EOF || n < len(b)) {
		return frame{}, fmt.Errorf("%s at %d: %w", segmentName(g.number), loc.offset, err)
	}
	f, ok := parseFrameAt(b, g.salt, int(loc.offset))
	if !ok {
		return frame{}, fmt.Errorf("%s at %d: %w", segmentName(g.number), loc.offset, ErrDamaged)
	}
	return f, nil
}

// Range calls visit for each key and its value, in log order, until visit returns an error. visit may keep the bytes.
// It must not commit to the store. A record that can't be read any more is skipped and counted in unread.
func (s *Store) Range(visit func(key string, value []byte) error) (unread int, err error) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	visited := 0
	for _, g := range s.segments {
		b, err := readAll(g.file)
		if err != nil {
			return 0, fmt.Errorf("store: %s: %w", segmentName(g.number), err)
		}
		scanFrames(b, g.salt, headerLen, func(f *frame) bool {
			if loc, ok := s.index.Get(f.key); ok && f.kind == kindPut && loc.segment == g.number &&
				int(loc.offset) == f.offset {
				visited++
				err = visit(string(f.key), append([]byte(nil), f.value...))
			}
			return err == nil
		})
		if err != nil {
			return 0, err
		}
	}
	return s.index.Len() - visited, nil
}

// Stats returns the store's sizes and counters.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Stats{Keys: s.index.Len(), Segments: len(s.segments), UsedBytes: s.usedBytes, LiveBytes: s.liveBytes,
		Capacity: s.bounds.Capacity(),
		Failed:   s.syncFailure != nil, Counts: s.counts}
}

// Failed reports whether the store rejects writes since a sync failed, see [ErrSyncFailed].
func (s *Store) Failed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.syncFailure != nil
}

// Rotate starts a new segment, so that records written from now on do not follow bytes that may not be durable.
func (s *Store) Rotate() error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.checkWritable(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if g := s.active(); g == nil || g.size <= headerLen {
		return nil
	}
	if err := s.rotate(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// HasRoom reports whether records of so many bytes more may be accepted: whether they and all current records are
// within the capacity and no sync has failed.
func (s *Store) HasRoom(more int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.syncFailure != nil {
		return false
	}
	capacity := s.bounds.Capacity()
	return capacity == 0 || s.liveBytes+more <= capacity
}

// Close writes a checkpoint if one is worth while, marks the store as cleanly closed, and releases the folder.
func (s *Store) Close() error {
	s.writeMu.Lock()
	if s.closed {
		s.writeMu.Unlock()
		return ErrClosed
	}
	if s.syncFailure == nil && s.index.Len() >= s.opts.MinCheckpointKeys &&
		s.bytesSinceCheckpoint > s.checkpointBytes/4 {
		s.writeMu.Unlock()
		if err := s.checkpoint(); err != nil { // a missing checkpoint only makes the next start slower
			s.opts.Log.Warn("store: checkpoint", "err", err)
		}
		s.writeMu.Lock()
		if s.closed {
			s.writeMu.Unlock()
			return ErrClosed
		}
	}
	s.closed = true
	close(s.stop)
	err := s.syncFailure
	if g := s.active(); err == nil && g != nil && g.size > headerLen {
		b := s.appendTombstoneSums(nil, g, int(g.size), g.number)
		b = appendFrame(b, g.salt, int(g.size), &frame{kind: kindClose, seq: s.seq, startsWrite: len(b) == 0 &&
			s.allSynced()})
		s.mu.Lock()
		err = s.write(b)
		s.mu.Unlock()
		if err == nil && s.opts.Sync != SyncNever {
			err = s.sync()
		}
	}
	s.writeMu.Unlock()
	s.goroutines.Wait()
	return errors.Join(err, s.closeFiles())
}

// closeFiles closes all segments and releases the lock.
func (s *Store) closeFiles() (err error) {
	for _, g := range s.segments {
		err = errors.Join(err, g.file.Close())
	}
	return errors.Join(err, s.lock.Close())
}

// remove removes a file; it is no error if the file does not exist.
func (s *Store) remove(name string) error {
	if err := s.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
