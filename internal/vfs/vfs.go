package vfs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// FS is one folder with files and no subfolders. Names contain no separator.
type FS interface {
	// Open opens a file, and with create makes one that does not exist.
	Open(name string, create bool) (File, error)
	// Remove removes a file.
	Remove(name string) error
	// Rename renames a file atomically; a file with the new name is replaced.
	Rename(from, to string) error
	// List returns the names of the files, sorted.
	List() ([]string, error)
	// SyncDir makes creations, removals and renames of files durable.
	SyncDir() error
	// Lock takes an exclusive lock until the lock is closed. The error is [ErrLocked] if another process has it.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Size returns the size in bytes.
	Size() (int64, error)
	// Truncate sets the size in bytes.
	Truncate(size int64) error
	// Sync makes the written data durable. After an error all data written since the last successful Sync may be
	// lost, and a later Sync does not report it again.
	Sync() error
}

// ErrLocked reports that another process has the lock.
var ErrLocked = errors.New("locked by another process")

// Dir is the path of a folder of the real file system.
type Dir string

// OpenDir returns the folder at a path, and creates it and its parents if necessary.
func OpenDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", err
	}
	return Dir(path), nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Open opens a file for reading and writing. It is an error if name is not a regular file.
func (d Dir) Open(name string, create bool) (File, error) {
	flag := os.O_RDWR
	if create {
		flag |= os.O_CREATE
	}
	f, err := os.OpenFile(d.path(name), flag, 0o600)
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err == nil && !info.Mode().IsRegular() {
		err = fmt.Errorf("%s is no regular file", d.path(name))
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return osFile{f}, nil
}

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Rename renames a file atomically.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// List returns the names of the files, sorted.
func (d Dir) List() ([]string, error) {
	list, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range list {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir syncs the folder.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock takes an exclusive lock on a file. The lock ends with the process.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("%s: %w", d.path(name), err)
	}
	return f, nil
}

// osFile is a file of the operating system.
type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
