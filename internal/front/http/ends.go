package httpfront

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cometrack/internal/message"
	"cometrack/internal/sink"
)

// heartbeatInterval is the time between two comments that keep an idle stream open.
const heartbeatInterval = 15 * time.Second

// Stream holds the latest ends for clients that follow them. It is bounded: a client that falls further behind gets a
// gap event.
type Stream struct {
	epoch   string // random identifier of this process, since each process numbers ends on its own
	mu      sync.Mutex
	ring    []sink.Notice
	next    uint64        // number of the next end, from 0
	changed chan struct{} // closed when an end is added; nil while no client waits
}

// NewStream returns a stream that holds the latest window ends.
func NewStream(window int) *Stream {
	var b [4]byte
	rand.Read(b[:])
	return &Stream{epoch: hex.EncodeToString(b[:]), ring: make([]sink.Notice, 0, max(window, 1))}
}

// Add appends an end. It does not block.
func (s *Stream) Add(m *message.Message, e message.End) {
	line := sink.NewNotice(m, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, line)
	} else {
		s.ring[s.next%uint64(cap(s.ring))] = line
	}
	s.next++
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// linesFrom returns at most n ends, starting with number at, and the number after them. gap reports that ends before
// them have been dropped. If there are none yet, changed is closed when one is added.
func (s *Stream) linesFrom(at uint64, n int) (lines []sink.Notice, next uint64, gap bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.next - uint64(len(s.ring))
	if at < oldest || at > s.next {
		at, gap = oldest, true
	}
	for ; at < s.next && len(lines) < n; at++ {
		lines = append(lines, s.ring[at%uint64(cap(s.ring))])
	}
	if len(lines) == 0 {
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed = s.changed
	}
	return lines, at, gap, changed
}

// position returns the number of the next end.
func (s *Stream) position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// parseEventID returns the number after that of a Last-Event-ID. ok is false if the identifier is invalid or comes
// from another process.
func (s *Stream) parseEventID(id string) (next uint64, ok bool) {
	epoch, number, _ := strings.Cut(id, "-")
	n, err := strconv.ParseUint(number, 10, 64)
	return n + 1, err == nil && epoch == s.epoch && n+1 > n
}

// streamEnds sends ends as server-sent events (HTML standard, section 9.2).
func (f *Front) streamEnds(w http.ResponseWriter, r *http.Request, c caller) {
	select {
	case f.streams <- struct{}{}:
		defer func() { <-f.streams }()
	default:
		problem{Status: http.StatusServiceUnavailable, Detail: "too many streams", RetryAfterMS: 5000}.write(w)
		return
	}
	s := f.opts.Stream
	at, gap := s.position(), false
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		var ok bool
		if at, ok = s.parseEventID(last); !ok {
			at, gap = 0, true
		}
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{})
	rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(http.StatusOK)
	fmt.Fprintf(w, ": ends of messages\n\n")
	if rc.Flush() != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		lines, next, lost, changed := s.linesFrom(at, 256)
		rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // closes the connection of a client that does not read
		if gap || lost {
			gap = false
			fmt.Fprintf(w, "event: gap\ndata: {\"detail\":\"ends before this are kept no more; ask for the states\"}\n\n")
		}
		for i, l := range lines {
			if c.mayRead(l.Tenant) {
				fmt.Fprintf(w, "id: %s-%d\nevent: end\ndata: %s\n\n", s.epoch, next-uint64(len(lines)-i), l.JSON())
			}
		}
		if rc.Flush() != nil {
			return
		}
		at = next
		if changed == nil {
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			rc.SetWriteDeadline(time.Now().Add(writeTimeout))
			fmt.Fprintf(w, ": still here\n\n")
			if rc.Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		case <-f.closing:
			return
		}
	}
}
