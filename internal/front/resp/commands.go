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
	"cometrack/internal/permit"
)

// Responses with a constant text.
const (
	responseOK             = "+OK\r\n" // the message is accepted
	responseFailed         = "-ERR failed\r\n"
	responseUnknownPartner = "-ERR unknown destination\r\n"
	responseConflict       = "-ERR id belongs to another message\r\n"
	responseStopped        = "-BUSY\r\n"                                      // the core has stopped
	responseNotReady       = "-LAMEDUCK this sender takes no new clients\r\n" // to PING
	responseNoAuth         = "-NOAUTH token required\r\n"
)

// maxNames bounds the list of names and values of a message. Names that are not known are ignored.
const maxNames = 64

// formatResult encodes the response to a submitted message.
func (c *Front) formatResult(result core.SubmitResponse) string {
	if c.opts.Withdraw != nil { // a client sends a request again only if it has had no response
		switch result.EndState {
		case message.Returned:
			return formatBusy(result.RetryAfter)
		case message.Failed:
			return responseFailed
		}
	}
	switch result.Status {
	case core.Accepted:
		return responseOK
	case core.Busy:
		return formatBusy(result.RetryAfter)
	case core.UnknownPartner:
		return responseUnknownPartner
	case core.Conflict:
		return responseConflict
	case core.Stopped:
		return responseStopped
	}
	return responseFailed
}

// formatBusy encodes a rejection, with the time until a retry in whole milliseconds, rounded up, if there is one.
func formatBusy(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (retryAfter+time.Millisecond-1)/time.Millisecond)
}

func errorResponse(text string) response { return response{text: "-ERR " + text + "\r\n"} }

// execute executes a request and returns its response.
func (s *session) execute(args [][]byte) response {
	cmd := strings.ToUpper(string(args[0]))
	if s.front.opts.Tenant != nil && !s.authenticated && strings.HasPrefix(cmd, "MSG.") {
		return response{text: responseNoAuth}
	}
	switch cmd {
	case "PING":
		switch {
		case s.front.opts.Ready != nil && !s.front.opts.Ready():
			return response{text: responseNotReady}
		case len(args) == 1:
			return response{text: "+PONG\r\n"}
		case len(args) == 2 && len(args[1]) <= smallRequestBytes:
			return response{text: fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1])}
		}
		return errorResponse("PING takes one short argument at most")
	case "MSG.PUT":
		m, timeLeft, err := s.front.parsePut(args[1:], time.Now())
		if err == nil && s.authenticated {
			err = s.bindTenant(m)
		}
		if err == nil {
			err = s.front.core.Check(m, timeLeft)
		}
		if err != nil {
			return errorResponse(err.Error())
		}
		if s.front.opts.Withdraw != nil && permit.Execute(s.clientLeft()) != permit.Granted {
			return response{text: formatBusy(0)}
		}
		result := make(chan core.SubmitResponse, 1)
		s.front.core.Submit(m, result)
		return response{result: result, messageID: m.ID}
	case "MSG.STATE":
		if len(args) != 2 || len(args[1]) == 0 || len(args[1]) > message.MaxName {
			return errorResponse("MSG.STATE takes an id")
		}
		id, bound, tenant := string(args[1]), s.authenticated, s.tenant
		return response{compute: func() string { return s.front.state(id, bound, tenant) }}
	}
	return s.connectionCommand(cmd, args[1:])
}

// connectionCommand executes the commands that client libraries send when they connect.
func (s *session) connectionCommand(cmd string, args [][]byte) response {
	switch cmd {
	case "HELLO":
		return s.hello(args)
	case "AUTH":
		if len(args) != 1 && len(args) != 2 {
			return errorResponse("AUTH takes a token")
		}
		return s.auth(string(args[len(args)-1]), responseOK)
	case "CLIENT":
		if len(args) > 0 {
			switch strings.ToUpper(string(args[0])) {
			case "SETINFO", "SETNAME":
				return response{text: responseOK}
			case "GETNAME":
				return response{text: "$-1\r\n"}
			}
		}
		return errorResponse("unknown subcommand of CLIENT")
	case "COMMAND":
		return response{text: "*0\r\n"}
	case "SELECT":
		if len(args) == 1 && string(args[0]) == "0" {
			return response{text: responseOK}
		}
		return errorResponse("there is database 0 only")
	case "QUIT":
		return response{text: responseOK, closeAfter: true}
	}
	return errorResponse("unknown command")
}

// hello executes HELLO [2 [AUTH user token] [SETNAME name]]. RESP3 is not supported; clients fall back to RESP2 on
// the NOPROTO error.
func (s *session) hello(args [][]byte) response {
	const text = "*6\r\n$6\r\nserver\r\n$9\r\ncometrack\r\n$5\r\nproto\r\n:2\r\n$4\r\nrole\r\n$6\r\nmaster\r\n"
	if len(args) > 0 && string(args[0]) != "2" {
		return response{text: "-NOPROTO only protocol version 2 is spoken\r\n"}
	}
	for i := 1; i < len(args); i++ {
		switch strings.ToUpper(string(args[i])) {
		case "AUTH":
			if i+2 >= len(args) {
				return errorResponse("AUTH takes a user and a token")
			}
			if a := s.auth(string(args[i+2]), ""); a.text != "" {
				return a
			}
			i += 2
		case "SETNAME":
			i++
		default:
			return errorResponse("unknown option of HELLO")
		}
	}
	return response{text: text}
}

// auth authenticates the connection by a token. Its response is ok if the token is valid.
func (s *session) auth(token, ok string) response {
	if s.front.opts.Tenant == nil {
		return errorResponse("no token is set for this listener")
	}
	tenant, known := s.front.opts.Tenant(token)
	if !known {
		return response{text: "-WRONGPASS unknown token\r\n"}
	}
	s.tenant, s.authenticated = tenant, true
	return response{text: ok}
}

// bindTenant sets the tenant of a message to that of the session's token, and rejects any other.
func (s *session) bindTenant(m *message.Message) error {
	if m.Tenant == "" {
		m.Tenant = s.tenant
	}
	if m.Tenant != s.tenant {
		return errors.New("the token is another tenant's")
	}
	return nil
}

// state executes MSG.STATE: it encodes an array of names and values, which is empty if the message is unknown. If
// bound, the messages of other tenants are unknown too.
func (c *Front) state(id string, bound bool, tenant string) string {
	st, err := c.core.State(context.Background(), id, false)
	if err != nil {
		return responseStopped
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

// parsePut parses the arguments of MSG.PUT. It returns the message and the time left until its deadline.
func (c *Front) parsePut(args [][]byte, now time.Time) (*message.Message, time.Duration, error) {
	if len(args) != 4 {
		return nil, 0, errors.New("MSG.PUT wants a key, an id, a list of names and values, and a body")
	}
	m := &message.Message{ID: string(args[1]), Body: args[3]}
	if key := string(args[0]); strings.Trim(key, "0") != "" {
		m.Order = key
	}
	var timeLeft time.Duration
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(string(args[2]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, 0, errors.New("bad list of names and values")
		}
		if len(seen) >= maxNames {
			return nil, 0, fmt.Errorf("over %d names and values", maxNames)
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
			timeLeft = time.Duration(ms) * time.Millisecond
			m.Deadline = c.core.Clock().At(now) + timeLeft.Microseconds()
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
	return m, timeLeft, nil
}
