package daemon

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"cometrack/internal/standin/byhand"
	"cometrack/internal/standin/partner"
	"cometrack/internal/standin/traffic"
)

var update = flag.Bool("update", false, "write docs/operate/bad-input.md anew")

const badInputPage = "../../docs/operate/bad-input.md"

// bad is one kind of bad input, sent as it stands.
type bad struct {
	what string
	sent string
	end  bool // the client ends its sending after that
}

func post(query, head, body string) string {
	return "POST /v1/messages?" + query + " HTTP/1.1\r\nHost: x\r\n" + head + "\r\n" + body
}

// putText is a MSG.PUT request.
func putText(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

const okQuery = "partner=acme&class=safe&id=bad"

var badHTTP = []bad{
	{"bytes that are no request", "\x00\x17\x03 noise\r\n\r\n", false},
	{"a head of 1 MB", "POST /v1/messages HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", false},
	{"a head of 100,000 fields", "POST /v1/messages HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X: y\r\n", 100_000) + "\r\n", false},
	{"half a head, then silence", "POST /v1/messages HTTP/1.1\r\nHost", false},
	{"an unknown path", "GET /v2 HTTP/1.1\r\nHost: x\r\n\r\n", false},
	{"a method that the path does not take", "DELETE /v1/messages HTTP/1.1\r\nHost: x\r\n\r\n", false},
	{"a negative length", post(okQuery, "Content-Length: -1\r\n", ""), false},
	{"a length that is no number", post(okQuery, "Content-Length: five\r\n", "hello"), false},
	{"two lengths that differ", post(okQuery, "Content-Length: 5\r\nContent-Length: 6\r\n", "hello"), false},
	{"a body shorter than its length, then the end", post(okQuery, "Content-Length: 50\r\n", "hello"), true},
	{"a body shorter than its length, then silence", post(okQuery, "Content-Length: 50\r\n", "hello"), false},
	{"chunks without end", post(okQuery, "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n"), false},
	{"a chunk whose length can't be read", post(okQuery, "Transfer-Encoding: chunked\r\n", "zz\r\nhello\r\n"), false},
	{"64 KiB and one byte", post(okQuery, "Content-Length: 65537\r\n", strings.Repeat("x", 65537)), false},
	{"64 KiB and one byte, in chunks", post(okQuery, "Transfer-Encoding: chunked\r\n", "10001\r\n"+strings.Repeat("x", 65537)+"\r\n0\r\n\r\n"), false},
	{"a length of 3 GB", post(okQuery, "Content-Length: 3000000000\r\n", "hello"), false},
	{"a query that can't be read", post("partner=%zz&class=safe", "Content-Length: 0\r\n", ""), false},
	{"an unknown field", post(okQuery+"&colour=red", "Content-Length: 0\r\n", ""), false},
	{"a field twice", post(okQuery+"&id=bad", "Content-Length: 0\r\n", ""), false},
	{"no partner", post("class=safe&id=bad", "Content-Length: 0\r\n", ""), false},
	{"an unknown partner", post("partner=nobody&class=safe&id=bad", "Content-Length: 0\r\n", ""), false},
	{"invalid UTF-8 as partner", post("partner=%ff%fe&class=safe&id=bad", "Content-Length: 0\r\n", ""), false},
	{"no class", post("partner=acme&id=bad", "Content-Length: 0\r\n", ""), false},
	{"an unknown class", post("partner=acme&class=gold&id=bad", "Content-Length: 0\r\n", ""), false},
	{"an unknown tenant", post(okQuery+"&tenant=nobody", "Content-Length: 0\r\n", ""), false},
	{"no key in a keyed class", post("partner=acme&class=keyed&id=bad", "Content-Length: 0\r\n", ""), false},
	{"an id with a space", post("partner=acme&class=safe&id=a%20b", "Content-Length: 0\r\n", ""), false},
	{"an id with a line end", post("partner=acme&class=safe&id=a%0d%0aX:%20y", "Content-Length: 0\r\n", ""), false},
	{"an id of 1,000 bytes", post("partner=acme&class=safe&id="+strings.Repeat("a", 1000), "Content-Length: 0\r\n", ""), false},
	{"Idempotency-Key beside another id", post(okQuery, "Idempotency-Key: other\r\nContent-Length: 0\r\n", ""), false},
	{"a deadline in the past", post(okQuery+"&deadline=2020-01-01T00:00:00Z", "Content-Length: 0\r\n", ""), false},
	{"a deadline in ten years", post(okQuery+"&left=87600h", "Content-Length: 0\r\n", ""), false},
	{"a deadline that is no time", post(okQuery+"&deadline=soon", "Content-Length: 0\r\n", ""), false},
	{"a time left that is no span", post(okQuery+"&left=NaN", "Content-Length: 0\r\n", ""), false},
	{"a negative time left", post(okQuery+"&left=-5s", "Content-Length: 0\r\n", ""), false},
	{"left and deadline", post(okQuery+"&left=5s&deadline=2020-01-01T00:00:00Z", "Content-Length: 0\r\n", ""), false},
	{"a wait that is no span", "GET /v1/messages/a?wait=NaN HTTP/1.1\r\nHost: x\r\n\r\n", false},
	{"the state of what nobody handed in", "GET /v1/messages/a HTTP/1.1\r\nHost: x\r\n\r\n", false},
}

const okList = "c=safe,d=9000,dest=acme"

