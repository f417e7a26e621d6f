package core

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"cometrack/internal/backlog/spill"
	"cometrack/internal/message"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/store"
	"cometrack/internal/vfs"
	"cometrack/logic"
)

// withBacklog gives a core a backlog in a folder, with a window of one message.
func withBacklog(fs vfs.FS) func(*Dependencies) {
	return func(p *Dependencies) {
		p.OpenBacklog = func(s Store, tell func(any, <-chan struct{})) (Backlog, error) {
			return spill.Open(fs, s, spill.Options{Window: 1, MaxBytes: 3e6, Sync: store.SyncAlways,
				Log: slog.New(slog.DiscardHandler)}, tell)
		}
	}
}

// submitAccepted submits messages that must be accepted.
func (r *rig) submitAccepted(list ...*message.Message) {
	r.t.Helper()
	for _, m := range list {
		if a := r.submitAndWait(m); a.Status != Accepted || a.Duplicate {
			r.t.Fatalf("%s: %+v", m.ID, a)
		}
	}
}

// nextAttempt returns the next attempt, which must be of the given message.
func (r *rig) nextAttempt(id string) fakeAttempt {
	r.t.Helper()
	s := byhand.Await(r.t, r.fakeTransport.attempts, "attempt of "+id)
	if s.Message.ID != id || !bytes.HasPrefix(s.Message.Body, []byte("body of "+id)) {
		r.t.Fatalf("an attempt of %s with %.20q, want one of %s", s.Message.ID, s.Message.Body, id)
	}
	return s
}

// Messages in the backlog have a state, are recognized when submitted again, and enter the window one by one in order,
// also across a crash and with large bodies.
func TestBacklogRefillsWindow(t *testing.T) {
	t.Parallel()
	dir, cfg, fs := t.TempDir(), testConfig(), vfs.NewMem()
	r := newRig(t, dir, cfg, withBacklog(fs)).run()
	large := newMessage("c", "safe")
	large.Body = append(large.Body, bytes.Repeat([]byte("x"), 5000)...)
	r.submitAccepted(newMessage("a", "unsafe"), newMessage("b", "unsafe"), large, newMessage("d", "keyed"))
	a := r.nextAttempt("a")
	if s, _ := r.State(t.Context(), "c", false); s.Name != StateAccepted || s.Partner != "acme" || s.Class != "safe" ||
		s.Tenant != "north" || s.Deadline.UnixMicro() != large.Deadline {
		t.Errorf("the state in the backlog is %+v", s)
	}
	if again := r.submitAndWait(newMessage("b", "unsafe")); again.Status != Accepted || !again.Duplicate {
		t.Errorf("submitted again while in the backlog: %+v", again)
	}
	other := newMessage("b", "unsafe")
	other.Body = []byte("other")
	if v := r.submitAndWait(other).Status; v != Conflict {
		t.Errorf("another message with an ID in the backlog: %v", v)
	}
	a.result <- Result{Outcome: logic.Completed}
	r.nextAttempt("b")
	r.crash()
	r = newRig(t, dir, cfg, withBacklog(fs.Restart(vfs.LoseNone, nil))).run()
	if x := byhand.Await(t, r.fakeSink.added, "end of a"); x.ID != "a" && x.ID != "b" {
		t.Errorf("end %+v", x)
	}
	if x := byhand.Await(t, r.fakeSink.added, "end of b: it may have run"); x.ID != "a" && x.ID != "b" {
		t.Errorf("end %+v", x)
	}
	r.nextAttempt("c").result <- Result{Outcome: logic.Completed}
	r.nextAttempt("d").result <- Result{Outcome: logic.Completed}
	for range 2 {
		if x := byhand.Await(t, r.fakeSink.added, "end"); x.State != message.Delivered {
			t.Errorf("end %+v", x)
		}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		r.fakeSink.confirm <- id
	}
	r.shutDown()
}

