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

// behindOf has a core keep what is behind windows of one message in a folder.
func behindOf(fs vfs.FS) func(*Dependencies) {
	return func(p *Dependencies) {
		p.OpenBacklog = func(s Store, tell func(any, <-chan struct{})) (Backlog, error) {
			return spill.Open(fs, s, spill.Options{Window: 1, MaxBytes: 3e6, Sync: store.SyncAlways, Log: slog.New(slog.DiscardHandler)}, tell)
		}
	}
}

// accepted hands messages in that are taken on.
func (r *rig) accepted(list ...*message.Message) {
	r.t.Helper()
	for _, m := range list {
		if a := r.put(m); a.Status != Accepted || a.Duplicate {
			r.t.Fatalf("%s: %+v", m.ID, a)
		}
	}
}

// next is the next attempt, which must be of a message.
func (r *rig) next(id string) sent {
	r.t.Helper()
	s := byhand.Await(r.t, r.hand.attempts, "attempt of "+id)
	if s.Message.ID != id || !bytes.HasPrefix(s.Message.Body, []byte("body of "+id)) {
		r.t.Fatalf("an attempt of %s with %.20q, want one of %s", s.Message.ID, s.Message.Body, id)
	}
	return s
}

// What is behind the window is known, keeps its order, goes past no earlier one, and comes into the window one by one,
// also over a restart and with large bodies.
func TestBehindTheWindow(t *testing.T) {
	t.Parallel()
	dir, cfg, fs := t.TempDir(), testConfig(), vfs.NewMem()
	r := newRig(t, dir, cfg, behindOf(fs)).run()
	large := newMessage("c", "safe")
	large.Body = append(large.Body, bytes.Repeat([]byte("x"), 5000)...)
	r.accepted(newMessage("a", "unsafe"), newMessage("b", "unsafe"), large, newMessage("d", "keyed"))
	a := r.next("a")
	if s, _ := r.State(t.Context(), "c", false); s.Name != StateAccepted || s.Partner != "acme" || s.Class != "safe" || s.Tenant != "north" || s.Deadline.UnixMicro() != large.Deadline {
		t.Errorf("the state behind the window is %+v", s)
	}
	if again := r.put(newMessage("b", "unsafe")); again.Status != Accepted || !again.Duplicate {
		t.Errorf("handed in again behind the window: %+v", again)
	}
	other := newMessage("b", "unsafe")
	other.Body = []byte("other")
	if v := r.put(other).Status; v != Conflict {
		t.Errorf("another message of an id behind the window: %v", v)
	}
	a.result <- Result{Outcome: logic.Completed}
	r.next("b")
	r.kill()
	r = newRig(t, dir, cfg, behindOf(fs.Restart(vfs.LoseNone, nil))).run()
	if x := byhand.Await(t, r.ends.told, "end of a"); x.ID != "a" && x.ID != "b" {
		t.Errorf("told %+v", x)
	}
	if x := byhand.Await(t, r.ends.told, "end of b: it may have run"); x.ID != "a" && x.ID != "b" {
		t.Errorf("told %+v", x)
	}
	r.next("c").result <- Result{Outcome: logic.Completed}
	r.next("d").result <- Result{Outcome: logic.Completed}
	for range 2 {
		if x := byhand.Await(t, r.ends.told, "end"); x.State != message.Delivered {
			t.Errorf("told %+v", x)
		}
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		r.ends.confirm <- id
	}
	r.halt()
}

// A message that can't be written when it comes into its window goes back and comes again, once.
func TestComesAgainWhenTheJournalFails(t *testing.T) {
	t.Parallel()
	fs := vfs.NewMem()
	var log trail
	r := newRig(t, t.TempDir(), testConfig(), behindOf(fs), func(p *Dependencies) { p.Log = slog.New(slog.NewTextHandler(&log, nil)) }).run()
	r.accepted(newMessage("a", "safe"), newMessage("b", "safe"), newMessage("c", "safe"))
	a := r.next("a")
	r.store.set(true)
	a.result <- Result{Outcome: logic.Completed}
	byhand.Until(t, "failed writes", func() bool { return strings.Count(log.String(), "no space left") > 2 })
	r.store.set(false)
	r.next("b").result <- Result{Outcome: logic.Completed}
	r.next("c").result <- Result{Outcome: logic.Completed}
	for range 3 {
		x := byhand.Await(t, r.ends.told, "end")
		if x.State != message.Delivered {
			t.Errorf("told %+v", x)
		}
		r.ends.confirm <- x.ID
	}
	r.halt()
}

