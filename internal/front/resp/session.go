package resp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cometrack/internal/netutil"
	"cometrack/internal/permit"
)

const (
	// firstRequestTimeout bounds the time from accepting a connection to its first complete request.
	firstRequestTimeout = 2300 * time.Millisecond
	// requestTimeout bounds the time from the first byte of a later request to its last.
	requestTimeout = 2 * time.Second
	// idleTimeout is how long a connection is kept between requests.
	idleTimeout = 4 * time.Second
	// writeTimeout bounds each write to the client.
	writeTimeout = 2 * time.Second
	// drainTimeout replaces lingerTimeout while the front drains, and bounds the time for a request that is arriving
	// when the shutdown has short deadlines. It also bounds the wait for a slot for a large request, and is the
	// least time that a first request gets once it has begun to arrive.
	drainTimeout = 200 * time.Millisecond
	// crowdedSlotWait bounds the wait for a slot for a large request while the front has no place for a new connection.
	crowdedSlotWait = 10 * time.Millisecond
	// drainFirstTimeout bounds the wait for the first request of a connection while the front drains.
	drainFirstTimeout = time.Second
	// maxConsecutiveErrors is the number of error responses in a row after which a connection is closed.
	maxConsecutiveErrors = 16
	// errorDelay is the wait before the next request is read, for each error in a row.
	errorDelay = 5 * time.Millisecond
	// lingerTimeout is how long the client has to close its side after the front has closed its own.
	lingerTimeout = 500 * time.Millisecond
	// finalLingerTimeout replaces lingerTimeout once the front has stopped reading.
	finalLingerTimeout = 50 * time.Millisecond
	// maxLingerBytes bounds what a lingering connection may still receive.
	maxLingerBytes = 1 << 20
	// lingerBufferBytes is the size of the buffer that a lingering connection reads into.
	lingerBufferBytes = 4 << 10

	responseTimedOut      = "-ERR request not complete in time\r\n"
	responseTooManyErrors = "-ERR too many errors\r\n"
)

// session is the connection of one client. Requests may be pipelined: one goroutine reads and executes them, another
// writes the responses in the order of the requests.
type session struct {
	front             *Front
	conn              net.Conn
	openedAt          time.Time
	consecutiveErrors atomic.Int32 // error responses in a row
	endedInputAt      atomic.Int64 // when the client's end of its side was seen, in nanoseconds after openedAt; 0 for never
	lastRead          atomic.Int64 // when bytes were last received, in nanoseconds after openedAt

	// Fields of the reading goroutine. Reader, queue and channel are nil until needed.
	r          *bufio.Reader
	queue      chan response
	writerDone chan struct{} // closed when the writing goroutine has ended
	reason     closeReason

	// Fields of the writing goroutine until it has ended.
	responses  int // responses that have been written
	unanswered int // complete requests whose responses were not written since the front closed the connection
	accepted   []acceptedMessage

	// Fields guarded by the lock of the front.
	pending        int       // requests that have begun to arrive and have no response
	partial        bool      // the last pending request is not complete
	requestBegan   time.Time // when the last request began to arrive
	hasLargeSlot   bool      // the request that is arriving has a slot for large requests
	buffered       bool      // bytes of a further request have been read
	served         bool      // a request has had its response
	idleSince      time.Time // time of the last response; when the connection was accepted, before the first one
	lingeringSince time.Time // when the front began to close the connection; zero value while it is active
	writeClosed    bool      // the front has closed its side
	aborted        bool      // the connection was closed while it lingered

	tenant        string // of the client's token
	authenticated bool   // the client has sent a valid token
}

// closeReason says why a connection is closed.
type closeReason string

// The reasons that are logged with "client closed".
const (
	closedByClient    closeReason = "closed by the client"
	closedIdle        closeReason = "idle"
	closedForRoom     closeReason = "to make room"
	closedDraining    closeReason = "draining"
	closedProcessEnds closeReason = "the process ends"
	closedProtocol    closeReason = "protocol error"
	closedTimeout     closeReason = "request not complete in time"
	closedErrors      closeReason = "too many errors"
	closedOnRequest   closeReason = "client sent QUIT"
)

