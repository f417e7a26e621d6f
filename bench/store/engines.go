package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"go.etcd.io/bbolt"

	"cometrack/internal/store"
	cvfs "cometrack/internal/vfs"
)

// engine is a store under measurement. Its methods may be called by several goroutines
// at once. Each call returns once its change is durable, if the engine was opened with
// sync, and else once it is applied.
type engine interface {
	put(key, value []byte) error
	del(key []byte) error
	// load puts n records without a sync for each.
	load(n int, key func(i int) []byte, value []byte) error
	close() error
}

// engines are the functions that open a store in a folder, by the name of the engine.
var engines = map[string]func(dir string, sync bool) (engine, error){
	"cometrack": openCometrack, "bbolt": openBolt, "pebble": openPebble}

// engineOrder is the order of the columns.
var engineOrder = []string{"cometrack", "bbolt", "pebble"}

// cometrackEngine is the store of this program.
type cometrackEngine struct{ s *store.Store }

func openCometrack(dir string, sync bool) (engine, error) {
	fs, err := cvfs.OpenDir(dir)
	if err != nil {
		return nil, err
	}
	opts := store.Options{Sync: store.SyncNever}
	if sync {
		opts.Sync = store.SyncAlways
	}
	s, err := store.Open(fs, opts)
	if err != nil {
		return nil, err
	}
	return &cometrackEngine{s}, nil
}

func (e *cometrackEngine) put(key, value []byte) error {
	var b store.Batch
	b.Put(string(key), value)
	return e.s.Commit(&b)
}

func (e *cometrackEngine) del(key []byte) error {
	var b store.Batch
	b.Delete(string(key))
	return e.s.Commit(&b)
}

func (e *cometrackEngine) load(n int, key func(i int) []byte, value []byte) error {
	var b store.Batch
	for i := range n {
		b.Put(string(key(i)), value)
		if b.Len() == 1000 || i == n-1 {
			if err := e.s.Commit(&b); err != nil {
				return err
			}
			b.Reset()
		}
	}
	return nil
}

func (e *cometrackEngine) close() error { return e.s.Close() }

// bucket is the bucket of bbolt that holds all records.
var bucket = []byte("b")

// boltEngine is bbolt.
type boltEngine struct {
	db           *bbolt.DB
	singleWriter bool // use Update rather than Batch, which would only wait for other writers
}

func openBolt(dir string, sync bool) (engine, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600,
		&bbolt.Options{NoSync: !sync, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, err
	}
	db.MaxBatchDelay = 1e6 // 1 ms rather than the default of 10 ms, by which its group commit would only wait
	err = db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucketIfNotExists(bucket); return err })
	return &boltEngine{db: db}, err
}

// update runs f in a transaction, with several writers as part of a batch.
func (e *boltEngine) update(f func(tx *bbolt.Tx) error) error {
	if e.singleWriter {
		return e.db.Update(f)
	}
	return e.db.Batch(f)
}

func (e *boltEngine) put(key, value []byte) error {
	return e.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) })
}

func (e *boltEngine) del(key []byte) error {
	return e.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Delete(key) })
}

func (e *boltEngine) load(n int, key func(i int) []byte, value []byte) error {
	for from := 0; from < n; from += 10_000 {
		err := e.db.Update(func(tx *bbolt.Tx) error {
			for i := from; i < min(from+10_000, n); i++ {
				if err := tx.Bucket(bucket).Put(key(i), value); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (e *boltEngine) close() error { return e.db.Close() }

// pebbleEngine is Pebble.
type pebbleEngine struct {
	db           *pebble.DB
	writeOptions *pebble.WriteOptions
}

// discardLogger drops the log of Pebble, and exits after a fatal error.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(1)
}

func openPebble(dir string, sync bool) (engine, error) {
	db, err := pebble.Open(dir, &pebble.Options{FS: vfs.Default, Logger: discardLogger{},
		FormatMajorVersion: pebble.FormatNewest})
	if err != nil {
		return nil, err
	}
	w := pebble.NoSync
	if sync {
		w = pebble.Sync
	}
	return &pebbleEngine{db, w}, nil
}

func (e *pebbleEngine) put(key, value []byte) error { return e.db.Set(key, value, e.writeOptions) }
func (e *pebbleEngine) del(key []byte) error        { return e.db.Delete(key, e.writeOptions) }

func (e *pebbleEngine) load(n int, key func(i int) []byte, value []byte) error {
	for i := range n {
		if err := e.db.Set(key(i), value, pebble.NoSync); err != nil {
			return err
		}
	}
	return e.db.Flush()
}

func (e *pebbleEngine) close() error { return e.db.Close() }
