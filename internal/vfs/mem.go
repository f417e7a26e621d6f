package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
)

// ErrCrashed is what every call returns once the machine has crashed.
var ErrCrashed = errors.New("crashed")

// block is what a disk writes in one piece.
const block = 512

// Loss is what a crash does to data that was not synced.
type Loss int

// The kinds of loss.
const (
	LoseNone    Loss = iota // the process died, the machine did not
	LoseAll                 // nothing that was not synced is left
	LoseTail                // what was written last, from some byte on, is lost
	LoseSome                // any of the blocks that were written are lost, in any order
	countLosses             // must be last
)

// Losses lists the kinds of loss.
func Losses() []Loss {
	out := make([]Loss, countLosses)
	for i := range out {
		out[i] = Loss(i)
	}
	return out
}

// Mem is a file system in memory that remembers what has been synced. Its calls
// are counted, so that a test can crash or fail each in turn.
type Mem struct {
	mu      sync.Mutex
	names   map[string]*inode // as the process sees them
	synced  map[string]*inode // as a crash leaves them
	dirOps  []dirOp           // names that changed since the last SyncDir
	locked  map[string]bool
	limit   int64 // bytes over all files, in whole blocks; 0 for no limit
	calls   int
	crashAt int // number of the call that crashes; 0 for none
	failAt  int // number of the call that fails; 0 for none
	failure error
	crashed bool
}

// inode is one file's data.
type inode struct {
	data   []byte
	disk   []byte  // what is sure to be on the disk
	writes []write // since the last sync, in order
	lost   bool    // a sync has failed: what was written before it never gets to the disk by itself
}

// write is one change of a file that was not synced.
type write struct {
	at    int64
	data  []byte
	trunc bool // to the size at
}

// dirOp is one change of names that was not synced.
type dirOp struct {
	from, to string // from empty: made; to empty: removed
	node     *inode
}

// NewMem makes an empty one.
func NewMem() *Mem {
	return &Mem{names: map[string]*inode{}, synced: map[string]*inode{}, locked: map[string]bool{}}
}

// Limit bounds the bytes that all files may take, counted in blocks of 512.
func (m *Mem) Limit(bytes int64) { m.mu.Lock(); defer m.mu.Unlock(); m.limit = bytes }

// CrashAt has the n-th call from now on crash, the first being 1. A write that
// crashes has been made in part.
func (m *Mem) CrashAt(n int) { m.mu.Lock(); defer m.mu.Unlock(); m.crashAt = m.calls + n }

// FailAt has the n-th call from now on fail with err.
func (m *Mem) FailAt(n int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failAt, m.failure = m.calls+n, err
}

// Calls counts the calls so far.
func (m *Mem) Calls() int { m.mu.Lock(); defer m.mu.Unlock(); return m.calls }

// Crashed says whether the machine has crashed.
func (m *Mem) Crashed() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.crashed }

// Used is the number of bytes that all files take, in whole blocks.
func (m *Mem) Used() int64 { m.mu.Lock(); defer m.mu.Unlock(); return m.used() }

func (m *Mem) used() (sum int64) {
	for _, n := range m.names {
		sum += blocks(int64(len(n.data)))
	}
	return sum
}

func blocks(size int64) int64 { return (size + block - 1) / block * block }

