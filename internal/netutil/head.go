package netutil

import "bytes"

// headTerminator ends the head of an HTTP/1 request.
var headTerminator = []byte("\r\n\r\n")

// HeadScanner looks for the end of the head of a request in the bytes of a connection.
type HeadScanner struct {
	complete bool
	tail     []byte // last bytes scanned, shorter than headTerminator
}

// Scan scans the next bytes of the connection, and reports whether the head is complete.
func (s *HeadScanner) Scan(b []byte) bool {
	if s.complete {
		return true
	}
	received := append(s.tail, b...)
	s.complete = bytes.Contains(received, headTerminator)
	s.tail = bytes.Clone(received[max(len(received)-len(headTerminator)+1, 0):])
	return s.complete
}

// CompleteWith reports whether the head is complete together with bytes that follow and are not scanned yet.
func (s *HeadScanner) CompleteWith(unread []byte) bool {
	return s.complete || bytes.Contains(append(bytes.Clone(s.tail), unread...), headTerminator)
}

// Complete reports whether the head is complete, by the bytes scanned.
func (s *HeadScanner) Complete() bool { return s.complete }
