package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"testing"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/vfs"
)

var testOptions = Options{MaxBytes: 3e6, MaxEnded: 100, EndRetention: time.Hour}

func openJournal(t testing.TB, fs vfs.FS, opts Options) *Journal {
	t.Helper()
	j, err := OpenOn(fs, opts)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// reopen closes the journal and opens it again with its options.
func reopen(t testing.TB, j *Journal, fs vfs.FS) *Journal {
	t.Helper()
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return openJournal(t, fs, j.opts)
}

// accept returns the record of a message's acceptance, with a body of so many bytes.
func accept(id string, body int) Record {
	return Record{Op: OpAccept, Entry: &Entry{Message: message.Message{ID: id, Class: "safe", Partner: "1",
		Deadline: time.Now().Add(time.Hour).UnixMicro(), Body: bytes.Repeat([]byte("b"), body)}}}
}

func mustAppend(t testing.TB, j *Journal, recs ...Record) {
	t.Helper()
	if err := j.Append(recs); err != nil {
		t.Fatal(err)
	}
}

// legacyFile returns a file with records as versions before 0.3 wrote it.
func legacyFile(t testing.TB, recs ...any) []byte {
	t.Helper()
	var b []byte
	for _, r := range recs {
		text, ok := r.(string)
		if !ok {
			line, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			text = string(line)
		}
		b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
		b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE([]byte(text)))
		b = append(b, text...)
	}
	return b
}
