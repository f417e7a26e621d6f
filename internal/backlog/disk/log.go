package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"cometrack/internal/backlog"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
)

// Options sets the bounds of a [Log].
type Options struct {
	MaxBytes      int64 // max bytes of all files; 0 for no limit
	SegmentBytes  int64 // max bytes of a segment, which its last batch may exceed; 0 for a default
	Sync          store.SyncPolicy
	FlushInterval time.Duration // with store.SyncInterval: how often the caller calls [Log.Flush]; not used by the log
	Log           *slog.Logger  // nil for none
}

const (
	minSegmentBytes = 1 << 20  // lower bound of the default size of a segment, in bytes
	maxSegmentBytes = 32 << 20 // upper bound of the default size of a segment, in bytes
	targetSegments  = 64       // number of default-size segments that fill MaxBytes
	// maxEntries is the max number of messages of a segment. It bounds the memory of a
	// segment's entries until the segment has its index block.
	maxEntries = 64 << 10
	// SegmentAlignment divides the first sequence number of every segment.
	SegmentAlignment = 1024
	lockFileName     = "lock"
)

// Errors of a [Log], which its methods return wrapped.
var (
	// ErrFull reports that MaxBytes is reached.
	ErrFull = errors.New("the backlog is full")
	// ErrSyncFailed reports that the log takes no more messages, since a sync, or the
	// removal of a file, has failed.
	ErrSyncFailed = errors.New("the backlog takes no messages since a sync failed")
	// ErrNewer reports a file that a later version of the program wrote.
	ErrNewer = errors.New("the backlog is of a later format")
	// ErrClosed reports that the log is closed.
	ErrClosed = errors.New("the backlog is closed")
	// ErrDamaged reports a record that can't be read back.
	ErrDamaged = errors.New("damaged record")
)

// Log is the set of segment files. Append, StartsSegment and Close belong to one
// goroutine; the other methods but Stats and HasRoom belong to a goroutine that may be
// another one.
type Log struct {
	fs   vfs.FS
	opts Options
	lock io.Closer

	mu        sync.Mutex // protects the fields up to active, and segmentFile.size and synced
	files     map[uint64]*segmentFile
	usedBytes int64
	failure   error
	closed    bool
	active    *segmentFile // the segment that Append writes; nil if there is none

	// Used only by Append:
	nextSeq      uint64 // sequence number of the next message
	partialWrite bool   // a failed write may have left bytes behind the end of active
	buf          bytes.Buffer
}

// segmentFile is a segment.
type segmentFile struct {
	first         uint64 // sequence number of the first message
	salt          uint64 // seed of the heads' checksums
	data          vfs.File
	size          int64  // bytes of the data file
	synced        int64  // number of bytes known to be on stable storage
	n             uint32 // number of messages
	headerDamaged bool   // without the salt of the header, only an index block makes it readable

	index  vfs.File // nil until the segment has an index block
	layout layout
	queues []backlog.QueueID // by their number in the index block
}

// Stats describes the state of a [Log].
type Stats struct {
	Segments  int
	UsedBytes int64 // bytes of all files
	Failed    bool  // the log takes no more messages, see [ErrSyncFailed]
}

// Open opens the log in a folder of its own, which it locks. The caller must call
// [Log.Restore] next, which reads the segments of an earlier process. Sequence numbers
// of new messages are above lastSeq.
func Open(dir vfs.FS, lastSeq uint64, opts Options) (*Log, error) {
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = segmentSize(opts.MaxBytes)
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	lock, err := dir.Lock(lockFileName)
	if err != nil {
		return nil, fmt.Errorf("backlog: %w", err)
	}
	return &Log{fs: dir, opts: opts, lock: lock, files: map[uint64]*segmentFile{}, nextSeq: lastSeq + 1}, nil
}

// segmentSize returns the default of Options.SegmentBytes.
func segmentSize(maxBytes int64) int64 {
	if maxBytes <= 0 {
		return maxSegmentBytes
	}
	return min(max(maxBytes/targetSegments, minSegmentBytes), maxSegmentBytes)
}

// MaxOpenFiles returns about how many files a log of at most maxBytes has open at once.
func MaxOpenFiles(maxBytes int64) int { return 2*int(maxBytes/segmentSize(maxBytes)) + 4 }

// Stats returns the state of the log.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Segments: len(l.files), UsedBytes: l.usedBytes, Failed: l.failure != nil}
}

// HasRoom reports whether the log takes more bytes of messages, bodies and heads.
func (l *Log) HasRoom(more int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Leaves room for one index block to be written, which is smaller than its segment.
	return l.failure == nil && !l.closed &&
		(l.opts.MaxBytes <= 0 || l.usedBytes+more+l.opts.SegmentBytes <= l.opts.MaxBytes)
}

// StartsSegment reports whether the next Append starts a segment, and returns the first
// sequence number of that segment.
func (l *Log) StartsSegment() (first uint64, starts bool) {
	if a := l.active; a != nil && a.size < l.opts.SegmentBytes && a.n < maxEntries {
		return 0, false
	}
	return (l.nextSeq + SegmentAlignment - 1) / SegmentAlignment * SegmentAlignment, true
}