// trail is a log.
type trail struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *trail) Write(p []byte) (int, error) { l.mu.Lock(); defer l.mu.Unlock(); return l.b.Write(p) }
func (l *trail) String() string              { l.mu.Lock(); defer l.mu.Unlock(); return l.b.String() }

// A message behind its window ends at its time, before it is over, and is remembered.
func TestEndsBehindTheWindow(t *testing.T) {
	t.Parallel()
	r := newRig(t, t.TempDir(), testConfig(), behindOf(vfs.NewMem())).run()
	short := newMessage("b", "unsafe")
	short.Deadline = time.Now().Add(500 * time.Millisecond).UnixMicro()
	r.accepted(newMessage("a", "unsafe"), short, newMessage("c", "unsafe"))
	a := r.next("a")
	x := byhand.Await(t, r.ends.told, "end of b")
	if early := short.Deadline - x.At; x.ID != "b" || x.State != message.Returned || early < 0 || early > 150_000 {
		t.Errorf("told %+v, %d µs before its time", x, early)
	}
	if again := r.put(short); again.Status != Accepted || !again.Duplicate {
		t.Errorf("handed in again after its end: %+v", again)
	}
	if s := r.state("b"); s != message.Returned {
		t.Errorf("its state is %q", s)
	}
	a.result <- Result{Outcome: logic.Completed}
	r.next("c").result <- Result{Outcome: logic.Completed}
	for range 2 {
		byhand.Await(t, r.ends.told, "end")
	}
	for _, id := range []string{"a", "b", "c"} {
		r.ends.confirm <- id
	}
	r.halt()
}

// A message that is damaged behind its window is named and returned; the rest goes on.
func TestDamagedBehindTheWindow(t *testing.T) {
	t.Parallel()
	fs := vfs.NewMem()
	var log trail
	r := newRig(t, t.TempDir(), testConfig(), behindOf(fs), func(p *Dependencies) { p.Log = slog.New(slog.NewTextHandler(&log, nil)) }).run()
	r.accepted(newMessage("a", "unsafe"), newMessage("b", "unsafe"), newMessage("c", "unsafe"))
	a := r.next("a")
	names, _ := fs.List()
	for _, n := range names {
		if f, err := fs.Open(n, false); err == nil && strings.HasSuffix(n, ".msgs") {
			if _, err := f.WriteAt([]byte("?"), int64(bytes.Index(fs.Data(n), []byte("body of b")))); err != nil {
				t.Fatal(err)
			}
		}
	}
	a.result <- Result{Outcome: logic.Completed}
	r.next("c").result <- Result{Outcome: logic.Completed}
	told := map[string]string{}
	for range 3 {
		x := byhand.Await(t, r.ends.told, "end")
		told[x.ID] = x.State
		r.ends.confirm <- x.ID
	}
	if told["a"] != message.Delivered || told["b"] != message.Returned || told["c"] != message.Delivered {
		t.Errorf("told %v", told)
	}
	if !strings.Contains(log.String(), "id=b") {
		t.Errorf("it is not named: %s", &log)
	}
	r.halt()
}

// A full disk behind the window turns away what would go there, and nothing else; with room again it is taken.
func TestFullBehindTheWindow(t *testing.T) {
	t.Parallel()
	fs := vfs.NewMem()
	cfg := testConfig()
	cfg.CachedEndpoints.Endpoints = append(cfg.CachedEndpoints.Endpoints, Endpoint{Name: "e2", Addr: "h:2", Zone: "a", Kind: "std", Partner: "other", Weight: 1000})
	r := newRig(t, t.TempDir(), cfg, behindOf(fs)).run()
	fs.SetLimit(512)
	r.accepted(newMessage("a", "unsafe"))
	a := r.next("a")
	big := newMessage("b", "unsafe")
	big.Body = append(big.Body, make([]byte, 2000)...)
	if v := r.put(big).Status; v != Busy {
		t.Errorf("with a full disk: %v", v)
	}
	other := newMessage("o", "unsafe")
	other.Partner = "other"
	r.accepted(other)
	r.next("o").result <- Result{Outcome: logic.Completed}
	fs.SetLimit(0)
	r.accepted(big)
	a.result <- Result{Outcome: logic.Completed}
	r.next("b").result <- Result{Outcome: logic.Completed}
	for range 3 {
		x := byhand.Await(t, r.ends.told, "end")
		r.ends.confirm <- x.ID
	}
	r.halt()
}

