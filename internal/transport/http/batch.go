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

// item is a message in a call with several.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"` // Base64 in the text
}

// itemResult is what became of one of them.
type itemResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// maxBatch is the longest body of a call with several messages: the endpoint's
// bound on bodies. What does not fit goes in a further call behind the first, on
// the same slot.
const maxBatch = 64 << 10

// itemSize is an upper bound of what a message takes in the body.
func itemSize(a *core.Attempt) int {
	const frame = len(`{"id":"","key":"","body":""},`)
	const worst = 6 // a byte of an id or key as \u00XX
	return frame + worst*(len(a.Message.ID)+len(a.Message.Key)) + (len(a.Message.Body)+2)/3*4
}

// Batch hands several messages to one endpoint in one call. See [core.Transport].
func (c *Transport) Batch(ctx context.Context, call []*core.Attempt) []core.Result {
	var out []core.Result
	start := time.Now()
	for rest := call; len(rest) > 0; {
		n, size := 0, len("[]")
		for n < len(rest) {
			if size += itemSize(rest[n]); size > maxBatch && n > 0 {
				break
			}
			n++
		}
		var part []core.Result
		left := rest[0].Timeout // the least of what the messages have, less what earlier calls took
		for _, a := range rest[:n] {
			left = min(left, a.Timeout)
		}
		switch left -= time.Since(start); {
		case left <= 0: // never sent; the endpoint is not to blame
			part = make([]core.Result, n)
			for i := range part {
				part[i].Outcome = logic.NotSent
			}
		case n == 1:
			part = []core.Result{c.single(ctx, rest[0], left)}
		default:
			part = c.batch(ctx, rest[:n], left)
		}
		out, rest = append(out, part...), rest[n:]
		if slices.ContainsFunc(part, func(r core.Result) bool { return r.Outcome != logic.Completed || r.RequestedWait > 0 }) {
			for range rest { // the endpoint had better be asked again first
				out = append(out, core.Result{Outcome: logic.NotSent})
			}
			break
		}
	}
	return out
}

// batch makes one call with all that may begin.
func (c *Transport) batch(ctx context.Context, call []*core.Attempt, left time.Duration) []core.Result {
	// The call has the time of the message that has least: one answer speaks for all, and what comes after the time of
	// one of them is late.
	head := &core.Attempt{Endpoint: call[0].Endpoint, Addr: call[0].Addr, Timeout: left}
	for _, a := range call {
		head.Unrepeatable = head.Unrepeatable || a.Unrepeatable
	}
	var sent []item
	begun := make([]bool, len(call))
	answer := new(bytes.Buffer)
	whole := c.do(ctx, request{Attempt: head, body: answer,
		begin: func() bool {
			for i, a := range call {
				if begun[i] = a.Begin(); begun[i] {
					sent = append(sent, item{a.Message.ID, a.Message.Key, a.Message.Body})
				}
			}
			return len(sent) > 0
		},
		reason: func() permit.Reason { return permit.Granted }, // each has its own
		written: func() {
			for i, a := range call {
				if begun[i] {
					a.MarkWritten()
				}
			}
		},
		write: func(b []byte, left time.Duration) []byte { return appendBatch(b, sent, head.Addr, left) }})
	var results map[string]core.Result
	if whole.Outcome == logic.Completed {
		results = readItemResults(answer.Bytes(), whole)
	}
	out := make([]core.Result, len(call))
	for i, a := range call {
		switch itemResult, told := results[a.Message.ID]; {
		case !begun[i]:
			out[i] = core.Result{Outcome: logic.NotSent}
		case whole.Outcome != logic.Completed:
			out[i] = whole
		case told:
			out[i] = itemResult
		default: // it may have run, as far as the answer goes
			out[i] = core.Result{Outcome: logic.InvalidResponse, RequestedWait: whole.RequestedWait}
		}
	}
	return out
}

// readItemResults reads the body of a 200 to a call with several messages. What it does
// not say plainly is left out; a body that can't be read says nothing.
func readItemResults(body []byte, whole core.Result) map[string]core.Result {
	var list []itemResult
	if json.Unmarshal(body, &list) != nil {
		return nil
	}
	out, seen := map[string]core.Result{}, map[string]bool{}
	for _, f := range list {
		r, ok := core.Result{RequestedWait: whole.RequestedWait, Load: whole.Load}, true
		switch f.State {
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
		if ok && !seen[f.ID] {
			out[f.ID] = r
		} else { // two words on one message are none
			delete(out, f.ID)
		}
		seen[f.ID] = true
	}
	return out
}

// outcomeOfBatch reads the head of an answer to a call with several messages.
func outcomeOfBatch(status int, header http.Header) core.Result {
	switch status {
	case http.StatusOK:
		return core.Result{Outcome: logic.Completed, RequestedWait: toldWait(header)}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge: // none of them has run
		return core.Result{Outcome: logic.Overloaded}
	}
	return outcomeOf(status, header)
}

// appendBatch appends the request that hands several messages to an endpoint.
func appendBatch(b []byte, items []item, addr string, giveUp time.Duration) []byte {
	body, err := json.Marshal(items)
	if err != nil {
		panic(err) // strings and bytes can always be written
	}
	b = append(b, "POST /inbox/bulk HTTP/1.1\r\nHost: "...)
	b = append(b, addr...)
	b = append(b, "\r\nContent-Type: application/json\r\nX-Expires-In-Ms: "...)
	b = strconv.AppendInt(b, max(giveUp.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
