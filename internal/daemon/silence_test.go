package daemon

import (
	"testing"
	"time"

	"cometrack/internal/source/platform"
	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/discovery"
	"cometrack/internal/standin/silence"
)

// Guards against a notice that is late, or that is never posted, because all open connections to the platform and the
// next two have fallen silent, while the process goes on, is told to end, hands over or is moved by SIGHUP. The calls
// hang until the time of their messages is up.
func TestNoticesWhileConnectionsAreSilent(t *testing.T) {
	const (
		noticeDue = 300 * time.Millisecond // from the time of a message, or from when the process that tells it is ready
		slack     = 50 * time.Millisecond  // added to each time limit on sockets
	)
	type scenario struct {
		p      *discovery.Platform // its connections have fallen silent
		moved  *discovery.Platform // takes the notice if the process is moved
		known  platform.List
		dir    string
		sender *process
		endsAt time.Time // of the message
	}
	for name, during := range map[string]func(*scenario) (readyAt time.Time){
		"goes on": func(*scenario) time.Time { return time.Time{} },
		"told to end before the end of the message": func(x *scenario) time.Time {
			x.sender.term()
			return time.Time{}
		},
		"told to end while the notice is posted": func(x *scenario) time.Time {
			time.Sleep(time.Until(x.endsAt.Add(20 * time.Millisecond)))
			x.sender.term()
			return time.Time{}
		},
		"hands over before the end of the message": func(x *scenario) time.Time {
			startProcessAt(x.sender.t, x.p, x.dir, x.known, x.sender.addr)
			return time.Now()
		},
		"hands over while the notice is posted": func(x *scenario) time.Time {
			time.Sleep(time.Until(x.endsAt.Add(20 * time.Millisecond)))
			startProcessAt(x.sender.t, x.p, x.dir, x.known, x.sender.addr)
			return time.Now()
		},
		"moves while the notice is posted": func(x *scenario) time.Time {
			time.Sleep(time.Until(x.endsAt.Add(20 * time.Millisecond)))
			x.moved.List = x.known
			x.sender.hup(configText(x.moved, x.known))
			return time.Time{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := &scenario{p: discovery.New(t), moved: discovery.New(t), dir: t.TempDir()}
			e := byhand.NewEndpoint(t)
			x.known = platform.List{Generation: 1, Reset: true, Instances: instances(e)}
			x.p.List = x.known
			x.sender = startProcess(t, x.p, x.dir, x.known)
			c := dial(t, x.sender.addr)
			c.put("warm-up", "unsafe", "+OK")
			byhand.Await(t, e.Calls, "call").Reply(500)
			byhand.Await(t, x.p.Notices, "notice over a connection that is kept then")
			const left = 600 * time.Millisecond
			x.endsAt = time.Now().Add(left)
			c.putFor("m", "unsafe", int(left.Milliseconds()), "+OK")
			byhand.Await(t, e.Calls, "call")
			x.p.Connections.LimitNext(silence.Limits{}, silence.Limits{})
			x.p.Connections.SilenceOpen(silence.Both)
			readyAt := during(x)
			var n discovery.Notice
			select {
			case n = <-x.p.Notices:
			case n = <-x.moved.Notices:
			case <-time.After(byhand.Timeout):
				t.Fatal("no notice")
			}
			due := x.endsAt
			if readyAt.After(due) {
				due = readyAt
			}
			if late := time.Since(due); late > noticeDue+slack {
				t.Errorf("notice %+v came %v after it could first be told, due within %v", n, late, noticeDue+slack)
			}
			if n != (discovery.Notice{ID: "m", State: "failed"}) {
				t.Errorf("notice %+v", n)
			}
		})
	}
}

// startProcessAt starts a process at an address, beside one that serves there and hands over to it, and waits until it
// is ready.
func startProcessAt(t *testing.T, p *discovery.Platform, dir string, known platform.List, addr string) {
	t.Helper()
	if err := launchProcess(t, p, dir, known, addr).ready(); err != nil {
		t.Error(err)
	}
}
