package node

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// Message is a message as a client handed it in.
type Message struct {
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"`   // idempotency key
	Order    string `json:"order,omitempty"` // order key
	Class    string `json:"class"`
	Tenant   string `json:"tenant,omitempty"`
	Dest     int64  `json:"dest"`
	Deadline int64  `json:"deadline"` // Unix time in microseconds
	Body     []byte `json:"body,omitempty"`
}

// Notice is the end of a message as the platform is told of it.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"` // failed or returned
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Entry is what the journal knows of a message that is not over, or whose end the
// platform has yet to confirm.
type Entry struct {
	Message
	Tries     int     `json:"tries,omitempty"`
	Open      bool    `json:"open,omitempty"`      // the last attempt has no outcome
	MayRun    bool    `json:"may_run,omitempty"`   // an earlier one may have run
	FirstMay  int64   `json:"first_may,omitempty"` // when the first that may have run was sent, Unix microseconds
	FirstZone int     `json:"zone,omitempty"`      // zone of its endpoint
	End       *Notice `json:"end,omitempty"`
	seq       int
	size      int
}

// op is the kind of a record.
type op byte

const (
	opAccept  op = iota + 1 // a message is taken on
	opSend                  // an attempt is about to be made
	opOutcome               // it has its outcome
	opDone                  // delivered, or over without our word
	opEnd                   // ended by us; the notice is owed
	opNoticed               // the notice is confirmed
)

// record is one line of the journal.
type record struct {
	Op     op      `json:"op"`
	ID     string  `json:"id,omitempty"`
	Entry  *Entry  `json:"entry,omitempty"`
	At     int64   `json:"at,omitempty"`
	Zone   int     `json:"zone,omitempty"`
	MayRun bool    `json:"may_run,omitempty"`
	Notice *Notice `json:"notice,omitempty"`
}

const (
	journalName = "journal"
	headerLen   = 8 // length and CRC-32 of what follows
	maxRecord   = 1 << 20
	// acceptPart is the part of a file that entries may fill before new messages are turned away: the rest is
	// room for what becomes of those already taken on.
	acceptPart = 0.6
	// mostFile bounds a file where the platform sets no tighter limit; files count as memory.
	mostFile = 16 << 20
)

// errFull says that the journal has no room for another message.
var errFull = errors.New("journal full")

// Journal keeps accepted messages in a file that outlives the process. Its
// records are appended; a file that grows too long is rewritten with what is
// still owed. It is not safe for concurrent use.
type Journal struct {
	dir     string
	file    *os.File
	size    int64
	limit   int64 // of one file; for the time of a rewrite there are two
	live    int64 // rough size of what a rewrite keeps
	seq     int
	entries map[string]*Entry
	dirty   bool // the file lacks something that entries has: rewrite before the next append
}

