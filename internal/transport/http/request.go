package httptransport

import (
	"strconv"
	"sync"
	"time"

	"cometrack/internal/message"
)

// appendDeliver appends the request that delivers m to an endpoint. It doesn't use
// net/http, whose building and writing of the request took a seventh of the CPU time of
// an attempt. IDs and keys have been validated as visible ASCII.
func appendDeliver(b []byte, m *message.Message, addr string, timeout time.Duration) []byte {
	b = append(b, "POST /inbox HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	b = append(b, "\r\nX-Trace-Id: "...)
	b = append(b, m.ID...)
	if m.Key != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, m.Key...)
	}
	b = append(b, "\r\nX-Expires-In-Ms: "...)
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, m.Body...)
}

// appendProbe appends the health check request to an endpoint.
func appendProbe(b []byte, addr string) []byte {
	b = append(b, "GET /alive HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	return append(b, "\r\n\r\n"...)
}

// requestBuffers holds buffers for requests.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBuffer is the largest buffer in bytes that goes back to requestBuffers.
const maxPooledBuffer = 8 << 10
