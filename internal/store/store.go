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

// SyncPolicy says when what is committed is made to outlive the machine.
type SyncPolicy int

// The ways to sync. Whatever the way, commits outlive the process.
const (
	SyncAlways   SyncPolicy = iota // before a commit returns
	SyncInterval                   // every so often
	SyncNever                      // when the system pleases
)

// Options are a store's bounds and ways.
type Options struct {
	MaxBytes      int64         // bytes of all files in whole blocks of 512; 0 for no limit
	SegmentBytes  int64         // largest size of a segment in bytes; 0 for a default
	Sync          SyncPolicy    // when to sync
	FlushInterval time.Duration // SyncInterval: how often; 0 for a second
	// Manual leaves compaction, and the syncs of SyncInterval, to the caller, who
	// calls [Store.CompactStep] and [Store.Flush].
	Manual bool
	// MinCheckpointKeys is from how many keys on the index is saved from time to time, so
	// that the next start need not read all segments; 0 for a default.
	MinCheckpointKeys int
	Log               *slog.Logger // nil for none
}

const (
	minSegment = 128 << 10
	maxSegment = 4 << 20
	lockName   = "lock"
	// stepBytes is about how much one step of compaction copies.
	stepBytes = 32 << 10
)

// Errors of a store. They come wrapped.
var (
	ErrFull     = errors.New("the store is full")
	ErrTooLarge = errors.New("larger than a segment")
	ErrClosed   = errors.New("the store is closed")
	// ErrSyncFailed says that a sync has failed: what was written may be gone whatever
	// the system says from then on. The store takes nothing until it is opened again.
	ErrSyncFailed = errors.New("the store takes nothing since a sync failed")
	// ErrDamaged says that a record can't be read back.
	ErrDamaged = errors.New("damaged record")
)

// loc is where the record of a key stands: 24 bytes beside the key.
type loc struct {
	seq   uint64
	seg   uint32
	off   uint32
	size  uint32
	first uint32 // no segment before this one has a record of the key that no deletion covers
}

// Store is an open store. Its methods may be called by several goroutines at
// once.
type Store struct {
	fs     vfs.FS
	opts   Options
	bounds plan.Bounds
	lock   io.Closer
	found  Recovery
	stop   chan struct{} // closed by Close
	kick   chan struct{} // wakes the background
	idle   sync.WaitGroup

	queueMu sync.Mutex
	queue   []*waiter
	spare   []*waiter // room of an earlier queue
	leading bool      // one of those that commit leads a group, or is about to

	// writer is held by the one that writes; what follows is its own.
	writer     sync.Mutex
	write1     pending
	victim     *victim
	scratch    []byte // of the victim's bytes
	doomed     []*segment
	synced     int64       // of the active segment; all others are synced
	tombstones []tombstone // deletions in the active segment
	seed       uint64      // of their hashes
	torn       bool        // bytes behind the active segment's size are to be cut first
	closed     bool
	failure    error

	// mu guards what readers need. Only the writer changes it.
	mu     sync.RWMutex
	index  *index.Index[loc]
	segs   []*segment // by number; the last one is written
	seq    uint64
	used   int64 // bytes of all files, in whole blocks
	live   int64 // bytes of records that count
	counts Counts

	saving       sync.Mutex // held while a checkpoint is written
	since        int64      // bytes written since the last checkpoint was begun
	checkpointed int64      // bytes of its file, in whole blocks; 0 if there is none
}

// Counts are figures since the store was opened.
type Counts struct {
	Commits           int64 // batches
	Writes            int64 // calls that wrote them
	Syncs             int64
	BytesWritten      int64 // bytes, copies of compaction included
	BytesCopied       int64 // bytes copied by compaction
	SegmentsCompacted int64 // segments
}

// Stats tells how a store stands.
type Stats struct {
	Keys      int
	Segments  int
	UsedBytes int64 // bytes of all files, in whole blocks
	LiveBytes int64 // bytes of records that count
	Capacity  int64 // bytes of records that may count; 0 for no limit
	Failed    bool  // see [ErrSyncFailed]
	Counts
}

// Open opens the store in a folder that it has for itself, and recovers what was
// committed. What was found on the way is told by [Store.Recovery].
func Open(dir vfs.FS, opts Options) (*Store, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = segmentSize(opts.MaxBytes)
	}
	if opts.MinCheckpointKeys <= 0 {
		opts.MinCheckpointKeys = leastCheckpoint
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
	s := &Store{fs: dir, opts: opts, lock: lock, bounds: plan.Bounds{MaxBytes: opts.MaxBytes, SegmentBytes: opts.SegmentBytes},
		seed: rand.Uint64(), stop: make(chan struct{}), kick: make(chan struct{}, 1), index: index.New[loc]()}
	if err := s.recover(); err != nil {
		s.closeFiles()
		return nil, fmt.Errorf("store: %w", err)
	}
	if !opts.Manual {
		s.idle.Go(s.background)
	}
	return s, nil
}

func segmentSize(limit int64) int64 {
	if limit <= 0 {
		return maxSegment
	}
	return min(max(limit/16, minSegment), maxSegment)
}

