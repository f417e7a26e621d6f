package httptransport

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/permit"
	"cometrack/logic"
)

// batchItem is one message in the body of a batch request.
type batchItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"` // Base64 in JSON
}

// batchItemResult is the outcome of one message in the body of a batch response.
type batchItemResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// maxBatchBytes is the longest body of a batch request: the endpoint's limit on bodies.
// Messages that don't fit go in further calls after the first, on the same slot.
const maxBatchBytes = 64 << 10

// maxItemSize returns an upper bound of the bytes that a message takes in the body.
func maxItemSize(a *core.Attempt) int {
	const frame = len(`{"id":"","key":"","body":""},`)
	const maxEscaped = 6 // bytes for one byte of an ID or key, as \u00XX
	return frame + maxEscaped*(len(a.Message.ID)+len(a.Message.Key)) + (len(a.Message.Body)+2)/3*4
}

// Batch delivers several messages to one endpoint in one call, or in consecutive calls if they exceed the endpoint's
// body limit. See [core.Transport].
func (c *Transport) Batch(ctx context.Context, call []*core.Attempt) []core.Result {
	var out []core.Result
	start := time.Now()
	for rest := call; len(rest) > 0; {
		n, size := 0, len("[]")
		for n < len(rest) {
			if size += maxItemSize(rest[n]); size > maxBatchBytes && n > 0 {
				break
			}
			n++
		}
		var results []core.Result
		remaining := rest[0].Timeout // the shortest timeout of the messages, less the time of earlier calls
		for _, a := range rest[:n] {
			remaining = min(remaining, a.Timeout)
		}
		switch remaining -= time.Since(start); {
		case remaining <= 0: // never sent, so it is no failure of the endpoint
			results = make([]core.Result, n)
			for i := range results {
				results[i].Outcome = logic.NotSent
			}
		case n == 1:
			results = []core.Result{c.single(ctx, rest[0], remaining)}
		default:
			results = c.batch(ctx, rest[:n], remaining)
		}
		out, rest = append(out, results...), rest[n:]
		if slices.ContainsFunc(results, func(r core.Result) bool { return r.Outcome != logic.Completed || r.RequestedWait > 0 }) {
			for range rest { // let the caller decide again after a failure or a requested wait
				out = append(out, core.Result{Outcome: logic.NotSent})
			}
			break
		}
	}
	return out
}

// batch makes one call with all attempts that may begin.
func (c *Transport) batch(ctx context.Context, call []*core.Attempt, remaining time.Duration) []core.Result {
	// The call has the shortest timeout of its messages: one response covers all of them, and it is late if it arrives
	// after the timeout of any.
	head := &core.Attempt{Endpoint: call[0].Endpoint, Addr: call[0].Addr, Timeout: remaining}
	for _, a := range call {
		head.Unrepeatable = head.Unrepeatable || a.Unrepeatable
	}
	var sent []batchItem
	begun := make([]bool, len(call))
	response := new(bytes.Buffer)
	callResult := c.roundTrip(ctx, request{Attempt: head, body: response,
		begin: func() bool {
			for i, a := range call {
				if begun[i] = a.Begin(); begun[i] {
					sent = append(sent, batchItem{a.Message.ID, a.Message.Key, a.Message.Body})
				}
			}
			return len(sent) > 0
		},
		denialReason: func() permit.Reason { return permit.Granted }, // each attempt has its own
		written: func() {
			for i, a := range call {
				if begun[i] {
					a.MarkWritten()
				}
			}
		},
		appendTo: func(b []byte, remaining time.Duration) []byte { return appendBatch(b, sent, head.Addr, remaining) }})
	var results map[string]core.Result
	if callResult.Outcome == logic.Completed {
		results = parseItemResults(response.Bytes(), callResult)
	}
	out := make([]core.Result, len(call))
	for i, a := range call {
		switch itemResult, found := results[a.Message.ID]; {
		case !begun[i]:
			out[i] = core.Result{Outcome: logic.NotSent}
		case callResult.Outcome != logic.Completed:
			out[i] = callResult
		case found:
			out[i] = itemResult
		default: // the response leaves open whether it has run
			out[i] = core.Result{Outcome: logic.InvalidResponse, RequestedWait: callResult.RequestedWait}
		}
	}
	return out
}

// parseItemResults parses the body of a 200 to a batch request into results by message ID.
// Messages with an unknown state or with several entries are left out; an invalid body
// yields none.
func parseItemResults(body []byte, callResult core.Result) map[string]core.Result {
	var list []batchItemResult
	if json.Unmarshal(body, &list) != nil {
		return nil
	}
	out, seen := map[string]core.Result{}, map[string]bool{}
	for _, item := range list {
		r, ok := core.Result{RequestedWait: callResult.RequestedWait, Load: callResult.Load}, true
		switch item.State {
		case "done":
			r.Outcome = logic.Completed
		case "failed":
			r.Outcome = logic.Errored
		case "busy":
			r.Outcome = logic.Overloaded
		case "void":
			r.Outcome, r.MessageEnded = logic.NotSent, true
		case "used_up":
			r.Outcome = logic.NotSent
		default:
			ok = false
		}
		if ok && !seen[item.ID] {
			out[item.ID] = r
		} else { // several entries for one message are ambiguous
			delete(out, item.ID)
		}
		seen[item.ID] = true
	}
	return out
}

// batchResultOf returns the result of the status line and header of the response to a batch request.
func batchResultOf(status int, header http.Header) core.Result {
	switch status {
	case http.StatusOK:
		return core.Result{Outcome: logic.Completed, RequestedWait: requestedWait(header)}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge: // none of them has run
		return core.Result{Outcome: logic.Overloaded}
	}
	return resultOf(status, header)
}

// appendBatch appends the request that delivers several messages to an endpoint.
func appendBatch(b []byte, items []batchItem, addr string, timeout time.Duration) []byte {
	body, err := json.Marshal(items)
	if err != nil {
		panic(err) // strings and bytes can always be encoded
	}
	b = append(b, "POST /inbox/bulk HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	b = append(b, "\r\nContent-Type: application/json\r\nX-Expires-In-Ms: "...)
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
