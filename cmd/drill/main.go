// Command drill runs instances of the scheduler (package logic) for the simulator: it reads frames of events from
// standard input and writes one reply to each to standard output. Instances share no state.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"cometrack/internal/wire"
	"cometrack/logic"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instanceEvents are the events of one instance in the current frame.
type instanceEvents struct {
	instance int
	sender   *logic.Sender
	events   []logic.Event
}

// run reads frames from in and writes the replies to out until the input ends. It returns the first error of reading,
// of a frame or of writing.
func run(in io.Reader, out io.Writer) error {
	dec, w := wire.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	senders := map[int]*logic.Sender{}
	for {
		f, err := dec.Next()
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		groups, err := groupEvents(f, senders)
		if err != nil {
			return err
		}
		var b []byte
		for _, group := range groups {
			for _, a := range group.sender.Step(f.Clock, group.events) {
				b = wire.AppendAction(b, group.instance, a)
			}
		}
		b = append(b, "eor "+f.Seq+"\n"...)
		if _, err := w.Write(b); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// groupEvents creates and removes instances as the frame requests, and groups its events by instance, in the order in
// which the instances first appear.
func groupEvents(f *wire.Frame, senders map[int]*logic.Sender) ([]*instanceEvents, error) {
	var groups []*instanceEvents
	byInstance := map[int]*instanceEvents{}
	for _, it := range f.Items {
		switch {
		case it.Create != nil:
			s, err := logic.New(it.Create.Settings, it.Create.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", it.Who, err)
			}
			senders[it.Who] = s
			group := byInstance[it.Who]
			if group == nil {
				group = &instanceEvents{instance: it.Who}
				byInstance[it.Who] = group
				groups = append(groups, group)
			}
			group.sender, group.events = s, nil
		case it.Halt:
			delete(senders, it.Who)
			if group := byInstance[it.Who]; group != nil {
				group.sender = nil
			}
		case senders[it.Who] == nil:
			// Events for an instance that does not run are ignored.
		default:
			group := byInstance[it.Who]
			if group == nil {
				group = &instanceEvents{instance: it.Who, sender: senders[it.Who]}
				byInstance[it.Who] = group
				groups = append(groups, group)
			}
			if it.Event != nil {
				group.events = append(group.events, it.Event)
			}
		}
	}
	running := groups[:0]
	for _, group := range groups {
		if group.sender != nil {
			running = append(running, group)
		}
	}
	return running, nil
}
