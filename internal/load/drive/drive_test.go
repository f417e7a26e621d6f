package drive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cometrack/internal/load"
)

// front is a RESP2 front whose replies a test defines.
type front struct {
	net.Listener
	answer func(n int, id string, w io.Writer) bool // replies to the n-th request; false closes the connection
	mu     sync.Mutex
	n      int
}

func startFront(t *testing.T, answer func(n int, id string, w io.Writer) bool) *front {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &front{Listener: ln, answer: answer}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *front) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var args []string
		for range 11 { // the number of arguments, then five arguments, each with its length
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			args = append(args, strings.TrimSpace(line))
		}
		f.mu.Lock()
		n := f.n
		f.n++
		f.mu.Unlock()
		if !f.answer(n, args[6], c) {
			return
		}
	}
}

func ok(w io.Writer) bool { _, err := io.WriteString(w, "+OK\r\n"); return err == nil }

func scenario(t *testing.T, text string) *load.Scenario {
	t.Helper()
	s, err := load.Parse([]byte("late = \"1h\"\n" + text + "\n[[mix]]\nclass = \"safe\"\npartners = [\"a\"]\nleft = \"5s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t *testing.T, s *load.Scenario, opts Options) *Result {
	t.Helper()
	opts.Scenario, opts.RunID = s, "t"
	if opts.Connections == 0 {
		opts.Connections = 1
	}
	if opts.DrainTimeout == 0 {
		opts.DrainTimeout = 10 * time.Second
	}
	r, err := Run(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A front stops for half a second. The latencies of the messages due meanwhile are uniform
// between that and 0, and the report must show them all. A generator that waited for replies
// would submit one message meanwhile and report a single long latency (coordinated omission).
func TestFreezeIsSeen(t *testing.T) {
	const freeze = 500 * time.Millisecond
	var once sync.Once
	f := startFront(t, func(n int, _ string, w io.Writer) bool {
		if n == 200 {
			once.Do(func() { time.Sleep(freeze) })
		}
		return ok(w)
	})
	r := play(t, scenario(t, "[[phase]]\nfor = \"1s\"\nrate = 1000"), Options{RESP: f.Addr().String()})
	h := load.MergeByGroup(r.Recorder.Accepted, load.All, nil)[""]
	if h.Count() != 1000 || r.Account.Accepted != 1000 || r.FaultCount > 0 {
		t.Fatalf("%d latencies, %+v, %v", h.Count(), r.Account, r.Faults)
	}
	// Half of all messages are due in the freeze. A loaded machine adds to each latency, so the
	// formula is a lower bound, and with an allowance for the machine an upper bound.
	for _, q := range []float64{60, 75, 90, 99, 99.9} {
		want := time.Duration(float64(freeze) * (q - 50) / 50)
		if got := h.Percentile(q); got < want-5*time.Millisecond || got > want+400*time.Millisecond {
			t.Errorf("%g%%: %v, want %v", q, got, want)
		}
	}
	if h.Max() < freeze-2*time.Millisecond {
		t.Errorf("longest %v", h.Max())
	}
}

// Each message is counted once, whether the front accepts, rejects, ignores or breaks off.
func TestAccounts(t *testing.T) {
	for _, x := range []struct {
		name   string
		answer func(n int, id string, w io.Writer) bool
		want   func(a load.Account) bool
	}{
		{"takes all", func(_ int, _ string, w io.Writer) bool { return ok(w) }, func(a load.Account) bool { return a.Accepted == 40 }},
		{"refuses every other", func(n int, _ string, w io.Writer) bool {
			if n%2 == 0 {
				return ok(w)
			}
			_, err := io.WriteString(w, "-BUSY 5\r\n")
			return err == nil
		}, func(a load.Account) bool { return a.Accepted == 20 && a.Refused == 20 }},
		{"accepts connections and never answers", func(int, string, io.Writer) bool { return true }, func(a load.Account) bool { return a.Unknown == 40 }},
		{"breaks at the tenth", func(n int, _ string, w io.Writer) bool { return n != 9 && ok(w) }, func(a load.Account) bool {
			return a.Unknown >= 1 && a.Accepted >= 9 && a.Unknown+a.Accepted == 40
		}},
	} {
		f := startFront(t, x.answer)
		r := play(t, scenario(t, "[[phase]]\nfor = \"400ms\"\nrate = 100"), Options{RESP: f.Addr().String(), DrainTimeout: 300 * time.Millisecond})
		if r.Account.Sent != 40 || !x.want(r.Account) || r.FaultCount > 0 {
			t.Errorf("%s: %+v, faults %v", x.name, r.Account, r.Faults)
		}
	}
}

// The schedule never waits: messages due above the limit of unanswered ones are dropped and
// counted.
func TestFallenBehind(t *testing.T) {
	f := startFront(t, func(int, string, io.Writer) bool { return true })
	r := play(t, scenario(t, "in_flight = 30\n[[phase]]\nfor = \"500ms\"\nrate = 200"), Options{RESP: f.Addr().String(), DrainTimeout: 50 * time.Millisecond})
	if r.Dropped != 70 || r.Account.Sent != 30 || r.Recorder.Windows[0].Due != 100 {
		t.Errorf("%d dropped, %+v, %+v", r.Dropped, r.Account, r.Recorder.Windows)
	}
	if took := r.Elapsed; took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
}

// Ends arrive over a stream that breaks and repeats some of them: each counts once. A second,
// different end of a message or an end of a message that was never submitted is a fault.
func TestEnds(t *testing.T) {
	for _, x := range []struct {
		name   string
		events []string // one is sent, then the stream breaks
		want   load.Account
		fault  string
	}{
		{"each once", []string{"t-0 delivered", "t-1 returned", "t-2 failed", "other-9 failed"}, load.Account{Sent: 3, Accepted: 3, Delivered: 1, Returned: 1, Failed: 1}, ""},
		{"repeated end", []string{"t-0 delivered", "t-0 delivered", "t-1 delivered", "t-2 delivered"}, load.Account{Sent: 3, Accepted: 3, Delivered: 3}, ""},
		{"two ends", []string{"t-0 delivered", "t-0 failed", "t-1 delivered", "t-2 delivered"}, load.Account{Sent: 3, Accepted: 3, Delivered: 3}, "after another end"},
		{"a wrong id", []string{"t-7 delivered", "t-0 delivered", "t-1 delivered", "t-2 delivered"}, load.Account{Sent: 3, Accepted: 3, Delivered: 3}, "without having been submitted"},
	} {
		f := startFront(t, func(_ int, _ string, w io.Writer) bool { return ok(w) })
		var mu sync.Mutex
		next, resumed := 0, 0
		ends := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprint(w, ": hello\n\n")
			w.(http.Flusher).Flush()
			f.mu.Lock()
			all := f.n == 3
			f.mu.Unlock()
			if !all || next == len(x.events) {
				return
			}
			if req.Header.Get("Last-Event-ID") == fmt.Sprint(next) {
				resumed++
			}
			id, state, _ := strings.Cut(x.events[next], " ")
			next++
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"state\":%q}\n\n", next, id, state)
		}))
		r := play(t, scenario(t, "[[phase]]\nfor = \"30ms\"\nrate = 100"), Options{RESP: f.Addr().String(), HTTP: ends.Listener.Addr().String()})
		ends.Close()
		found := ""
		if r.FaultCount > 0 {
			found = r.Faults[0].What
		}
		if r.Account != x.want || (x.fault == "") != (found == "") || !strings.Contains(found, x.fault) || r.BrokenConnections == 0 || resumed == 0 {
			t.Errorf("%s: %+v, want %+v; faults %v; broke %d times, resumed %d times", x.name, r.Account, x.want, r.Faults, r.BrokenConnections, resumed)
		}
	}
}

