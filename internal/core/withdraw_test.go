package core

import (
	"testing"

	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/logic"
)

// Guards against messages that are sent on though their client has left: one that was not tried ends as returned, once,
// and is never sent. One that is out, has ended or was handed in again goes its way.
func TestWithdraw(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.Slots = 1
	dir := t.TempDir()
	r := newRig(t, dir, cfg).run()
	r.submitAndWait(newMessage("out", "unsafe"))
	out := byhand.Await(t, r.fakeTransport.attempts, "attempt")
	for _, id := range []string{"waits", "twice", "stays"} {
		r.submitAndWait(newMessage(id, "unsafe"))
	}
	if a := r.submitAndWait(newMessage("twice", "unsafe")); !a.Duplicate {
		t.Fatalf("%+v", a)
	}
	for id, want := range map[string]bool{"out": false, "twice": false, "unknown": false, "waits": true} {
		if got := r.Withdraw(id, false); got != want {
			t.Errorf("%s is withdrawn: %v, want %v", id, got, want)
		}
	}
	if r.Withdraw("waits", false) {
		t.Error("withdrawn twice")
	}
	if e := byhand.Await(t, r.fakeSink.added, "end"); e.ID != "waits" || e.State != message.Returned {
		t.Errorf("end %+v", e)
	}
	r.crash() // the end outlives the process
	r = newRig(t, dir, cfg).run()
	sent := map[string]bool{}
	ends := map[string]string{}
	for range 2 { // the unsafe message that was out may have run
		attempt := byhand.Await(t, r.fakeTransport.attempts, "attempt")
		sent[attempt.Message.ID] = true
		attempt.result <- Result{Outcome: logic.Completed}
	}
	for range 4 {
		e := byhand.Await(t, r.fakeSink.added, "end")
		ends[e.ID] = e.State
		r.fakeSink.confirm <- e.ID
	}
	if !sent["twice"] || !sent["stays"] {
		t.Errorf("sent: %v", sent)
	}
	if ends["waits"] != message.Returned || ends["out"] != message.Failed || ends["stays"] != message.Delivered {
		t.Errorf("ends: %v", ends)
	}
	r.shutDown()
	out.result <- Result{Outcome: logic.Cancelled}
}

// An attempt that is still connecting is withheld, and its message ends as returned.
func TestWithdrawWhileConnecting(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig(), func(d *Dependencies) {
		d.Transport = &connectingTransport{fakeTransport: d.Transport.(*fakeTransport), connected: make(chan struct{})}
	})
	connecting := r.Core.transport.(*connectingTransport)
	r.run()
	r.submitAndWait(newMessage("a", "unsafe"))
	if !r.Withdraw("a", false) {
		t.Error("not withdrawn, though nothing was sent")
	}
	if e := byhand.Await(t, r.fakeSink.added, "end"); e.ID != "a" || e.State != message.Returned {
		t.Errorf("end %+v", e)
	}
	close(connecting.connected)
	r.fakeSink.confirm <- "a"
	r.shutDown()
	if len(r.fakeTransport.attempts) != 0 {
		t.Error("sent after it was withdrawn")
	}
}

// holdAttempt makes a rig with one slot, which an attempt takes, so that other messages wait.
func holdAttempt(t *testing.T) *rig {
	t.Helper()
	cfg := testConfig()
	cfg.Settings.Slots = 1
	r := newRig(t, t.TempDir(), cfg).run()
	r.submitAndWait(newMessage("out", "unsafe"))
	out := byhand.Await(t, r.fakeTransport.attempts, "attempt")
	t.Cleanup(func() { out.result <- Result{Outcome: logic.Cancelled} })
	return r
}

// Guards against messages that are given up though their clients have read the acceptance: a connection broke, and
// whether the response was read is not known. Only a message that must not run twice is withdrawn then.
func TestWithdrawOfMessagesThatMayBeKnown(t *testing.T) {
	r := holdAttempt(t)
	for class, want := range map[string]bool{"safe": false, "keyed": false, "unsafe": true} {
		r.submitAndWait(newMessage(class, class))
		if got := r.Withdraw(class, true); got != want {
			t.Errorf("a %s message is withdrawn: %v, want %v", class, got, want)
		}
		r.submitAndWait(newMessage(class+"-unsent", class))
		if !r.Withdraw(class+"-unsent", false) {
			t.Errorf("a %s message whose response was not written is not withdrawn", class)
		}
	}
}

// Guards against a message that is lost as its client is told that it is accepted when it has ended as returned: the
// client sends the request again on another connection, with the same ID.
func TestSubmissionAfterWithdrawal(t *testing.T) {
	r := holdAttempt(t)
	r.submitAndWait(newMessage("a", "unsafe"))
	if !r.Withdraw("a", false) {
		t.Fatal("not withdrawn")
	}
	if got := r.submitAndWait(newMessage("a", "unsafe")); got.EndState != message.Returned {
		t.Errorf("response %+v after the withdrawal", got)
	}
	if got := r.submitAndWait(newMessage("out", "unsafe")); got.EndState != "" || !got.Duplicate {
		t.Errorf("response %+v to a message that is out", got)
	}
}

// While the disk fails a withdrawn message may still come back with the next process, so its end is not told in a
// response either; the notice follows.
func TestSubmissionAfterWithdrawalThatIsNotWritten(t *testing.T) {
	r := holdAttempt(t)
	r.submitAndWait(newMessage("a", "unsafe"))
	r.store.setFailing(true)
	if r.Withdraw("a", false) {
		t.Error("withdrawn though the end was not written")
	}
	if got := r.submitAndWait(newMessage("a", "unsafe")); got.Status != Accepted || got.EndState != "" {
		t.Errorf("response %+v while the disk fails", got)
	}
	r.store.setFailing(false)
	if e := byhand.Await(t, r.fakeSink.added, "end"); e.ID != "a" || e.State != message.Returned {
		t.Errorf("end %+v", e)
	}
}

// Guards against a message that is returned though it has run: its attempt ends with an error, and its client leaves, in
// the same step.
func TestWithdrawInTheStepOfAnOutcome(t *testing.T) {
	r := newRig(t, t.TempDir(), testConfig()).run()
	r.submitAndWait(newMessage("a", "unsafe"))
	out := byhand.Await(t, r.fakeTransport.attempts, "attempt")
	r.store.mu.Lock() // the loop stands still in its next step
	appends := r.store.appends.Load()
	r.Submit(newMessage("b", "unsafe"), make(chan SubmitResponse, 1))
	byhand.WaitUntil(t, "step", func() bool { return r.store.appends.Load() > appends && len(r.events) == 0 })
	out.result <- Result{Outcome: logic.Errored}
	byhand.WaitUntil(t, "outcome", func() bool { return len(r.events) == 1 })
	withdrawn := make(chan bool, 1)
	go func() { withdrawn <- r.Withdraw("a", false) }()
	byhand.WaitUntil(t, "withdrawal", func() bool { return len(r.events) == 2 })
	r.store.mu.Unlock()
	if byhand.Await(t, withdrawn, "answer") {
		t.Error("withdrawn though it may have run")
	}
	if e := byhand.Await(t, r.fakeSink.added, "end"); e.ID != "a" || e.State != message.Failed {
		t.Errorf("end %+v", e)
	}
	b := byhand.Await(t, r.fakeTransport.attempts, "attempt")
	b.result <- Result{Outcome: logic.Completed}
	for _, id := range []string{"a", "b"} {
		r.fakeSink.confirm <- id
	}
	r.shutDown()
}
