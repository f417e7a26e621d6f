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
type fakeSuccessor struct {
	sent     chan any
	incoming chan any
}

func (s *fakeSuccessor) Send(m any) error { s.sent <- m; return nil }
func (s *fakeSuccessor) Close() error     { return nil }
func (s *fakeSuccessor) Transfer(*handover.Snapshot, []net.Listener) (bool, error) {
	return true, nil
}
func (s *fakeSuccessor) ReceiveMessages(tell func(any), gone func(error)) {
	for m := range s.incoming {
		tell(m)
	}
	gone(io.EOF)
}

// Calls that the process before had out were sent again while they were out, as the link to it broke and it lived on:
// they are taken for ended only once it has had the time to call them off.
func TestRemoteAttemptsOutliveBrokenLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSuccessor{make(chan any, 4), make(chan any)}
		close(s.incoming)
		c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
		from := time.Now()
		c.receiveFromPredecessor(s)
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
func TestRelayDelaysUnknownResponses(t *testing.T) {
	const clientsWait = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSuccessor{make(chan any, 4), make(chan any)}
		c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
		served := make(chan struct{})
		go c.relay(&handoverEvent{successor: s}, served, nil)
		answer := make(chan SubmitResponse, 1)
		c.post(submitEvent{msg: &message.Message{ID: "m"}, response: answer})
		<-s.sent
		from := time.Now()
		close(s.incoming) // it dies
		<-answer
		if took := time.Since(from); took <= clientsWait {
			t.Errorf("answered %v after the successor has died", took)
		}
		close(served)
	})
}

// A request was answered as failed and forwarded all the same: the process that had handed over ended while its
// successor was held up with it. The end waits for the successor's answer, and takes nothing more on.
func TestRelayWaitsForSuccessorResponses(t *testing.T) {
	s := &fakeSuccessor{make(chan any, 4), make(chan any, 4)}
	defer close(s.incoming)
	c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
	stopped, over := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		c.relay(&handoverEvent{successor: s}, nil, stopped)
	}()
	put := func(id string) chan SubmitResponse {
		answer := make(chan SubmitResponse, 1)
		c.post(submitEvent{msg: &message.Message{ID: id}, response: answer})
		return answer
	}
	first := put("first")
	forwarded := byhand.Await(t, s.sent, "request at the successor").(*handover.Put)
	close(stopped)
	select {
	case a := <-first:
		t.Errorf("answered as %+v before the successor has", a)
	case <-time.After(permit.MaxStall):
	}
	if a := byhand.Await(t, put("second"), "answer to the second"); a.Status != Busy {
		t.Errorf("one that comes as the process ends gets %+v", a)
	}
	s.incoming <- &handover.Answer{Seq: forwarded.Seq, Verdict: int(Accepted)}
	if a := byhand.Await(t, first, "answer to the first"); a.Status != Accepted {
		t.Errorf("the first gets %+v", a)
	}
	<-over
	if len(s.sent) > 0 {
		t.Error("something was forwarded as the process ended")
	}
}
