package resp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
)

const (
	firstRequest = 2300 * time.Millisecond // for the first request to have come whole
	requestTime  = 2 * time.Second         // for a later one, once it has begun
	idleClient   = 4 * time.Second         // between requests
	answerTime   = 2 * time.Second
	lastRequest  = 200 * time.Millisecond // while retiring, for a request that has begun to come, or for lingerClient
	firstRetired = time.Second            // and for the first one on a new connection
	maxErrors    = 16                     // errors in a row after which a connection is closed
	errorPause   = 5 * time.Millisecond   // before the next request is read, for each error in a row
	lingerClient = 500 * time.Millisecond // for the client to end a connection that is ended
	lingerLast   = 50 * time.Millisecond  // and as the process ends
	lingerBytes  = 1 << 20                // that it may send until then
	lingerRead   = 4 << 10                // at a time

	answerTimeout = "-ERR request not complete in time\r\n"
	answerTooMany = "-ERR too many errors\r\n"
)

// session is one client's connection. Requests may be pipelined: a reader hands
// them on as they come, a writer answers them in their order.
type session struct {
	c      *Front
	conn   net.Conn
	opened time.Time
	errors atomic.Int32 // in a row
	heard  atomic.Int64 // when the last byte came, nanoseconds after it was opened

	// The reader's own; nil while there is no need of them.
	r       *bufio.Reader
	queue   chan answer
	written chan struct{}
	closed  closeReason

	// The writer's own until it has ended.
	answers    int
	unanswered int // requests read whole whose answers this end kept from being written

	// Under the lock of the front.
	open     int       // requests that have begun to come and are not answered
	begun    bool      // the last of them is not whole
	buffered bool      // something of a further one has been read
	served   bool      // one has been answered
	since    time.Time // when the last one was answered
	left     time.Time // when it was told to end, or began to; zero while it is live
	shut     bool      // its client has been told
	cut      bool      // it is closed

	tenant string // that its token stands for
	authed bool   // it has shown a token
}

// answer is the answer to a request: at once, or as soon as it is there.
type answer struct {
	line  string
	later <-chan core.SubmitResponse
	ask   func() string // gives the answer when its turn has come
	large bool          // the request holds a place among the large ones
	last  bool          // the connection ends after it
}

// closeReason says why a connection is closed.
type closeReason string

// The reasons.
const (
	closedByClient  closeReason = "ended by the client"
	closedIdle      closeReason = "idle"
	closedForRoom   closeReason = "to make room"
	closedRetiring  closeReason = "the sender takes no more"
	closedOver      closeReason = "the process ends"
	closedProtocol  closeReason = "protocol error"
	closedTimeout   closeReason = "request not complete in time"
	closedErrors    closeReason = "too many errors"
	closedOnRequest closeReason = "asked for"
)

// traceClosed logs why the connection was closed, and counts it if a request that was
// read has no answer.
func (s *session) traceClosed() {
	s.c.log.Debug("client closed", "remote", s.conn.RemoteAddr().String(), "reason", string(s.closed), "answered", s.answers)
	if s.unanswered > 0 {
		s.c.opts.Monitor.CountViolation(permit.ClosedUnanswered, s.conn.RemoteAddr().String(), "requests", s.unanswered, "reason", string(s.closed))
	}
}

// reasonToEnd is why a connection between requests ends; err is what its wait ended with.
func (s *session) reasonToEnd(err error) closeReason {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	switch {
	case s.c.over.Load():
		return closedOver
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		return closedByClient
	case !s.left.IsZero() || s.cut:
		return closedForRoom
	case s.c.retiring:
		return closedRetiring
	}
	return closedIdle
}

func (s *session) handle() {
	if s.await(true) { // here, where the stack is small yet
		s.read()
		if s.queue != nil {
			close(s.queue)
			<-s.written
		}
	}
	s.rest()
	s.linger()
}

// send queues an answer. Queue and writer are there from the first one on: a
// connection that asks nothing costs neither.
func (s *session) send(a answer) {
	if s.queue == nil {
		s.queue, s.written = make(chan answer, maxPipelined), make(chan struct{})
		go func() {
			defer close(s.written)
			s.write(s.queue)
		}()
	}
	s.queue <- a
}

