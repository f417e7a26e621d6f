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

// Options bound a log.
type Options struct {
	MaxBytes      int64 // bytes of all files; 0 for no limit
	SegmentBytes  int64 // bytes of a segment at most, but for its last batch; 0 for a default
	Sync          store.SyncPolicy
	FlushInterval time.Duration // store.SyncInterval: how often [Log.Flush] is called; for the books only
	Log           *slog.Logger  // nil for none
}

const (
	minSegment = 1 << 20
	maxSegment = 32 << 20
	segments   = 64 // of the limit
	// mostEntries bounds what a segment without an index block takes in memory.
	mostEntries = 64 << 10
	// SegmentAlignment is what the first number of a segment is a multiple of.
	SegmentAlignment = 1024
	lockName         = "lock"
)

// Errors of a log. They come wrapped.
var (
	ErrFull       = errors.New("the room behind the window is full")
	ErrSyncFailed = errors.New("nothing goes behind the window since a sync failed")
	ErrNewer      = errors.New("the backlog is of a later format")
	ErrClosed     = errors.New("the backlog is closed")
	// ErrDamaged says that a message can't be read back.
	ErrDamaged = errors.New("damaged record")
)

// Log is the files. Append belongs to one goroutine, all else but Stats to another one,
// which may be the same.
type Log struct {
	fs   vfs.FS
	opts Options
	lock io.Closer

	mu      sync.Mutex // of the map and the figures
	files   map[uint64]*file
	used    int64
	failure error
	closed  bool
	active  *file // that is written; nil if there is none

	// Of the one that appends:
	next uint64
	torn bool
	buf  bytes.Buffer
}

// file is a segment.
type file struct {
	first uint64
	salt  uint64
	data  vfs.File
	size  int64
	safe  int64 // bytes that are sure to be on the disk
	n     uint32
	lost  bool // its header is damaged: nothing can be read from it

	index  vfs.File // nil until it has an index block
	layout layout
	lanes  []backlog.QueueID // by their number in the index block
}

// Stats tells how a log stands.
type Stats struct {
	Segments  int
	UsedBytes int64 // bytes of all files
	Failed    bool
}

// Open opens the log in a folder that it has for itself. What an earlier process has
// left is told by [Log.Restore], which is to be called next. Numbers of new messages
// begin above least.
func Open(dir vfs.FS, least uint64, opts Options) (*Log, error) {
	if opts.SegmentBytes <= 0 {
		opts.SegmentBytes = segmentSize(opts.MaxBytes)
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	lock, err := dir.Lock(lockName)
	if err != nil {
		return nil, fmt.Errorf("backlog: %w", err)
	}
	return &Log{fs: dir, opts: opts, lock: lock, files: map[uint64]*file{}, next: least + 1}, nil
}

func segmentSize(limit int64) int64 {
	if limit <= 0 {
		return maxSegment
	}
	return min(max(limit/segments, minSegment), maxSegment)
}

// MaxOpenFiles is about how many files a log of that limit has open at once.
func MaxOpenFiles(limit int64) int { return 2*int(limit/segmentSize(limit)) + 4 }

// Stats tells how the log stands.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Segments: len(l.files), UsedBytes: l.used, Failed: l.failure != nil}
}

// HasRoom says whether messages of so many bytes, bodies and heads, are taken.
func (l *Log) HasRoom(more int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	// An index block is smaller than its segment; one may be owed.
	return l.failure == nil && !l.closed && (l.opts.MaxBytes <= 0 || l.used+more+l.opts.SegmentBytes <= l.opts.MaxBytes)
}

// StartsSegment says whether the next Append begins a segment, and gives its first number.
func (l *Log) StartsSegment() (first uint64, yes bool) {
	if a := l.active; a != nil && a.size < l.opts.SegmentBytes && a.n < mostEntries {
		return 0, false
	}
	return (l.next + SegmentAlignment - 1) / SegmentAlignment * SegmentAlignment, true
}

