package faultbuild

import (
	"bytes"
	"fmt"
	"os"
)

// TraceVariable names the environment variable that tells a program the file to which
// it adds what it does with its connections.
const TraceVariable = "COMETRACK_FAULT_TRACE"

// Connection is what a program did with one connection.
type Connection struct {
	Port int   // of its peer
	Read int64 // bytes that were read before the program ended its side
	Shut bool  // it ended its side, or closed the connection
}

// Connections reads a trace: the connections in the order in which the program first
// read from them or ended them.
func Connections(path string) ([]*Connection, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list []*Connection
	open := map[int]*Connection{} // by descriptor
	for line := range bytes.Lines(text) {
		var event byte
		var descriptor, port int
		var read int64
		if _, err := fmt.Sscanf(string(line), "%c %d %d %d", &event, &descriptor, &port, &read); err != nil {
			return nil, fmt.Errorf("the trace has the line %q: %w", line, err)
		}
		c := open[descriptor]
		if c == nil {
			c = &Connection{Port: port}
			open[descriptor] = c
			list = append(list, c)
		}
		switch event {
		case 'R':
			if !c.Shut {
				c.Read += read
			}
		case 'S':
			c.Shut = true
		case 'C':
			c.Shut = true
			delete(open, descriptor)
		}
	}
	return list, nil
}
