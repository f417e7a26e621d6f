package core

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"cometrack/internal/handover"
	"cometrack/internal/message"
	"cometrack/internal/permit"
	"cometrack/internal/standin/byhand"
)

// successorByHand is a successor whose messages a test gives.
type successorByHand struct {
	sent chan any
	tell chan any
}

func (s *successorByHand) Send(m any) error { s.sent <- m; return nil }
func (s *successorByHand) Close() error     { return nil }
func (s *successorByHand) Transfer(*handover.Snapshot, []net.Listener) (bool, error) {
	return true, nil
}
func (s *successorByHand) ReceiveMessages(tell func(any), gone func(error)) {
	for m := range s.tell {
		tell(m)
	}
	gone(io.EOF)
}

// Calls that the process before had out were sent again while they were out, as the link to it broke and it lived on:
// they are taken for ended only once it has had the time to call them off.
func TestCallsOutOutliveTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &successorByHand{make(chan any, 4), make(chan any)}
		close(s.tell)
		c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
		from := time.Now()
		c.hear(s)
		if _, ok := (<-c.events).(predecessorGoneEvent); !ok {
			t.Fatal("another event")
		}
		if took := time.Since(from); took < LockReleaseTime+permit.MaxStall {
			t.Errorf("taken for ended after %v", took)
		}
	})
}

// A request that the successor had as it died was answered as failed, and sent by the process after it: its client is
// left to give it up.
func TestRelayLeavesUnknownRequestsOpen(t *testing.T) {
	const clientsWait = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := &successorByHand{make(chan any, 4), make(chan any)}
		c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
		served := make(chan struct{})
		go c.relay(&successorEvent{successor: s}, served, nil)
		answer := make(chan SubmitResponse, 1)
		c.post(putEvent{msg: &message.Message{ID: "m"}, answer: answer})
		<-s.sent
		from := time.Now()
		close(s.tell) // it dies
		<-answer
		if took := time.Since(from); took <= clientsWait {
			t.Errorf("answered %v after the successor has died", took)
		}
		close(served)
	})
}

// A request was answered as failed and forwarded all the same: the process that had handed over ended while its
// successor was held up with it. The end waits for the successor's answer, and takes nothing more on.
func TestRelayEndsWithItsAnswers(t *testing.T) {
	s := &successorByHand{make(chan any, 4), make(chan any, 4)}
	defer close(s.tell)
	c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
	stopped, over := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		c.relay(&successorEvent{successor: s}, nil, stopped)
	}()
	put := func(id string) chan SubmitResponse {
		answer := make(chan SubmitResponse, 1)
		c.post(putEvent{msg: &message.Message{ID: id}, answer: answer})
		return answer
	}
	first := put("first")
	forwarded := byhand.Await(t, s.sent, "request at the successor").(*handover.Submission)
	close(stopped)
	select {
	case a := <-first:
		t.Errorf("answered as %+v before the successor has", a)
	case <-time.After(permit.MaxStall):
	}
	if a := byhand.Await(t, put("second"), "answer to the second"); a.Status != Busy {
		t.Errorf("one that comes as the process ends gets %+v", a)
	}
	s.tell <- &handover.SubmissionReply{Seq: forwarded.Seq, Status: int(Accepted)}
	if a := byhand.Await(t, first, "answer to the first"); a.Status != Accepted {
		t.Errorf("the first gets %+v", a)
	}
	<-over
	if len(s.sent) > 0 {
		t.Error("something was forwarded as the process ended")
	}
}
