package message

import (
	"crypto/sha256"
	"encoding/binary"
)

// MaxBody is the most bytes that a body may hold.
const MaxBody = 64 << 10

// MaxName is the most bytes that an id, a key or a name may hold.
const MaxName = 128

// Message is a message as a client handed it in. Class, tenant and partner
// stand by name: what numbers they have is a matter of one configuration.
type Message struct {
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"`   // idempotency key
	Order    string `json:"order,omitempty"` // order key
	Class    string `json:"class"`
	Tenant   string `json:"tenant,omitempty"`
	Partner  string `json:"partner"`
	Deadline int64  `json:"deadline"` // by the sender's clock, see package clock
	Body     []byte `json:"body,omitempty"`
}

// Digest tells messages apart that were handed in under one id. The deadline is
// left out: a client that hands a message in again may have less time left.
func (m *Message) Digest() uint64 {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{m.ID, m.Key, m.Order, m.Class, m.Tenant, m.Partner} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(m.Body)
	var sum [sha256.Size]byte
	return binary.LittleEndian.Uint64(h.Sum(sum[:0]))
}

// IsVisibleASCII says whether s may stand in a header field: visible ASCII without spaces.
func IsVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// The states that a message ends in.
const (
	Delivered = "delivered"
	Returned  = "returned" // it never ran: handing it in again is harmless
	Failed    = "failed"   // whether it ran is not known
)

// End is how a message ended.
type End struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	RetryAfterMS int64  `json:"after_ms,omitempty"` // returned: when to come again, in milliseconds; 0 if not told
	At           int64  `json:"at,omitempty"`       // when: in the journal by the sender's clock, told to others by the wall clock
	Attempts     int    `json:"tries,omitempty"`    // attempts made
}