var badRESP = []bad{
	{"bytes that are no request", "GET / HTTP/1.1\r\n\r\n", false},
	{"a line without end", strings.Repeat("x", 1<<16), false},
	{"an array of -1", "*-1\r\n", false},
	{"an array of 1,000,000,000", "*1000000000\r\n", false},
	{"an empty array", "*0\r\n", false},
	{"a string of -1", "*1\r\n$-1\r\n", false},
	{"a string of 9,223,372,036,854,775,807 bytes", "*1\r\n$9223372036854775807\r\n", false},
	{"64 KiB and one byte", "*5\r\n$7\r\nMSG.PUT\r\n$65537\r\n", false},
	{"a string without its end", "*1\r\n$4\r\nPINGxx", false},
	{"half a request, then silence", "*5\r\n$7\r\nMSG.PUT\r\n", false},
	{"half a request, then the end", "*5\r\n$7\r\nMSG.PUT\r\n", true},
	{"an unknown command", putText("NONSENSE"), false},
	{"MSG.PUT without arguments", putText("MSG.PUT"), false},
	{"no list", putText("MSG.PUT", "0", "bad", "", "x"), false},
	{"a name twice", putText("MSG.PUT", "0", "bad", okList+",d=1", "x"), false},
	{"no d", putText("MSG.PUT", "0", "bad", "c=safe,dest=acme", "x"), false},
	{"a d that is no number", putText("MSG.PUT", "0", "bad", "c=safe,d=1e3,dest=acme", "x"), false},
	{"a negative d", putText("MSG.PUT", "0", "bad", "c=safe,d=-1,dest=acme", "x"), false},
	{"a d of ten years", putText("MSG.PUT", "0", "bad", "c=safe,d=315360000000,dest=acme", "x"), false},
	{"a d of an hour", putText("MSG.PUT", "0", "bad", "c=safe,d=3600000,dest=acme", "x"), false},
	{"an unknown class", putText("MSG.PUT", "0", "bad", "c=gold,d=9000,dest=acme", "x"), false},
	{"an unknown tenant", putText("MSG.PUT", "0", "bad", okList+",t=nobody", "x"), false},
	{"an unknown partner", putText("MSG.PUT", "0", "bad", "c=safe,d=9000,dest=nobody", "x"), false},
	{"invalid UTF-8 as partner", putText("MSG.PUT", "0", "bad", "c=safe,d=9000,dest=\xff\xfe", "x"), false},
	{"no key in a keyed class", putText("MSG.PUT", "0", "bad", "c=keyed,d=9000,dest=acme", "x"), false},
	{"no id", putText("MSG.PUT", "0", "", okList, "x"), false},
	{"an id with a space", putText("MSG.PUT", "0", "a b", okList, "x"), false},
	{"an id of 1,000 bytes", putText("MSG.PUT", "0", strings.Repeat("a", 1000), okList, "x"), false},
	{"an order key with a zero byte", putText("MSG.PUT", "\x00", "bad", okList, "x"), false},
	{"the state of nothing", putText("MSG.STATE"), false},
	{"the state of what nobody handed in", putText("MSG.STATE", "bad"), false},
	{"HELLO 3", putText("HELLO", "3"), false},
}

// say sends bad input and tells the answer in a line.
func (b bad) say(t *testing.T, addr string, isHTTP bool) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(byhand.Timeout))
	go func() {
		io.WriteString(conn, b.sent)
		if b.end {
			conn.(*net.TCPConn).CloseWrite()
		}
	}()
	r := bufio.NewReader(conn)
	if !isHTTP {
		line, err := r.ReadString('\n')
		if err != nil {
			return "closed without an answer"
		}
		return "`" + strings.TrimSpace(line) + "`"
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "closed without an answer"
	}
	body, _ := io.ReadAll(resp.Body)
	var p struct{ Detail, Field string }
	json.Unmarshal(body, &p)
	out := fmt.Sprint(resp.StatusCode)
	if p.Field != "" {
		out += " `" + p.Field + "`"
	}
	if p.Detail != "" {
		out += " " + p.Detail
	}
	return out
}

// Every kind of bad input has a plain answer, none of it is taken on, and docs/operate/bad-input.md shows them all.
func TestBadInput(t *testing.T) {
	p := startPartner(t, partner.Options{Name: "acme"})
	a := startAlone(t, traffic.ConfigText(t.TempDir(), "", p))
	var page bytes.Buffer
	page.WriteString("# What is answered to bad input\n\nThis page is written by `go test ./internal/daemon -run TestBadInput -update`, from what a daemon answered;\n" +
		"the test fails if it no longer does. Nothing on it is taken on.\n")
	for _, front := range []struct {
		title, addr string
		list        []bad
		isHTTP      bool
	}{{"HTTP: status, `field` and detail", a.HTTPAddr(), badHTTP, true}, {"RESP2: the line", a.RESPAddr(), badRESP, false}} {
		fmt.Fprintf(&page, "\n## %s\n\n| input | answer |\n| --- | --- |\n", front.title)
		answers := make([]string, len(front.list))
		var wg sync.WaitGroup
		for i, b := range front.list {
			wg.Go(func() { answers[i] = b.say(t, front.addr, front.isHTTP) })
		}
		wg.Wait()
		for i, b := range front.list {
			fmt.Fprintf(&page, "| %s | %s |\n", b.what, answers[i])
		}
	}
	if s := state(t, a.HTTPAddr(), "bad", "0s"); s != "" {
		t.Errorf("bad input was taken on: %s", s)
	}
	a.halt()
	if calls := p.Calls(); len(calls) != 0 {
		t.Errorf("the partner got %+v", calls)
	}
	if *update {
		if err := os.WriteFile(badInputPage, page.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(badInputPage)
	if err != nil {
		t.Fatal(err)
	}
	have, old := strings.Split(page.String(), "\n"), strings.Split(string(want), "\n")
	for i := range max(len(have), len(old)) {
		var x, y string
		if i < len(have) {
			x = have[i]
		}
		if i < len(old) {
			y = old[i]
		}
		if x != y {
			t.Errorf("the page says %q, the daemon %q", y, x)
		}
	}
}