// Append writes messages, as safe as the setting says once it returns, and gives each
// its number and its place. The caller asks Begins first, and after the first message
// of a segment the one before is closed. On an error none of them counts.
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
	if err := l.mend(); err != nil {
		return nil, fmt.Errorf("backlog: %w", err)
	}
	g := l.active
	first, begins := l.StartsSegment()
	if begins {
		if g, err = l.begin(first); err != nil {
			return nil, fmt.Errorf("backlog: %w", err)
		}
	}
	l.mu.Lock()
	safe := l.opts.Sync == store.SyncNever || g.safe == g.size
	l.mu.Unlock()
	l.buf.Reset()
	base := g.size
	if begins {
		l.buf.Write(header(first, g.salt))
		l.next = first
	}
	entries := make([]backlog.Entry, len(list))
	next := l.next
	for i, r := range list {
		r.Seq = next
		next++
		off := base + int64(l.buf.Len())
		head := appendRecord(&l.buf, g.salt, off, r, i == 0 && safe)
		entries[i] = backlog.Entry{Seq: r.Seq, Deadline: r.Deadline, Terms: r.Terms, Offset: uint32(off), HeadSize: uint32(head),
			Size: uint32(head + len(r.Body))}
	}
	if err := l.write(g, begins); err != nil {
		if begins {
			g.data.Close()
		}
		return nil, fmt.Errorf("backlog: %w", err)
	}
	l.next = next
	g.n += uint32(len(list))
	if begins {
		l.mu.Lock()
		l.files[first], l.active = g, g
		l.mu.Unlock()
	}
	return entries, nil
}

// begin makes the file of a new segment.
func (l *Log) begin(first uint64) (*file, error) {
	if a := l.active; a != nil && l.opts.Sync == store.SyncInterval { // nobody else syncs it later
		if err := l.sync(a); err != nil {
			return nil, err
		}
	}
	f, err := l.fs.Open(name(first, dataSuffix), true)
	if err != nil {
		return nil, err
	}
	return &file{first: first, salt: rand.Uint64(), data: f}, nil
}

// write writes the buffer behind a segment and makes it as safe as the setting says.
func (l *Log) write(g *file, begins bool) error {
	b := l.buf.Bytes()
	_, err := g.data.WriteAt(b, g.size)
	if err != nil {
		return l.undo(g, begins, err)
	}
	l.mu.Lock()
	g.size += int64(len(b))
	l.used += int64(len(b))
	l.mu.Unlock()
	switch l.opts.Sync {
	case store.SyncAlways:
		if err = l.sync(g); err == nil && begins {
			if err = l.fs.SyncDir(); err != nil {
				l.fail(err)
			}
		}
	case store.SyncInterval:
		if begins {
			if err = l.fs.SyncDir(); err != nil {
				l.fail(err)
			}
		}
	}
	return err
}

// undo takes back what a write that failed has left.
func (l *Log) undo(g *file, begins bool, cause error) error {
	if begins {
		if err := l.remove(name(g.first, dataSuffix)); err != nil {
			l.fail(err) // what is in it must not be found by the next start
		}
		return cause
	}
	l.torn = true
	if err := l.mend(); err != nil {
		l.opts.Log.Warn("backlog: a write that failed is not cut off yet", "err", err)
	}
	return cause
}

// mend cuts off what a write that failed has left.
func (l *Log) mend() error {
	if !l.torn {
		return nil
	}
	if err := l.active.data.Truncate(l.active.size); err != nil {
		return err
	}
	l.torn = false
	return nil
}

// sync makes a segment safe. After a sync that failed nothing is known of what was
// written, so nothing is taken any more.
func (l *Log) sync(g *file) error {
	l.mu.Lock()
	size := g.size
	l.mu.Unlock()
	if err := g.data.Sync(); err != nil {
		return l.fail(err)
	}
	l.mu.Lock()
	g.safe = max(g.safe, size)
	l.mu.Unlock()
	return nil
}

func (l *Log) fail(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == nil {
		l.failure = fmt.Errorf("%w: %w", ErrSyncFailed, err)
		l.opts.Log.Error("backlog", "err", l.failure)
	}
	return l.failure
}

// Flush syncs what was written, for store.SyncInterval.
func (l *Log) Flush() error {
	l.mu.Lock()
	g := l.active
	owed := g != nil && g.safe < g.size && l.failure == nil
	l.mu.Unlock()
	if !owed || l.opts.Sync != store.SyncInterval {
		return nil
	}
	return l.sync(g)
}

// Remove takes away a segment of which nothing is behind the window any more. Once it
// returns without an error its files do not come back.
func (l *Log) Remove(first uint64) error {
	l.mu.Lock()
	g := l.files[first]
	l.mu.Unlock()
	if g == nil {
		return nil
	}
	err := errors.Join(l.remove(name(first, dataSuffix)), l.remove(name(first, indexSuffix)))
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
	l.used -= g.size + g.layout.size()
	return nil
}

func (l *Log) remove(name string) error {
	if err := l.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

func (g *file) close() error {
	var err error
	if g.index != nil {
		err = g.index.Close()
	}
	if g.data != nil {
		err = errors.Join(err, g.data.Close())
	}
	return err
}

// Close syncs what is owed a sync and closes the files.
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