// Messages of one order key that wait are in one lane: one for another lane is turned away until they have gone.
func TestOrderKeyBehindTheWindow(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	cfg.CachedEndpoints.Endpoints = append(cfg.CachedEndpoints.Endpoints, Endpoint{Name: "e2", Addr: "h:2", Zone: "a", Kind: "std", Partner: "other", Weight: 1000})
	cfg.Settings.Classes[0].KeepOrder = true
	r := newRig(t, t.TempDir(), cfg, behindOf(vfs.NewMem())).run()
	ordered := func(id, partner string) *message.Message {
		m := newMessage(id, "safe")
		m.Order, m.Partner = "k", partner
		return m
	}
	r.accepted(newMessage("a", "unsafe"), ordered("b", "acme"))
	a := r.next("a")
	if v := r.put(ordered("c", "other")).Status; v != Busy {
		t.Errorf("of the same key for another partner: %v", v)
	}
	a.result <- Result{Outcome: logic.Completed}
	b := r.next("b")
	r.accepted(ordered("c", "other"))
	b.result <- Result{Outcome: logic.Completed}
	r.next("c").result <- Result{Outcome: logic.Completed}
	for range 3 {
		x := byhand.Await(t, r.ends.told, "end")
		r.ends.confirm <- x.ID
	}
	r.halt()
}

// While it can't be read whether an id is behind a window, a message of it is turned away; it is never taken on twice.
func TestLookupFailsBehindTheWindow(t *testing.T) {
	t.Parallel()
	fs := vfs.NewMem()
	r := newRig(t, t.TempDir(), testConfig(), behindOf(fs)).run()
	r.accepted(newMessage("a", "unsafe"), newMessage("b", "unsafe"))
	a := r.next("a")
	fs.FailAt(1, vfs.ErrCrashed)
	if v := r.put(newMessage("b", "unsafe")).Status; v != Busy {
		t.Errorf("while it can't be read: %v", v)
	}
	fs.FailAt(1, vfs.ErrCrashed)
	if s := r.state("b"); s != StateAccepted {
		t.Errorf("while it can't be read its state is %q", s)
	}
	if x := r.put(newMessage("b", "unsafe")); x.Status != Accepted || !x.Duplicate {
		t.Errorf("after that: %+v", x)
	}
	a.result <- Result{Outcome: logic.Completed}
	r.next("b").result <- Result{Outcome: logic.Completed}
	for range 2 {
		r.ends.confirm <- byhand.Await(t, r.ends.told, "end").ID
	}
	r.halt()
}

// Many whose time is over at once are told in parts, and others are not held up.
func TestManyEndsAtOnceBehindTheWindow(t *testing.T) {
	t.Parallel()
	cfg := testConfig()
	cfg.Settings.MaxOpen = 2000
	r := newRig(t, t.TempDir(), cfg, behindOf(vfs.NewMem())).run()
	r.accepted(newMessage("a", "unsafe"))
	a := r.next("a")
	by := time.Now().Add(1500 * time.Millisecond).UnixMicro()
	const many = 1000
	answers := make(chan SubmitResponse, many)
	for i := range many {
		m := newMessage(fmt.Sprint("m", i), "unsafe")
		m.Deadline = by
		r.Submit(m, answers)
	}
	for range many {
		if x := byhand.Await(t, answers, "answer"); x.Status != Accepted {
			t.Fatalf("%+v", x)
		}
	}
	seen := map[string]bool{}
	for range many {
		x := byhand.Await(t, r.ends.told, "end")
		if seen[x.ID] || x.State != message.Returned {
			t.Fatalf("told %+v, before: %v", x, seen[x.ID])
		}
		seen[x.ID] = true
		r.ends.confirm <- x.ID
	}
	a.result <- Result{Outcome: logic.Completed}
	r.ends.confirm <- byhand.Await(t, r.ends.told, "end of a").ID
	r.halt()
}