// OpenJournal replays the journal in dir, cuts a torn end off and makes it ready
// for appending. Together its files stay under diskBytes.
func OpenJournal(dir string, diskBytes int64) (*Journal, error) {
	j := &Journal{dir: dir, entries: map[string]*Entry{}, limit: min(diskBytes*45/100, mostFile)}
	if diskBytes <= 0 {
		j.limit = mostFile
	}
	if err := os.Remove(j.path(".new")); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	f, err := os.OpenFile(j.path(""), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if err := j.replay(f); err != nil {
		f.Close()
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.file = f
	return j, nil
}

func (j *Journal) path(suffix string) string { return filepath.Join(j.dir, journalName+suffix) }

// replay reads records up to the first that is not whole and cuts off the rest.
func (j *Journal) replay(f *os.File) error {
	r := bufio.NewReaderSize(f, 1<<16)
	for {
		var head [headerLen]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			break
		}
		n := binary.LittleEndian.Uint32(head[:4])
		if n == 0 || n > maxRecord {
			break
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil || crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(head[4:]) {
			break
		}
		var rec record
		if err := json.Unmarshal(body, &rec); err != nil {
			break
		}
		j.apply(rec)
		j.size += headerLen + int64(n)
	}
	if err := f.Truncate(j.size); err != nil {
		return err
	}
	_, err := f.Seek(j.size, io.SeekStart)
	return err
}

// apply brings the entries up to date with a record.
func (j *Journal) apply(rec record) {
	if rec.Op == opAccept {
		if rec.Entry == nil || j.entries[rec.Entry.ID] != nil {
			return
		}
		e := rec.Entry
		j.seq++
		e.seq, e.size = j.seq, len(e.Body)*4/3+512
		j.live += int64(e.size)
		j.entries[e.ID] = e
		return
	}
	e := j.entries[rec.ID]
	if e == nil {
		return
	}
	switch rec.Op {
	case opSend:
		e.Tries++
		e.Open = true
		if !e.MayRun {
			e.FirstMay, e.FirstZone = rec.At, rec.Zone
		}
	case opOutcome:
		e.Open = false
		e.MayRun = e.MayRun || rec.MayRun
	case opEnd:
		e.End = rec.Notice
		e.Body = nil
		j.live -= int64(e.size - 512)
		e.size = 512
	case opDone, opNoticed:
		j.live -= int64(e.size)
		delete(j.entries, rec.ID)
	}
}

// Room says whether the journal can take on a message with such a body.
func (j *Journal) Room(body int) bool {
	return float64(j.live)+float64(body)*4/3+512 <= acceptPart*float64(j.limit)
}

// Append writes records in one go, so that a process that dies leaves all of the
// earlier ones before any later one. On an error none of them is in the file:
// the caller must not act on a message taken on or a send. What only records the
// past counts all the same, and gets into the file with the next rewrite.
func (j *Journal) Append(recs []record) error {
	if len(recs) == 0 {
		return nil
	}
	err := j.write(recs)
	for _, rec := range recs {
		if err == nil || rec.Op != opAccept && rec.Op != opSend {
			j.apply(rec)
		}
	}
	if err != nil {
		j.dirty = true
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *Journal) write(recs []record) error {
	var b []byte
	for _, rec := range recs {
		var err error
		if b, err = frame(b, rec); err != nil {
			return err
		}
	}
	if j.dirty || j.size+int64(len(b)) > j.limit {
		if err := j.Compact(); err != nil {
			return err
		}
	}
	if j.size+int64(len(b)) > j.limit {
		return errFull
	}
	if n, err := j.file.WriteAt(b, j.size); err != nil {
		if n > 0 {
			// What was written in part must not stand before later records: they would be cut off with it.
			err = errors.Join(err, j.file.Truncate(j.size))
		}
		return err
	}
	j.size += int64(len(b))
	return nil
}

func frame(b []byte, rec record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return b, err
	}
	if len(body) > maxRecord {
		return b, fmt.Errorf("record of %d bytes", len(body))
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
	return append(b, body...), nil
}

// Compact rewrites the journal with what is still owed. The old file stands until
// the new one is whole.
func (j *Journal) Compact() error {
	var b []byte
	for _, e := range j.Entries() {
		var err error
		if b, err = frame(b, record{Op: opAccept, Entry: e}); err != nil {
			return err
		}
	}
	if int64(len(b)) > j.limit {
		return errFull
	}
	f, err := os.OpenFile(j.path(".new"), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(b, 0)
	if err == nil {
		err = os.Rename(j.path(".new"), j.path(""))
	}
	if err != nil {
		f.Close()
		return errors.Join(err, os.Remove(j.path(".new")))
	}
	j.file.Close()
	j.file, j.size, j.dirty = f, int64(len(b)), false
	return nil
}

// Entries lists what is owed, in the order in which it was taken on.
func (j *Journal) Entries() []*Entry {
	list := make([]*Entry, 0, len(j.entries))
	for _, e := range j.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return a.seq - b.seq })
	return list
}

// Entry returns what is known of a message; nil if nothing is owed for it.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Close closes the file.
func (j *Journal) Close() error { return j.file.Close() }