// Append writes messages, assigns each its sequence number and returns their entries.
// When it returns, they are as durable as Options.Sync requires. The caller must call
// [Log.StartsSegment] first; if Append starts a segment, the one before is closed. On an
// error none of the messages is stored.
func (l *Log) Append(list []*Record) ([]backlog.Entry, error) {
	l.mu.Lock()
	err := l.failure
	if l.closed {
		err = ErrClosed
	}
	l.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("backlog: %w", err)
	}
	if err := l.truncatePartialWrite(); err != nil {
		return nil, fmt.Errorf("backlog: %w", err)
	}
	g := l.active
	first, starts := l.StartsSegment()
	if starts {
		if g, err = l.createSegment(first); err != nil {
			return nil, fmt.Errorf("backlog: %w", err)
		}
	}
	l.mu.Lock()
	priorSynced := l.opts.Sync == store.SyncNever || g.synced == g.size
	l.mu.Unlock()
	l.buf.Reset()
	base := g.size
	if starts {
		l.buf.Write(segmentHeader(first, g.salt))
		l.nextSeq = first
	}
	entries := make([]backlog.Entry, len(list))
	next := l.nextSeq
	for i, r := range list {
		r.Seq = next
		next++
		off := base + int64(l.buf.Len())
		head := appendRecord(&l.buf, g.salt, off, r, i == 0 && priorSynced)
		entries[i] = backlog.Entry{Seq: r.Seq, Deadline: r.Deadline, Terms: r.Terms,
			Offset: uint32(off), HeadSize: uint32(head), Size: uint32(head + len(r.Body))}
	}
	if err := l.write(g, starts); err != nil {
		if starts {
			g.data.Close()
		}
		return nil, fmt.Errorf("backlog: %w", err)
	}
	l.nextSeq = next
	g.n += uint32(len(list))
	if starts {
		l.mu.Lock()
		l.files[first], l.active = g, g
		l.mu.Unlock()
	}
	return entries, nil
}

// createSegment creates the file of a new segment.
func (l *Log) createSegment(first uint64) (*segmentFile, error) {
	if a := l.active; a != nil && l.opts.Sync == store.SyncInterval { // Flush syncs the active segment only
		if err := l.sync(a); err != nil {
			return nil, err
		}
	}
	f, err := l.fs.Open(fileName(first, dataSuffix), true)
	if err != nil {
		return nil, err
	}
	return &segmentFile{first: first, salt: rand.Uint64(), data: f}, nil
}

// write appends the buffer to a segment and syncs it as Options.Sync requires.
func (l *Log) write(g *segmentFile, starts bool) error {
	b := l.buf.Bytes()
	_, err := g.data.WriteAt(b, g.size)
	if err != nil {
		return l.undoWrite(g, starts, err)
	}
	l.mu.Lock()
	g.size += int64(len(b))
	l.usedBytes += int64(len(b))
	l.mu.Unlock()
	switch l.opts.Sync {
	case store.SyncAlways:
		if err = l.sync(g); err == nil && starts {
			if err = l.fs.SyncDir(); err != nil {
				l.setFailure(err)
			}
		}
	case store.SyncInterval:
		if starts {
			if err = l.fs.SyncDir(); err != nil {
				l.setFailure(err)
			}
		}
	}
	return err
}

// undoWrite removes the bytes that a failed write may have left. It returns cause.
func (l *Log) undoWrite(g *segmentFile, starts bool, cause error) error {
	if starts {
		if err := l.removeFile(fileName(g.first, dataSuffix)); err != nil {
			l.setFailure(err) // the next process must not restore messages that were rejected
		}
		return cause
	}
	l.partialWrite = true
	if err := l.truncatePartialWrite(); err != nil {
		l.opts.Log.Warn("backlog: the partial data of a failed write can't be truncated yet", "err", err)
	}
	return cause
}

// truncatePartialWrite truncates the bytes that a failed write may have left.
func (l *Log) truncatePartialWrite() error {
	if !l.partialWrite {
		return nil
	}
	if err := l.active.data.Truncate(l.active.size); err != nil {
		return err
	}
	l.partialWrite = false
	return nil
}

// sync syncs a segment. After a failed sync it is unknown which writes have reached the
// disk, so the log takes no more messages.
func (l *Log) sync(g *segmentFile) error {
	l.mu.Lock()
	size := g.size
	l.mu.Unlock()
	if err := g.data.Sync(); err != nil {
		return l.setFailure(err)
	}
	l.mu.Lock()
	g.synced = max(g.synced, size)
	l.mu.Unlock()
	return nil
}

// setFailure makes the log reject all further messages. It returns the first failure.
func (l *Log) setFailure(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		l.failure = fmt.Errorf("%w: %w", ErrSyncFailed, err)
		l.opts.Log.Error("backlog", "err", l.failure)
	}
	return l.failure
}

// Flush syncs the messages that were written since the last sync, with
// store.SyncInterval. With other modes it does nothing.
func (l *Log) Flush() error {
	l.mu.Lock()
	g := l.active
	needsSync := g != nil && g.synced < g.size && l.failure == nil
	l.mu.Unlock()
	if !needsSync || l.opts.Sync != store.SyncInterval {
		return nil
	}
	return l.sync(g)
}

// Remove removes a segment without spilled messages. Once it has returned without an
// error, the files stay removed after a crash.
func (l *Log) Remove(first uint64) error {
	l.mu.Lock()
	g := l.files[first]
	l.mu.Unlock()
	if g == nil {
		return nil
	}
	err := errors.Join(l.removeFile(fileName(first, dataSuffix)), l.removeFile(fileName(first, indexSuffix)))
	if err == nil && l.opts.Sync != store.SyncNever {
		err = l.fs.SyncDir()
	}
	if err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	g.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.files, first)
	l.usedBytes -= g.size + g.layout.size()
	return nil
}

func (l *Log) removeFile(name string) error {
	if err := l.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (g *segmentFile) close() error {
	var err error
	if g.index != nil {
		err = g.index.Close()
	}
	if g.data != nil {
		err = errors.Join(err, g.data.Close())
	}
	return err
}

// Close flushes the log, closes its files and releases its lock.
func (l *Log) Close() error {
	err := l.Flush()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	l.closed = true
	for _, g := range l.files {
		err = errors.Join(err, g.close())
	}
	return errors.Join(err, l.lock.Close())
}
