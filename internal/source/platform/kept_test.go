package platform

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cometrack/internal/core"
	"cometrack/internal/source/platform/poll"
)

// keptDiscovery is a stand-in for discovery in virtual time whose connections are kept, come up late and can fall
// silent.
type keptDiscovery struct {
	dialDelay time.Duration

	mu         sync.Mutex
	opened     int // connections so far
	silent     int // connections that are silent: those with a number below it
	generation int // of the list
	changed    chan struct{}
	calls      []int // number of the connection of each call
}

// silenceOpen makes the connections that are open fall silent, and changes the list.
func (d *keptDiscovery) silenceOpen() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = d.opened
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *keptDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	time.Sleep(d.dialDelay)
	here, there := net.Pipe()
	d.mu.Lock()
	defer d.mu.Unlock()
	number := d.opened
	d.opened++
	go d.serve(there, number)
	return here, nil
}

// serve answers the calls of a connection.
func (d *keptDiscovery) serve(conn net.Conn, number int) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var from, hold int
		fmt.Sscanf(req.URL.RawQuery, "from=%d&hold_ms=%d", &from, &hold)
		held := time.After(time.Duration(hold) * time.Millisecond)
		d.mu.Lock()
		d.calls = append(d.calls, number)
		generation, changed := d.generation, d.changed
		d.mu.Unlock()
		if from == generation {
			select {
			case <-held:
			case <-changed:
			}
		}
		d.mu.Lock()
		generation = d.generation
		silent := number < d.silent
		d.mu.Unlock()
		if silent {
			continue
		}
		reply(testCall{conn: conn}, fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, from == 0, instance))
	}
}

// Guards against a check that shares the fate of the call beside which it is made. An idle connection to discovery was
// open together with that of the watch, and falls silent together with it: the first check after that must have a
// connection of its own. Each case is a bound of the pages, from the time of the silence: 2 s after the hold of the
// watch.
func TestCheckBesideASilentWatchHasANewConnection(t *testing.T) {
	for name, settings := range map[string]poll.Settings{"1 sender": {Senders: 1}, "60 senders": {Senders: 60},
		"300 senders": {Senders: 300}, "an agent": {Senders: 1, Agent: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The second call is made before the first has a connection, which becomes idle in the end.
				d := &keptDiscovery{dialDelay: 300 * time.Millisecond, generation: 1, changed: make(chan struct{})}
				source := New(Options{Addr: "agent:1", Poll: settings, Seed: 1, Log: slog.New(slog.DiscardHandler)})
				source.client.Transport.(*http.Transport).DialContext = d.dial
				updates := make(chan core.EndpointUpdate, 1024)
				ctx, stop := context.WithCancel(t.Context())
				source.Watch(ctx, func(u core.EndpointUpdate) {
					if source.AcceptUpdate(u) {
						updates <- u
					}
				})
				<-updates
				time.Sleep(900 * time.Millisecond)
				hold := 20 * time.Second
				if settings.Agent {
					hold = time.Second
				}
				d.mu.Lock()
				before, calls := d.opened, len(d.calls)
				d.mu.Unlock()
				if before < 2 {
					t.Fatalf("%d connections are open: there is no idle one", before)
				}
				silentAt := time.Now()
				d.silenceOpen()
				for u := range updates {
					if u.Version == 2 {
						break
					}
				}
				if took := time.Since(silentAt); took > hold+2*time.Second {
					t.Errorf("the change was received after %v, want %v at most", took, hold+2*time.Second)
				}
				d.mu.Lock()
				for _, number := range d.calls[calls:] {
					if number < before {
						t.Errorf("a check went over connection %d, opened before the silence", number)
					}
				}
				d.mu.Unlock()
				stop()
				source.client.CloseIdleConnections()
				time.Sleep(time.Minute)
			})
		})
	}
}