// logClosed logs why the connection was closed, and counts a violation if a complete request had no response.
func (s *session) logClosed() {
	s.front.log.Debug("client closed", "remote", s.conn.RemoteAddr().String(), "reason", string(s.reason),
		"answered", s.responses)
	if s.unanswered > 0 {
		s.front.opts.Monitor.CountViolation(permit.ClosedUnanswered, s.conn.RemoteAddr().String(),
			"requests", s.unanswered, "reason", string(s.reason))
	}
}

// logCutShort logs that a request which has arrived in part is answered without being read to its end.
func (s *session) logCutShort() {
	s.front.mu.Lock()
	took := time.Since(s.requestBegan)
	s.front.mu.Unlock()
	s.front.log.Debug("request cut short", "remote", s.conn.RemoteAddr().String(), "reason", string(s.reason), "after", took)
}

// reasonAfterWait returns the reason for closing a connection whose wait for a request or whose read failed with err.
func (s *session) reasonAfterWait(err error) closeReason {
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	switch {
	case s.front.readingStopped.Load():
		return closedProcessEnds
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		return closedByClient
	case !s.lingeringSince.IsZero() || s.aborted:
		return closedForRoom
	case s.front.draining:
		return closedDraining
	}
	return closedIdle
}

// serve handles the connection from its first request until both sides have closed it.
func (s *session) serve() {
	if s.awaitRequest(true) { // wait here, while the stack is small: many connections send nothing
		s.readRequests()
		if s.queue != nil {
			close(s.queue)
			<-s.writerDone
		}
	}
	s.releaseReader()
	reset := s.isReset() // it can't be told from an orderly end once this side is closed
	err := s.linger()
	if reset || errors.Is(err, syscall.ECONNRESET) {
		s.withdrawUnheard()
	}
}

// readerPool holds the readers of connections that are not receiving a request.
var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// reader returns the session's buffered reader and takes one from the pool if it has none.
func (s *session) reader() *bufio.Reader {
	if s.r == nil {
		s.r = readerPool.Get().(*bufio.Reader)
		s.r.Reset(timedConn{s})
	}
	return s.r
}

// releaseReader puts the reader back into the pool.
func (s *session) releaseReader() {
	if s.r != nil {
		s.r.Reset(nil)
		readerPool.Put(s.r)
		s.r = nil
	}
}

// timedConn records the time of each read that returns bytes.
type timedConn struct{ s *session }

func (c timedConn) Read(b []byte) (int, error) {
	n, err := c.s.conn.Read(b)
	if n > 0 {
		c.s.lastRead.Store(int64(time.Since(c.s.openedAt)))
	}
	return n, err
}

// readRequests reads and executes requests until the connection is to be closed.
func (s *session) readRequests() {
	for first := true; first || s.awaitRequest(false); first = false {
		if n := s.consecutiveErrors.Load(); n >= maxConsecutiveErrors {
			s.reason = closedErrors
			s.rejectBuffered()
			return
		} else if n > 0 {
			time.Sleep(time.Duration(n) * errorDelay)
		}
		timeout := time.Until(s.requestDeadline(first))
		s.setReadDeadline(timeout, timeout, drainTimeout)
		largeSlot := false
		args, err := readCommand(s.reader(), func() error {
			err := s.acquireLargeSlot()
			largeSlot = err == nil
			return err
		})
		active := s.endRead(err == nil)
		switch {
		case err == nil && active:
			r := s.execute(args)
			r.largeSlot = largeSlot
			s.enqueue(r)
			if r.closeAfter {
				s.reason = closedOnRequest
				return
			}
			continue
		case errors.Is(err, errProtocol):
			s.reason = closedProtocol
			s.enqueue(response{text: fmt.Sprintf("-ERR %v\r\n", err), largeSlot: largeSlot})
			return
		case errors.Is(err, errNoLargeSlot):
			s.enqueue(response{text: formatBusy(0)})
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && active && !s.front.isDraining():
			s.reason = closedTimeout
			s.enqueue(response{text: responseTimedOut, largeSlot: largeSlot})
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // cut short: its last byte may arrive during the close
			s.reason = s.reasonAfterWait(err)
			s.logCutShort()
			s.enqueue(response{text: formatBusy(0), largeSlot: largeSlot})
			return
		}
		s.reason = s.reasonAfterWait(err)
		s.enqueue(response{largeSlot: largeSlot})
		return
	}
}

