package cluster

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cometrack/internal/view"
)

// A packet is a magic number, a seal (the first bytes of the HMAC-SHA256 of the
// rest, RFC 2104), and a message in CBOR (RFC 8949).
const (
	magic     = "cmtk1" // of the view, and of probes
	lore      = "cmtf1" // of facts
	sealSize  = 16
	headSize  = len(magic) + sealSize
	maxPacket = 60_000 // bytes; of a datagram over IPv4 65,507 fit
)

// What makes a packet be dropped.
var (
	errForeign  = errors.New("no packet of a sender")
	errOversize = errors.New("oversized packet")
	errKey      = errors.New("wrong key")
	errGarbage  = errors.New("packet that can't be read")
	errBroken   = errors.New("probe that broke off")
)

var (
	encMode = sync.OnceValue(func() cbor.EncMode {
		m, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic(err)
		}
		return m
	})
	decMode = sync.OnceValue(func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: view.MaxSenders + 16, MaxMapPairs: 64, MaxNestedLevels: 12, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	})
)

// keys are what packets are sealed with, the first, and opened with, all.
type keys [][]byte

// Bounds of a key file.
const (
	maxKeys   = 8
	leastKey  = 16 // characters
	maxKeyLen = 512
)

// ReadKeys reads a file with a key on each line; empty lines and those that begin
// with # do not count. The first is used for what is sent, all for what comes.
func ReadKeys(path string) ([][]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out [][]byte
	line := 0
	for s := bufio.NewScanner(io.LimitReader(f, 64<<10)); s.Scan(); {
		line++
		text := strings.TrimSpace(s.Text())
		switch {
		case text == "" || strings.HasPrefix(text, "#"):
		case len(text) < leastKey || len(text) > maxKeyLen:
			return nil, fmt.Errorf("%s:%d: a key has %d to %d characters", path, line, leastKey, maxKeyLen)
		case len(out) == maxKeys:
			return nil, fmt.Errorf("%s:%d: over %d keys", path, line, maxKeys)
		default:
			out = append(out, []byte(text))
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: there is no key", path)
	}
	return out, nil
}

func seal(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)[:sealSize]
}

// pack makes a packet.
func (k keys) pack(v any) ([]byte, error) { return k.packAs(magic, v) }

// packAs makes a packet with a magic number, which counts in the seal of all but
// those of the view.
func (k keys) packAs(kind string, v any) ([]byte, error) {
	payload, err := encMode().Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(payload)+headSize > maxPacket {
		return nil, errOversize
	}
	var key []byte
	if len(k) > 0 {
		key = k[0]
	}
	return append(append([]byte(kind), sealAs(kind, key, payload)...), payload...), nil
}

func sealAs(kind string, key, payload []byte) []byte {
	if kind == magic {
		return seal(key, payload)
	}
	return seal(key, append([]byte(kind), payload...))
}

// kindOf is the magic number of a packet; empty for none.
func kindOf(b []byte) string {
	if len(b) >= headSize {
		if kind := string(b[:len(magic)]); kind == magic || kind == lore {
			return kind
		}
	}
	return ""
}

// unpack reads a packet of the view, or of a probe, into v.
func (k keys) unpack(b []byte, v any) error {
	if len(b) <= maxPacket && kindOf(b) != magic {
		return errForeign
	}
	return k.open(b, v)
}

// open reads a packet of either kind into v.
func (k keys) open(b []byte, v any) error {
	kind := kindOf(b)
	switch {
	case len(b) > maxPacket:
		return errOversize
	case kind == "":
		return errForeign
	}
	payload, sealed := b[headSize:], b[len(magic):headSize]
	good := len(k) == 0 && hmac.Equal(sealAs(kind, nil, payload), sealed)
	for _, key := range k {
		good = good || hmac.Equal(sealAs(kind, key, payload), sealed)
	}
	if !good {
		return errKey
	}
	if err := decMode().Unmarshal(payload, v); err != nil {
		return errGarbage
	}
	return nil
}

// ask is what a probe sends on its stream, and answer what comes back.
type ask struct {
	Nonce uint64 `cbor:"1,keyasint"`
	ID    uint64 `cbor:"2,keyasint"` // the life that is asked for
}

type answer struct {
	Nonce uint64 `cbor:"1,keyasint"`
	ID    uint64 `cbor:"2,keyasint"` // the life that is there
	Over  bool   `cbor:"3,keyasint"` // that life has not run for so long that it will not go on
}

const maxAsk = 256 // bytes of either

// writeFrame writes a packet with its length.
func writeFrame(w io.Writer, k keys, v any) error {
	b, err := k.pack(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...))
	return err
}

// readFrame reads a packet behind its length.
func readFrame(r io.Reader, k keys, v any) error {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint16(head[:])
	if n > maxAsk {
		return errOversize
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return k.unpack(b, v)
}

// keyring keeps the keys of a file, which may change.
type keyring struct {
	path string
	log  *slog.Logger
	mu   sync.Mutex
	keys keys
	text []byte
	seen time.Time
	bad  bool // the file could not be read, and that has been said
}

const rereadKeys = time.Second

// get is the keys as they are now; a file that can't be read leaves the old ones.
func (r *keyring) get() keys {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.path == "" || time.Since(r.seen) < rereadKeys {
		return r.keys
	}
	r.seen = time.Now()
	text, err := os.ReadFile(r.path)
	if err == nil && bytes.Equal(text, r.text) {
		return r.keys
	}
	next, err := ReadKeys(r.path)
	switch {
	case err != nil && !r.bad:
		r.bad = true
		r.log.Error("cluster: the old keys stand", "err", err)
	case err == nil:
		if r.keys != nil {
			r.log.Info("cluster: new keys", "keys", len(next))
		}
		r.text, r.keys, r.bad = text, next, false
	}
	return r.keys
}

// newKeyring reads a file of keys; an empty path is for none.
func newKeyring(path string, log *slog.Logger) (*keyring, error) {
	r := &keyring{path: path, log: log}
	if path == "" {
		return r, nil
	}
	_, err := ReadKeys(path)
	r.get()
	return r, err
}