// readers are those of connections on which a request is coming.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// reader is the session's, until it rests.
func (s *session) reader() *bufio.Reader {
	if s.r == nil {
		s.r = readers.Get().(*bufio.Reader)
		s.r.Reset(heardConn{s})
	}
	return s.r
}

// rest gives the reader back.
func (s *session) rest() {
	if s.r != nil {
		s.r.Reset(nil)
		readers.Put(s.r)
		s.r = nil
	}
}

// heardConn notes when bytes come.
type heardConn struct{ s *session }

func (c heardConn) Read(b []byte) (int, error) {
	n, err := c.s.conn.Read(b)
	if n > 0 {
		c.s.heard.Store(int64(time.Since(c.s.opened)))
	}
	return n, err
}

// read takes requests until the connection is to end.
func (s *session) read() {
	for first := true; first || s.await(false); first = false {
		if n := s.errors.Load(); n >= maxErrors {
			s.closed = closedErrors
			s.refuseBuffered()
			return
		} else if n > 0 {
			time.Sleep(time.Duration(n) * errorPause)
		}
		whole := time.Until(s.requestBy(first))
		s.deadline(whole, whole, lastRequest)
		large := false
		args, err := readCommand(s.reader(), func() error {
			err := s.takeLarge()
			large = err == nil
			return err
		})
		live := s.came(err == nil)
		switch {
		case err == nil && live:
			a := s.answer(args)
			a.large = large
			s.send(a)
			if a.last {
				s.closed = closedOnRequest
				return
			}
			continue
		case errors.Is(err, errProtocol):
			s.closed = closedProtocol
			s.send(answer{line: fmt.Sprintf("-ERR %v\r\n", err), large: large})
			return
		case errors.Is(err, errNoPlace):
			s.send(answer{line: busyLine(0)})
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && live && !s.c.ends():
			s.closed = closedTimeout
			s.send(answer{line: answerTimeout, large: large})
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && live: // this end gives up: it was not taken on, and may come again
			s.send(answer{line: busyLine(0), large: large})
			return
		}
		s.closed = s.reasonToEnd(err)
		s.send(answer{large: large})
		return
	}
}

// refuseBuffered answers the request that has begun to come, and all that were read with
// it, before the connection ends.
func (s *session) refuseBuffered() {
	s.conn.SetReadDeadline(time.Now()) // nothing more is read
	for {
		_, err := readCommand(s.reader(), func() error { return errNoPlace })
		s.came(err == nil)
		s.send(answer{line: answerTooMany})
		if err != nil || s.r.Buffered() == 0 {
			return
		}
		s.begin()
	}
}

// requestBy is when the request that has begun to come must be whole.
func (s *session) requestBy(first bool) time.Time {
	if by := s.opened.Add(firstRequest); first && time.Until(by) > lastRequest {
		return by
	} else if first {
		return time.Now().Add(lastRequest)
	}
	return time.Now().Add(requestTime)
}

// errNoPlace says that too many large requests are under way.
var errNoPlace = errors.New("no place for a large request")

func (s *session) takeLarge() error {
	t := time.NewTimer(lastRequest)
	defer t.Stop()
	select {
	case s.c.large <- struct{}{}:
		return nil
	case <-t.C:
		return errNoPlace
	}
}

// deadline sets how long the reader waits: while serving, while connections retire,
// and while they do in a hurry. One that is told to end waits for nothing, and as the
// process ends nothing more is read from the connection.
func (s *session) deadline(serving, retiring, leaving time.Duration) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	switch {
	case !s.left.IsZero() || s.c.over.Load():
		serving = 0
	case s.c.leaving:
		serving = min(serving, leaving)
	case s.c.retiring:
		serving = min(serving, retiring)
	}
	s.conn.SetReadDeadline(time.Now().Add(serving))
}