// rejectBuffered responds with an error to the request that has begun to arrive and to all that are buffered behind
// it, before the connection is closed.
func (s *session) rejectBuffered() {
	s.conn.SetReadDeadline(time.Now()) // read only what is buffered
	for {
		_, err := readCommand(s.reader(), func() error { return errNoLargeSlot })
		s.endRead(err == nil)
		s.enqueue(response{text: responseTooManyErrors})
		if err != nil || s.r.Buffered() == 0 {
			return
		}
		s.beginRequest()
	}
}

// requestDeadline returns the time by which the request that has begun to arrive must be complete.
func (s *session) requestDeadline(first bool) time.Time {
	if deadline := s.openedAt.Add(firstRequestTimeout); first && time.Until(deadline) > drainTimeout {
		return deadline
	} else if first {
		return time.Now().Add(drainTimeout)
	}
	return time.Now().Add(requestTimeout)
}

// setReadDeadline sets the read deadline: serving from now, bounded by draining while the front drains and by
// shortened while its deadlines are shortened. A lingering connection does not wait, and nothing is read once the
// front has stopped reading.
func (s *session) setReadDeadline(serving, draining, shortened time.Duration) {
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	switch {
	case !s.lingeringSince.IsZero() || s.front.readingStopped.Load():
		serving = 0
	case s.front.shortDeadlines:
		serving = min(serving, shortened)
	case s.front.draining:
		serving = min(serving, draining)
	}
	s.conn.SetReadDeadline(time.Now().Add(serving))
}

// awaitRequest waits for the first byte of a request and reports whether one has arrived. If not, the connection is
// to be closed.
func (s *session) awaitRequest(first bool) bool {
	if s.front.readingStopped.Load() && (s.r == nil || s.r.Buffered() == 0) { // buffered requests still get a response
		s.reason = closedProcessEnds
		return false
	}
	if s.r == nil || s.r.Buffered() == 0 {
		s.releaseReader()
		if first {
			s.setReadDeadline(firstRequestTimeout, drainFirstTimeout, 0)
		} else {
			s.setReadDeadline(idleTimeout, 0, 0)
		}
		err := s.waitReadable()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// A request that arrived just before the deadline is served: its client relies on a response.
			if _, data := netutil.Peek(s.conn); data {
				err = nil
			}
		}
		if err != nil {
			s.reason = s.reasonAfterWait(err)
			return false
		}
	}
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	if !s.stopLingering() {
		s.reason = closedForRoom
		return false
	}
	s.beginRequestLocked()
	return true
}

// beginRequest records that a request has begun to arrive.
func (s *session) beginRequest() {
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	s.beginRequestLocked()
}

// beginRequestLocked is beginRequest for callers that hold the lock of the front.
func (s *session) beginRequestLocked() {
	s.pending++
	s.partial, s.buffered, s.requestBegan = true, false, time.Now()
}

// waitReadable waits until the connection has bytes to read.
func (s *session) waitReadable() error {
	ok, err := netutil.WaitReadable(s.conn)
	if !ok {
		_, err = s.reader().Peek(1)
	}
	return err
}

// endRead records that the request being read is complete, or that the rest of it will not be read, and reports
// whether the connection stays open.
func (s *session) endRead(complete bool) bool {
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	s.partial, s.hasLargeSlot, s.buffered = false, false, s.r.Buffered() > 0
	if complete {
		return s.stopLingering()
	}
	return s.lingeringSince.IsZero() && !s.aborted
}
