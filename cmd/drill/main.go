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
		inboxes, err := distribute(f, senders)
		if err != nil {
			return err
		}
		var b []byte
		for _, group := range inboxes {
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
func distribute(f *wire.Frame, senders map[int]*logic.Sender) ([]*instanceEvents, error) {
	var inboxes []*instanceEvents
	byInstance := map[int]*instanceEvents{}
	for _, it := range f.Items {
		switch {
		case it.Create != nil:
			s, err := logic.New(it.Create.Settings, it.Create.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", it.Instance, err)
			}
			senders[it.Instance] = s
			group := byInstance[it.Instance]
			if group == nil {
				group = &instanceEvents{instance: it.Instance}
				byInstance[it.Instance] = group
				inboxes = append(inboxes, group)
			}
			group.sender, group.events = s, nil
		case it.Halt:
			delete(senders, it.Instance)
			if group := byInstance[it.Instance]; group != nil {
				group.sender = nil
			}
		case senders[it.Instance] == nil:
			// Events for an instance that does not run are ignored.
		default:
			group := byInstance[it.Instance]
			if group == nil {
				group = &instanceEvents{instance: it.Instance, sender: senders[it.Instance]}
				byInstance[it.Instance] = group
				inboxes = append(inboxes, group)
			}
			if it.Event != nil {
				group.events = append(group.events, it.Event)
			}
		}
	}
	running := inboxes[:0]
	for _, group := range inboxes {
		if group.sender != nil {
			running = append(running, group)
		}
	}
	return running, nil
}
