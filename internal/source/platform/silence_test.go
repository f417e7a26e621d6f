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

// latest is how long after a call that fails the next one comes: an answer comes before what is new counts as told (6 s).
const latest = 5500 * time.Millisecond

func reply(c call, body string) {
	c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// A silence at each place of a call, in virtual time: the next call is out while its news can still be used. What a silent
// call misses counts as told 6 s after it fell silent, or 2 s after its wait is over.
func TestSilence(t *testing.T) {
	stay := func(call) {}
	for _, x := range []struct {
		name   string
		first  func(call) // answers the first call
		pushed bool
		known  bool          // there is a list, so that the first call is a watch
		within time.Duration // the second call comes by then
		whole  bool          // and asks for the whole list
		failed time.Duration // the module is told by then, and asks again; 0 if it is not told
	}{
		{"whole list, from the first byte", stay, false, false, latest, true, 3100 * time.Millisecond},
		{"whole list, after the head", func(c call) { c.write(head) }, false, false, latest, true, 2500 * time.Millisecond},
		{"whole list, within it", func(c call) { c.write(head + whole[:40]) }, false, false, latest, true, 2500 * time.Millisecond},
		{"whole list, a trickle", func(c call) {
			c.write(head)
			for i := 0; i < len(whole); i++ {
				if _, err := io.WriteString(c.conn, whole[i:i+1]); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}, false, false, latest, true, 2500 * time.Millisecond},
		{"whole list, its last byte", func(c call) {
			c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(whole), whole))
		}, false, false, 200 * time.Millisecond, false, 0},
		{"watch, from the first byte", stay, false, true, 21500 * time.Millisecond, false, 0},
		{"watch, within its answer", func(c call) { c.write(head + whole[:40]) }, false, true, 2500 * time.Millisecond, false, 0},
		{"watch of an agent, from the first byte", stay, true, true, 3 * time.Second, false, 0},
		{"watch of an agent, within its answer", func(c call) { c.write(head + whole[:40]) }, true, true, 3 * time.Second, false, 0},
		{"an older generation", func(c call) { reply(c, `{"generation":3,"reset":false,"instances":[]}`) }, false, true, time.Second, true, 0},
		{"an object with nothing in it", func(c call) { reply(c, `{}`) }, false, false, latest, true, 100 * time.Millisecond},
		{"cut off", func(c call) { c.write(head + whole[:40]); c.conn.Close() }, false, false, latest, true, 100 * time.Millisecond},
		{"indented", func(c call) { reply(c, strings.ReplaceAll(whole, ",", ",\n\t  ")) }, false, false, 200 * time.Millisecond, false, 0},
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
				f := follow(t, s, 1)
				go x.first(<-calls)
				second := <-calls
				told := f.told.Load()
				if second.at > x.within || strings.Contains(second.url, "from=") == x.whole || time.Duration(told) > x.failed || told == 0 != (x.failed == 0) {
					t.Errorf("asked again for %s after %v, the module told after %v; want by %v, whole %v, told by %v",
						second.url, second.at, time.Duration(told), x.within, x.whole, x.failed)
				}
				f.stop()
				second.conn.Close()
				synctest.Wait()
			})
		})
	}
}
