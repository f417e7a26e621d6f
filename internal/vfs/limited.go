package vfs

import (
	"sync"
	"syscall"
)

// Limited is a folder whose files take a limited number of bytes, counted in whole blocks, so that a real folder fills
// up as a small disk does. As with the operating system, a write that exceeds the limit writes what fits and fails with
// ENOSPC.
type Limited struct {
	FS
	mu    sync.Mutex
	limit int64
	sizes map[string]int64
}

// NewLimited limits a folder to so many bytes. Existing files count.
func NewLimited(under FS, limit int64) (*Limited, error) {
	l := &Limited{FS: under, limit: limit, sizes: map[string]int64{}}
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

// SetLimit changes the limit in bytes.
func (l *Limited) SetLimit(limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// UsedBytes returns the size of all files, in whole blocks.
func (l *Limited) UsedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedExcept("")
}

// diskBlock is the allocation unit of the disk in bytes.
const diskBlock = 512

// usedExcept returns the size of all files but one, in whole blocks.
func (l *Limited) usedExcept(except string) (sum int64) {
	for name, size := range l.sizes {
		if name != except {
			sum += (size + diskBlock - 1) / diskBlock * diskBlock
		}
	}
	return sum
}

// Open opens a file whose writes are limited.
func (l *Limited) Open(name string, create bool) (File, error) {
	f, err := l.FS.Open(name, create)
	if err != nil {
		return nil, err
	}
	return &limitedFile{f, l, name}, nil
}

// Remove removes a file; its space is free at once.
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

// limitedFile is a file whose writes are limited.
type limitedFile struct {
	File
	l    *Limited
	name string
}

func (f *limitedFile) WriteAt(b []byte, off int64) (int, error) {
	f.l.mu.Lock()
	defer f.l.mu.Unlock()
	maxSize := (f.l.limit - f.l.usedExcept(f.name)) / diskBlock * diskBlock // largest size that this file may grow to
	fits := int64(len(b))
	if off+fits > max(maxSize, f.l.sizes[f.name]) {
		fits = max(maxSize-off, 0)
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
