package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/backlog"
	"cometrack/internal/message"
)

// A record is a message as it stands in a segment:
//
//	4 bytes  CRC-32C of what follows up to the body, begun from the segment's salt and the offset
//	4 bytes  CRC-32C of the body
//	4 bytes  length of the head; its highest bit says that all before was safe when this was written
//	4 bytes  length of the body
//	the head: CBOR, numbers as keys
//	the body
//
// Head and body have sums of their own: a message whose body is damaged can still be
// named. Numbers are little-endian.
const (
	recordHead = 16
	flagStart  = 1 << 31
	// mostHead is more than the head of any message takes.
	mostHead = 16*(message.MaxName+8) + 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is a message behind the window.
type Record struct {
	Seq uint64 // its number; see backlog.Entry
	message.Message
	Accepted int64  // Unix time in microseconds
	Terms    int64  // the number of the terms that it was taken on under
	Digest   uint64 // of the message as it was handed in
	Ordered  bool   // its class keeps order, and it has an order key
}

// Queue is the lane that it waits in.
func (r *Record) Queue() backlog.Queue {
	return backlog.Queue{Destination: r.Partner, Tenant: r.Tenant, Class: r.Class}
}

// OrderHash stands for its order key; 0 if no order is kept.
func (r *Record) OrderHash() uint64 {
	if !r.Ordered {
		return 0
	}
	return max(xxhash.Sum64String(r.Order), 1)
}

// HashID stands for the id of a message.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

type headRecord struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Accepted int64  `cbor:"2,keyasint,omitempty"`
	Deadline int64  `cbor:"3,keyasint,omitempty"`
	Class    string `cbor:"4,keyasint,omitempty"`
	Partner  string `cbor:"5,keyasint,omitempty"`
	Tenant   string `cbor:"6,keyasint,omitempty"`
	Key      string `cbor:"7,keyasint,omitempty"`
	Order    string `cbor:"8,keyasint,omitempty"`
	ID       string `cbor:"9,keyasint,omitempty"`
	Terms    int64  `cbor:"10,keyasint,omitempty"`
	Digest   uint64 `cbor:"11,keyasint,omitempty"`
	Ordered  bool   `cbor:"12,keyasint,omitempty"`
}

var encMode = func() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func sum(salt uint64, off int64, rest []byte) uint32 {
	return crc32.Update(uint32(salt)^uint32(salt>>32)^uint32(off)*0x9e3779b1, castagnoli, rest)
}

// appendRecord puts a record that is to stand at off behind b, which holds what
// stands before it from some place on. It returns the bytes before the body.
func appendRecord(b *bytes.Buffer, salt uint64, off int64, r *Record, start bool) (head int) {
	at := b.Len()
	var fixed [recordHead]byte
	b.Write(fixed[:])
	h := headRecord{Seq: r.Seq, Accepted: r.Accepted, Deadline: r.Deadline, Class: r.Class, Partner: r.Partner, Tenant: r.Tenant, Key: r.Key,
		Order: r.Order, ID: r.ID, Terms: r.Terms, Digest: r.Digest, Ordered: r.Ordered}
	if err := encMode.MarshalToBuffer(&h, b); err != nil {
		panic(fmt.Sprintf("backlog: %v", err)) // no value of this type can fail
	}
	head = b.Len() - at
	length := uint32(head - recordHead)
	if start {
		length |= flagStart
	}
	raw := b.Bytes()[at:]
	binary.LittleEndian.PutUint32(raw[4:], crc32.Checksum(r.Body, castagnoli))
	binary.LittleEndian.PutUint32(raw[8:], length)
	binary.LittleEndian.PutUint32(raw[12:], uint32(len(r.Body)))
	binary.LittleEndian.PutUint32(raw, sum(salt, off, raw[4:]))
	b.Write(r.Body)
	return head
}

// parsed is a record that was read.
type parsed struct {
	Record
	head, size int  // bytes before the body, and in all
	start      bool // all before it was safe when it was written
	sumBody    uint32
}

// parseHead reads the record that b begins with and that stands at off, but not its
// body, which need not be in b; false if there is none.
func parseHead(b []byte, salt uint64, off int64) (p parsed, ok bool) {
	if len(b) < recordHead {
		return p, false
	}
	length := binary.LittleEndian.Uint32(b[8:])
	n, body := int64(length&^flagStart), binary.LittleEndian.Uint32(b[12:])
	if n > mostHead || body > message.MaxBody || n+recordHead > int64(len(b)) {
		return p, false
	}
	p.head = recordHead + int(n)
	if sum(salt, off, b[4:p.head]) != binary.LittleEndian.Uint32(b) {
		return p, false
	}
	var h headRecord
	if err := cbor.Unmarshal(b[recordHead:p.head], &h); err != nil {
		return p, false
	}
	p.size, p.start, p.sumBody = p.head+int(body), length&flagStart != 0, binary.LittleEndian.Uint32(b[4:])
	p.Record = Record{Seq: h.Seq, Accepted: h.Accepted, Terms: h.Terms, Digest: h.Digest, Ordered: h.Ordered, Message: message.Message{ID: h.ID, Key: h.Key,
		Order: h.Order, Class: h.Class, Tenant: h.Tenant, Partner: h.Partner, Deadline: h.Deadline}}
	return p, true
}

// body takes the body from b, which begins with the record; false if it is damaged.
func (p *parsed) body(b []byte) bool {
	if p.size > len(b) || crc32.Checksum(b[p.head:p.size], castagnoli) != p.sumBody {
		return false
	}
	p.Body = append([]byte(nil), b[p.head:p.size]...)
	return true
}

// The header of a segment stands there twice, so that no flipped bit takes the salt
// away: magic, format version, first number, salt, CRC-32C of these.
const (
	magic     = "cmtrkbkl"
	version   = 1
	headOne   = 8 + 4 + 8 + 8 + 4
	headerLen = 2 * headOne
)

func header(first, salt uint64) []byte {
	b := []byte(magic)
	b = binary.LittleEndian.AppendUint32(b, version)
	b = binary.LittleEndian.AppendUint64(b, first)
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, b...)
}

// parseHeader reads the header of the segment of that first number; false if there
// is none.
func parseHeader(b []byte, first uint64) (salt uint64, ok bool, err error) {
	for i := range 2 {
		if len(b) < (i+1)*headOne {
			return 0, false, nil
		}
		one := b[i*headOne : (i+1)*headOne]
		if string(one[:8]) != magic || crc32.Checksum(one[:headOne-4], castagnoli) != binary.LittleEndian.Uint32(one[headOne-4:]) {
			continue
		}
		if v := binary.LittleEndian.Uint32(one[8:]); v > version {
			return 0, false, fmt.Errorf("%s: %w", name(first, dataSuffix), ErrNewer)
		}
		if binary.LittleEndian.Uint64(one[12:]) == first {
			return binary.LittleEndian.Uint64(one[20:]), true, nil
		}
	}
	return 0, false, nil
}