// A run in which the generator itself was late is not valid, as its latencies are not the system's.
func TestLateGenerator(t *testing.T) {
	f := startFront(t, func(_ int, _ string, w io.Writer) bool { return ok(w) })
	s := scenario(t, "[[phase]]\nfor = \"300ms\"\nrate = 100")
	s.Late = load.Duration(time.Nanosecond) // less than any machine achieves
	if r := play(t, s, Options{RESP: f.Addr().String()}); r.Verdict.Valid || r.Account.Accepted != 30 {
		t.Errorf("%+v, %+v", r.Verdict, r.Account)
	}
}

// An interrupt ends a run over HTTP early, with a result for the messages so far.
func TestInterrupted(t *testing.T) {
	var mu sync.Mutex
	seen := 0
	ctx, stop := context.WithCancel(t.Context())
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			fmt.Fprint(w, ": hello\n\n")
			w.(http.Flusher).Flush()
			<-req.Context().Done()
			return
		}
		q := req.URL.Query()
		mu.Lock()
		defer mu.Unlock()
		if seen++; seen == 20 {
			stop()
		}
		if q.Get("partner") != "a" || q.Get("left") != "5s" || !strings.HasPrefix(q.Get("id"), "t-") {
			t.Errorf("asked for %v", q)
		}
		w.WriteHeader(http.StatusAccepted)
	}))
	defer srv.Close()
	s := scenario(t, "[[phase]]\nfor = \"1h\"\nrate = 500")
	s.Mix[0].Front = "http"
	r, err := Run(ctx, Options{Scenario: s, HTTP: srv.Listener.Addr().String(), Connections: 4, DrainTimeout: time.Minute, RunID: "t"})
	// Messages in flight at the interrupt may have no reply; all that were sent are counted.
	a := r.Account
	if err != nil || a.Accepted == 0 || a.Accepted+a.Unknown != a.Sent || a.Sent < 20 || a.Sent > 5000 || r.FaultCount > 0 {
		t.Errorf("%+v, %v", r, err)
	}
	if n := load.MergeByGroup(r.Recorder.Accepted, load.All, nil)[""].Count(); math.Abs(float64(n)-float64(r.Account.Accepted)) > 0 {
		t.Errorf("%d latencies of %d", n, r.Account.Accepted)
	}
}
