package resp

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/message"
)

const (
	answerOK       = "+OK\r\n"
	answerFailed   = "-ERR failed\r\n"
	answerUnknown  = "-ERR unknown destination\r\n"
	answerConflict = "-ERR id belongs to another message\r\n"
	answerStopped  = "-BUSY\r\n"
	answerNotReady = "-LAMEDUCK this sender takes no new clients\r\n"
	answerNoAuth   = "-NOAUTH token required\r\n"
)

// lineOf is the answer to a message that was handed in, as a line.
func lineOf(a core.SubmitResponse) string {
	switch a.Status {
	case core.Accepted:
		return answerOK
	case core.Busy:
		return busyLine(a.RetryAfter)
	case core.UnknownPartner:
		return answerUnknown
	case core.Conflict:
		return answerConflict
	case core.Stopped:
		return answerStopped
	}
	return answerFailed
}

func busyLine(after time.Duration) string {
	if after <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (after+time.Millisecond-1)/time.Millisecond)
}

func errLine(text string) answer { return answer{line: "-ERR " + text + "\r\n"} }

// answer carries a request out.
func (s *session) answer(args [][]byte) answer {
	cmd := strings.ToUpper(string(args[0]))
	if s.c.opts.Tenant != nil && !s.authed && strings.HasPrefix(cmd, "MSG.") {
		return answer{line: answerNoAuth}
	}
	switch cmd {
	case "PING":
		switch {
		case s.c.opts.Ready != nil && !s.c.opts.Ready():
			return answer{line: answerNotReady}
		case len(args) == 1:
			return answer{line: "+PONG\r\n"}
		case len(args) == 2 && len(args[1]) <= smallRequest:
			return answer{line: fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1])}
		}
		return errLine("PING takes one short argument at most")
	case "MSG.PUT":
		m, hold, err := s.c.parsePut(args[1:], time.Now())
		if err == nil && s.authed {
			err = s.own(m)
		}
		if err == nil {
			err = s.c.core.Check(m, hold)
		}
		if err != nil {
			return errLine(err.Error())
		}
		later := make(chan core.SubmitResponse, 1)
		s.c.core.Submit(m, later)
		return answer{later: later}
	case "MSG.STATE":
		if len(args) != 2 || len(args[1]) == 0 || len(args[1]) > message.MaxName {
			return errLine("MSG.STATE takes an id")
		}
		id, bound, tenant := string(args[1]), s.authed, s.tenant
		return answer{ask: func() string { return s.c.state(id, bound, tenant) }}
	}
	return s.greet(cmd, args[1:])
}

// greet answers what client libraries send on connecting.
func (s *session) greet(cmd string, args [][]byte) answer {
	switch cmd {
	case "HELLO":
		return s.hello(args)
	case "AUTH":
		if len(args) != 1 && len(args) != 2 {
			return errLine("AUTH takes a token")
		}
		return s.auth(string(args[len(args)-1]), answerOK)
	case "CLIENT":
		if len(args) > 0 {
			switch strings.ToUpper(string(args[0])) {
			case "SETINFO", "SETNAME":
				return answer{line: answerOK}
			case "GETNAME":
				return answer{line: "$-1\r\n"}
			}
		}
		return errLine("unknown subcommand of CLIENT")
	case "COMMAND":
		return answer{line: "*0\r\n"}
	case "SELECT":
		if len(args) == 1 && string(args[0]) == "0" {
			return answer{line: answerOK}
		}
		return errLine("there is database 0 only")
	case "QUIT":
		return answer{line: answerOK, last: true}
	}
	return errLine("unknown command")
}

// hello answers HELLO [2 [AUTH user token] [SETNAME name]]. RESP3 is not spoken,
// and clients fall back when told so.
func (s *session) hello(args [][]byte) answer {
	const text = "*6\r\n$6\r\nserver\r\n$9\r\ncometrack\r\n$5\r\nproto\r\n:2\r\n$4\r\nrole\r\n$6\r\nmaster\r\n"
	if len(args) > 0 && string(args[0]) != "2" {
		return answer{line: "-NOPROTO only protocol version 2 is spoken\r\n"}
	}
	for i := 1; i < len(args); i++ {
		switch strings.ToUpper(string(args[i])) {
		case "AUTH":
			if i+2 >= len(args) {
				return errLine("AUTH takes a user and a token")
			}
			if a := s.auth(string(args[i+2]), ""); a.line != "" {
				return a
			}
			i += 2
		case "SETNAME":
			i++
		default:
			return errLine("unknown option of HELLO")
		}
	}
	return answer{line: text}
}

