// Package fate lets a stand-in answer single HTTP calls like a failing server.
package fate

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// Kind is the way in which a call is answered. Its zero value is Answered.
type Kind int

// Kinds of responses. With all but Answered and Delayed the call fails.
const (
	Answered           Kind = iota // 200 at once, with the whole body
	Unavailable                    // 503 at once
	DelayedUnavailable             // 503 after a time in a queue
	Reset                          // the connection is reset without a response
	Truncated                      // the connection is closed after half of the body
	NoResponse                     // no byte is sent until the caller disconnects
	Stalled                        // no byte is sent after half of the body until the caller disconnects
	Delayed                        // 200 after a delay, with the whole body
	NumKinds                       // number of kinds
)

// kindNames are the names of the kinds for reports, by number.
var kindNames = [NumKinds]string{"answered", "503 at once", "503 after a while", "reset", "cut within the answer",
	"silent", "silent within the answer", "answered late"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Response is the way in which one call is answered. With its zero value the call is answered at once.
type Response struct {
	Kind  Kind
	Delay time.Duration // for DelayedUnavailable and Delayed
}

// Succeeds reports whether the caller gets a complete response with the body, if it waits long enough.
func (f Response) Succeeds() bool { return f.Kind == Answered || f.Kind == Delayed }

// Serve answers a call, with body as the content of a successful response. It returns when the call
// has ended for the server, and reports whether the whole body was written to a caller that had not
// disconnected; it is false for a response with 503.
func (f Response) Serve(w http.ResponseWriter, r *http.Request, body []byte) bool {
	switch f.Kind {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case DelayedUnavailable:
		if wait(r, f.Delay) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case Reset:
		hijackAndClose(w, "", true)
	case Truncated:
		hijackAndClose(w, firstHalf(body), false)
	case NoResponse:
		<-r.Context().Done()
	case Stalled:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	case Delayed:
		if !wait(r, f.Delay) {
			return false
		}
		fallthrough
	default:
		_, err := w.Write(body)
		return err == nil && r.Context().Err() == nil
	}
	return false
}

// wait waits for d; it returns false if the caller disconnects first.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// firstHalf returns a response with 200 as it is sent over HTTP/1.1, cut off after half of its body.
func firstHalf(body []byte) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
}

// hijackAndClose writes text to the connection of a call and closes it. If reset is true the peer gets a
// reset in place of a regular end.
func hijackAndClose(w http.ResponseWriter, text string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	conn.Write([]byte(text))
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		tcp.SetLinger(0)
	}
}
