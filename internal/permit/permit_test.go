package permit

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestSend(t *testing.T) {
	fresh := Message{Remaining: time.Second}
	for name, x := range map[string]struct {
		change func(*Message)
		want   Reason
	}{
		"fresh":                   {func(*Message) {}, Granted},
		"ended":                   {func(m *Message) { m.Ended = true }, MessageEnded},
		"one in flight":           {func(m *Message) { m.InFlight = true }, AttemptInFlight},
		"attempts used":           {func(m *Message) { m.Attempts, m.MaxAttempts = 3, 3 }, AttemptsExhausted},
		"no limit of attempts":    {func(m *Message) { m.Attempts = 300 }, Granted},
		"a stall before deadline": {func(m *Message) { m.Remaining = MinRemaining }, Expired},
		"just more":               {func(m *Message) { m.Remaining = MinRemaining + 1 }, Granted},
		"safe, may have run":      {func(m *Message) { m.Repeat = Repeat{MayHaveRun: true} }, Granted},
		"unsafe, may have run": {func(m *Message) {
			m.Repeat = Repeat{MayHaveRun: true, Effect: Unsafe, Window: time.Hour}
		}, MayHaveRun},
		"unsafe, surely not run": {func(m *Message) { m.Repeat = Repeat{Effect: Unsafe} }, Granted},
		"keyed, within its window": {func(m *Message) {
			m.Repeat = Repeat{MayHaveRun: true, Effect: Keyed, Window: time.Second}
		}, Granted},
		"keyed, a stall before its end": {func(m *Message) {
			m.Repeat = Repeat{MayHaveRun: true, Effect: Keyed, Window: time.Second, Age: time.Second - MaxStall}
		}, WindowExpired},
		"keyed, other zone": {func(m *Message) {
			m.Repeat = Repeat{MayHaveRun: true, Effect: Keyed, Window: time.Second, OtherZone: true}
		}, OtherZone},
	} {
		m := fresh
		x.change(&m)
		if got := Send(m); got != x.want {
			t.Errorf("%s: %v, want %v", name, got, x.want)
		}
	}
}

// An attempt that stalls for MaxStall after it was permitted must still be in time, and a message that may
// have run must not be repeated where that would take effect again.
func TestSendAllowsForAStall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration { return time.Duration(rapid.Int64Range(-2e9, 3e9).Draw(t, name)) }
		m := Message{Remaining: span("left"), Attempts: rapid.IntRange(0, 4).Draw(t, "attempts"),
			MaxAttempts: rapid.IntRange(0, 4).Draw(t, "most"),
			InFlight:    rapid.Bool().Draw(t, "out"), Ended: rapid.Bool().Draw(t, "ended"),
			Repeat: Repeat{MayHaveRun: rapid.Bool().Draw(t, "may"), Effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
				Age: span("age"), Window: span("window")}}
		if Send(m) != Granted {
			return
		}
		repeats := m.Repeat.MayHaveRun && m.Repeat.Effect != Safe
		if m.Remaining <= MaxStall || m.InFlight || m.Ended ||
			repeats && (m.Repeat.Effect == Unsafe || m.Repeat.Age+MaxStall >= m.Repeat.Window) {
			t.Fatalf("granted: %+v", m)
		}
	})
}

func TestNotifyEnd(t *testing.T) {
	for _, x := range []struct {
		end  End
		want Reason
	}{
		{End{Written: true, Remaining: time.Second}, Granted},
		{End{Written: true, Delivered: true, Remaining: time.Second}, Granted},
		{End{Remaining: time.Second}, NotWritten},
		{End{Remaining: 0}, Granted},
		{End{Delivered: true, Remaining: 0}, NotWritten},
	} {
		if got := NotifyEnd(x.end); got != x.want {
			t.Errorf("%+v: %v, want %v", x.end, got, x.want)
		}
	}
}

func TestClose(t *testing.T) {
	for _, x := range []struct {
		c            Connection
		close, abort Reason
	}{
		{Connection{}, Granted, Granted},
		{Connection{Unanswered: 1}, Unanswered, Unanswered},
		{Connection{Arriving: true}, RequestArriving, Granted},
		{Connection{Unread: true}, RequestArriving, Granted},
		{Connection{Unanswered: 1, Arriving: true}, Unanswered, Unanswered},
	} {
		if Close(x.c) != x.close || Abort(x.c) != x.abort {
			t.Errorf("%+v: %v and %v", x.c, Close(x.c), Abort(x.c))
		}
	}
}

func TestNamesAreComplete(t *testing.T) {
	if len(reasonNames) != int(reasons) || len(violationNames) != int(violations) {
		t.Errorf("%d names of %d reasons, %d of %d violations", len(reasonNames), reasons, len(violationNames), violations)
	}
}

func TestMonitorCounts(t *testing.T) {
	var log strings.Builder
	m := NewMonitor(slog.New(slog.NewTextHandler(&log, nil)))
	m.CountDenied(Expired, "send", "m-1")
	m.CountViolation(EndedTwice, "m-2", "state", "failed")
	denied, violated := m.Counts()
	if denied["time up"] != 1 || violated["ended twice"] != 1 || m.Violations() != 1 {
		t.Errorf("%v %v", denied, violated)
	}
	if !strings.Contains(log.String(), "id=m-2") || !strings.Contains(log.String(), "kind=\"ended twice\"") {
		t.Errorf("log: %s", log.String())
	}
	var none *Monitor
	none.CountViolation(EndedTwice, "m-3")
	none.CountDenied(Expired, "send", "m-4")
	NewMonitor(slog.New(slog.NewTextHandler(io.Discard, nil))).CountDenied(-1, "", "")
}
