package vfs

import (
	"sync"
	"syscall"
)

// Limited is a folder whose files take so many bytes at most, in whole blocks: a
// real folder then fills up as a small disk does. A write without room for all of
// it writes what fits, as the system's does, and fails with ENOSPC.
type Limited struct {
	FS
	mu    sync.Mutex
	room  int64
	sizes map[string]int64
}

// Limit bounds a folder. Files that are there count.
func Limit(under FS, room int64) (*Limited, error) {
	l := &Limited{FS: under, room: room, sizes: map[string]int64{}}
	names, err := under.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		f, err := under.Open(name, false)
		if err != nil {
			return nil, err
		}
		if l.sizes[name], err = f.Size(); err != nil {
			return nil, err
		}
		if err := f.Close(); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// SetRoom changes the bound.
func (l *Limited) SetRoom(room int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room = room
}

// Used is what the files take.
func (l *Limited) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used("")
}

const diskBlock = 512

// used is what files other than one take.
func (l *Limited) used(but string) (sum int64) {
	for name, size := range l.sizes {
		if name != but {
			sum += (size + diskBlock - 1) / diskBlock * diskBlock
		}
	}
	return sum
}

// Open opens a file.
func (l *Limited) Open(name string, create bool) (File, error) {
	f, err := l.FS.Open(name, create)
	if err != nil {
		return nil, err
	}
	return &limitedFile{f, l, name}, nil
}

// Remove removes a file; its room is free at once.
func (l *Limited) Remove(name string) error {
	err := l.FS.Remove(name)
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.sizes, name)
	}
	return err
}

// Rename renames a file.
func (l *Limited) Rename(from, to string) error {
	err := l.FS.Rename(from, to)
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sizes[to] = l.sizes[from]
		delete(l.sizes, from)
	}
	return err
}

type limitedFile struct {
	File
	l    *Limited
	name string
}

func (f *limitedFile) WriteAt(b []byte, off int64) (int, error) {
	f.l.mu.Lock()
	defer f.l.mu.Unlock()
	most := (f.l.room - f.l.used(f.name)) / diskBlock * diskBlock // that this file may grow to
	fits := int64(len(b))
	if off+fits > max(most, f.l.sizes[f.name]) {
		fits = max(most-off, 0)
	}
	n, err := f.File.WriteAt(b[:fits], off)
	if n > 0 {
		f.l.sizes[f.name] = max(f.l.sizes[f.name], off+int64(n))
	}
	if err == nil && n < len(b) {
		err = syscall.ENOSPC
	}
	return n, err
}

func (f *limitedFile) Truncate(size int64) error {
	err := f.File.Truncate(size)
	if err == nil {
		f.l.mu.Lock()
		defer f.l.mu.Unlock()
		f.l.sizes[f.name] = size
	}
	return err
}
