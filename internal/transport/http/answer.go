package httptransport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"cometrack/internal/core"
	"cometrack/logic"
)

const (
	maxAnswer = 64 << 10              // head and body of an answer, with interim ones ahead
	headTime  = time.Second           // for the rest of an answer that matters, once it has begun
	tailTime  = 50 * time.Millisecond // for what does not; a connection that is slower is not used again
)

// errSpoilt says that an answer can't be read.
var errSpoilt = errors.New("spoilt answer")

// readAnswer reads the answer to a call that was written, and says whether the
// connection can carry another. net/http's reader would not do: the first line
// counts even where the rest of the head can't be read, and lengths that leave a
// doubt are no lengths. With a body, a 200 counts only if it has come whole.
func readAnswer(r *bufio.Reader, limit *cutoff, reports []string, later bool, body *bytes.Buffer) (core.Result, bool) {
	for {
		limit.wait(0)
		if _, err := r.Peek(1); err != nil {
			if !isTimeout(err) {
				return limit.broken(err), false
			}
			given := limit.outcome()
			limit.giveUp()
			if _, err := r.Peek(1); err != nil {
				return core.Result{Outcome: given}, false
			}
		}
		limit.wait(headTime)
		status, err := readStatus(r)
		if status == http.StatusOK && body == nil { // true whatever follows
			limit.wait(tailTime)
			header, keep, tail := readRest(r, status, io.Discard)
			return core.Result{Outcome: logic.Completed, Load: readReport(header, reports)}, err == nil && tail == nil && keep
		}
		if err != nil {
			return limit.broken(err), false
		}
		if status/100 == 1 && status != http.StatusSwitchingProtocols {
			if _, err := readHeader(r); err != nil {
				return limit.broken(err), false
			}
			continue // an interim answer; the outcome is yet to come
		}
		var to io.Writer = io.Discard
		if body != nil {
			to = body
		}
		header, keep, err := readRest(r, status, to)
		if err != nil && status != http.StatusInternalServerError {
			out := limit.broken(err)
			if status == http.StatusTooManyRequests { // the wait is told, whatever became of the rest
				out.RequestedWait = toldWait(header)
			}
			return out, false
		}
		out := outcomeOf(status, header)
		if body != nil {
			out = outcomeOfBatch(status, header)
		}
		if later && out.Outcome == logic.Overloaded && out.RequestedWait == 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
			out.RequestedWait = retryAfter(header, time.Now())
		}
		out.Load = readReport(header, reports)
		return out, keep && err == nil
	}
}

// broken is the outcome of an answer that did not come whole.
func (l *cutoff) broken(err error) core.Result {
	switch {
	case l.over():
		return core.Result{Outcome: l.outcome()}
	case errors.Is(err, errSpoilt), isTimeout(err):
		return core.Result{Outcome: logic.InvalidResponse}
	}
	return core.Result{Outcome: logic.ConnectionBroken}
}

// readStatus reads the first line of an answer. The status is there as soon as it
// can be read, also if the line does not end.
func readStatus(r *bufio.Reader) (int, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = errSpoilt
	}
	text := string(line)
	if len(text) < 13 || !strings.HasPrefix(text, "HTTP/1.") || !digits(text[7:8]) || text[8] != ' ' ||
		!digits(text[9:12]) || !strings.ContainsAny(text[12:13], " \r\n") {
		if err == nil {
			err = fmt.Errorf("%w: first line %.40q", errSpoilt, text)
		}
		return 0, err
	}
	status, _ := strconv.Atoi(text[9:12])
	return status, err
}

func digits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

func readHeader(r *bufio.Reader) (http.Header, error) {
	header, err := textproto.NewReader(r).ReadMIMEHeader()
	return http.Header(header), spoilt(err)
}

// spoilt marks an error as one of what was read, unless it comes from the connection itself.
func spoilt(err error) error {
	var n net.Error
	if err == nil || errors.As(err, &n) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return fmt.Errorf("%w: %w", errSpoilt, err)
}