// MaxOpenFiles is about how many files a store of that limit has open at once.
func MaxOpenFiles(limit int64) int { return int(limit/segmentSize(limit)) + 2 }

// Recovery tells what recovery found.
func (s *Store) Recovery() Recovery { return s.found }

func newSalt() uint64 { return rand.Uint64() }

// active is the segment that is written; nil if there is none.
func (s *Store) active() *segment {
	if len(s.segs) == 0 {
		return nil
	}
	return s.segs[len(s.segs)-1]
}

func (s *Store) segment(number uint32) *segment {
	for i := len(s.segs) - 1; i >= 0; i-- {
		if s.segs[i].number == number {
			return s.segs[i]
		}
	}
	return nil
}

// Get reads a value back from its segment; nil and no error if there is none. A
// record that can't be read is [ErrDamaged].
func (s *Store) Get(key string) ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	at, ok := s.index.Get([]byte(key))
	if !ok {
		return nil, nil
	}
	g := s.segment(at.seg)
	f, err := g.frameAt(at)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return f.value, nil
}

// frameAt reads one record.
func (g *segment) frameAt(at loc) (frame, error) {
	b := make([]byte, at.size)
	if n, err := g.file.ReadAt(b, int64(at.off)); err != nil && (err != io.EOF || n < len(b)) {
		return frame{}, fmt.Errorf("%s at %d: %w", segName(g.number), at.off, err)
	}
	f, ok := parseAt(b, g.salt, int(at.off))
	if !ok {
		return frame{}, fmt.Errorf("%s at %d: %w", segName(g.number), at.off, ErrDamaged)
	}
	return f, nil
}

// Range calls visit for each key and its value, in the order in which they lie in
// the log, until it returns an error. The bytes are visit's to keep. Nothing is to
// be committed meanwhile. A record that can't be read any more is left out and
// counted.
func (s *Store) Range(visit func(key string, value []byte) error) (unread int, err error) {
	s.writer.Lock()
	defer s.writer.Unlock()
	seen := 0
	for _, g := range s.segs {
		b, err := read(g.file)
		if err != nil {
			return 0, fmt.Errorf("store: %s: %w", segName(g.number), err)
		}
		walk(b, g.salt, headerLen, func(f *frame) bool {
			if at, ok := s.index.Get(f.key); ok && f.kind == kindPut && at.seg == g.number && int(at.off) == f.off {
				seen++
				err = visit(string(f.key), append([]byte(nil), f.value...))
			}
			return err == nil
		})
		if err != nil {
			return 0, err
		}
	}
	return s.index.Len() - seen, nil
}

// Stats tells how the store stands.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Stats{Keys: s.index.Len(), Segments: len(s.segs), UsedBytes: s.used, LiveBytes: s.live, Capacity: s.bounds.Capacity(),
		Failed: s.failure != nil, Counts: s.counts}
}

// Failed says whether the store takes nothing since a sync failed, see [ErrSyncFailed].
func (s *Store) Failed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.failure != nil
}

// Rotate begins a new segment, so that what is written from now on does not lie behind
// bytes that may not last.
func (s *Store) Rotate() error {
	s.writer.Lock()
	defer s.writer.Unlock()
	if err := s.usable(); err != nil {
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

// HasRoom says whether records of so many bytes more may be taken on: whether they
// and all that count already keep within the capacity, and compaction has not
// fallen behind.
func (s *Store) HasRoom(more int64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.failure != nil {
		return false
	}
	c := s.bounds.Capacity()
	return c == 0 || s.live+more <= c
}

// Close marks the store as closed in good order and gives the folder back.
func (s *Store) Close() error {
	s.writer.Lock()
	if s.closed {
		s.writer.Unlock()
		return ErrClosed
	}
	if s.failure == nil && s.index.Len() >= s.opts.MinCheckpointKeys && s.since > s.checkpointed/4 {
		s.writer.Unlock()
		if err := s.checkpoint(); err != nil { // the next start takes longer
			s.opts.Log.Warn("store: checkpoint", "err", err)
		}
		s.writer.Lock()
		if s.closed {
			s.writer.Unlock()
			return ErrClosed
		}
	}
	s.closed = true
	close(s.stop)
	err := s.failure
	if g := s.active(); err == nil && g != nil && g.size > headerLen {
		b := s.appendSums(nil, g, int(g.size), g.number)
		b = appendFrame(b, g.salt, int(g.size), &frame{kind: kindClose, seq: s.seq, start: len(b) == 0 && s.clean()})
		s.mu.Lock()
		err = s.write(b)
		s.mu.Unlock()
		if err == nil && s.opts.Sync != SyncNever {
			err = s.sync()
		}
	}
	s.writer.Unlock()
	s.idle.Wait()
	return errors.Join(err, s.closeFiles())
}

func (s *Store) closeFiles() (err error) {
	for _, g := range s.segs {
		err = errors.Join(err, g.file.Close())
	}
	return errors.Join(err, s.lock.Close())
}

// remove removes a file that may be gone already.
func (s *Store) remove(name string) error {
	if err := s.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
