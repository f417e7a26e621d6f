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

// A packet consists of a magic number, a MAC (the first macSize bytes of the HMAC-SHA256 of the
// message, RFC 2104), and a message in CBOR (RFC 8949).
const (
	viewMagic  = "cmtk1"                  // messages of the view, and probes
	factsMagic = "cmtf1"                  // messages with facts
	macSize    = 16                       // bytes
	headerSize = len(viewMagic) + macSize // bytes of magic number and MAC
	maxPacket  = 60_000                   // bytes; the limit of a UDP datagram over IPv4 is 65,507
)

// Reasons to drop a packet.
var (
	errNotPacket    = errors.New("no packet of a sender")     // too short, or an unknown magic number
	errOversize     = errors.New("oversized packet")          // larger than maxPacket
	errKey          = errors.New("wrong key")                 // its MAC fits none of the keys
	errMalformed    = errors.New("packet that can't be read") // authentic, but not the expected CBOR
	errProbeAborted = errors.New("probe that broke off")
)

// The CBOR modes; decoding limits the size and the nesting of untrusted messages.
var (
	encMode = sync.OnceValue(func() cbor.EncMode {
		m, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic(err)
		}
		return m
	})
	decMode = sync.OnceValue(func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: view.MaxSenders + 16, MaxMapPairs: 64, MaxNestedLevels: 12,
			DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	})
)

// keys are the shared secrets of the senders. The first authenticates outgoing packets; each is
// accepted for incoming ones.
type keys [][]byte

// Limits of a key file.
const (
	maxKeys   = 8   // number of keys
	minKeyLen = 16  // bytes
	maxKeyLen = 512 // bytes
)

// ReadKeys reads a file with one key per line. Empty lines and lines that begin with # are ignored.
// The first key is used for outgoing packets, all are accepted for incoming ones.
func ReadKeys(path string) ([][]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var out [][]byte
	line := 0
	for lines := bufio.NewScanner(io.LimitReader(file, 64<<10)); lines.Scan(); {
		line++
		text := strings.TrimSpace(lines.Text())
		switch {
		case text == "" || strings.HasPrefix(text, "#"):
		case len(text) < minKeyLen || len(text) > maxKeyLen:
			return nil, fmt.Errorf("%s:%d: a key has %d to %d characters", path, line, minKeyLen, maxKeyLen)
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

// payloadMAC returns the truncated HMAC of a payload.
func payloadMAC(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(payload)
	return mac.Sum(nil)[:macSize]
}

// packView encodes a message of the view, or of a probe, as a packet.
func (k keys) packView(v any) ([]byte, error) { return k.packWithMagic(viewMagic, v) }

// packWithMagic encodes a message as a packet with a magic number. The MAC covers the magic number,
// except for packets of the view.
func (k keys) packWithMagic(magic string, v any) ([]byte, error) {
	payload, err := encMode().Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(payload)+headerSize > maxPacket {
		return nil, errOversize
	}
	var key []byte
	if len(k) > 0 {
		key = k[0]
	}
	return append(append([]byte(magic), packetMAC(magic, key, payload)...), payload...), nil
}

// packetMAC returns the MAC of a packet; see packWithMagic.
func packetMAC(magic string, key, payload []byte) []byte {
	if magic == viewMagic {
		return payloadMAC(key, payload)
	}
	return payloadMAC(key, append([]byte(magic), payload...))
}

// magicOf returns the magic number of a packet; empty if it has none.
func magicOf(packet []byte) string {
	if len(packet) >= headerSize {
		if magic := string(packet[:len(viewMagic)]); magic == viewMagic || magic == factsMagic {
			return magic
		}
	}
	return ""
}

// unpackView decodes a packet of the view, or of a probe, into v.
func (k keys) unpackView(packet []byte, v any) error {
	if len(packet) <= maxPacket && magicOf(packet) != viewMagic {
		return errNotPacket
	}
	return k.unpack(packet, v)
}

// unpack decodes a packet into v, whether it has a message of the view, a probe or facts. The errors are errOversize,
// errNotPacket (no known magic number), errKey (no key gives its MAC) and errMalformed (not CBOR of v's type).
func (k keys) unpack(packet []byte, v any) error {
	magic := magicOf(packet)
	switch {
	case len(packet) > maxPacket:
		return errOversize
	case magic == "":
		return errNotPacket
	}
	payload, mac := packet[headerSize:], packet[len(viewMagic):headerSize]
	authentic := len(k) == 0 && hmac.Equal(packetMAC(magic, nil, payload), mac)
	for _, key := range k {
		authentic = authentic || hmac.Equal(packetMAC(magic, key, payload), mac)
	}
	if !authentic {
		return errKey
	}
	if err := decMode().Unmarshal(payload, v); err != nil {
		return errMalformed
	}
	return nil
}

// probeRequest asks whether an incarnation of a sender still runs.
type probeRequest struct {
	Nonce uint64 `cbor:"1,keyasint"`
	ID    uint64 `cbor:"2,keyasint"` // of the incarnation in question
}

// probeResponse answers a probeRequest.
type probeResponse struct {
	Nonce uint64 `cbor:"1,keyasint"`
	ID    uint64 `cbor:"2,keyasint"` // of the incarnation at this address; 0 for none
	Ended bool   `cbor:"3,keyasint"` // the incarnation has not run for two leases and will not send again
}

// maxProbeFrame limits the size of a request or a response, in bytes.
const maxProbeFrame = 256

// writeFrame writes a packet preceded by its length.
func writeFrame(w io.Writer, k keys, v any) error {
	packet, err := k.packView(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(packet))), packet...))
	return err
}

// readFrame reads a packet preceded by its length.
func readFrame(r io.Reader, k keys, v any) error {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint16(length[:])
	if n > maxProbeFrame {
		return errOversize
	}
	packet := make([]byte, n)
	if _, err := io.ReadFull(r, packet); err != nil {
		return err
	}
	return k.unpackView(packet, v)
}

// keyring holds the keys of a file and reloads them when it changes.
type keyring struct {
	path          string
	log           *slog.Logger
	mu            sync.Mutex
	keys          keys
	contents      []byte
	checkedAt     time.Time
	failureLogged bool // the last read failed and was logged
}

// keyFileCheckInterval is the minimum time between two checks of the key file.
const keyFileCheckInterval = time.Second

// current returns the current keys. If the file cannot be read, the previous keys stay valid.
func (r *keyring) current() keys {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.path == "" || time.Since(r.checkedAt) < keyFileCheckInterval {
		return r.keys
	}
	r.checkedAt = time.Now()
	contents, err := os.ReadFile(r.path)
	if err == nil && bytes.Equal(contents, r.contents) {
		return r.keys
	}
	next, err := ReadKeys(r.path)
	switch {
	case err != nil && !r.failureLogged:
		r.failureLogged = true
		r.log.Error("cluster: the key file can't be read; the old keys stay in use", "err", err)
	case err == nil:
		if r.keys != nil {
			r.log.Info("cluster: keys reloaded", "keys", len(next))
		}
		r.contents, r.keys, r.failureLogged = contents, next, false
	}
	return r.keys
}

// newKeyring reads a key file; with an empty path there are no keys.
func newKeyring(path string, log *slog.Logger) (*keyring, error) {
	r := &keyring{path: path, log: log}
	if path == "" {
		return r, nil
	}
	_, err := ReadKeys(path)
	r.current()
	return r, err
}