// readRest reads head and body, and says whether the connection can be used again.
func readRest(r *bufio.Reader, status int, body io.Writer) (http.Header, bool, error) {
	header, err := readHeader(r)
	if err != nil {
		return header, false, err
	}
	lengths, codings := header.Values("Content-Length"), header.Values("Transfer-Encoding")
	keep := !strings.EqualFold(header.Get("Connection"), "close")
	switch {
	case len(lengths)+len(codings) > 1:
		return header, false, fmt.Errorf("%w: more than one length", errSpoilt)
	case status == http.StatusNoContent || status == http.StatusNotModified:
	case len(lengths) == 1:
		n, err := strconv.ParseInt(lengths[0], 10, 64)
		if err != nil || !digits(lengths[0]) || n > maxAnswer {
			return header, false, fmt.Errorf("%w: length %.40q", errSpoilt, lengths[0])
		}
		if _, err := io.CopyN(body, r, n); err != nil {
			return header, false, err
		}
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") {
			return header, false, fmt.Errorf("%w: coding %.40q", errSpoilt, codings[0])
		}
		if _, err := io.Copy(body, httputil.NewChunkedReader(r)); err != nil {
			return header, false, spoilt(err)
		}
		if _, err := readHeader(r); err != nil { // trailers
			return header, false, err
		}
	default: // the body ends with the connection
		keep = false
		if _, err := io.Copy(body, r); err != nil {
			return header, false, err
		}
	}
	return header, keep && r.Buffered() == 0, nil
}

// retryAfter is the wait that Retry-After tells, in seconds or as a date; 0 for none.
// A date is taken by the clock of the answer's own Date, if there is one.
func retryAfter(header http.Header, now time.Time) time.Duration {
	text := strings.TrimSpace(header.Get("Retry-After"))
	if digits(text) {
		s, err := strconv.ParseInt(text, 10, 64)
		if err != nil { // more than there are numbers for
			return core.MaxRequestedTime
		}
		return time.Duration(min(s, int64(core.MaxRequestedTime/time.Second))) * time.Second
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	if sent, err := http.ParseTime(header.Get("Date")); err == nil {
		now = sent
	}
	return min(max(at.Sub(now), 0), core.MaxRequestedTime)
}

// outcomeOf reads an answer that came whole.
func outcomeOf(status int, header http.Header) core.Result {
	switch status {
	case http.StatusTooManyRequests:
		return core.Result{Outcome: logic.Overloaded, RequestedWait: toldWait(header)}
	case http.StatusServiceUnavailable:
		if header.Get("X-Line-Busy") == "1" {
			return core.Result{Outcome: logic.NotSent}
		}
		return core.Result{Outcome: logic.Overloaded}
	case http.StatusGatewayTimeout:
		return core.Result{Outcome: logic.NotSent}
	case http.StatusGone:
		return core.Result{Outcome: logic.NotSent, MessageEnded: true}
	}
	return core.Result{Outcome: logic.Errored}
}

// toldWait is the wait that an answer tells; 0 for none.
func toldWait(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get("X-Come-Back-Ms"), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, core.MaxRequestedTime.Milliseconds())) * time.Millisecond
}

// readReport is the load report that an answer brings, its values in the order of
// names; nil if there is none or it can't be read whole.
func readReport(header http.Header, names []string) []float64 {
	text := header.Get("Endpoint-Load-Metrics")
	if len(names) == 0 || text == "" {
		return nil
	}
	out, seen := make([]float64, len(names)), make([]bool, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		i := slices.Index(names, name)
		if i < 0 {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || seen[i] || !(x >= 0 && x <= math.MaxFloat64) {
			return nil
		}
		out[i], seen[i] = x, true
	}
	if slices.Contains(seen, false) {
		return nil
	}
	return out
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
