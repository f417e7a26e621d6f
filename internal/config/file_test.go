package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"cometrack/logic"
)

const minimal = `state = "s"
[front.http]
listen = "127.0.0.1:8080"
[[partner]]
name = "acme"
endpoints = ["127.0.0.1:9001"]
`

// Users start from the examples: each must load, and package logic must accept its settings.
func TestExamples(t *testing.T) {
	list, err := filepath.Glob("../../deploy/examples/*.toml")
	if err != nil || len(list) < 2 {
		t.Fatalf("%v, %v", list, err)
	}
	for _, path := range list {
		f, err := Load(path)
		if err != nil {
			t.Errorf("%v", err)
			continue
		}
		if _, err := logic.New(f.Settings(), 1); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// full.toml documents the default values: each must equal the default in the code.
func TestExampleShowsDefaults(t *testing.T) {
	full, err := Load("../../deploy/examples/full.toml")
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := Parse("x", []byte(strings.Replace(minimal, `state = "s"`, "[sink.webhook]\nurl=\"http://h\"\nsecret=\"whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSwMfKQ9r8GKYqr\"\n[sink.file]\npath=\"p\"\n", 1)))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range [][2]any{{full.Limits, defaults.Limits}, {full.Rules, defaults.Rules}, {full.Transport, defaults.Transport}, {*full.Front.HTTP, *defaults.Front.HTTP},
		{full.Name, defaults.Name}, {full.State, defaults.State}, {full.Senders, defaults.Senders}, {full.Sink.Webhook.Timeout, defaults.Sink.Webhook.Timeout},
		{full.Sink.Webhook.Parallel, defaults.Sink.Webhook.Parallel}, {full.Sink.Webhook.Waiting, defaults.Sink.Webhook.Waiting},
		{full.Sink.File.MaxMB, defaults.Sink.File.MaxMB}, {full.Sink.File.Keep, defaults.Sink.File.Keep}, {full.Sink.File.Waiting, defaults.Sink.File.Waiting}} {
		if !reflect.DeepEqual(x[0], x[1]) {
			t.Errorf("the example has %+v, the default is %+v", x[0], x[1])
		}
	}
}

// One run reports all errors, each with its line and field.
func TestAllErrorsAtOnce(t *testing.T) {
	text := `state = "s"
colour = "red"
[limits]
slotz = 5
slots = "many"
attempts = 0.5
memory_mb = 4
[front.http]
listen = "127.0.0.1"
[[class]]
name = "a"
effect = "maybe"
aim = "soon"
[[class]]
name = "a"
[[partner]]
name = "acme"
rate = -1
endpoints = ["127.0.0.1:9001", "nowhere"]
[[partner]]
name = "acme"
kind = "huge"
[[partner.endpoint]]
adress = "127.0.0.1:9002"
`
	_, err := Parse("f.toml", []byte(text))
	var list Errors
	if !errors.As(err, &list) {
		t.Fatalf("got %v", err)
	}
	for _, want := range []struct {
		line        int
		field, text string
	}{
		{2, "colour", "unknown key"}, {4, "limits.slotz", `did you mean "slots"`}, {5, "limits.slots", "string"}, {6, "limits.attempts", ""},
		{7, "limits.memory_mb", "within"}, {9, "front.http.listen", "host:port"}, {12, "class[0].effect", "none of"},
		{13, "class[0].aim", "span of time"}, {15, "class[1].name", "class[0]"}, {18, "partner[0].rate", "within"},
		{19, "partner[0].endpoints[1]", "host:port"}, {21, "partner[1].name", "partner[0]"}, {22, "partner[1].kind", "none of"},
		{24, "partner[1].endpoint[0].adress", `did you mean "address"`},
	} {
		found := false
		for _, e := range list {
			found = found || e.Line == want.line && e.Field == want.field && strings.Contains(e.Text, want.text)
		}
		if !found {
			t.Errorf("line %d: no error at %s with %q", want.line, want.field, want.text)
		}
	}
	last := 0
	for _, e := range list {
		if e.Line < last {
			t.Errorf("line %d comes after line %d", e.Line, last)
		}
		last = e.Line
		if e.Path != "f.toml" || e.Line == 0 {
			t.Errorf("error without its place: %v", e)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

// A single mistake gives exactly one error, at its line.
func TestSingleErrors(t *testing.T) {
	for _, x := range []struct {
		old, new string
		field    string
	}{
		{`endpoints = ["127.0.0.1:9001"]`, `endpoints = []`, "partner[0].endpoints"},
		{`endpoints = ["127.0.0.1:9001"]`, ``, "partner[0].endpoints"},
		{`endpoints = ["127.0.0.1:9001"]`, `endpoints = ["127.0.0.1:9001", "127.0.0.1:9001"]`, "partner[0].endpoints[1]"},
		{`endpoints = ["127.0.0.1:9001"]`, `endpoints = ["127.0.0.1:0"]`, "partner[0].endpoints[0]"},
		{`name = "acme"`, `name = "ac me"`, "partner[0].name"}, {`name = "acme"`, `name = "a,b"`, "partner[0].name"},
		{`name = "acme"`, ``, "partner[0].name"}, {`state = "s"`, `zone = "moon"`, "zone"},
		{`state = "s"`, `senders = 0.5`, "senders"}, {`state = "s"`, `senders = -1`, "senders"},
		{`listen = "127.0.0.1:8080"`, `listen = "0.0.0.0:8080"`, "front.http.listen"}, {`listen = "127.0.0.1:8080"`, `listen = ":8080"`, "front.http.listen"},
		{`listen = "127.0.0.1:8080"`, "listen = \"127.0.0.1:8080\"\ncertificate = \"c\"", "front.http.certificate"},
		{`listen = "127.0.0.1:8080"`, "listen = \"10.0.0.1:8080\"\ncertificate = \"c\"\nkey = \"k\"", "front.http.listen"},
		{`[front.http]`, "[front.resp]\nlisten = \"[::]:6379\"\n[front.http]", "front.resp.listen"},
		{`[front.http]`, "[[tenant]]\nname = \"a\"\ntokens = [\"short\"]\n[front.http]", "tenant[0].tokens[0]"},
		{`[front.http]`, "[[tenant]]\nname = \"a\"\ntokens = [\"0123456789abcdef\", \"0123456789abcdef\"]\n[front.http]", "tenant[0].tokens[1]"},
		{`[front.http]`, "[sink.webhook]\nurl = \"ftp://h\"\nsecret = \"whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSwMfKQ9r8GKYqr\"\n[front.http]", "sink.webhook.url"},
		{`[front.http]`, "[sink.webhook]\nurl = \"http://h\"\nsecret = \"letmein\"\n[front.http]", "sink.webhook.secret"},
		{`[front.http]`, "[sink.webhook]\nurl = \"http://h\"\n[front.http]", "sink.webhook.secret"},
		{`[front.http]`, "[[class]]\nname = \"a\"\neffect = \"safe\"\nwindow = \"1s\"\n[front.http]", "class[0].window"},
		{`[front.http]`, "[[class]]\nname = \"a\"\naim = \"2s\"\ndeadline = \"1s\"\n[front.http]", "class[0].aim"},
		{`[front.http]`, "[limits]\nslots = nan\n[front.http]", "limits.slots"}, {`[front.http]`, "[rules]\ncold_from = nan\n[front.http]", "rules.cold_from"},
		{`[front.http]`, "[front.http", ""}, {`state = "s"`, "state = \"s\"\nstate = \"s\"", "state"}, {`state = "s"`, "state = \"\xff\"", ""},
	} {
		text := strings.Replace(minimal, x.old, x.new, 1)
		if text == minimal {
			t.Fatalf("%q is not in the file", x.old)
		}
		_, err := Parse("f.toml", []byte(text))
		var list Errors
		if !errors.As(err, &list) || len(list) != 1 {
			t.Errorf("%q: got %v", x.new, err)
			continue
		}
		if e := list[0]; e.Field != x.field || e.Line == 0 && x.field != "" {
			t.Errorf("%q: got %v, want %s", x.new, e, x.field)
		}
	}
	if _, err := Parse("f.toml", nil); err == nil || !strings.Contains(err.Error(), "front") || !strings.Contains(err.Error(), "partner") {
		t.Errorf("an empty file: %v", err)
	}
}

// A short file gets the defaults; a class without an effect is unsafe, so its messages never run twice.
func TestDefaults(t *testing.T) {
	f, err := Parse("f.toml", []byte(minimal+"[[class]]\nname = \"x\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	s := f.Settings()
	if s.Classes[0].Effect != logic.Unsafe || s.Slots != 256 || s.Classes[0].Deadline != 60*logic.Second {
		t.Errorf("%+v", s)
	}
	l := f.EndpointList(f.EvenShare())
	if !l.Complete || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "acme/127.0.0.1:9001" || l.Endpoints[0].Partner != "acme" {
		t.Errorf("%+v", l)
	}
}

// The burst after an idle time and calls that bunch on their way must stay within a partner's rate in each second.
func TestWeightUnderRate(t *testing.T) {
	f, err := Parse("f.toml", []byte(strings.Replace(minimal, `name = "acme"`, "name = \"acme\"\nrate = 100", 1)))
	if err != nil {
		t.Fatal(err)
	}
	w := f.EndpointList(f.EvenShare()).Endpoints[0].Weight
	if inASecond := w*(1+burstMargin) + max(w*burstTime.Seconds(), 1); inASecond > 100.5 {
		t.Errorf("weight %v lets %v calls arrive in a second", w, inASecond)
	}
}

// Changed sections that a running daemon does not apply are reported.
func TestChangedSections(t *testing.T) {
	a, err := Parse("f", []byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Parse("f", []byte(strings.Replace(minimal, "8080", "8081", 1)+"rate = 5\n[limits]\nslots = 7\nmemory_mb = 99\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(ChangedSections(a, b)); got != "[limits front]" {
		t.Errorf("changed: %s", got)
	}
	if got := ChangedSections(a, a); got != nil {
		t.Errorf("changed: %v", got)
	}
}

// No text makes the parser panic or hang, and a file that it accepts has passed its checks.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[[partner]]\n[[partner.endpoint]]\na.b = {c = [1, {d = 2}]}\n"))
	f.Add([]byte("[limits]\nslots = \"x\"\nslots2 = 1\n"))
	if b, err := os.ReadFile("../../deploy/examples/full.toml"); err == nil {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > 1<<12 {
			return
		}
		start := time.Now()
		c, err := Parse("f", text)
		if err == nil && (len(c.Partners) == 0 || c.Limits.Slots < 1) {
			t.Errorf("accepted: %+v", c)
		}
		if d := time.Since(start); d > 5*time.Second {
			t.Errorf("took %v", d)
		}
	})
}
