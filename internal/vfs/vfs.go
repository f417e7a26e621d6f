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

// FS is one folder with files and no folders in it. Names hold no separator.
type FS interface {
	// Open opens a file, and with create makes one that is not there.
	Open(name string, create bool) (File, error)
	Remove(name string) error
	// Rename puts a file in the place of another, or under a new name, in one step.
	Rename(from, to string) error
	// List names the files, in order.
	List() ([]string, error)
	// SyncDir makes names that were made, renamed or removed last.
	SyncDir() error
	// Lock keeps other processes out until the lock is closed. An error that is
	// [ErrLocked] says that another one has it.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	// Sync makes what was written last. After an error nothing is known of what was
	// written since the last good one, and a later Sync says nothing of it either.
	Sync() error
}

// ErrLocked says that another process has the lock.
var ErrLocked = errors.New("locked by another process")

// Dir is a folder of the real file system.
type Dir string

// OpenDir makes the folder if need be.
func OpenDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return "", err
	}
	return Dir(path), nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Open opens a file for reading and writing.
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

// Rename renames a file.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// List names the files.
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

// Lock takes an exclusive lock on a file, which goes with the process.
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

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
