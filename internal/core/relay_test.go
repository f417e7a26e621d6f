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

// fakeSuccessor is a successor whose messages the test provides.
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

// When the link to a predecessor broke that was still running, its attempts in flight were sent again. They may be
// regarded as ended only after the time in which the predecessor cancels them.
func TestRemoteAttemptsOutliveBrokenLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSuccessor{make(chan any, 4), make(chan any)}
		close(s.incoming)
		c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
		from := time.Now()
		c.receiveFromPredecessor(s)
		if _, ok := (<-c.events).(predecessorGoneEvent); !ok {
			t.Fatal("unexpected event")
		}
		if took := time.Since(from); took < LockReleaseTime+permit.MaxStall {
			t.Errorf("regarded as ended after %v", took)
		}
	})
}

// A request that the successor had received before it died was answered as failed, although the process after it sent
// the message. The response must come only after the client has given up.
func TestRelayDelaysUnknownResponses(t *testing.T) {
	const clientsWait = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSuccessor{make(chan any, 4), make(chan any)}
		c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
		served := make(chan struct{})
		go c.relay(&handoverEvent{successor: s}, served, nil)
		response := make(chan SubmitResponse, 1)
		c.post(submitEvent{msg: &message.Message{ID: "m"}, response: response})
		<-s.sent
		from := time.Now()
		close(s.incoming) // the successor dies
		<-response
		if took := time.Since(from); took <= clientsWait {
			t.Errorf("response %v after the death of the successor", took)
		}
		close(served)
	})
}

// A predecessor that exited while its successor was stalled answered a request as failed that it had forwarded. It must
// wait for the successor's response, and must not forward new requests meanwhile.
func TestRelayWaitsForSuccessorResponses(t *testing.T) {
	s := &fakeSuccessor{make(chan any, 4), make(chan any, 4)}
	defer close(s.incoming)
	c := &Core{events: make(chan any, 4), done: make(chan struct{}), log: slog.New(slog.DiscardHandler)}
	stopped, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(finished)
		c.relay(&handoverEvent{successor: s}, nil, stopped)
	}()
	submit := func(id string) chan SubmitResponse {
		response := make(chan SubmitResponse, 1)
		c.post(submitEvent{msg: &message.Message{ID: id}, response: response})
		return response
	}
	first := submit("first")
	forwarded := byhand.Await(t, s.sent, "request at the successor").(*handover.Submission)
	close(stopped)
	select {
	case a := <-first:
		t.Errorf("response %+v before that of the successor", a)
	case <-time.After(permit.MaxStall):
	}
	if a := byhand.Await(t, submit("second"), "response to the second"); a.Status != Busy {
		t.Errorf("a request during the exit gets %+v", a)
	}
	s.incoming <- &handover.SubmissionReply{Seq: forwarded.Seq, Status: int(Accepted)}
	if a := byhand.Await(t, first, "response to the first"); a.Status != Accepted {
		t.Errorf("the first gets %+v", a)
	}
	<-finished
	if len(s.sent) > 0 {
		t.Error("a request was forwarded during the exit")
	}
}
