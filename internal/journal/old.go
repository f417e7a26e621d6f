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

// The file of before 0.3: records of JSON, each behind its length and CRC-32.
const (
	oldName   = "journal"
	oldNew    = "journal.new" // one that was being rewritten
	oldHeader = 8
	oldMost   = 1 << 20
)

// takeOver reads a file that an older version has left into the store, and removes
// it once the store has it all. Killed in between, it begins again: until the file
// is gone nothing else is written.
func (j *Journal) takeOver(dir vfs.FS) error {
	b, err := readOld(dir)
	if err != nil || b == nil {
		return err
	}
	// What an earlier start has taken over so far is read again from the file.
	for id := range j.entries {
		j.mark(id, markMessage|markState)
	}
	for id := range j.ended.byID {
		j.mark(id, markState)
	}
	for name := range j.waits {
		j.dirtyWaits[name] = true
	}
	clear(j.entries)
	clear(j.waits)
	j.ended = newEnded(j.ended.most, j.ended.room, j.ended.drop)
	n, read := 0, 0
	for ; len(b)-read >= oldHeader; n++ {
		size := int64(binary.LittleEndian.Uint32(b[read:]))
		if size == 0 || size > oldMost || size > int64(len(b)-read-oldHeader) {
			break
		}
		text := b[read+oldHeader : read+oldHeader+int(size)]
		var rec Record
		if crc32.ChecksumIEEE(text) != binary.LittleEndian.Uint32(b[read+4:]) || json.Unmarshal(text, &rec) != nil {
			break
		}
		j.apply(&rec)
		read += oldHeader + int(size)
	}
	j.doubtWindows() // its times are those of a wall clock
	j.dropWaits(j.clock.Now())
	if err := j.flush(); err != nil {
		return fmt.Errorf("taking over the file %s: %w", oldName, err)
	}
	if err := j.store.Flush(); err != nil {
		return err
	}
	for _, e := range j.entries {
		j.leave(e)
	}
	j.log.Info("journal: the file of an older version has been taken over", "records", n, "held", len(j.entries), "cut", len(b)-read)
	for _, name := range []string{oldNew, oldName} {
		if err := dir.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return dir.SyncDir()
}

func readOld(dir vfs.FS) ([]byte, error) {
	f, err := dir.Open(oldName, false)
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
