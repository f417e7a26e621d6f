package config

import (
	"encoding/base64"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/message"
	"cometrack/internal/view"
)

// What a file leaves out.
const (
	defaultMemoryMB    = 512
	defaultDescriptors = 4096
	defaultDiskMB      = 256
	defaultOpen        = 10_000
	defaultBacklogMB   = 1024
	defaultSlots       = 256
	defaultAttempts    = 6
	defaultRemembered  = 100_000
	maxNames           = 100_000 // partners, endpoints, tenants
)

func or[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// fill sets what the file leaves out.
func (f *File) fill() {
	or(&f.Name, "cometrack")
	or(&f.State, "state")
	or(&f.Senders, 1)
	l := &f.Limits
	or(&l.MemoryMB, defaultMemoryMB)
	or(&l.Descriptors, defaultDescriptors)
	or(&l.DiskMB, defaultDiskMB)
	or(&l.OpenMessages, defaultOpen)
	or(&l.BacklogMB, defaultBacklogMB)
	or(&l.Slots, defaultSlots)
	or(&l.Attempts, defaultAttempts)
	or(&l.Remember, Duration(time.Hour))
	or(&l.Remembered, defaultRemembered)
	or(&l.RetryAfter, Duration(30*time.Second))
	or(&f.Store.Sync, "always")
	or(&f.Store.Interval, Duration(time.Second))
	or(&f.Store.Bodies, 1024)
	r := &f.Rules
	or(&r.DrainGrace, Duration(2*time.Second))
	or(&r.FallMultiple, 2)
	or(&r.FallWindow, Duration(3*time.Second))
	or(&r.ColdFrom, 0.2)
	or(&r.WarmAfter, Duration(14*time.Second))
	or(&f.Transport.HTTP.ConnectTimeout, Duration(1500*time.Millisecond))
	or(&f.Transport.HTTP.Idle, Duration(10*time.Second))
	if h := f.Front.HTTP; h != nil {
		or(&h.LongPolls, 1000)
		or(&h.Streams, 100)
		or(&h.Window, 10_000)
		or(&h.MaxWait, Duration(time.Minute))
	}
	if c := f.Cluster; c != nil {
		or(&c.Advertise, c.Listen)
		or(&c.Lease, Duration(3*time.Second))
		or(&c.Least, 0.1)
		or(&c.Drift, 0.01)
		if c.Guard == nil {
			c.Guard = new(true)
		}
		if c.Facts == nil {
			c.Facts = new(true)
		}
	}
	if w := f.Sink.Webhook; w != nil {
		or(&w.Timeout, Duration(5*time.Second))
		or(&w.Parallel, 8)
		or(&w.Waiting, 100_000)
	}
	if s := f.Sink.File; s != nil {
		or(&s.MaxMB, 64)
		or(&s.Keep, 5)
		or(&s.Waiting, 100_000)
	}
	if len(f.Classes) == 0 {
		f.Classes = []Class{{Name: "safe", Effect: "safe"}, {Name: "keyed", Effect: "keyed"}, {Name: "unsafe", Effect: "unsafe"}}
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		or(&c.Effect, "unsafe") // nothing is said of it: it must not take effect twice
		or(&c.Aim, Duration(5*time.Second))
		or(&c.Deadline, Duration(max(time.Minute, 10*time.Duration(c.Aim))))
		or(&c.Worth, 1)
		or(&c.LateWorth, 0.5)
		if c.Effect == "keyed" {
			or(&c.Window, c.Deadline)
		}
	}
	if len(f.Kinds) == 0 {
		f.Kinds = []Kind{{Name: "partner"}}
	}
	for i := range f.Kinds {
		or(&f.Kinds[i].Routes, "shared")
	}
	if len(f.Zones) == 0 {
		f.Zones = []string{"default"}
	}
	or(&f.Zone, f.Zones[0])
	for i := range f.Partners {
		p := &f.Partners[i]
		or(&p.Kind, f.Kinds[0].Name)
		for _, a := range p.Addresses {
			p.Endpoints = append(p.Endpoints, Endpoint{Address: a})
		}
		for k := range p.Endpoints {
			e := &p.Endpoints[k]
			or(&e.Zone, f.Zones[0])
			or(&e.Name, p.Name+"/"+e.Address)
		}
	}
}

// checker collects what is wrong.
type checker struct {
	f     *File
	wrong Errors
}

func (c *checker) bad(path, format string, args ...any) {
	c.wrong = append(c.wrong, &Error{c.f.path, c.f.lines.line(path), path, fmt.Sprintf(format, args...)})
}

// within checks a number or a span.
func within[T int | float64 | Duration](c *checker, path string, v, least, most T) {
	if v < least || v > most || v != v {
		c.bad(path, "%v is not within %v and %v", text(v), text(least), text(most))
	}
}

func text(v any) any {
	if d, ok := v.(Duration); ok {
		return time.Duration(d)
	}
	return v
}

// unique checks names: each given, plain, and not twice.
func (c *checker) unique(seen map[string]string, path, name string) {
	switch before, twice := seen[name]; {
	case name == "":
		c.bad(path, "must be given")
	case len(name) > message.MaxName:
		c.bad(path, "over %d bytes", message.MaxName)
	case !message.IsVisibleASCII(name) || strings.ContainsAny(name, ",="):
		c.bad(path, "%q holds what is not visible ASCII, or a comma or an equals sign", name)
	case twice:
		c.bad(path, "%q is the name of %s too", name, before)
	default:
		seen[name] = strings.TrimSuffix(path, ".name")
	}
}

func oneOf(c *checker, path, v string, known ...string) {
	for _, k := range known {
		if v == k {
			return
		}
	}
	list := strings.Join(known, ", ")
	if len(known) > 20 {
		list = strings.Join(known[:20], ", ") + ", ..."
	}
	c.bad(path, "%q is none of %s", v, list)
}

// check says all that is wrong with a file that has been filled.
func (f *File) check() Errors {
	c := &checker{f: f}
	within(c, "senders", f.Senders, 1, 10_000)
	l := f.Limits
	within(c, "limits.cores", l.Cores, 0, 1024)
	within(c, "limits.memory_mb", l.MemoryMB, 16, 1<<20)
	within(c, "limits.descriptors", l.Descriptors, 64, 1<<22)
	within(c, "limits.disk_mb", l.DiskMB, 1, 1<<20)
	within(c, "limits.window", l.Window, 0, 1_000_000)
	within(c, "limits.backlog_mb", l.BacklogMB, 1, 1<<24)
	most := 10_000_000
	if l.Window > 0 {
		most = 1_000_000_000
	}
	within(c, "limits.open_messages", l.OpenMessages, 1, most)
	within(c, "limits.slots", l.Slots, 1, 1_000_000)
	within(c, "limits.attempts", l.Attempts, 1, 1000)
	within(c, "limits.remember", l.Remember, Duration(time.Second), Duration(30*24*time.Hour))
	within(c, "limits.remembered", l.Remembered, 1, 100_000_000)
	within(c, "limits.retry_after", l.RetryAfter, Duration(time.Millisecond), Duration(24*time.Hour))
	oneOf(c, "store.sync", f.Store.Sync, "always", "interval", "never")
	within(c, "store.interval", f.Store.Interval, Duration(time.Millisecond), Duration(time.Minute))
	within(c, "store.body_in_memory", f.Store.Bodies, 1, message.MaxBody)
	r := f.Rules
	within(c, "rules.drain_grace", r.DrainGrace, 0, Duration(time.Hour))
	within(c, "rules.fall_multiple", r.FallMultiple, 1, 1000)
	within(c, "rules.fall_window", r.FallWindow, Duration(time.Millisecond), Duration(time.Hour))
	within(c, "rules.cold_from", r.ColdFrom, 0.001, 1)
	within(c, "rules.warm_after", r.WarmAfter, 0, Duration(24*time.Hour))
	within(c, "rules.key_quiet", r.KeyQuiet, 0, Duration(time.Hour))
	within(c, "transport.http.connect_timeout", f.Transport.HTTP.ConnectTimeout, Duration(time.Millisecond), Duration(time.Minute))
	within(c, "transport.http.idle", f.Transport.HTTP.Idle, Duration(time.Millisecond), Duration(time.Hour))
	if s := f.Transport.HTTP.Source; s != "" && net.ParseIP(s) == nil {
		c.bad("transport.http.source", "%q is no IP address", s)
	}
	c.names()
	c.partners()
	c.fronts()
	c.cluster()
	c.sinks()
	return c.wrong
}

func (c *checker) names() {
	f := c.f
	seen := map[string]string{}
	for i, z := range f.Zones {
		c.unique(seen, fmt.Sprintf("zones[%d]", i), z)
	}
	oneOf(c, "zone", f.Zone, f.Zones...)
	seen = map[string]string{}
	for i, x := range f.Classes {
		at := fmt.Sprintf("class[%d].", i)
		c.unique(seen, at+"name", x.Name)
		oneOf(c, at+"effect", x.Effect, "safe", "keyed", "unsafe")
		within(c, at+"deadline", x.Deadline, Duration(time.Millisecond), Duration(24*time.Hour))
		within(c, at+"aim", x.Aim, Duration(time.Millisecond), max(x.Deadline, Duration(time.Millisecond)))
		within(c, at+"worth", x.Worth, 1e-6, 1e6)
		within(c, at+"late_worth", x.LateWorth, 0, 1)
		within(c, at+"window", x.Window, 0, Duration(24*time.Hour))
		if x.Effect != "keyed" && (x.Window != 0 || x.ByZone) {
			c.bad(at+"window", "only a keyed class has a window")
		}
	}
	seen = map[string]string{}
	tokens := map[string]string{}
	for i, x := range f.Tenants {
		at := fmt.Sprintf("tenant[%d].", i)
		c.unique(seen, at+"name", x.Name)
		within(c, at+"quota", x.Quota, 0, 1e9)
		for k, tok := range x.Tokens {
			path := fmt.Sprintf("%stokens[%d]", at, k)
			switch before, twice := tokens[tok]; {
			case len(tok) < 16 || len(tok) > 256 || !message.IsVisibleASCII(tok):
				c.bad(path, "a token is 16 to 256 visible ASCII characters")
			case twice:
				c.bad(path, "the same token as %s", before)
			default:
				tokens[tok] = path
			}
		}
	}
	seen = map[string]string{}
	for i, x := range f.Kinds {
		at := fmt.Sprintf("kind[%d].", i)
		c.unique(seen, at+"name", x.Name)
		oneOf(c, at+"routes", x.Routes, "shared", "apart")
	}
}

func (c *checker) partners() {
	f := c.f
	kinds := make([]string, len(f.Kinds))
	for i, k := range f.Kinds {
		kinds[i] = k.Name
	}
	seen, endpoints := map[string]string{}, map[string]string{}
	if len(f.Partners) == 0 {
		c.bad("partner", "there is none: nothing could be delivered")
	}
	if len(f.Partners) > maxNames {
		c.bad("partner", "over %d", maxNames)
		return
	}
	for i, p := range f.Partners {
		at := fmt.Sprintf("partner[%d].", i)
		c.unique(seen, at+"name", p.Name)
		oneOf(c, at+"kind", p.Kind, kinds...)
		within(c, at+"rate", p.Rate, 0, 1e6)
		if len(p.Endpoints) == 0 {
			c.bad(at+"endpoints", "there is none")
		}
		for k, e := range p.Endpoints {
			if from := len(p.Endpoints) - len(p.Addresses); k >= from { // its name is made of what is checked elsewhere
				path := fmt.Sprintf("%sendpoints[%d]", at, k-from)
				c.address(path, e.Address, false)
				if before, twice := endpoints[e.Name]; twice {
					c.bad(path, "%q is the name of %s too", e.Name, before)
				}
				endpoints[e.Name] = path
				continue
			}
			path := fmt.Sprintf("%sendpoint[%d].", at, k)
			c.unique(endpoints, path+"name", e.Name)
			oneOf(c, path+"zone", e.Zone, f.Zones...)
			c.address(path+"address", e.Address, false)
		}
	}
}

// address checks host:port; a listener's host may be empty.
func (c *checker) address(path, addr string, listener bool) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" && !listener {
		c.bad(path, "%q is not host:port", addr)
		return
	}
	n := 0
	if _, err := fmt.Sscanf(port, "%d", &n); err != nil || n < 0 || n > 65535 || n == 0 && !listener || fmt.Sprint(n) != port {
		c.bad(path, "%q has no port from 1 to 65535", addr)
	}
}

