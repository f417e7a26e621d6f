package wire

import (
	"fmt"
	"strconv"
	"strings"

	"cometrack/logic"
)

// fields takes the values of one line in order and keeps the first error.
type fields struct {
	name, left string
	line       int
	err        error
}

func (d *Decoder) fields(s string) *fields {
	name, left, _ := strings.Cut(s, " ")
	return &fields{name: name, left: left, line: d.line}
}

func (f *fields) fail(field, msg string) {
	if f.err == nil {
		f.err = &Error{f.line, field, msg}
	}
}

func (f *fields) end() error {
	if f.err == nil && f.left != "" {
		f.fail("", "more values than "+f.name+" has")
	}
	return f.err
}

func (f *fields) rest() string {
	s := f.left
	f.left = ""
	return s
}

func (f *fields) word(field string) string {
	w, left, _ := strings.Cut(f.left, " ")
	f.left = left
	if w == "" {
		f.fail(field, "missing")
	}
	return w
}

// optional is a word that may be absent; then it is empty.
func (f *fields) optional(field string) string {
	w := f.word(field)
	if w == "-" {
		return ""
	}
	return w
}

func (f *fields) parseWhole(field, w string) int64 {
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		// A whole number in a field of type number may come with a fraction of nought.
		x, ferr := strconv.ParseFloat(w, 64)
		if ferr != nil || x != float64(int64(x)) {
			f.fail(field, "not a whole number: "+strconv.Quote(w))
		}
		n = int64(x)
	}
	return n
}

func (f *fields) whole(field string) int64 { return f.parseWhole(field, f.word(field)) }

func (f *fields) token(field string) uint64 {
	n, err := strconv.ParseUint(f.word(field), 10, 64)
	if err != nil {
		f.fail(field, "not a token")
	}
	return n
}

func (f *fields) seed(field string) uint64 {
	w := f.word(field)
	if n, err := strconv.ParseInt(w, 10, 64); err == nil {
		return uint64(n)
	}
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(field, "not a whole number: "+strconv.Quote(w))
	}
	return n
}

func (f *fields) endpoint() logic.EndpointID {
	n := f.whole("endpoint")
	if n < 0 || n > 1<<32-1 {
		f.fail("endpoint", "out of range")
	}
	return logic.EndpointID(n)
}

func (f *fields) flag(field string) bool {
	w := f.word(field)
	if w != "0" && w != "1" && w != "-" {
		f.fail(field, "not 0 or 1: "+strconv.Quote(w))
	}
	return w == "1"
}

func (f *fields) number(field string) float64 {
	w := f.optional(field)
	if w == "" {
		return 0
	}
	x, err := strconv.ParseFloat(w, 64)
	if err != nil || x-x != 0 {
		f.fail(field, "not a number: "+strconv.Quote(w))
		return 0
	}
	return x
}

func (f *fields) time(field string) logic.Micros {
	w := f.optional(field)
	if w == "" {
		return 0
	}
	t, err := ParseTime(w)
	if err != nil {
		f.fail(field, err.Error())
	}
	return t
}

func (f *fields) load() []float64 {
	w := f.optional("pressure")
	if w == "" {
		return nil
	}
	var out []float64
	for _, part := range strings.Split(w, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil || x-x != 0 {
			f.fail("pressure", "not a number: "+strconv.Quote(part))
			return nil
		}
		out = append(out, x)
	}
	return out
}

func (f *fields) outcome() logic.Outcome {
	w := f.word("reason")
	for i, name := range outcomes {
		if w == name {
			return logic.Outcome(i)
		}
	}
	f.fail("reason", "unknown outcome "+strconv.Quote(w))
	return 0
}

var outcomes = [...]string{logic.Completed: "completed", logic.Errored: "errored", logic.Overloaded: "saturated",
	logic.TimedOut: "overdue", logic.ConnectionRefused: "refused_conn", logic.ConnectionBroken: "severed",
	logic.Cancelled: "recalled", logic.NotSent: "superseded"}

func (f *fields) readiness() logic.Readiness {
	switch n := f.whole("readiness"); n {
	case 0:
		return logic.Ready
	case 3:
		return logic.Draining
	case 1:
		return logic.Gone
	default:
		f.fail("readiness", fmt.Sprintf("unknown state %d", n))
		return logic.Gone
	}
}