// A message in the backlog is the only one that was accepted under its terms, and the process is started with others. The
// terms must not be dropped before the backlog is open: an unsafe message would run twice.
func TestTermsOfBacklogOutliveRestart(t *testing.T) {
	t.Parallel()
	dir, cfg, fs := t.TempDir(), testConfig(), vfs.NewMem()
	cfg.Settings = settingsWith(cfg, 3, "x unsafe")
	r := newRig(t, dir, cfg, withBacklog(fs)).run()
	r.submitAccepted(newMessage("a", "x"))
	r.nextAttempt("a")
	if err := r.UpdateSettings(settingsWith(cfg, 3, "x unsafe", "y unsafe"), cfg.Zones); err != nil {
		t.Fatal(err)
	}
	r.submitAccepted(newMessage("b", "y"))
	r.crash()
	cfg.Settings = settingsWith(cfg, 3, "x unsafe", "y safe")
	r = newRig(t, dir, cfg, withBacklog(fs.Restart(vfs.LoseNone, nil))).run()
	if end := byhand.Await(t, r.fakeSink.added, "end of a: it may have run"); end.ID != "a" || end.State != message.Failed {
		t.Errorf("end %+v", end)
	}
	r.nextAttempt("b").result <- Result{Outcome: logic.ConnectionBroken}
	select {
	case end := <-r.fakeSink.added:
		if end.ID != "b" || end.State != message.Failed {
			t.Errorf("end %+v", end)
		}
	case attempt := <-r.fakeTransport.attempts:
		t.Fatalf("%s is sent again", attempt.Message.ID)
	case <-time.After(byhand.Timeout):
		t.Fatal("b has no end")
	}
	r.fakeSink.confirm <- "a"
	r.fakeSink.confirm <- "b"
	r.shutDown()
}

// A message that can't be written to the journal when it enters its window is put back and enters it later, once.
func TestRefillIsRetriedAfterJournalFailure(t *testing.T) {
	t.Parallel()
	fs := vfs.NewMem()
	var log logBuffer
	r := newRig(t, t.TempDir(), testConfig(), withBacklog(fs),
		func(p *Dependencies) { p.Log = slog.New(slog.NewTextHandler(&log, nil)) }).run()
	r.submitAccepted(newMessage("a", "safe"), newMessage("b", "safe"), newMessage("c", "safe"))
	a := r.nextAttempt("a")
	r.store.setFailing(true)
	a.result <- Result{Outcome: logic.Completed}
	byhand.WaitUntil(t, "failed writes", func() bool { return strings.Count(log.String(), "no space left") > 2 })
	r.store.setFailing(false)
	r.nextAttempt("b").result <- Result{Outcome: logic.Completed}
	r.nextAttempt("c").result <- Result{Outcome: logic.Completed}
	for range 3 {
		x := byhand.Await(t, r.fakeSink.added, "end")
		if x.State != message.Delivered {
			t.Errorf("end %+v", x)
		}
		r.fakeSink.confirm <- x.ID
	}
	r.shutDown()
}

// logBuffer collects the output of a logger in memory.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}
func (l *logBuffer) String() string { l.mu.Lock(); defer l.mu.Unlock(); return l.buffer.String() }

// A message in the backlog is returned shortly before its deadline, and its end is still known afterwards.
func TestBacklogMessageEndsAtItsDeadline(t *testing.T) {
	t.Parallel()
	r := newRig(t, t.TempDir(), testConfig(), withBacklog(vfs.NewMem())).run()
	short := newMessage("b", "unsafe")
	short.Deadline = time.Now().Add(500 * time.Millisecond).UnixMicro()
	r.submitAccepted(newMessage("a", "unsafe"), short, newMessage("c", "unsafe"))
	a := r.nextAttempt("a")
	x := byhand.Await(t, r.fakeSink.added, "end of b")
	if early := short.Deadline - x.At; x.ID != "b" || x.State != message.Returned || early < 0 || early > 150_000 {
		t.Errorf("end %+v, %d µs before the deadline", x, early)
	}
	if again := r.submitAndWait(short); again.Status != Accepted || !again.Duplicate {
		t.Errorf("submitted again after its end: %+v", again)
	}
	if s := r.stateName("b"); s != message.Returned {
		t.Errorf("its state is %q", s)
	}
	a.result <- Result{Outcome: logic.Completed}
	r.nextAttempt("c").result <- Result{Outcome: logic.Completed}
	for range 2 {
		byhand.Await(t, r.fakeSink.added, "end")
	}
	for _, id := range []string{"a", "b", "c"} {
		r.fakeSink.confirm <- id
	}
	r.shutDown()
}