// onLoopback says whether only this machine can reach a listener.
func onLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func (c *checker) fronts() {
	f := c.f
	if f.Front.RESP == nil && f.Front.HTTP == nil {
		c.bad("front", "there is none: [front.http] or [front.resp] must be given")
	}
	if x := f.Console; x.Listen != "" {
		c.address("console.listen", x.Listen, true)
		if !onLoopback(x.Listen) && !x.Insecure {
			c.bad("console.listen", "%q is not on loopback, and the console asks nobody who they are: say insecure = true to serve it all the same", x.Listen)
		}
	}
	tokens := f.HasTokens()
	if r := f.Front.RESP; r != nil {
		c.address("front.resp.listen", r.Listen, true)
		if !onLoopback(r.Listen) && !r.Insecure {
			c.bad("front.resp.listen", "%q is not on loopback, and RESP2 has no TLS here: say insecure = true to serve it all the same", r.Listen)
		}
	}
	if h := f.Front.HTTP; h != nil {
		c.address("front.http.listen", h.Listen, true)
		switch {
		case (h.Certificate == "") != (h.Key == ""):
			c.bad("front.http.certificate", "certificate and key belong together")
		case h.Insecure || onLoopback(h.Listen):
		case h.Certificate == "":
			c.bad("front.http.listen", "%q is not on loopback and has no TLS: give certificate and key, or say insecure = true", h.Listen)
		case !tokens:
			c.bad("front.http.listen", "%q is not on loopback and no tenant has a token: give tokens, or say insecure = true", h.Listen)
		}
		within(c, "front.http.long_polls", h.LongPolls, 1, 1_000_000)
		within(c, "front.http.streams", h.Streams, 1, 100_000)
		within(c, "front.http.window", h.Window, 1, 10_000_000)
		within(c, "front.http.max_wait", h.MaxWait, Duration(time.Millisecond), Duration(time.Hour))
	}
}

