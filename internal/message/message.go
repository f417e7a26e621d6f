package message

import (
	"crypto/sha256"
	"encoding/binary"
)

// MaxBody is the maximum size of a body in bytes.
const MaxBody = 64 << 10

// MaxName is the maximum length of an id, a key or a name in bytes.
const MaxName = 128

// Message is a message as a client submitted it. Class, tenant and partner are stored
// by name, since their numbers differ between configurations.
type Message struct {
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"`   // idempotency key
	Order    string `json:"order,omitempty"` // order key
	Class    string `json:"class"`
	Tenant   string `json:"tenant,omitempty"`
	Partner  string `json:"partner"`
	Deadline int64  `json:"deadline"` // in microseconds of the sender's clock, see package clock
	Body     []byte `json:"body,omitempty"`
}

// Digest returns a hash that distinguishes messages submitted under one id. It omits the
// deadline: a client that submits a message again may have less time left.
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

// IsVisibleASCII reports whether s has only visible ASCII characters and no space, so that
// it is valid in a header field.
func IsVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// The states in which a message ends.
const (
	Delivered = "delivered"
	Returned  = "returned" // no attempt ran; submitting it again is safe
	Failed    = "failed"   // an attempt may have run
)

// End is the end of a message.
type End struct {
	ID    string `json:"id"`
	State string `json:"state"`
	// RetryAfterMS is the delay in milliseconds before a returned message may be submitted
	// again; 0 if unknown.
	RetryAfterMS int64 `json:"after_ms,omitempty"`
	// At is when the message ended, in microseconds: of the sender's clock in the journal, of
	// the wall clock in notices.
	At       int64 `json:"at,omitempty"`
	Attempts int   `json:"tries,omitempty"` // number of attempts made
}