// A damaged message in the backlog is named in the log and returned; the other messages are delivered.
func TestDamagedBacklogMessageIsReturned(t *testing.T) {
	t.Parallel()
	fs := vfs.NewMem()
	var log logBuffer
	r := newRig(t, t.TempDir(), testConfig(), withBacklog(fs),
		func(p *Dependencies) { p.Log = slog.New(slog.NewTextHandler(&log, nil)) }).run()
	r.submitAccepted(newMessage("a", "unsafe"), newMessage("b", "unsafe"), newMessage("c", "unsafe"))
	a := r.nextAttempt("a")
	names, _ := fs.List()
	for _, n := range names {
		if f, err := fs.Open(n, false); err == nil && strings.HasSuffix(n, ".msgs") {
			if _, err := f.WriteAt([]byte("?"), int64(bytes.Index(fs.Data(n), []byte("body of b")))); err != nil {
				t.Fatal(err)
			}
		}
	}
	a.result <- Result{Outcome: logic.Completed}
	r.nextAttempt("c").result <- Result{Outcome: logic.Completed}
	states := map[string]string{}
	for range 3 {
		x := byhand.Await(t, r.fakeSink.added, "end")
		states[x.ID] = x.State
		r.fakeSink.confirm <- x.ID
	}
	if states["a"] != message.Delivered || states["b"] != message.Returned || states["c"] != message.Delivered {
		t.Errorf("ends %v", states)
	}
	if !strings.Contains(log.String(), "id=b") {
		t.Errorf("the log does not name the message: %s", &log)
	}
	r.shutDown()
}

// With a full disk only messages that would go to the backlog are rejected; with free space they are accepted again.
func TestFullBacklogDiskRejectsMessages(t *testing.T) {
	t.Parallel()
	fs := vfs.NewMem()
	cfg := testConfig()
	cfg.CachedEndpoints.Endpoints = append(cfg.CachedEndpoints.Endpoints, Endpoint{Name: "e2", Addr: "h:2", Zone: "a",
		Kind: "std", Partner: "other", Weight: 1000})
	r := newRig(t, t.TempDir(), cfg, withBacklog(fs)).run()
	fs.SetLimit(512)
	r.submitAccepted(newMessage("a", "unsafe"))
	a := r.nextAttempt("a")
	big := newMessage("b", "unsafe")
	big.Body = append(big.Body, make([]byte, 2000)...)
	if v := r.submitAndWait(big).Status; v != Busy {
		t.Errorf("with a full disk: %v", v)
	}
	other := newMessage("o", "unsafe")
	other.Partner = "other"
	r.submitAccepted(other)
	r.nextAttempt("o").result <- Result{Outcome: logic.Completed}
	fs.SetLimit(0)
	r.submitAccepted(big)
	a.result <- Result{Outcome: logic.Completed}
	r.nextAttempt("b").result <- Result{Outcome: logic.Completed}
	for range 3 {
		x := byhand.Await(t, r.fakeSink.added, "end")
		r.fakeSink.confirm <- x.ID
	}
	r.shutDown()
}

