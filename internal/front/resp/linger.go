package resp

import (
	"time"

	"cometrack/internal/netutil"
)

// The end of a connection: once the front has closed its side, it waits for the client to close the other.

// stopLingering keeps a connection that was to be closed as idle, since a request has arrived. It reports whether the
// connection is open; an aborted one is not. The caller holds the lock of the front.
func (s *session) stopLingering() bool {
	if !s.aborted && !s.lingeringSince.IsZero() {
		s.lingeringSince = time.Time{}
		s.front.lingering--
	}
	return !s.aborted
}

// startLingering counts a connection as lingering. The caller holds the lock of the front.
func (s *session) startLingering() {
	if !s.aborted && s.lingeringSince.IsZero() {
		s.lingeringSince = time.Now()
		s.front.lingering++
	}
}

// linger closes the front's side of the connection, then reads and discards until the client has closed its side. A
// client sends discarded requests again on another connection. To close with unread input would reset the
// connection, which destroys responses that are in transit or still in the send buffer. It returns the error that ended
// the reading; nil if that was a bound.
func (s *session) linger() error {
	if t, ok := s.conn.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	s.front.mu.Lock()
	s.startLingering()
	s.writeClosed = true
	deadline := time.Now().Add(lingerTimeout)
	switch {
	case s.front.readingStopped.Load():
		deadline = time.Now().Add(finalLingerTimeout)
	case s.front.draining:
		deadline = time.Now().Add(drainTimeout)
	}
	s.conn.SetReadDeadline(deadline)
	s.front.mu.Unlock()
	var b []byte
	for n := 0; n < maxLingerBytes; {
		if ok, err := netutil.WaitReadable(s.conn); ok && err != nil {
			return err
		}
		if b == nil { // allocate late: few clients send anything here
			b = make([]byte, lingerBufferBytes)
		}
		k, err := s.conn.Read(b)
		if n += k; err != nil {
			return err
		}
	}
	return nil
}
