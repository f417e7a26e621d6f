package node

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"ravenmount/logic"
)

const (
	maxHold   = 24 * time.Hour // the longest time that anybody may name
	holdTimes = 10             // the longest that a message may ask for, in times of its class's deadline
	maxIDLen  = 128
)

// parsePut reads the arguments of MSG.PUT.
func (c *clients) parsePut(args [][]byte, now time.Time) (Message, error) {
	var m Message
	if len(args) != 4 {
		return m, errors.New("MSG.PUT wants a key, an id, a list of names and values, and a body")
	}
	m.ID, m.Body = string(args[1]), args[3]
	if key := string(args[0]); strings.Trim(key, "0") != "" {
		if len(key) > maxIDLen || !plain(key) {
			return m, errors.New("bad key")
		}
		m.Order = key
	}
	if m.ID == "" || len(m.ID) > maxIDLen || !plain(m.ID) {
		return m, errors.New("bad id")
	}
	var hold time.Duration
	seen := map[string]bool{}
	for _, pair := range strings.Split(string(args[2]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return m, errors.New("bad list of names and values")
		}
		if seen[name] {
			return m, errors.New("a name stands twice")
		}
		seen[name] = true
		switch name {
		case "c":
			m.Class = value
		case "t":
			m.Tenant = value
		case "k":
			if len(value) > maxIDLen || !plain(value) {
				return m, errors.New("bad idempotency key")
			}
			m.Key = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 64)
			if err != nil || ms < 0 || ms > maxHold.Milliseconds() {
				return m, errors.New("bad time")
			}
			hold = time.Duration(ms) * time.Millisecond
			m.Deadline = now.Add(hold).UnixMicro()
		case "dest":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				return m, errors.New("bad destination")
			}
			m.Dest = n
		}
	}
	if !seen["d"] || !seen["dest"] {
		return m, errors.New("d and dest must be given")
	}
	i, ok := c.cfg.Classes[m.Class]
	if !ok {
		return m, errors.New("unknown class")
	}
	class := c.cfg.Deploy.Settings.Classes[i]
	if class.Effect == logic.Keyed && m.Key == "" {
		return m, errors.New("k must be given in a keyed class")
	}
	if hold > holdTimes*span(class.Deadline) {
		return m, errors.New("bad time")
	}
	if _, ok := c.cfg.Tenants[m.Tenant]; !ok && m.Tenant != "" {
		return m, errors.New("unknown tenant")
	}
	return m, nil
}

// plain says whether s may stand in a header.
func plain(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
