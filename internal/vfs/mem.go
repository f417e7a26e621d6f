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

// ErrCrashed is returned by every call after a simulated crash of the machine.
var ErrCrashed = errors.New("crashed")

// block is the unit in bytes that a disk writes atomically.
const block = 512

// Loss selects which unsynced data a crash loses.
type Loss int

// The kinds of loss.
const (
	LoseNone     Loss = iota // the process died, the machine did not
	LoseUnsynced             // all data that was not synced
	LoseTail                 // the latest writes, from some byte on
	LoseBlocks               // any of the written blocks, in any order
	countLosses              // must be last
)

// Losses returns the kinds of loss.
func Losses() []Loss {
	out := make([]Loss, countLosses)
	for i := range out {
		out[i] = Loss(i)
	}
	return out
}

// Mem is a file system in memory that tracks what has been synced. It counts its calls, so that a test can make each of
// them crash or fail in turn.
type Mem struct {
	mu          sync.Mutex
	names       map[string]*inode // as the process sees them
	syncedNames map[string]*inode // as they are after a crash
	dirOps      []dirOp           // changes of names since the last SyncDir
	locked      map[string]bool
	limit       int64 // size of all files in whole blocks; 0 for no limit
	calls       int
	crashAt     int // number of the call that crashes; 0 for none
	failAt      int // number of the call that fails; 0 for none
	failure     error
	crashed     bool
}

// inode is the data of one file.
type inode struct {
	data       []byte
	durable    []byte  // contents that are certainly on the disk
	writes     []write // since the last sync, in order
	syncFailed bool    // data written before a failed sync never gets to the disk by itself
}

// write is one change of a file that was not synced.
type write struct {
	offset   int64
	data     []byte
	truncate bool // to the size offset
}

// dirOp is one change of names that was not synced.
type dirOp struct {
	from, to string // from is empty for a created file, to for a removed one
	node     *inode
}

// NewMem returns an empty file system.
func NewMem() *Mem {
	return &Mem{names: map[string]*inode{}, syncedNames: map[string]*inode{}, locked: map[string]bool{}}
}

// SetLimit limits the bytes of all files, counted in blocks of 512; 0 removes the limit.
func (m *Mem) SetLimit(bytes int64) { m.mu.Lock(); defer m.mu.Unlock(); m.limit = bytes }

// CrashAt makes the n-th call from now on crash, counted from 1. A write that crashes is made in part.
func (m *Mem) CrashAt(n int) { m.mu.Lock(); defer m.mu.Unlock(); m.crashAt = m.calls + n }

// FailAt makes the n-th call from now on fail with err.
func (m *Mem) FailAt(n int, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failAt, m.failure = m.calls+n, err
}

// Calls returns the number of calls so far.
func (m *Mem) Calls() int { m.mu.Lock(); defer m.mu.Unlock(); return m.calls }

// Crashed reports whether the machine has crashed.
func (m *Mem) Crashed() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.crashed }

// UsedBytes returns the size of all files in bytes, in whole blocks.
func (m *Mem) UsedBytes() int64 { m.mu.Lock(); defer m.mu.Unlock(); return m.usedBytes() }

// usedBytes is UsedBytes for callers that hold mu.
func (m *Mem) usedBytes() (sum int64) {
	for _, n := range m.names {
		sum += roundToBlocks(int64(len(n.data)))
	}
	return sum
}

// roundToBlocks rounds a size in bytes up to whole blocks.
func roundToBlocks(size int64) int64 { return (size + block - 1) / block * block }

