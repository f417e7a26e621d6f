// Command drill runs instances of package logic for the simulator. It reads frames of events
// from standard input and writes one reply to each to standard output. Instances share no state.
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

// inbox holds the events of one instance in one frame.
type inbox struct {
	instance int
	sender   *logic.Sender
	events   []logic.Event
}

// run replies to frames until the input ends.
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
		for _, box := range inboxes {
			for _, a := range box.sender.Step(f.Clock, box.events) {
				b = wire.AppendAction(b, box.instance, a)
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

// distribute starts and stops the instances that the frame names and groups its events by
// instance, in the order in which the instances first appear.
func distribute(f *wire.Frame, senders map[int]*logic.Sender) ([]*inbox, error) {
	var inboxes []*inbox
	byInstance := map[int]*inbox{}
	for _, it := range f.Items {
		switch {
		case it.Create != nil:
			s, err := logic.New(it.Create.Settings, it.Create.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", it.Instance, err)
			}
			senders[it.Instance] = s
			box := byInstance[it.Instance]
			if box == nil {
				box = &inbox{instance: it.Instance}
				byInstance[it.Instance] = box
				inboxes = append(inboxes, box)
			}
			box.sender, box.events = s, nil
		case it.Halt:
			delete(senders, it.Instance)
			if box := byInstance[it.Instance]; box != nil {
				box.sender = nil
			}
		case senders[it.Instance] == nil:
			// The instance does not run: the event is dropped.
		default:
			box := byInstance[it.Instance]
			if box == nil {
				box = &inbox{instance: it.Instance, sender: senders[it.Instance]}
				byInstance[it.Instance] = box
				inboxes = append(inboxes, box)
			}
			if it.Event != nil {
				box.events = append(box.events, it.Event)
			}
		}
	}
	live := inboxes[:0]
	for _, box := range inboxes {
		if box.sender != nil {
			live = append(live, box)
		}
	}
	return live, nil
}
