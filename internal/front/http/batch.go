package httpfront

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
)

const (
	maxLine  = message.MaxBody*2 + smallBody // a line of a batch: the body may be escaped
	inFlight = 256                           // lines of one batch that wait for their answers
)

// batchLine is one message of a batch.
type batchLine struct {
	ID         string  `json:"id"`
	Key        string  `json:"key"`
	Order      string  `json:"order"`
	Class      string  `json:"class"`
	Tenant     string  `json:"tenant"`
	Partner    string  `json:"partner"`
	Left       string  `json:"left"`
	Deadline   string  `json:"deadline"`
	Body       *string `json:"body"`        // text
	BodyBase64 *string `json:"body_base64"` // any bytes
}

// batchResult is the answer to one line.
type batchResult struct {
	Line    int      `json:"line"` // from 1
	ID      string   `json:"id,omitempty"`
	Status  int      `json:"status"`
	Problem *problem `json:"problem,omitempty"`
}

// pending is a line whose answer may not be there yet.
type pending struct {
	batchResult
	answer chan core.SubmitResponse
}

// batch takes one message a line and answers one result a line, in order, each as
// soon as it is there. What can't be read ends the batch; lines before stand.
func (f *Front) batch(w http.ResponseWriter, r *http.Request, by who) {
	if !f.takeLarge(r.Context()) {
		problem{Status: http.StatusServiceUnavailable, Detail: "too many large bodies are under way"}.write(w)
		return
	}
	defer func() { <-f.large }()
	rc := http.NewResponseController(w)
	rc.EnableFullDuplex() // results go out while lines come in
	w.Header().Set("Content-Type", "application/x-ndjson")
	queue, written := make(chan pending, inFlight), make(chan struct{})
	go func() {
		defer close(written)
		f.results(w, rc, queue)
	}()
	f.lines(rc, r.Body, by, queue)
	close(queue)
	<-written
}

// lines reads and submits.
func (f *Front) lines(rc *http.ResponseController, body io.Reader, by who, queue chan<- pending) {
	in := bufio.NewReaderSize(body, maxLine)
	for n := 1; ; n++ {
		rc.SetReadDeadline(time.Now().Add(bodyTime))
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			queue <- failed(n, &problem{Status: http.StatusRequestEntityTooLarge, Detail: "the line is too long; the batch ends here"})
			return
		}
		if err != nil && !errors.Is(err, io.EOF) { // half a line is no message
			queue <- failed(n, &problem{Status: http.StatusBadRequest, Detail: "the line did not come whole; the batch ends here"})
			return
		}
		if text = bytes.TrimSpace(text); len(text) > 0 {
			queue <- f.line(n, text, by)
		} else if err == nil {
			n--
		}
		if err != nil {
			return
		}
		select {
		case <-f.closing:
			queue <- failed(n+1, &problem{Status: http.StatusServiceUnavailable, Detail: "the sender is stopping; the batch ends here"})
			return
		default:
		}
	}
}

func failed(line int, p *problem) pending {
	p.Title = http.StatusText(p.Status)
	return pending{batchResult: batchResult{Line: line, ID: p.ID, Status: p.Status, Problem: p}}
}

// line submits one message.
func (f *Front) line(n int, text []byte, by who) pending {
	var in batchLine
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return failed(n, &problem{Status: http.StatusBadRequest, Detail: err.Error()})
	}
	if dec.More() {
		return failed(n, &problem{Status: http.StatusBadRequest, Detail: "more than one object on the line"})
	}
	q := &request{left: in.Left, by: in.Deadline, msg: message.Message{ID: in.ID, Key: in.Key, Order: in.Order, Class: in.Class,
		Tenant: in.Tenant, Partner: in.Partner}}
	switch {
	case in.Body != nil && in.BodyBase64 != nil:
		return failed(n, badField("body", "body and body_base64 exclude each other"))
	case in.Body != nil:
		q.msg.Body = []byte(*in.Body)
	case in.BodyBase64 != nil:
		b, err := base64.StdEncoding.DecodeString(*in.BodyBase64)
		if err != nil {
			return failed(n, badField("body_base64", err.Error()))
		}
		q.msg.Body = b
	}
	if bad := f.finish(q, by, time.Now()); bad != nil {
		bad.ID = q.msg.ID
		return failed(n, bad)
	}
	p := pending{batchResult: batchResult{Line: n, ID: q.msg.ID}, answer: make(chan core.SubmitResponse, 1)}
	f.core.Submit(&q.msg, p.answer)
	return p
}

// results writes the answers in the order of their lines, those that are ready
// together.
func (f *Front) results(w http.ResponseWriter, rc *http.ResponseController, queue <-chan pending) {
	enc := json.NewEncoder(w)
	var broken error
	for p := range queue {
		if p.answer != nil {
			select {
			case a := <-p.answer:
				p.answered(a)
			default: // what is ready must not wait for what is not
				if broken == nil {
					broken = rc.Flush()
				}
				p.answered(<-p.answer)
			}
		}
		if broken != nil {
			continue // the client is gone; what it has handed in stands
		}
		rc.SetWriteDeadline(time.Now().Add(answerTime))
		broken = enc.Encode(p.batchResult)
		if broken == nil && len(queue) == 0 {
			broken = rc.Flush()
		}
	}
}

func (p *pending) answered(a core.SubmitResponse) {
	if bad := refusal(p.ID, a); bad != nil {
		bad.Title = http.StatusText(bad.Status)
		p.Status, p.Problem = bad.Status, bad
		return
	}
	p.Status = http.StatusAccepted
}