// await waits for the first byte of a request; false ends the connection.
func (s *session) await(first bool) bool {
	if s.c.over.Load() && (s.r == nil || s.r.Buffered() == 0) { // what has been read is answered
		s.closed = closedOver
		return false // nothing more is read
	}
	if s.r == nil || s.r.Buffered() == 0 {
		s.rest()
		if first {
			s.deadline(firstRequest, firstRetired, 0)
		} else {
			s.deadline(idleClient, 0, 0)
		}
		err := s.readable()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// A request may have come just before: it is answered, for its client counts on that.
			if _, data := netutil.Peek(s.conn); data {
				err = nil
			}
		}
		if err != nil {
			s.closed = s.reasonToEnd(err)
			return false
		}
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	if !s.live() {
		s.closed = closedForRoom
		return false
	}
	s.beginLocked()
	return true
}

// begin notes that a request has begun to come.
func (s *session) begin() {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.beginLocked()
}

// beginLocked is begin under the lock.
func (s *session) beginLocked() {
	s.open++
	s.begun, s.buffered = true, false
}

// live keeps a connection that was told to end, since it turns out not to rest; false
// if it is too late for that. It is called under the lock.
func (s *session) live() bool {
	if !s.cut && !s.left.IsZero() {
		s.left = time.Time{}
		s.c.ending--
	}
	return !s.cut
}

// leave counts a connection among those that end. It is called under the lock.
func (s *session) leave() {
	if !s.cut && s.left.IsZero() {
		s.left = time.Now()
		s.c.ending++
	}
}

// readable waits for something to read.
func (s *session) readable() error {
	ok, err := netutil.WaitReadable(s.conn)
	if !ok {
		_, err = s.reader().Peek(1)
	}
	return err
}

// came notes that a request has come whole, or that nothing more of it will, and says
// whether the connection is to go on.
func (s *session) came(whole bool) bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.begun, s.buffered = false, s.r.Buffered() > 0
	if whole {
		return s.live()
	}
	return s.left.IsZero() && !s.cut
}

// write sends the answers in the order of their requests, those that are ready together.
func (s *session) write(queue <-chan answer) {
	w := bufio.NewWriterSize(s.conn, 512)
	var err error
	for a := range queue {
		line := a.line
		if a.later != nil {
			select {
			case x := <-a.later:
				line = lineOf(x)
			default: // what is ready must not wait for what is not
				err = errors.Join(err, s.flush(w))
				line = lineOf(<-a.later)
			}
		}
		if a.ask != nil {
			line = a.ask()
		}
		if a.large {
			<-s.c.large
		}
		if strings.HasPrefix(line, "-ERR") {
			s.errors.Add(1)
		} else {
			s.errors.Store(0)
		}
		if err == nil {
			s.conn.SetWriteDeadline(time.Now().Add(answerTime))
			_, err = w.WriteString(line)
		}
		if len(queue) == 0 {
			err = errors.Join(err, s.flush(w))
		}
		switch {
		case line == "":
		case err == nil:
			s.answers++
		case errors.Is(err, net.ErrClosed): // by this end
			s.unanswered++
		}
		s.answered()
	}
}

func (s *session) flush(w *bufio.Writer) error {
	if w.Buffered() == 0 {
		return nil
	}
	s.conn.SetWriteDeadline(time.Now().Add(answerTime))
	return w.Flush()
}

func (s *session) answered() {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.open--
	s.served = true
	s.since = time.Now()
	if s.open == 0 && s.c.retiring { // its reader waits as if it might rest
		s.conn.SetReadDeadline(s.since)
	}
}

// linger ends the connection. The client is told first; what it sends still is read,
// until it has ended its side too, and is not acted upon: it will be sent again on
// another connection. A close with unread input would be a reset, which destroys what
// is on its way to the client or held back by the system.
func (s *session) linger() {
	if t, ok := s.conn.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	s.c.mu.Lock()
	s.leave()
	s.shut = true
	by := time.Now().Add(lingerClient)
	switch {
	case s.c.over.Load():
		by = time.Now().Add(lingerLast)
	case s.c.retiring:
		by = time.Now().Add(lastRequest)
	}
	s.conn.SetReadDeadline(by)
	s.c.mu.Unlock()
	var b []byte
	for n := 0; n < lingerBytes; {
		if ok, err := netutil.WaitReadable(s.conn); ok && err != nil {
			return
		}
		if b == nil { // few send anything
			b = make([]byte, lingerRead)
		}
		k, err := s.conn.Read(b)
		if n += k; err != nil {
			return
		}
	}
}
