package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravenmount/logic"
)

func newReader(s string) *bufio.Reader { return bufio.NewReader(strings.NewReader(s)) }

// spoilt are answers that can't be read and leave the connection open.
var spoiltAnswers = map[string]string{
	"noise":               "\x00\x17\x03 noise\r\n\r\n",
	"no version":          "HELLO 200 OK\r\n\r\n",
	"no status":           "HTTP/1.1 \r\n\r\n",
	"long status":         "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
	"endless line":        strings.Repeat("x", 8192),
	"head that is noise":  "HTTP/1.1 503 x\r\n\x01\x02 noise\r\n\r\n",
	"head without end":    "HTTP/1.1 429 x\r\nX-Come-Back-Ms: 5\r\n",
	"short body":          "HTTP/1.1 503 x\r\nContent-Length: 10\r\n\r\nabc",
	"negative length":     "HTTP/1.1 429 x\r\nContent-Length: -5\r\n\r\n",
	"signed length":       "HTTP/1.1 503 x\r\nContent-Length: +0\r\n\r\n",
	"two lengths":         "HTTP/1.1 503 x\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\nabc",
	"length and chunked":  "HTTP/1.1 504 x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"other coding":        "HTTP/1.1 503 x\r\nTransfer-Encoding: gzip\r\n\r\nabc",
	"bad chunk":           "HTTP/1.1 410 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	"3 GB":                "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\nabc",
	"endless body":        "HTTP/1.1 503 x\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 2*maxAnswer),
	"endless interim":     strings.Repeat("HTTP/1.1 102 x\r\n\r\n", maxAnswer/10),
	"interim, then noise": "HTTP/1.1 100 Continue\r\n\r\nnoise\r\n\r\n",
}

// An answer that can't be read has run: it is neither a refusal nor an outage, and its connection ends.
func TestSpoiltAnswers(t *testing.T) {
	for name, text := range spoiltAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, c := newEndpoint(t), testCaller()
			got := goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
			in := await(t, e.calls, "call")
			io.WriteString(in.conn, text)
			if r := await(t, got, "result"); r.outcome != logic.Spoilt || r.over {
				t.Errorf("got %+v, want Spoilt", r)
			}
			in.awaitEnd(t)
			in.done <- false
			if c.open != 0 {
				t.Errorf("%d connections on the books", c.open)
			}
		})
	}
}

// A first line that says 200 is a delivery, whatever follows; the connection is of no further use.
func TestSpoiltDelivery(t *testing.T) {
	for name, rest := range map[string]string{"noise": "\x01\x02\r\n\r\n", "no end": "A: b\r\n", "short": "Content-Length: 5\r\n\r\nab",
		"3 GB": "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<16), "negative": "Content-Length: -1\r\n\r\n",
		"two": "Content-Length: 0\r\nContent-Length: 0\r\n\r\n", "second copy": "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, c := newEndpoint(t), testCaller()
			got := goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
			in := await(t, e.calls, "call")
			go io.WriteString(in.conn, "HTTP/1.1 200 OK\r\n"+rest)
			if r := await(t, got, "result"); r.outcome != logic.Completed {
				t.Errorf("got %+v, want Completed", r)
			}
			in.awaitEnd(t)
			in.done <- false
		})
	}
}

// A spoilt answer may have run: what may be repeated is sent again, at once and elsewhere too, what may not has
// failed. What says 200 is over for every class.
func TestSpoiltByEffect(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			n, c, p, e := world(t, 1)
			c.put("a", class, "+OK")
			in := await(t, e[0].calls, "call")
			key := in.req.Header.Get("Idempotency-Key")
			io.WriteString(in.conn, "noise\r\n\r\n")
			in.awaitEnd(t)
			in.done <- false
			if class == "unsafe" {
				if x := await(t, p.notices, "notice"); x != (Notice{ID: "a", State: "failed"}) {
					t.Errorf("notice %+v", x)
				}
			} else {
				in = await(t, e[0].calls, "call again")
				if in.id() != "a" || in.req.Header.Get("Idempotency-Key") != key {
					t.Errorf("sent again as %v", in.req.Header)
				}
				in.reply(200)
			}
			c.put("b", class, "+OK")
			in = await(t, e[0].calls, "call")
			io.WriteString(in.conn, "HTTP/1.1 200 OK\r\n\x01\r\n\r\n")
			in.awaitEnd(t)
			in.done <- false
			stopClean(t, n)
			if len(p.notices) != 0 {
				t.Errorf("notice %+v", <-p.notices)
			}
		})
	}
}

