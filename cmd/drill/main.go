// Command drill hosts instances of the decision module on the simulator's wire:
// frames of events on standard input, one reply to each on standard output.
// Instances share nothing.
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

// inbox holds the events of one instance in the frame at hand.
type inbox struct {
	who    int
	sender *logic.Sender
	events []logic.Event
}

// run answers frames until the input ends.
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
		boxes, err := deal(f, senders)
		if err != nil {
			return err
		}
		var b []byte
		for _, box := range boxes {
			for _, a := range box.sender.Step(f.Clock, box.events) {
				b = wire.AppendAction(b, box.who, a)
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

// deal starts and stops instances as the frame says and sorts its events by
// instance, in the order in which instances first appear.
func deal(f *wire.Frame, senders map[int]*logic.Sender) ([]*inbox, error) {
	var boxes []*inbox
	at := map[int]*inbox{}
	for _, it := range f.Items {
		switch {
		case it.Create != nil:
			s, err := logic.New(it.Create.Settings, it.Create.Seed)
			if err != nil {
				return nil, fmt.Errorf("instance %d: %w", it.Who, err)
			}
			senders[it.Who] = s
			box := at[it.Who]
			if box == nil {
				box = &inbox{who: it.Who}
				at[it.Who] = box
				boxes = append(boxes, box)
			}
			box.sender, box.events = s, nil
		case it.Halt:
			delete(senders, it.Who)
			if box := at[it.Who]; box != nil {
				box.sender = nil
			}
		case senders[it.Who] == nil:
			// An event for an instance that is not up: nobody is there to hear it.
		default:
			box := at[it.Who]
			if box == nil {
				box = &inbox{who: it.Who, sender: senders[it.Who]}
				at[it.Who] = box
				boxes = append(boxes, box)
			}
			if it.Event != nil {
				box.events = append(box.events, it.Event)
			}
		}
	}
	live := boxes[:0]
	for _, box := range boxes {
		if box.sender != nil {
			live = append(live, box)
		}
	}
	return live, nil
}
