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

const heartbeat = 15 * time.Second

// Stream keeps the latest ends for clients that follow them. It is bounded: a
// client that falls further behind is told of the gap.
type Stream struct {
	epoch string // of this process: numbers of another mean nothing
	mu    sync.Mutex
	ring  []sink.Notice
	next  uint64        // number of the end to come; the first is 0
	news  chan struct{} // closed when there is another; nil while nobody waits
}

// NewStream keeps so many ends.
func NewStream(window int) *Stream {
	var b [4]byte
	rand.Read(b[:])
	return &Stream{epoch: hex.EncodeToString(b[:]), ring: make([]sink.Notice, 0, max(window, 1))}
}

// Add takes an end; it never waits.
func (s *Stream) Add(m *message.Message, e message.End) {
	l := sink.NewNotice(m, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ring) < cap(s.ring) {
		s.ring = append(s.ring, l)
	} else {
		s.ring[s.next%uint64(cap(s.ring))] = l
	}
	s.next++
	if s.news != nil {
		close(s.news)
		s.news = nil
	}
}

// from returns ends from number at on, at most n, and the number after them. A gap
// says that some before them are kept no more. With none, news is closed when one
// comes.
func (s *Stream) from(at uint64, n int) (lines []sink.Notice, next uint64, gap bool, news <-chan struct{}) {
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
		if s.news == nil {
			s.news = make(chan struct{})
		}
		news = s.news
	}
	return lines, at, gap, news
}

func (s *Stream) now() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// after reads a Last-Event-ID; ok is false for one of another process, or none at
// all.
func (s *Stream) after(id string) (next uint64, ok bool) {
	epoch, number, _ := strings.Cut(id, "-")
	n, err := strconv.ParseUint(number, 10, 64)
	return n + 1, err == nil && epoch == s.epoch && n+1 > n
}

// ends streams ends as server-sent events (HTML standard, section 9.2).
func (f *Front) ends(w http.ResponseWriter, r *http.Request, by who) {
	select {
	case f.streams <- struct{}{}:
		defer func() { <-f.streams }()
	default:
		problem{Status: http.StatusServiceUnavailable, Detail: "too many streams", RetryAfterMS: 5000}.write(w)
		return
	}
	s := f.opts.Stream
	at, gap := s.now(), false
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		var ok bool
		if at, ok = s.after(last); !ok {
			at, gap = 0, true
		}
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{})
	rc.SetWriteDeadline(time.Now().Add(answerTime))
	w.WriteHeader(http.StatusOK)
	fmt.Fprintf(w, ": ends of messages\n\n")
	if rc.Flush() != nil {
		return
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		lines, next, lost, news := s.from(at, 256)
		rc.SetWriteDeadline(time.Now().Add(answerTime)) // a client that does not read is closed
		if gap || lost {
			gap = false
			fmt.Fprintf(w, "event: gap\ndata: {\"detail\":\"ends before this are kept no more; ask for the states\"}\n\n")
		}
		for i, l := range lines {
			if by.sees(l.Tenant) {
				fmt.Fprintf(w, "id: %s-%d\nevent: end\ndata: %s\n\n", s.epoch, next-uint64(len(lines)-i), l.JSON())
			}
		}
		if rc.Flush() != nil {
			return
		}
		at = next
		if news == nil {
			continue
		}
		select {
		case <-news:
		case <-beat.C:
			rc.SetWriteDeadline(time.Now().Add(answerTime))
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
