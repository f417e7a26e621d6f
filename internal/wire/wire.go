// Package wire reads and writes the simulator's line protocol, which drives package logic:
// it decodes frames of events and encodes actions.
package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"cometrack/logic"
)

// Item is one event of a frame with the number of the instance that it is for. At most one
// of Create, Halt and Event is set; none is for an event that has no effect.
type Item struct {
	Instance int
	Create   *Create
	Halt     bool
	Event    logic.Event
}

// Create starts an instance.
type Create struct {
	Seed     uint64
	Settings logic.Settings
}

// Frame is one batch of events at one time.
type Frame struct {
	Clock logic.Micros // time of the events
	Seq   string       // number of the frame, repeated in the reply
	Items []Item
}

// Error describes a malformed line of the input. Lines count from 1.
type Error struct {
	Line  int
	Field string
	Msg   string
}

func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Msg)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Msg)
}

// maxLists is the number of endpoint lists that the protocol can register.
const maxLists = 16

// Decoder reads frames and keeps the endpoint lists that they register.
type Decoder struct {
	r     *bufio.Reader
	line  int
	lists [maxLists][]logic.Entry
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16)}
}

// readLine returns the next line without its end. It returns io.EOF only if the input ends
// before the first byte of a line.
func (d *Decoder) readLine() (string, error) {
	s, err := d.r.ReadString('\n')
	if err == io.EOF && s != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

// Next returns the next frame, or io.EOF if the input ended between two frames.
func (d *Decoder) Next() (*Frame, error) {
	s, err := d.readLine()
	for err == nil && s == "" {
		s, err = d.readLine()
	}
	if err != nil {
		return nil, err
	}
	f := d.fields(s)
	if f.name != "frame" {
		return nil, &Error{d.line, "", "want a frame, got " + strconv.Quote(f.name)}
	}
	out := &Frame{Clock: f.time("clock_s"), Seq: f.word("round")}
	if _, err := strconv.ParseUint(out.Seq, 10, 64); err != nil {
		f.fail("round", "not a whole number")
	}
	if err := f.end(); err != nil {
		return nil, err
	}
	for {
		if s, err = d.readLine(); err == io.EOF {
			return nil, &Error{d.line + 1, "", "input ends inside a frame"}
		} else if err != nil {
			return nil, err
		}
		switch name, _, _ := strings.Cut(s, " "); name {
		case "":
			continue
		case "eob":
			return out, nil
		case "register":
			err = d.register(d.fields(s))
		default:
			var it Item
			if it, err = d.item(d.fields(s)); err == nil {
				out.Items = append(out.Items, it)
			}
		}
		if err != nil {
			return nil, err
		}
	}
}

// register reads the rows of an endpoint list and keeps them for later events.
func (d *Decoder) register(f *fields) error {
	set, n := f.integer("set_id"), f.integer("rows")
	if set < 0 || set >= maxLists {
		f.fail("set_id", "out of range")
	}
	if n < 0 {
		f.fail("rows", "negative")
	}
	if err := f.end(); err != nil {
		return err
	}
	var rows []logic.Entry
	for i := int64(0); i < n; i++ {
		s, err := d.readLine()
		if err == io.EOF {
			return &Error{d.line + 1, "rows", "input ends inside a list"}
		} else if err != nil {
			return err
		}
		e := d.fields(s)
		if e.name != "entry" {
			return &Error{d.line, "", "want an entry, got " + strconv.Quote(e.name)}
		}
		row := logic.Entry{Endpoint: e.endpoint(), Zone: int(e.integer("zone")), Kind: int(e.integer("kind")),
			Dest: e.integer("cell"), State: e.readiness(), NominalRate: e.number("nominal")}
		e.time("born_s")
		if err := e.end(); err != nil {
			return err
		}
		rows = append(rows, row)
	}
	d.lists[set] = rows
	return nil
}

// item decodes one line that is an event.
func (d *Decoder) item(f *fields) (Item, error) {
	it := Item{Instance: int(f.integer("who"))}
	switch f.name {
	case "create":
		c := &Create{Seed: f.seed("random_seed")}
		text := f.rest()
		if f.err != nil {
			return it, f.err
		}
		settings, err := ParseSettings([]byte(text))
		if err != nil {
			return it, &Error{d.line, "setup", err.Error()}
		}
		c.Settings = settings
		it.Create = c
		return it, nil
	case "halt":
		it.Halt = true
	case "endpoints":
		it.Event = d.endpoints(f)
	case "call":
		it.Event = newMessage(f)
	case "started":
		it.Event = logic.StreamStarted{ID: f.word("req"), Attempt: int(f.integer("copy"))}
		f.endpoint()
		f.time("time_taken_s")
	case "reply":
		it.Event = attemptResult(f)
	case "client_gone":
		it.Event = logic.ClientGone{ID: f.word("req")}
	case "due":
		it.Event = logic.TimerFired{Token: f.token("ctx")}
	case "health_result":
		o := f.outcome()
		f.time("time_taken_s")
		it.Event = logic.ProbeResult{Outcome: o, Endpoint: f.endpoint(), Load: f.loadReport()}
	case "peer":
		// Package logic exchanges no messages between senders: the line is checked and dropped.
		f.integer("neighbour")
		f.word("msg")
		it.Event = nil
	default:
		return it, &Error{d.line, "", "unknown event " + strconv.Quote(f.name)}
	}
	return it, f.end()
}

// endpoints decodes an update of the endpoint list.
func (d *Decoder) endpoints(f *fields) logic.Event {
	form := f.integer("form")
	f.integer("stamp")
	if form < int64(logic.ListDelta) || form > int64(logic.ListFailed) {
		f.fail("form", "out of range")
		return nil
	}
	ev := logic.Endpoints{Form: logic.ListForm(form)}
	if ev.Form == logic.ListFailed {
		f.word("set_id")
		return ev
	}
	set := f.integer("set_id")
	if set < 0 || set >= maxLists {
		f.fail("set_id", "out of range")
		return nil
	}
	ev.Entries = d.lists[set]
	return ev
}

// newMessage decodes a submitted message.
func newMessage(f *fields) logic.Event {
	c := logic.NewMessage{ID: f.word("req")}
	f.flag("repeat")
	c.Remaining = f.time("grace_s")
	f.flag("came_back")
	f.number("expected_s")
	c.Key = f.optional("key")
	f.flag("is_write")
	c.Dest = f.integer("to_exchange")
	c.Tenant = -1
	if w := f.optional("realm"); w != "" {
		c.Tenant = int(f.parseInteger("realm", w))
	}
	c.Class = int(f.integer("category"))
	return c
}

// attemptResult decodes the result of an attempt.
func attemptResult(f *fields) logic.Event {
	r := logic.AttemptResult{ID: f.word("req"), MessageEnded: f.flag("no_more"), Endpoint: f.endpoint(),
		Attempt: int(f.integer("copy")), Outcome: f.outcome(), Latency: f.time("time_taken_s")}
	detail := int64(0)
	if w := f.optional("detail"); w != "" {
		detail = f.parseInteger("detail", w)
	}
	if r.Outcome == logic.Overloaded && detail > 0 {
		r.RetryAfter = logic.Micros(detail) * logic.Second / 1000
	}
	r.Load = f.loadReport()
	return r
}

// ParseTime converts a time in seconds to whole microseconds. It drops the digits after the
// sixth decimal place, and rounds text with an exponent.
func ParseTime(w string) (logic.Micros, error) {
	body, neg := strings.CutPrefix(w, "-")
	whole, frac, _ := strings.Cut(body, ".")
	if strings.ContainsAny(body, "eE") {
		x, err := strconv.ParseFloat(w, 64)
		if err != nil || x-x != 0 || x > 1e12 || x < -1e12 {
			return 0, fmt.Errorf("not a time: %q", w)
		}
		if x < 0 {
			return -logic.Micros(-x*1e6 + 0.5), nil
		}
		return logic.Micros(x*1e6 + 0.5), nil
	}
	if len(frac) > 6 {
		if strings.Trim(frac[6:], "0123456789") != "" {
			return 0, fmt.Errorf("not a time: %q", w)
		}
		frac = frac[:6]
	}
	digits := whole + frac + "000000"[len(frac):]
	n, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || whole == "" {
		return 0, fmt.Errorf("not a time: %q", w)
	}
	if neg {
		return -logic.Micros(n), nil
	}
	return logic.Micros(n), nil
}

// AppendTime appends microseconds as seconds to b, exactly and without trailing zeros.
func AppendTime(b []byte, t logic.Micros) []byte {
	if t < 0 {
		b = append(b, '-')
		t = -t
	}
	b = strconv.AppendInt(b, int64(t/logic.Second), 10)
	frac := int64(t % logic.Second)
	if frac == 0 {
		return b
	}
	return append(b, strings.TrimRight(fmt.Sprintf(".%06d", frac), "0")...)
}

// AppendAction appends one action of an instance to b as a line.
func AppendAction(b []byte, instance int, a logic.Action) []byte {
	w := strconv.Itoa(instance)
	switch a := a.(type) {
	case logic.StartAttempt:
		b = append(b, "call_out "+w+" "+a.ID+" "...)
		b = AppendTime(b, a.Timeout)
		b = append(b, ' ')
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.Cancel:
		b = append(b, "stop_attempt "+w+" "+a.ID+" "+strconv.Itoa(a.Attempt)...)
	case logic.ReturnMessage:
		b = append(b, "say_no "+w+" "+a.ID+" "...)
		if a.RetryIn > 0 {
			b = AppendTime(b, a.RetryIn)
		} else {
			b = append(b, '-')
		}
	case logic.FailMessage:
		b = append(b, "surrender "+w+" "+a.ID...)
	case logic.SetTimer:
		b = append(b, "notify_me "+w+" "...)
		b = AppendTime(b, a.Wait)
		b = append(b, ' ')
		b = strconv.AppendUint(b, a.Token, 10)
	case logic.Probe:
		b = append(b, "sample "+w+" "...)
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.CloseIdle:
		b = append(b, "release "+w+" "...)
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.RequestEndpoints:
		b = append(b, "listen "+w+" 1"...)
	case logic.Log:
		b = append(b, "journal_line "+w+" "+strings.ReplaceAll(a.Text, "\n", " ")...)
	}
	return append(b, '\n')
}
