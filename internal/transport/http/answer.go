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
	maxResponseBytes = 64 << 10              // head and body of a response, including interim ones
	responseTimeout  = time.Second           // for the rest of a response whose content matters, once it has begun
	drainTimeout     = 50 * time.Millisecond // for a rest whose content doesn't; a slower connection is not reused
)

// errInvalidResponse marks a response that can't be parsed.
var errInvalidResponse = errors.New("invalid response")

// readResponse reads the response to a call and reports whether the connection can be
// reused. It doesn't use net/http's reader, because the status line counts even if the
// rest of the head is invalid, and an ambiguous length must be rejected. With a body, a
// 200 counts only if it is complete.
func readResponse(r *bufio.Reader, timer *callTimer, loadMetrics []string, useRetryAfter bool,
	body *bytes.Buffer) (core.Result, bool) {
	for {
		timer.limitRead(0)
		if _, err := r.Peek(1); err != nil {
			if !isTimeout(err) {
				return timer.readFailure(err), false
			}
			outcome := timer.abortOutcome()
			timer.abandon()
			if _, err := r.Peek(1); err != nil {
				return core.Result{Outcome: outcome}, false
			}
		}
		timer.limitRead(responseTimeout)
		status, err := readStatus(r)
		if status == http.StatusOK && body == nil { // delivered, whatever follows
			timer.limitRead(drainTimeout)
			header, keep, tailErr := readHeadAndBody(r, status, io.Discard)
			return core.Result{Outcome: logic.Completed, Load: parseLoadMetrics(header, loadMetrics)},
				err == nil && tailErr == nil && keep
		}
		if err != nil {
			return timer.readFailure(err), false
		}
		if status/100 == 1 && status != http.StatusSwitchingProtocols {
			if _, err := readHeader(r); err != nil {
				return timer.readFailure(err), false
			}
			continue // an interim response; the final one follows
		}
		var to io.Writer = io.Discard
		if body != nil {
			to = body
		}
		header, keep, err := readHeadAndBody(r, status, to)
		if err != nil && status != http.StatusInternalServerError {
			out := timer.readFailure(err)
			if status == http.StatusTooManyRequests { // the requested wait counts even if the rest is missing
				out.RequestedWait = requestedWait(header)
			}
			return out, false
		}
		out := resultOf(status, header)
		if body != nil {
			out = batchResultOf(status, header)
		}
		if useRetryAfter && out.Outcome == logic.Overloaded && out.RequestedWait == 0 &&
			(status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
			out.RequestedWait = retryAfter(header, time.Now())
		}
		out.Load = parseLoadMetrics(header, loadMetrics)
		return out, keep && err == nil
	}
}

// readFailure returns the result of a response that is incomplete or invalid.
func (l *callTimer) readFailure(err error) core.Result {
	switch {
	case l.aborted():
		return core.Result{Outcome: l.abortOutcome()}
	case errors.Is(err, errInvalidResponse), isTimeout(err):
		return core.Result{Outcome: logic.InvalidResponse}
	}
	return core.Result{Outcome: logic.ConnectionBroken}
}

// readStatus reads the status line of a response. The status is returned, together with
// any error, as soon as it can be parsed, even if the line does not end.
func readStatus(r *bufio.Reader) (int, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		err = errInvalidResponse
	}
	text := string(line)
	if len(text) < 13 || !strings.HasPrefix(text, "HTTP/1.") || !isDigits(text[7:8]) || text[8] != ' ' ||
		!isDigits(text[9:12]) || !strings.ContainsAny(text[12:13], " \r\n") {
		if err == nil {
			err = fmt.Errorf("%w: status line %.40q", errInvalidResponse, text)
		}
		return 0, err
	}
	status, _ := strconv.Atoi(text[9:12])
	return status, err
}

// isDigits reports whether s consists of decimal digits and is not empty.
func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// readHeader reads header fields up to the empty line.
func readHeader(r *bufio.Reader) (http.Header, error) {
	header, err := textproto.NewReader(r).ReadMIMEHeader()
	return http.Header(header), markInvalid(err)
}

// markInvalid marks an error as an invalid response, unless it comes from the connection itself.
func markInvalid(err error) error {
	var n net.Error
	if err == nil || errors.As(err, &n) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return fmt.Errorf("%w: %w", errInvalidResponse, err)
}

// readHeadAndBody reads the header fields and the body, and reports whether the connection can be reused.
func readHeadAndBody(r *bufio.Reader, status int, body io.Writer) (http.Header, bool, error) {
	header, err := readHeader(r)
	if err != nil {
		return header, false, err
	}
	lengths, codings := header.Values("Content-Length"), header.Values("Transfer-Encoding")
	keep := !strings.EqualFold(header.Get("Connection"), "close")
	switch {
	case len(lengths)+len(codings) > 1:
		return header, false, fmt.Errorf("%w: more than one length", errInvalidResponse)
	case status == http.StatusNoContent || status == http.StatusNotModified:
	case len(lengths) == 1:
		n, err := strconv.ParseInt(lengths[0], 10, 64)
		if err != nil || !isDigits(lengths[0]) || n > maxResponseBytes {
			return header, false, fmt.Errorf("%w: length %.40q", errInvalidResponse, lengths[0])
		}
		if _, err := io.CopyN(body, r, n); err != nil {
			return header, false, err
		}
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") {
			return header, false, fmt.Errorf("%w: transfer coding %.40q", errInvalidResponse, codings[0])
		}
		if _, err := io.Copy(body, httputil.NewChunkedReader(r)); err != nil {
			return header, false, markInvalid(err)
		}
		if _, err := readHeader(r); err != nil { // trailers
			return header, false, err
		}
	default: // the body ends when the connection is closed
		keep = false
		if _, err := io.Copy(body, r); err != nil {
			return header, false, err
		}
	}
	return header, keep && r.Buffered() == 0, nil
}

// retryAfter returns the wait that Retry-After requests, in seconds or as a date; 0 for none.
// A date is taken relative to the response's Date header, if there is one.
func retryAfter(header http.Header, now time.Time) time.Duration {
	text := strings.TrimSpace(header.Get("Retry-After"))
	if isDigits(text) {
		s, err := strconv.ParseInt(text, 10, 64)
		if err != nil { // the number is too large
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

// resultOf returns the result of a complete response to a call with one message.
func resultOf(status int, header http.Header) core.Result {
	switch status {
	case http.StatusTooManyRequests:
		return core.Result{Outcome: logic.Overloaded, RequestedWait: requestedWait(header)}
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

// requestedWait returns the wait that X-Come-Back-Ms requests; 0 for none.
func requestedWait(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get("X-Come-Back-Ms"), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, core.MaxRequestedTime.Milliseconds())) * time.Millisecond
}

// parseLoadMetrics returns the values of the response's load report in the order of
// names; nil if there is no report or it is incomplete or invalid.
func parseLoadMetrics(header http.Header, names []string) []float64 {
	text := header.Get("Endpoint-Load-Metrics")
	if len(names) == 0 || text == "" {
		return nil
	}
	out, seen := make([]float64, len(names)), make([]bool, len(names))
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
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

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