// The waiting messages of one order key are in one queue of the backlog. A message of that key for another queue is
// rejected until they have left the backlog.
func TestOrderKeyStaysInOneBacklogQueue(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	cfg.CachedEndpoints.Endpoints = append(cfg.CachedEndpoints.Endpoints, Endpoint{Name: "e2", Addr: "h:2", Zone: "a",
		Kind: "std", Partner: "other", Weight: 1000})
	cfg.Settings.Classes[0].KeepOrder = true
	r := newRig(t, t.TempDir(), cfg, withBacklog(vfs.NewMem())).run()
	ordered := func(id, partner string) *message.Message {
		m := newMessage(id, "safe")
		m.Order, m.Partner = "k", partner
		return m
	}
	r.submitAccepted(newMessage("a", "unsafe"), ordered("b", "acme"))
	a := r.nextAttempt("a")
	if v := r.submitAndWait(ordered("c", "other")).Status; v != Busy {
		t.Errorf("message of the same order key for another partner: %v", v)
	}
	a.result <- Result{Outcome: logic.Completed}
	b := r.nextAttempt("b")
	r.submitAccepted(ordered("c", "other"))
	b.result <- Result{Outcome: logic.Completed}
	r.nextAttempt("c").result <- Result{Outcome: logic.Completed}
	for range 3 {
		x := byhand.Await(t, r.fakeSink.added, "end")
		r.fakeSink.confirm <- x.ID
	}
	r.shutDown()
}

// While a lookup of an ID in the backlog fails, a message with that ID is rejected, so that it is not accepted twice.
func TestFailedBacklogLookupRejectsMessages(t *testing.T) {
	t.Parallel()
	fs := vfs.NewMem()
	r := newRig(t, t.TempDir(), testConfig(), withBacklog(fs)).run()
	r.submitAccepted(newMessage("a", "unsafe"), newMessage("b", "unsafe"))
	a := r.nextAttempt("a")
	fs.FailAt(1, vfs.ErrCrashed)
	if v := r.submitAndWait(newMessage("b", "unsafe")).Status; v != Busy {
		t.Errorf("submitted while the lookup fails: %v", v)
	}
	fs.FailAt(1, vfs.ErrCrashed)
	if s := r.stateName("b"); s != StateAccepted {
		t.Errorf("its state while the lookup fails is %q", s)
	}
	if x := r.submitAndWait(newMessage("b", "unsafe")); x.Status != Accepted || !x.Duplicate {
		t.Errorf("submitted after that: %+v", x)
	}
	a.result <- Result{Outcome: logic.Completed}
	r.nextAttempt("b").result <- Result{Outcome: logic.Completed}
	for range 2 {
		r.fakeSink.confirm <- byhand.Await(t, r.fakeSink.added, "end").ID
	}
	r.shutDown()
}

// The ends of many messages that expire at the same time are reported over several steps, once each.
func TestManyBacklogMessagesExpireAtOnce(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	cfg.Settings.MaxOpen = 2000
	r := newRig(t, t.TempDir(), cfg, withBacklog(vfs.NewMem())).run()
	r.submitAccepted(newMessage("a", "unsafe"))
	a := r.nextAttempt("a")
	by := time.Now().Add(1500 * time.Millisecond).UnixMicro()
	const many = 1000
	responses := make(chan SubmitResponse, many)
	for i := range many {
		m := newMessage(fmt.Sprint("m", i), "unsafe")
		m.Deadline = by
		r.Submit(m, responses)
	}
	for range many {
		if x := byhand.Await(t, responses, "response"); x.Status != Accepted {
			t.Fatalf("%+v", x)
		}
	}
	seen := map[string]bool{}
	for range many {
		x := byhand.Await(t, r.fakeSink.added, "end")
		if seen[x.ID] || x.State != message.Returned {
			t.Fatalf("end %+v, reported before: %v", x, seen[x.ID])
		}
		seen[x.ID] = true
		r.fakeSink.confirm <- x.ID
	}
	a.result <- Result{Outcome: logic.Completed}
	r.fakeSink.confirm <- byhand.Await(t, r.fakeSink.added, "end of a").ID
	r.shutDown()
}
