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

// A record is the stored form of a message in a segment:
//
//	4 bytes  CRC-32C of what follows up to the body, seeded with the segment's salt and the offset
//	4 bytes  CRC-32C of the body
//	4 bytes  length of the head; its highest bit is flagPriorSynced
//	4 bytes  length of the body
//	the head: CBOR, numbers as keys
//	the body
//
// Head and body have their own checksums, so that a message with a damaged body can
// still be identified. Numbers are little-endian.
const (
	recordPrefixSize = 16
	// flagPriorSynced marks a record before which all of the segment was synced when the
	// record was written; see recoverSegment.
	flagPriorSynced = 1 << 31
	// maxHeadSize exceeds the size of every head.
	maxHeadSize = 16*(message.MaxName+8) + 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Record is a spilled message.
type Record struct {
	Seq uint64 // see backlog.Entry
	message.Message
	Accepted int64  // Unix time in microseconds
	Terms    int64  // number of the settings (terms) it was accepted under
	Digest   uint64 // of the message as it was submitted
	Ordered  bool   // its class keeps order, and it has an order key
}

// Queue returns the queue of the message.
func (r *Record) Queue() backlog.Queue {
	return backlog.Queue{Destination: r.Partner, Tenant: r.Tenant, Class: r.Class}
}

// OrderHash returns the hash of its order key; 0 if no order is kept.
func (r *Record) OrderHash() uint64 {
	if !r.Ordered {
		return 0
	}
	return max(xxhash.Sum64String(r.Order), 1)
}

// HashID returns the hash of a message's id.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// encodedHead is the CBOR form of a head. The keys are the stored format.
type encodedHead struct {
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

// headChecksum returns the checksum of a record's bytes from its second field up to the
// body. The salt and the offset make it invalid in other segments and places, so that
// remains of other data are not taken for records.
func headChecksum(salt uint64, off int64, rest []byte) uint32 {
	return crc32.Update(uint32(salt)^uint32(salt>>32)^uint32(off)*0x9e3779b1, castagnoli, rest)
}

// appendRecord appends a record to b, to be written at offset off of its segment. It
// returns the number of bytes before the body.
func appendRecord(b *bytes.Buffer, salt uint64, off int64, r *Record, priorSynced bool) (headSize int) {
	at := b.Len()
	var fixed [recordPrefixSize]byte
	b.Write(fixed[:])
	h := encodedHead{Seq: r.Seq, Accepted: r.Accepted, Deadline: r.Deadline, Class: r.Class, Partner: r.Partner,
		Tenant: r.Tenant, Key: r.Key, Order: r.Order, ID: r.ID, Terms: r.Terms, Digest: r.Digest, Ordered: r.Ordered}
	if err := encMode.MarshalToBuffer(&h, b); err != nil {
		panic(fmt.Sprintf("backlog: %v", err)) // encoding this type can't fail
	}
	headSize = b.Len() - at
	length := uint32(headSize - recordPrefixSize)
	if priorSynced {
		length |= flagPriorSynced
	}
	raw := b.Bytes()[at:]
	binary.LittleEndian.PutUint32(raw[4:], crc32.Checksum(r.Body, castagnoli))
	binary.LittleEndian.PutUint32(raw[8:], length)
	binary.LittleEndian.PutUint32(raw[12:], uint32(len(r.Body)))
	binary.LittleEndian.PutUint32(raw, headChecksum(salt, off, raw[4:]))
	b.Write(r.Body)
	return headSize
}

// parsedRecord is a record read from a segment; its Body is empty until parseBody.
type parsedRecord struct {
	Record
	headSize, size int  // bytes before the body, and of the whole record
	priorSynced    bool // see flagPriorSynced
	bodyChecksum   uint32
}

// parseHead parses the record that b begins with, except for its body, which need not be
// in b. off is the record's offset in the segment. It returns false if there is no valid
// record.
func parseHead(b []byte, salt uint64, off int64) (p parsedRecord, ok bool) {
	if len(b) < recordPrefixSize {
		return p, false
	}
	length := binary.LittleEndian.Uint32(b[8:])
	n, body := int64(length&^flagPriorSynced), binary.LittleEndian.Uint32(b[12:])
	if n > maxHeadSize || body > message.MaxBody || n+recordPrefixSize > int64(len(b)) {
		return p, false
	}
	p.headSize = recordPrefixSize + int(n)
	if headChecksum(salt, off, b[4:p.headSize]) != binary.LittleEndian.Uint32(b) {
		return p, false
	}
	var h encodedHead
	if err := cbor.Unmarshal(b[recordPrefixSize:p.headSize], &h); err != nil {
		return p, false
	}
	p.size, p.priorSynced, p.bodyChecksum = p.headSize+int(body), length&flagPriorSynced != 0,
		binary.LittleEndian.Uint32(b[4:])
	p.Record = Record{Seq: h.Seq, Accepted: h.Accepted, Terms: h.Terms, Digest: h.Digest, Ordered: h.Ordered,
		Message: message.Message{ID: h.ID, Key: h.Key, Order: h.Order, Class: h.Class, Tenant: h.Tenant,
			Partner: h.Partner, Deadline: h.Deadline}}
	return p, true
}

// parseBody copies the body from b, which begins with the record. It returns false if the
// body is damaged.
func (p *parsedRecord) parseBody(b []byte) bool {
	if p.size > len(b) || crc32.Checksum(b[p.headSize:p.size], castagnoli) != p.bodyChecksum {
		return false
	}
	p.Body = append([]byte(nil), b[p.headSize:p.size]...)
	return true
}

// The header of a segment is stored twice, so that a flipped bit doesn't lose the salt:
// magic number, format version, first sequence number, salt, CRC-32C of these.
const (
	dataMagic      = "cmtrkbkl"
	formatVersion  = 1
	headerCopySize = 8 + 4 + 8 + 8 + 4  // bytes of one copy
	headerSize     = 2 * headerCopySize // bytes of both copies
)

// segmentHeader returns the header of a segment.
func segmentHeader(first, salt uint64) []byte {
	b := []byte(dataMagic)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint64(b, first)
	b = binary.LittleEndian.AppendUint64(b, salt)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, b...)
}

// parseSegmentHeader parses the header of the segment with that first sequence number. ok
// is false if neither copy is valid. The error wraps [ErrNewer].
func parseSegmentHeader(b []byte, first uint64) (salt uint64, ok bool, err error) {
	for i := range 2 {
		if len(b) < (i+1)*headerCopySize {
			return 0, false, nil
		}
		one := b[i*headerCopySize : (i+1)*headerCopySize]
		if string(one[:8]) != dataMagic ||
			crc32.Checksum(one[:headerCopySize-4], castagnoli) != binary.LittleEndian.Uint32(one[headerCopySize-4:]) {
			continue
		}
		if v := binary.LittleEndian.Uint32(one[8:]); v > formatVersion {
			return 0, false, fmt.Errorf("%s: %w", fileName(first, dataSuffix), ErrNewer)
		}
		if binary.LittleEndian.Uint64(one[12:]) == first {
			return binary.LittleEndian.Uint64(one[20:]), true, nil
		}
	}
	return 0, false, nil
}
