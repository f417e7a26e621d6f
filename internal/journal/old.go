package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"

	"cometrack/internal/vfs"
)

// The legacy file of versions before 0.3 consists of JSON records, each preceded by its length and CRC-32, both 4 bytes
// and little-endian.
const (
	legacyName       = "journal"
	legacyTempName   = "journal.new" // an unfinished rewrite of it
	legacyHeaderSize = 8             // bytes of length and checksum before a record
	legacyMaxRecord  = 1 << 20       // maximum length of a record in bytes
)

// importLegacyFile imports the file of an older version into the store, and removes it once the
// store has all of it. If the process dies before that, the next start imports it again: nothing
// else is written until the file is removed.
func (j *Journal) importLegacyFile(dir vfs.FS) error {
	b, err := readLegacyFile(dir)
	if err != nil || b == nil {
		return err
	}
	// The store may have part of the file from an earlier start: drop it and read the whole file again.
	for id := range j.entries {
		j.markDirty(id, messageDirty|stateDirty)
	}
	for id := range j.ended.byID {
		j.markDirty(id, stateDirty)
	}
	for name := range j.waits {
		j.dirtyWaits[name] = true
	}
	clear(j.entries)
	clear(j.waits)
	j.ended = newEnded(j.ended.maxCount, j.ended.maxBytes, j.ended.onUnsave)
	n, read := 0, 0
	for ; len(b)-read >= legacyHeaderSize; n++ {
		size := int64(binary.LittleEndian.Uint32(b[read:]))
		if size == 0 || size > legacyMaxRecord || size > int64(len(b)-read-legacyHeaderSize) {
			break
		}
		text := b[read+legacyHeaderSize : read+legacyHeaderSize+int(size)]
		var rec Record
		if crc32.ChecksumIEEE(text) != binary.LittleEndian.Uint32(b[read+4:]) || json.Unmarshal(text, &rec) != nil {
			break
		}
		j.apply(&rec)
		read += legacyHeaderSize + int(size)
	}
	j.expireKeyWindows() // its times are of a wall clock that may have been set since
	j.expireWaits(j.clock.Now())
	if err := j.flush(); err != nil {
		return fmt.Errorf("import the file %s: %w", legacyName, err)
	}
	if err := j.store.Flush(); err != nil {
		return err
	}
	for _, e := range j.entries {
		j.dropLargeBody(e)
	}
	j.log.Info("journal: imported the file of an older version", "records", n, "held", len(j.entries), "cut", len(b)-read)
	for _, name := range []string{legacyTempName, legacyName} {
		if err := dir.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return dir.SyncDir()
}

// readLegacyFile returns the content of the legacy file; nil if there is none.
func readLegacyFile(dir vfs.FS) ([]byte, error) {
	f, err := dir.Open(legacyName, false)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); int64(n) < size {
		return nil, err
	}
	return b, nil
}