// Data returns a copy of a file, and Set puts one in its place, synced: for tests
// that cut and flip.
func (m *Mem) Data(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.names[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// Set puts a file in place, synced.
func (m *Mem) Set(name string, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &inode{data: slices.Clone(data), disk: slices.Clone(data)}
	m.names[name], m.synced[name] = n, n
}

// Restart returns what a crash leaves, as a machine that has come up again. The
// old one is of no more use to anybody.
func (m *Mem) Restart(loss Loss, rng *rand.Rand) *Mem {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	names := maps.Clone(m.synced)
	keep := len(m.dirOps)
	switch loss {
	case LoseAll:
		keep = 0
	case LoseTail, LoseSome: // names are journalled by file systems: what is lost is a tail
		keep = rng.IntN(len(m.dirOps) + 1)
	}
	for _, op := range m.dirOps[:keep] {
		op.apply(names)
	}
	if loss == LoseNone {
		names = m.names
	}
	out := NewMem()
	out.limit = m.limit
	left := map[*inode]*inode{} // one file under two names stays one
	for name, n := range names {
		if left[n] == nil {
			data := n.after(loss, rng)
			left[n] = &inode{data: data, disk: slices.Clone(data)}
		}
		out.names[name], out.synced[name] = left[n], left[n]
	}
	return out
}

func (op dirOp) apply(names map[string]*inode) {
	if op.from != "" {
		delete(names, op.from)
	}
	if op.to != "" {
		names[op.to] = op.node
	}
}

// after is what a crash leaves of a file.
func (n *inode) after(loss Loss, rng *rand.Rand) []byte {
	if loss == LoseNone {
		return slices.Clone(n.data)
	}
	data := slices.Clone(n.disk)
	if loss == LoseAll || n.lost && rng.IntN(2) == 0 {
		return data
	}
	last := len(n.writes)
	if loss == LoseTail {
		last = rng.IntN(len(n.writes) + 1)
	}
	for i, w := range n.writes {
		switch {
		case loss == LoseTail && i > last:
			return data
		case w.trunc:
			if loss != LoseSome || rng.IntN(2) == 0 {
				data = resize(data, w.at)
			}
		case loss == LoseTail && i == last:
			data = put(data, w.at, w.data[:rng.IntN(len(w.data)+1)])
		case loss == LoseSome:
			for from := 0; from < len(w.data); {
				to := min(len(w.data), int((w.at+int64(from))/block*block+block-w.at))
				if rng.IntN(2) == 0 {
					data = put(data, w.at+int64(from), w.data[from:to])
				}
				from = to
			}
		default:
			data = put(data, w.at, w.data)
		}
	}
	return data
}

func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

func put(data []byte, at int64, b []byte) []byte {
	if end := at + int64(len(b)); end > int64(len(data)) && len(b) > 0 {
		data = resize(data, end)
	}
	copy(data[min(at, int64(len(data))):], b)
	return data
}

// call counts a call; crashing says that it is the one that crashes. It is called
// under the lock.
func (m *Mem) call() (crashing bool, err error) {
	if m.crashed {
		return false, ErrCrashed
	}
	m.calls++
	switch m.calls {
	case m.crashAt:
		m.crashed = true
		return true, ErrCrashed
	case m.failAt:
		return false, m.failure
	}
	return false, nil
}

// Open opens a file.
func (m *Mem) Open(name string, create bool) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.call(); err != nil {
		return nil, err
	}
	n := m.names[name]
	if n == nil {
		if !create {
			return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
		}
		n = &inode{}
		m.change(dirOp{to: name, node: n})
	}
	return &memFile{m: m, n: n, name: name}, nil
}

func (m *Mem) change(op dirOp) {
	op.apply(m.names)
	m.dirOps = append(m.dirOps, op)
}

// Remove removes a file.
func (m *Mem) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.call(); err != nil {
		return err
	}
	if m.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	m.change(dirOp{from: name})
	return nil
}

// Rename renames a file.
func (m *Mem) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.call(); err != nil {
		return err
	}
	n := m.names[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	m.change(dirOp{from: from, to: to, node: n})
	return nil
}

// List names the files.
func (m *Mem) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.call(); err != nil {
		return nil, err
	}
	return slices.Sorted(maps.Keys(m.names)), nil
}

// SyncDir makes the names last.
func (m *Mem) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.call(); err != nil {
		return err
	}
	m.synced, m.dirOps = maps.Clone(m.names), nil
	return nil
}

// Lock takes a lock; a crash gives it back.
func (m *Mem) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.call(); err != nil {
		return nil, err
	}
	if m.locked[name] {
		return nil, fmt.Errorf("%s: %w", name, ErrLocked)
	}
	m.locked[name] = true
	return memLock{m, name}, nil
}

type memLock struct {
	m    *Mem
	name string
}

func (l memLock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	delete(l.m.locked, l.name)
	return nil
}

// memFile is an open file of a Mem.
type memFile struct {
	m      *Mem
	n      *inode
	name   string
	closed bool
}

// begin counts a call on an open file. It is called under the lock.
func (f *memFile) begin() (crashing bool, err error) {
	if f.closed {
		return false, fs.ErrClosed
	}
	return f.m.call()
}

func (f *memFile) ReadAt(b []byte, at int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.begin(); err != nil {
		return 0, err
	}
	if at >= int64(len(f.n.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.n.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) WriteAt(b []byte, at int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	crashing, err := f.begin()
	switch {
	case crashing:
		b = b[:len(b)/2]
	case err != nil:
		return 0, err
	case f.m.limit > 0:
		others := f.m.used() - blocks(int64(len(f.n.data)))
		if room := max((f.m.limit-others)/block*block, int64(len(f.n.data))); at+int64(len(b)) > room {
			b, err = b[:max(room-at, 0)], &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
		}
	}
	if len(b) > 0 {
		f.n.data = put(f.n.data, at, b)
		f.n.writes = append(f.n.writes, write{at: at, data: slices.Clone(b)})
	}
	return len(b), err
}

func (f *memFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.begin(); err != nil {
		return err
	}
	f.n.data = resize(f.n.data, size)
	f.n.writes = append(f.n.writes, write{at: size, trunc: true})
	return nil
}

// Sync makes the data last. One that fails marks what was written as clean all the
// same, as Linux does: a later Sync succeeds and says nothing of it.
func (f *memFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.begin(); err != nil {
		f.n.lost = f.n.lost || len(f.n.writes) > 0
		return err
	}
	if !f.n.lost {
		f.n.disk, f.n.writes = slices.Clone(f.n.data), nil
	}
	return nil
}

func (f *memFile) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.begin(); err != nil {
		return 0, err
	}
	return int64(len(f.n.data)), nil
}

func (f *memFile) Close() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.closed {
		return fs.ErrClosed
	}
	f.closed = true
	return nil
}