func (c *checker) cluster() {
	x := c.f.Cluster
	if x == nil {
		return
	}
	if c.f.Name == "" || c.f.lines.line("name") == 0 {
		c.bad("cluster", "name must be given, another one for each sender")
	}
	within(c, "senders", c.f.Senders, 1, view.MaxSenders)
	c.address("cluster.listen", x.Listen, false)
	c.address("cluster.advertise", x.Advertise, false)
	for _, a := range [][2]string{{"cluster.listen", x.Listen}, {"cluster.advertise", x.Advertise}} {
		if host, _, err := net.SplitHostPort(a[1]); err == nil && net.ParseIP(host) == nil {
			c.bad(a[0], "%q is not an IP address with a port: names are not looked up", a[1])
		}
	}
	if host, _, err := net.SplitHostPort(x.Advertise); err == nil && net.ParseIP(host).IsUnspecified() {
		c.bad("cluster.advertise", "%q is an address that nobody can call: say where the others reach this sender", x.Advertise)
	}
	if len(x.Join) > view.MaxSenders {
		c.bad("cluster.join", "over %d", view.MaxSenders)
	}
	for i, a := range x.Join {
		path := fmt.Sprintf("cluster.join[%d]", i)
		c.address(path, a, false)
		if host, _, err := net.SplitHostPort(a); err == nil && net.ParseIP(host) == nil {
			c.bad(path, "%q is not an IP address with a port: names are not looked up", a)
		}
	}
	if x.KeyFile != "" {
		if _, err := cluster.ReadKeys(x.KeyFile); err != nil {
			c.bad("cluster.key_file", "%v", err)
		}
	} else if !onLoopback(x.Listen) && !x.Insecure {
		c.bad("cluster.listen", "%q is not on loopback, and anybody could speak as a sender: give key_file, or say insecure = true", x.Listen)
	}
	within(c, "cluster.lease", x.Lease, Duration(500*time.Millisecond), Duration(5*time.Minute))
	within(c, "cluster.least", x.Least, 0.001, 1)
	within(c, "cluster.drift", x.Drift, 0.0001, 0.1)
}