// auth takes a token and answers ok if it stands for a tenant.
func (s *session) auth(token, ok string) answer {
	if s.c.opts.Tenant == nil {
		return errLine("no token is set for this listener")
	}
	tenant, known := s.c.opts.Tenant(token)
	if !known {
		return answer{line: "-WRONGPASS unknown token\r\n"}
	}
	s.tenant, s.authed = tenant, true
	return answer{line: ok}
}

// own binds a message to the tenant of the session's token.
func (s *session) own(m *message.Message) error {
	if m.Tenant == "" {
		m.Tenant = s.tenant
	}
	if m.Tenant != s.tenant {
		return errors.New("the token is another tenant's")
	}
	return nil
}

// state answers MSG.STATE: an array of names and values, empty if nothing is known
// of the message. Bound to a tenant, it tells nothing of others' messages.
func (c *Front) state(id string, bound bool, tenant string) string {
	st, err := c.core.State(context.Background(), id, false)
	if err != nil {
		return answerStopped
	}
	if st.Name == "" || bound && st.Tenant != tenant {
		return "*0\r\n"
	}
	var b strings.Builder
	n := 0
	add := func(name, value string) {
		n += 2
		fmt.Fprintf(&b, "$%d\r\n%s\r\n$%d\r\n%s\r\n", len(name), name, len(value), value)
	}
	add("state", st.Name)
	add("partner", st.Partner)
	add("class", st.Class)
	add("tries", strconv.Itoa(st.Attempts))
	if st.RetryAfter > 0 {
		add("after_ms", strconv.FormatInt(st.RetryAfter.Milliseconds(), 10))
	}
	for _, t := range [...]struct {
		name string
		at   time.Time
	}{{"accepted", st.AcceptedAt}, {"deadline", st.Deadline}, {"over", st.EndedAt}} {
		if !t.at.IsZero() {
			add(t.name, t.at.UTC().Format(time.RFC3339Nano))
		}
	}
	return fmt.Sprintf("*%d\r\n%s", n, b.String())
}

// parsePut reads the arguments of MSG.PUT, and how long the message may be
// delivered.
func (c *Front) parsePut(args [][]byte, now time.Time) (*message.Message, time.Duration, error) {
	if len(args) != 4 {
		return nil, 0, errors.New("MSG.PUT wants a key, an id, a list of names and values, and a body")
	}
	m := &message.Message{ID: string(args[1]), Body: args[3]}
	if key := string(args[0]); strings.Trim(key, "0") != "" {
		m.Order = key
	}
	var hold time.Duration
	seen := map[string]bool{}
	for _, pair := range strings.Split(string(args[2]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, 0, errors.New("bad list of names and values")
		}
		if seen[name] {
			return nil, 0, errors.New("a name stands twice")
		}
		seen[name] = true
		switch name {
		case "c":
			m.Class = value
		case "t":
			m.Tenant = value
		case "k":
			m.Key = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 64)
			if err != nil || ms < 0 || ms > core.MaxRequestedTime.Milliseconds() {
				return nil, 0, errors.New("bad time")
			}
			hold = time.Duration(ms) * time.Millisecond
			m.Deadline = c.core.Clock().At(now) + hold.Microseconds()
		case "dest":
			m.Partner = value
			if c.opts.NumericPartners {
				n, err := strconv.ParseInt(value, 10, 64)
				if err != nil || n < 0 {
					return nil, 0, errors.New("bad destination")
				}
				m.Partner = strconv.FormatInt(n, 10)
			}
		}
	}
	if !seen["d"] || !seen["dest"] {
		return nil, 0, errors.New("d and dest must be given")
	}
	return m, hold, nil
}
