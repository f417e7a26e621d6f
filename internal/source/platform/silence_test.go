package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cometrack/internal/core"
)

// call is one call for the list, at the stand-in's end of a pipe.
type call struct {
	conn net.Conn
	url  string
	at   time.Duration // since the start
}

func (c call) write(text string) { io.WriteString(c.conn, text) }

const (
	head  = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
	row   = `{"instanceId":"s","hostPort":"h:1","zone":"a","cell":1,"lifecycle":"up"}`
	whole = `{"generation":7,"reset":true,"instances":[` + row + `]}`
)

func reply(c call, body string) {
	c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// A silence at each place of a call, in virtual time: the next call is out while its news can still be used. What a silent
// call misses counts as told 6 s after it fell silent, or 2 s after its wait is over; 4 s after a move.
func TestSilence(t *testing.T) {
	stay := func(call) {}
	for _, x := range []struct {
		name   string
		first  func(call) // answers the first call
		pushed bool
		known  bool          // there is a list, so that the first call is a watch
		within time.Duration // the second call comes by then
		whole  bool          // and asks for the whole list
		failed bool          // the module is told, and asks again after the longest of its first pauses
	}{
		{"whole list, from the first byte", stay, false, false, 4600 * time.Millisecond, true, true},
		{"whole list, after the head", func(c call) { c.write(head) }, false, false, 4 * time.Second, true, true},
		{"whole list, within it", func(c call) { c.write(head + whole[:40]) }, false, false, 4 * time.Second, true, true},
		{"whole list, a trickle", func(c call) {
			c.write(head)
			for i := 0; i < len(whole); i++ {
				if _, err := io.WriteString(c.conn, whole[i:i+1]); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}, false, false, 4 * time.Second, true, true},
		{"whole list, its last byte", func(c call) {
			c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(whole), whole))
		}, false, false, 200 * time.Millisecond, false, false},
		{"watch, from the first byte", stay, false, true, 21500 * time.Millisecond, false, false},
		{"watch, within its answer", func(c call) { c.write(head + whole[:40]) }, false, true, 2500 * time.Millisecond, false, false},
		{"watch of an agent, from the first byte", stay, true, true, 3 * time.Second, false, false},
		{"watch of an agent, within its answer", func(c call) { c.write(head + whole[:40]) }, true, true, 3 * time.Second, false, false},
		{"an older generation", func(c call) { reply(c, `{"generation":3,"reset":false,"instances":[]}`) }, false, true, time.Second, true, false},
		{"an object with nothing in it", func(c call) { reply(c, `{}`) }, false, false, 1600 * time.Millisecond, true, true},
		{"cut off", func(c call) { c.write(head + whole[:40]); c.conn.Close() }, false, false, 1600 * time.Millisecond, true, true},
		{"indented", func(c call) { reply(c, strings.ReplaceAll(whole, ",", ",\n\t  ")) }, false, false, 200 * time.Millisecond, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, calls := time.Now(), make(chan call, 16)
				known := List{}
				if x.known {
					known = List{Generation: 5}
				}
				s := New("agent:1", known, x.pushed, slog.New(slog.DiscardHandler))
				s.client.Transport = &http.Transport{MaxConnsPerHost: 4, DialContext: func(context.Context, string, string) (net.Conn, error) {
					here, there := net.Pipe()
					go func() {
						r := bufio.NewReader(there)
						for {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							calls <- call{there, req.URL.String(), time.Since(start)}
						}
					}()
					return here, nil
				}}
				ctx, stop := context.WithCancel(t.Context())
				failed := false
				var hear func(core.News)
				hear = func(n core.News) {
					if s.Takes(n) && n.Err != nil {
						failed = true
						time.AfterFunc(1500*time.Millisecond, func() { s.Watch(ctx, hear) })
					}
				}
				s.Watch(ctx, hear)
				go x.first(<-calls)
				second := <-calls
				if second.at > x.within || strings.Contains(second.url, "from=") == x.whole || failed != x.failed {
					t.Errorf("asked again for %s after %v, the module told %v; want by %v, whole %v, told %v", second.url, second.at, failed, x.within, x.whole, x.failed)
				}
				stop()
				second.conn.Close()
				synctest.Wait()
			})
		})
	}
}