func (c *checker) sinks() {
	if w := c.f.Sink.Webhook; w != nil {
		u, err := url.Parse(w.URL)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			c.bad("sink.webhook.url", "%q is no http or https URL", w.URL)
		}
		switch {
		case (w.Secret == "") == (w.SecretFile == ""):
			c.bad("sink.webhook.secret", "one of secret and secret_file must be given")
		default:
			if _, err := w.Key(); err != nil {
				c.bad("sink.webhook.secret", "%v", err)
			}
		}
		within(c, "sink.webhook.timeout", w.Timeout, Duration(time.Millisecond), Duration(time.Minute))
		within(c, "sink.webhook.parallel", w.Parallel, 1, 1000)
		within(c, "sink.webhook.waiting", w.Waiting, 1, 10_000_000)
	}
	if s := c.f.Sink.File; s != nil {
		if s.Path == "" {
			c.bad("sink.file.path", "must be given")
		}
		within(c, "sink.file.max_mb", s.MaxMB, 1, 1<<20)
		within(c, "sink.file.keep", s.Keep, 1, 1000)
		within(c, "sink.file.waiting", s.Waiting, 1, 10_000_000)
	}
}

// Key is the webhook's signing key.
func (w *Webhook) Key() ([]byte, error) {
	secret := w.Secret
	if w.SecretFile != "" {
		b, err := os.ReadFile(w.SecretFile)
		if err != nil {
			return nil, err
		}
		secret = strings.TrimSpace(string(b))
	}
	rest, ok := strings.CutPrefix(secret, "whsec_")
	key, err := base64.StdEncoding.DecodeString(rest)
	if !ok || err != nil || len(key) < 24 || len(key) > 64 {
		return nil, fmt.Errorf("a secret is whsec_ and the base64 of 24 to 64 bytes")
	}
	return key, nil
}