// A second answer behind the first must never answer the next call: on a connection whose answer has just come the
// next one is not made, and one with something on it is closed.
func TestSurplusAnswer(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	c.settle = time.Hour
	got := goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
	first := await(t, e.calls, "call")
	first.reply(200)
	await(t, got, "result")
	got = goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
	second := await(t, e.calls, "call")
	if second.conn == first.conn {
		t.Fatal("the next call came before what is behind the answer could show")
	}
	io.WriteString(first.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	second.reply(500)
	if r := await(t, got, "result"); r.outcome != logic.Errored {
		t.Errorf("got %+v, want Errored", r)
	}
	for stop := time.Now().Add(patience); ; { // until the surplus has come
		c.mu.Lock()
		good := c.good(c.idle[1][0])
		c.mu.Unlock()
		if !good {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the connection stays good")
		}
	}
	c.settle = 0
	got = goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
	third := await(t, e.calls, "call")
	if third.conn == first.conn {
		t.Error("a call on a connection with an answer on it")
	}
	third.reply(429)
	if r := await(t, got, "result"); r.outcome != logic.Full {
		t.Errorf("got %+v, want Full", r)
	}
}

// After an interim answer the call keeps its own deadline, and can still be cancelled.
func TestAfterInterim(t *testing.T) {
	for _, x := range []struct {
		name string
		time time.Duration
		end  func(cancel func(), in *inCall)
		want logic.Outcome
	}{
		{"late", patience, func(_ func(), in *inCall) {
			time.Sleep(headTime + headTime/4) // the time that the rest of a head has
			in.reply(200)
		}, logic.Completed},
		{"cancelled", patience, func(cancel func(), in *inCall) { cancel(); in.awaitEnd(t); in.reset() }, logic.Recalled},
		{"silent", 100 * time.Millisecond, func(_ func(), in *inCall) { in.awaitEnd(t); in.reset() }, logic.Overdue},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			e, c := newEndpoint(t), testCaller()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			got := goDo(ctx, c, newCall(t, e.addr(), "hello", x.time))
			in := await(t, e.calls, "call")
			io.WriteString(in.conn, "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n")
			x.end(cancel, in)
			if r := await(t, got, "result"); r.outcome != x.want {
				t.Errorf("got %+v, want %v", r, x.want)
			}
		})
	}
}

// A call for which this process has no descriptor was never sent, and says nothing of the endpoint; an idle
// connection makes room.
func TestNoDescriptors(t *testing.T) {
	e, c := newEndpoint(t), newCaller(time.Second, time.Hour, 4, shares{calls: 1, idle: 1})
	got := goDo(t.Context(), c, newCall(t, e.addr(), "hello", patience))
	in := await(t, e.calls, "call")
	if r := c.do(t.Context(), newCall(t, e.addr(), "hello", patience)); r.outcome != logic.Moot || !r.local {
		t.Errorf("got %+v, want Moot for a local cause", r)
	}
	in.reply(200)
	await(t, got, "result")
	other := newEndpoint(t)
	call := newCall(t, other.addr(), "hello", patience)
	call.ep = 2
	got = goDo(t.Context(), c, call)
	await(t, other.calls, "call where an idle connection made room").reply(200)
	await(t, got, "result")
	c.release(2)
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error { return syscall.EMFILE }
	if r := c.do(t.Context(), newCall(t, e.addr(), "hello", patience)); r.outcome != logic.Moot || !r.local {
		t.Errorf("got %+v, want Moot for a local cause", r)
	}
	if c.open != 0 || c.count != 0 {
		t.Errorf("%d connections, %d idle on the books", c.open, c.count)
	}
}

