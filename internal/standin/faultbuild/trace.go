package faultbuild

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"
)

// TraceVariable names the environment variable that tells a program the file to which
// it adds what it does with its connections.
const TraceVariable = "COMETRACK_FAULT_TRACE"

// Connection is what a program did with one connection.
type Connection struct {
	Port      int // of its peer
	FirstSeen time.Time
	Reads     []Read    // until the program ended its side, in order
	EndedAt   time.Time // when it ended its side, or closed the connection; zero if it never did
	// Broken says that a [Break] came on it: what became of it is not the program's doing.
	Broken bool
}

// Read is a read from a connection.
type Read struct {
	At         time.Time
	TotalBytes int64 // bytes that have been read with it
}

// ReadTime is when a byte, counted from 1, had been read; zero if it never was.
func (c *Connection) ReadTime(n int64) time.Time {
	for _, r := range c.Reads {
		if r.TotalBytes >= n {
			return r.At
		}
	}
	return time.Time{}
}

// ReadTrace reads a trace: the connections in the order in which the program first
// read from them or ended them. There are none if there is no file.
func ReadTrace(path string) ([]*Connection, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []*Connection
	type handle struct{ process, descriptor int }
	open := map[handle]*Connection{}
	for line := range bytes.Lines(text) {
		var event byte
		var of handle
		var port int
		var number, nanoseconds int64
		if _, err := fmt.Sscanf(string(line), "%c %d %d %d %d %d", &event, &of.descriptor, &port, &number, &nanoseconds, &of.process); err != nil {
			return nil, fmt.Errorf("the trace has the line %q: %w", line, err)
		}
		at := time.Unix(0, nanoseconds)
		c := open[of]
		if c == nil {
			c = &Connection{Port: port, FirstSeen: at}
			open[of] = c
			list = append(list, c)
		}
		if event == 'B' {
			c.Broken = true
		}
		if !c.EndedAt.IsZero() {
			if event == 'C' {
				delete(open, of)
			}
			continue
		}
		switch event {
		case 'R':
			total := number
			if n := len(c.Reads); n > 0 {
				total += c.Reads[n-1].TotalBytes
			}
			c.Reads = append(c.Reads, Read{at, total})
		case 'S':
			c.EndedAt = at
		case 'C':
			c.EndedAt = at
			delete(open, of)
		}
	}
	return list, nil
}
