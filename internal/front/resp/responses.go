package resp

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"time"

	"cometrack/internal/core"
)

// The responses of a connection, which a goroutine of its own writes in the order of the requests.

// response is the response to a request. It is text, or else comes from result or compute.
type response struct {
	text       string
	result     <-chan core.SubmitResponse
	messageID  string        // of the message whose submission result reports
	compute    func() string // called when all responses before it are written
	largeSlot  bool          // the request holds one of the front's slots for large requests
	closeAfter bool          // the connection is closed after this response
}

// enqueue queues a response for writing. The first one starts the writing goroutine, so that a connection without
// requests needs neither goroutine nor queue.
func (s *session) enqueue(r response) {
	if s.queue == nil {
		s.queue, s.writerDone = make(chan response, maxPipelined), make(chan struct{})
		go func() {
			defer close(s.writerDone)
			s.writeResponses(s.queue)
		}()
	}
	s.queue <- r
}

// writeResponses writes the responses in the order of their requests. Those that are ready share one write.
func (s *session) writeResponses(queue <-chan response) {
	w := bufio.NewWriterSize(s.conn, 512)
	var err error
	for r := range queue {
		text := r.text
		if r.result != nil {
			var submitted core.SubmitResponse
			select {
			case submitted = <-r.result:
			default: // send what is ready before waiting
				err = errors.Join(err, s.flush(w))
				submitted = <-r.result
			}
			text = s.respondSubmitted(r.messageID, submitted)
		}
		if r.compute != nil {
			text = r.compute()
		}
		if r.largeSlot {
			<-s.front.largeSlots
		}
		if strings.HasPrefix(text, "-ERR") {
			s.consecutiveErrors.Add(1)
		} else {
			s.consecutiveErrors.Store(0)
		}
		if err == nil {
			s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = w.WriteString(text)
		}
		if len(queue) == 0 {
			err = errors.Join(err, s.flush(w))
		}
		switch {
		case text == "":
		case err == nil:
			s.responses++
		case errors.Is(err, net.ErrClosed): // closed by the front
			s.unanswered++
		}
		s.responseHandled()
	}
}

// flush writes the buffered responses to the connection.
func (s *session) flush(w *bufio.Writer) error {
	if w.Buffered() == 0 {
		return nil
	}
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := w.Flush()
	if err == nil {
		s.responsesWritten()
	}
	return err
}

// responseHandled records that a pending request has been finished: its response was written or could not be.
func (s *session) responseHandled() {
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	s.pending--
	s.served = true
	s.idleSince = time.Now()
	if s.pending == 0 && s.front.draining { // the reader may wait with the longer deadline of an idle connection
		s.conn.SetReadDeadline(s.idleSince)
	}
}