// Endpoints are ever new: what is off the list for long is forgotten, and no number is given twice.
func TestDirectoryChurn(t *testing.T) {
	cfg, err := ParseConfig(configText(newPlatform(t), List{}))
	if err != nil {
		t.Fatal(err)
	}
	d := newDirectory(cfg)
	seen := map[logic.EndpointID]bool{}
	now := time.Now()
	for i := range 1000 {
		at := fmt.Sprintf("127.0.0.1:%d", 1+i%3) // at the address of one that has gone
		l := List{Instances: []Instance{{ID: fmt.Sprint("s-", i), HostPort: at, Dest: 1, Lifecycle: "up"}}}
		if i > 0 {
			l.Instances = append(l.Instances, Instance{ID: fmt.Sprint("s-", i-1), Dest: 1, Lifecycle: "removed"})
		}
		rows := d.take(l)
		if seen[rows[0].Endpoint] {
			t.Fatalf("number %d is given twice", rows[0].Endpoint)
		}
		seen[rows[0].Endpoint] = true
		d.forget(now, nil)
		if i%10 == 9 {
			now = now.Add(2 * keepGone)
			for id, to := range d.eps {
				if !to.gone.IsZero() {
					d.forget(now, map[logic.EndpointID]bool{id: true})
					if _, ok := d.eps[id]; !ok {
						t.Fatal("an endpoint with a call out is forgotten")
					}
					break
				}
			}
			d.forget(now, nil)
		}
		if !d.serves(1) || d.serves(2) {
			t.Fatal("the wrong destinations are known")
		}
	}
	d.take(List{Reset: true})
	d.forget(time.Now().Add(2*keepGone), nil)
	if len(d.eps)+len(d.ids)+len(d.dests) != 0 {
		t.Errorf("left: %d endpoints, %d names, %d destinations", len(d.eps), len(d.ids), len(d.dests))
	}
}

func FuzzReadAnswer(f *testing.F) {
	for _, text := range spoiltAnswers {
		if len(text) < 1000 {
			f.Add(text)
		}
	}
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		conn, peer := net.Pipe()
		defer conn.Close()
		defer peer.Close()
		r, keep := readAnswer(newReader(in), &cutoff{conn: conn, by: time.Now().Add(patience)})
		if r.outcome == logic.Completed && !(strings.Contains(in, "HTTP/1.") && strings.Contains(in, " 200")) {
			t.Errorf("%q is read as a delivery", in)
		}
		if keep && r.outcome == logic.Spoilt {
			t.Errorf("%q: the connection is kept", in)
		}
	})
}

// Connections to an endpoint that is taken off the list are given back, and a new one at its address starts afresh.
func TestRemovedEndpoint(t *testing.T) {
	n, c, p, e := world(t, 1)
	c.put("a", "safe", "+OK")
	first := await(t, e[0].calls, "call")
	first.reply(200)
	for stop := time.Now().Add(patience); ; { // until the connection is idle
		n.caller.mu.Lock()
		idle := n.caller.count
		n.caller.mu.Unlock()
		if idle == 1 {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the connection is not kept")
		}
	}
	again := instances(e[0])
	again[0].ID = "new at the old address"
	p.set(func() { p.list = List{Generation: 2, Reset: true, Instances: again} })
	taken(t, p, 2)
	c.put("b", "safe", "+OK")
	second := await(t, e[0].calls, "call")
	if second.conn == first.conn {
		t.Error("the new endpoint is called over a connection of the old one")
	}
	second.reply(200)
	n.caller.mu.Lock()
	if len(n.caller.idle[1]) != 0 {
		t.Errorf("%d connections to the old endpoint are kept", len(n.caller.idle[1]))
	}
	n.caller.mu.Unlock()
	stopClean(t, n)
}

// While kept connections break under calls, a call that a reset would end for good goes over a new one.
func TestFragileKeepsOffBreakingConnections(t *testing.T) {
	e, c := newEndpoint(t), testCaller()
	c.settle = 0
	call := func(fragile bool, end func(*inCall)) (*inCall, result) {
		t.Helper()
		in := newCall(t, e.addr(), "hello", patience)
		in.fragile = fragile
		got := goDo(t.Context(), c, in)
		out := await(t, e.calls, "call")
		end(out)
		return out, await(t, got, "result")
	}
	answered := func(in *inCall) { in.reply(200) }
	first, _ := call(true, answered)
	if second, _ := call(true, answered); second.conn != first.conn {
		t.Error("kept connections are not used while none breaks")
	}
	if _, r := call(false, (*inCall).reset); r.outcome != logic.Severed {
		t.Errorf("got %+v, want Severed", r)
	}
	third, _ := call(false, answered)
	if fourth, _ := call(true, answered); fourth.conn == third.conn {
		t.Error("a fragile call over a kept connection while those break")
	}
}
