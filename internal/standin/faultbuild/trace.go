package faultbuild

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"
)

// TraceVariable is the environment variable with the path of the trace: the file to which
// a program appends what it does with its connections.
const TraceVariable = "COMETRACK_FAULT_TRACE"

// Connection is the trace of one connection of the program.
type Connection struct {
	Port      int       // of the peer; 0 if it was not known any more
	FirstSeen time.Time // when the program first read from it or ended it
	Reads     []Read    // of the program from the peer, in order, until the program ended its side
	EndedAt   time.Time // when the program shut down or closed its side; zero if it never did
	// Broken reports that a [BreakConnection] event shut the connection down, so that its end
	// is no act of the program.
	Broken bool
}

// Read is one read from a connection.
type Read struct {
	At         time.Time // after the read
	TotalBytes int64     // bytes read from the connection so far, this read included
}

// ReadTime returns when the program had read the n-th byte, counted from 1, that the peer sent;
// zero if it did not read it before it ended its side.
func (c *Connection) ReadTime(n int64) time.Time {
	for _, r := range c.Reads {
		if r.TotalBytes >= n {
			return r.At
		}
	}
	return time.Time{}
}

// ReadTrace reads the trace at path. It returns the connections in the order in which the
// program first read from them or ended them, and none if there is no file.
//
// A line holds an event, a descriptor, the port of the peer, a number of bytes, the time in
// nanoseconds, and the process. The events are R for a read, S for a shutdown, C for a close
// and B for a [BreakConnection].
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
		var key handle
		var port int
		var number, nanoseconds int64
		if _, err := fmt.Sscanf(string(line), "%c %d %d %d %d %d", &event, &key.descriptor, &port, &number, &nanoseconds,
			&key.process); err != nil {
			return nil, fmt.Errorf("malformed trace line %q: %w", line, err)
		}
		at := time.Unix(0, nanoseconds)
		c := open[key]
		if c == nil {
			c = &Connection{Port: port, FirstSeen: at}
			open[key] = c
			list = append(list, c)
		}
		if event == 'B' {
			c.Broken = true
		}
		if !c.EndedAt.IsZero() {
			if event == 'C' {
				delete(open, key)
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
			delete(open, key)
		}
	}
	return list, nil
}
