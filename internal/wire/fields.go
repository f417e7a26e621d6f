package wire

import (
	"fmt"
	"strconv"
	"strings"

	"cometrack/logic"
)

// fields reads the values of one line in order and keeps the first error.
type fields struct {
	name, remaining string
	line            int
	err             error
}

// fields returns a reader of the line s: its name up to the first space, then its values, each
// ended by one space. An error in a value is kept in the reader, with the number of the Decoder's
// current line, until fields.end returns it.
func (d *Decoder) fields(s string) *fields {
	name, remaining, _ := strings.Cut(s, " ")
	return &fields{name: name, remaining: remaining, line: d.line}
}

// fail records an error at a field, unless there is one already.
func (f *fields) fail(field, msg string) {
	if f.err == nil {
		f.err = &Error{f.line, field, msg}
	}
}

// end returns the first error; values left on the line are one.
func (f *fields) end() error {
	if f.err == nil && f.remaining != "" {
		f.fail("", "more values than "+f.name+" has")
	}
	return f.err
}

// rest returns all that is left of the line.
func (f *fields) rest() string {
	s := f.remaining
	f.remaining = ""
	return s
}

// word returns the next value, which must not be missing.
func (f *fields) word(field string) string {
	w, remaining, _ := strings.Cut(f.remaining, " ")
	f.remaining = remaining
	if w == "" {
		f.fail(field, "missing")
	}
	return w
}

// optional returns the next value, or an empty string where it is absent ("-").
func (f *fields) optional(field string) string {
	w := f.word(field)
	if w == "-" {
		return ""
	}
	return w
}

// parseInteger reads a whole number that fits an int64.
func (f *fields) parseInteger(field, w string) int64 {
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		// A whole number in a field of type number may have a zero fraction, as in "3.0".
		x, ferr := strconv.ParseFloat(w, 64)
		if ferr != nil || x != float64(int64(x)) {
			f.fail(field, "not a whole number: "+strconv.Quote(w))
		}
		n = int64(x)
	}
	return n
}

func (f *fields) integer(field string) int64 { return f.parseInteger(field, f.word(field)) }

// token reads the token of a timer.
func (f *fields) token(field string) uint64 {
	n, err := strconv.ParseUint(f.word(field), 10, 64)
	if err != nil {
		f.fail(field, "not a token")
	}
	return n
}

// seed reads a random seed: a whole number in the range of int64 or of uint64.
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
	n := f.integer("endpoint")
	if n < 0 || n > 1<<32-1 {
		f.fail("endpoint", "out of range")
	}
	return logic.EndpointID(n)
}

// flag reads 0 or 1; an absent value ("-") is false.
func (f *fields) flag(field string) bool {
	w := f.word(field)
	if w != "0" && w != "1" && w != "-" {
		f.fail(field, "not 0 or 1: "+strconv.Quote(w))
	}
	return w == "1"
}

// number reads a finite number; an absent value is 0.
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

// time reads a time in seconds; an absent value is 0.
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

// loadReport reads the comma-separated values of an endpoint's load report.
func (f *fields) loadReport() []float64 {
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

// outcomes has the simulator's name of each outcome.
var outcomes = [...]string{logic.Completed: "completed", logic.Errored: "errored", logic.Overloaded: "saturated",
	logic.TimedOut: "overdue", logic.ConnectionRefused: "refused_conn", logic.ConnectionBroken: "severed",
	logic.Cancelled: "recalled", logic.NotSent: "superseded"}

// readiness reads the state of an endpoint as the simulator numbers it.
func (f *fields) readiness() logic.Readiness {
	switch n := f.integer("readiness"); n {
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