// Data returns a copy of a file's contents; nil if it does not exist.
func (m *Mem) Data(name string) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := m.names[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// SetFile replaces the contents of a file and syncs them, for tests that cut files and flip bits.
func (m *Mem) SetFile(name string, data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := &inode{data: slices.Clone(data), durable: slices.Clone(data)}
	m.names[name], m.syncedNames[name] = n, n
}

// Restart crashes the machine and returns the file system as it is after the crash. The old one fails all further
// calls.
func (m *Mem) Restart(loss Loss, rng *rand.Rand) *Mem {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	names := maps.Clone(m.syncedNames)
	keep := len(m.dirOps)
	switch loss {
	case LoseUnsynced:
		keep = 0
	case LoseTail, LoseBlocks: // file systems journal names: what is lost is a tail
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
	copies := map[*inode]*inode{} // a file with two names stays one file
	for name, n := range names {
		if copies[n] == nil {
			data := n.afterCrash(loss, rng)
			copies[n] = &inode{data: data, durable: slices.Clone(data)}
		}
		out.names[name], out.syncedNames[name] = copies[n], copies[n]
	}
	return out
}

// apply makes the change in a set of names.
func (op dirOp) apply(names map[string]*inode) {
	if op.from != "" {
		delete(names, op.from)
	}
	if op.to != "" {
		names[op.to] = op.node
	}
}

// afterCrash returns the contents that a crash leaves of a file.
func (n *inode) afterCrash(loss Loss, rng *rand.Rand) []byte {
	if loss == LoseNone {
		return slices.Clone(n.data)
	}
	data := slices.Clone(n.durable)
	if loss == LoseUnsynced || n.syncFailed && rng.IntN(2) == 0 {
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
		case w.truncate:
			if loss != LoseBlocks || rng.IntN(2) == 0 {
				data = resize(data, w.offset)
			}
		case loss == LoseTail && i == last:
			data = writeBytes(data, w.offset, w.data[:rng.IntN(len(w.data)+1)])
		case loss == LoseBlocks:
			for from := 0; from < len(w.data); {
				to := min(len(w.data), int((w.offset+int64(from))/block*block+block-w.offset))
				if rng.IntN(2) == 0 {
					data = writeBytes(data, w.offset+int64(from), w.data[from:to])
				}
				from = to
			}
		default:
			data = writeBytes(data, w.offset, w.data)
		}
	}
	return data
}

// resize returns data cut or extended with zeros to a size.
func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

// writeBytes returns data with b written at an offset.
func writeBytes(data []byte, off int64, b []byte) []byte {
	if end := off + int64(len(b)); end > int64(len(data)) && len(b) > 0 {
		data = resize(data, end)
	}
	copy(data[min(off, int64(len(data))):], b)
	return data
}

// call counts a call; crashing reports that this is the one that crashes. The caller holds mu.
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
		m.changeNames(dirOp{to: name, node: n})
	}
	return &memFile{m: m, inode: n, name: name}, nil
}

// changeNames makes a change of names and records it as not synced.
func (m *Mem) changeNames(op dirOp) {
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
	m.changeNames(dirOp{from: name})
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
	m.changeNames(dirOp{from: from, to: to, node: n})
	return nil
}

// List returns the names of the files, sorted.
func (m *Mem) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.call(); err != nil {
		return nil, err
	}
	return slices.Sorted(maps.Keys(m.names)), nil
}

// SyncDir makes the names durable.
func (m *Mem) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.call(); err != nil {
		return err
	}
	m.syncedNames, m.dirOps = maps.Clone(m.names), nil
	return nil
}

// Lock takes a lock. A crash releases it.
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

// memLock is a lock of a Mem.
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
	inode  *inode
	name   string
	closed bool
}

// begin counts a call on an open file. The caller holds the lock of the Mem.
func (f *memFile) begin() (crashing bool, err error) {
	if f.closed {
		return false, fs.ErrClosed
	}
	return f.m.call()
}

func (f *memFile) ReadAt(b []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.begin(); err != nil {
		return 0, err
	}
	if off >= int64(len(f.inode.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.inode.data[off:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) WriteAt(b []byte, off int64) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	crashing, err := f.begin()
	switch {
	case crashing:
		b = b[:len(b)/2]
	case err != nil:
		return 0, err
	case f.m.limit > 0:
		others := f.m.usedBytes() - roundToBlocks(int64(len(f.inode.data)))
		if maxSize := max((f.m.limit-others)/block*block, int64(len(f.inode.data))); off+int64(len(b)) > maxSize {
			b, err = b[:max(maxSize-off, 0)], &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
		}
	}
	if len(b) > 0 {
		f.inode.data = writeBytes(f.inode.data, off, b)
		f.inode.writes = append(f.inode.writes, write{offset: off, data: slices.Clone(b)})
	}
	return len(b), err
}

func (f *memFile) Truncate(size int64) error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.begin(); err != nil {
		return err
	}
	f.inode.data = resize(f.inode.data, size)
	f.inode.writes = append(f.inode.writes, write{offset: size, truncate: true})
	return nil
}

// Sync makes the data durable. A failed Sync marks the written data as clean, as Linux does: a later Sync succeeds and
// does not report the loss.
func (f *memFile) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.begin(); err != nil {
		f.inode.syncFailed = f.inode.syncFailed || len(f.inode.writes) > 0
		return err
	}
	if !f.inode.syncFailed {
		f.inode.durable, f.inode.writes = slices.Clone(f.inode.data), nil
	}
	return nil
}

func (f *memFile) Size() (int64, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if _, err := f.begin(); err != nil {
		return 0, err
	}
	return int64(len(f.inode.data)), nil
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
