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

// Defaults of settings, and the bounds of lists.
const (
	defaultMemoryMB    = 512     // soft memory limit
	defaultDescriptors = 4096    // file descriptors
	defaultDiskMB      = 256     // size of the journal's folder in millions of bytes
	defaultOpen        = 10_000  // pending limit, in messages
	defaultBacklogMB   = 1024    // size of the backlog on disk in millions of bytes
	defaultSlots       = 256     // concurrent calls of this sender to all endpoints together
	defaultAttempts    = 6       // attempts for one message
	defaultRemembered  = 100_000 // ended messages whose outcome is kept
	maxNames           = 100_000 // partners in the file
)

// setDefault sets a value that is zero to its default.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// fill sets the defaults of all settings that the file leaves out.
func (f *File) fill() {
	setDefault(&f.Name, "cometrack")
	setDefault(&f.State, "state")
	setDefault(&f.Senders, 1)
	l := &f.Limits
	setDefault(&l.MemoryMB, defaultMemoryMB)
	setDefault(&l.Descriptors, defaultDescriptors)
	setDefault(&l.DiskMB, defaultDiskMB)
	setDefault(&l.OpenMessages, defaultOpen)
	setDefault(&l.BacklogMB, defaultBacklogMB)
	setDefault(&l.Slots, defaultSlots)
	setDefault(&l.Attempts, defaultAttempts)
	setDefault(&l.Remember, Duration(time.Hour))
	setDefault(&l.Remembered, defaultRemembered)
	setDefault(&l.RetryAfter, Duration(30*time.Second))
	setDefault(&f.Store.Sync, "always")
	setDefault(&f.Store.Interval, Duration(time.Second))
	setDefault(&f.Store.Bodies, 1024)
	r := &f.Rules
	setDefault(&r.DrainGrace, Duration(2*time.Second))
	setDefault(&r.FallMultiple, 2)
	setDefault(&r.FallWindow, Duration(3*time.Second))
	setDefault(&r.ColdFrom, 0.2)
	setDefault(&r.WarmAfter, Duration(14*time.Second))
	setDefault(&f.Transport.HTTP.ConnectTimeout, Duration(1500*time.Millisecond))
	setDefault(&f.Transport.HTTP.Idle, Duration(10*time.Second))
	if h := f.Front.HTTP; h != nil {
		setDefault(&h.LongPolls, 1000)
		setDefault(&h.Streams, 100)
		setDefault(&h.Window, 10_000)
		setDefault(&h.MaxWait, Duration(time.Minute))
	}
	if c := f.Cluster; c != nil {
		setDefault(&c.Advertise, c.Listen)
		setDefault(&c.Lease, Duration(3*time.Second))
		setDefault(&c.Least, 0.1)
		setDefault(&c.Drift, 0.01)
		if c.Guard == nil {
			c.Guard = new(true)
		}
		if c.Facts == nil {
			c.Facts = new(true)
		}
	}
	if w := f.Sink.Webhook; w != nil {
		setDefault(&w.Timeout, Duration(5*time.Second))
		setDefault(&w.Parallel, 8)
		setDefault(&w.Waiting, 100_000)
	}
	if s := f.Sink.File; s != nil {
		setDefault(&s.MaxMB, 64)
		setDefault(&s.Keep, 5)
		setDefault(&s.Waiting, 100_000)
	}
	if len(f.Classes) == 0 {
		f.Classes = []Class{{Name: "safe", Effect: "safe"}, {Name: "keyed", Effect: "keyed"}, {Name: "unsafe", Effect: "unsafe"}}
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		setDefault(&c.Effect, "unsafe") // the strictest: without an effect stated, a message must not run twice
		setDefault(&c.Aim, Duration(5*time.Second))
		setDefault(&c.Deadline, Duration(max(time.Minute, 10*time.Duration(c.Aim))))
		setDefault(&c.Worth, 1)
		setDefault(&c.LateWorth, 0.5)
		if c.Effect == "keyed" {
			setDefault(&c.Window, c.Deadline)
		}
	}
	if len(f.Kinds) == 0 {
		f.Kinds = []Kind{{Name: "partner"}}
	}
	for i := range f.Kinds {
		setDefault(&f.Kinds[i].Routes, "shared")
	}
	if len(f.Zones) == 0 {
		f.Zones = []string{"default"}
	}
	setDefault(&f.Zone, f.Zones[0])
	for i := range f.Partners {
		p := &f.Partners[i]
		setDefault(&p.Kind, f.Kinds[0].Name)
		for _, a := range p.Addresses {
			p.Endpoints = append(p.Endpoints, Endpoint{Address: a})
		}
		for k := range p.Endpoints {
			e := &p.Endpoints[k]
			setDefault(&e.Zone, f.Zones[0])
			setDefault(&e.Name, p.Name+"/"+e.Address)
		}
	}
}

// checker collects the errors of a file.
type checker struct {
	file *File
	errs Errors
}

// addError adds an error at a path, with the path's line.
func (c *checker) addError(path, format string, args ...any) {
	c.errs = append(c.errs, &Error{c.file.path, c.file.lines.line(path), path, fmt.Sprintf(format, args...)})
}

// checkRange checks that a number or a duration lies within bounds. A NaN does not.
func checkRange[T int | float64 | Duration](c *checker, path string, v, minimum, maximum T) {
	if v < minimum || v > maximum || v != v {
		c.addError(path, "%v is not within %v and %v", displayValue(v), displayValue(minimum), displayValue(maximum))
	}
}

// displayValue returns a value in the form that errors show: a duration as text such as "1s".
func displayValue(v any) any {
	if d, ok := v.(Duration); ok {
		return time.Duration(d)
	}
	return v
}

// checkName checks that a name is given, within the maximum length, of plain characters and unique.
func (c *checker) checkName(seen map[string]string, path, name string) {
	switch previous, duplicate := seen[name]; {
	case name == "":
		c.addError(path, "must be given")
	case len(name) > message.MaxName:
		c.addError(path, "over %d bytes", message.MaxName)
	case !message.IsVisibleASCII(name) || strings.ContainsAny(name, ",="):
		c.addError(path, "%q holds what is not visible ASCII, or a comma or an equals sign", name)
	case duplicate:
		c.addError(path, "%q is the name of %s too", name, previous)
	default:
		seen[name] = strings.TrimSuffix(path, ".name")
	}
}

// checkOneOf checks that a value is one of the known ones.
func checkOneOf(c *checker, path, v string, known ...string) {
	for _, k := range known {
		if v == k {
			return
		}
	}
	list := strings.Join(known, ", ")
	if len(known) > 20 {
		list = strings.Join(known[:20], ", ") + ", ..."
	}
	c.addError(path, "%q is none of %s", v, list)
}

// check returns all errors of a file whose defaults are set.
func (f *File) check() Errors {
	c := &checker{file: f}
	checkRange(c, "senders", f.Senders, 1, 10_000)
	l := f.Limits
	checkRange(c, "limits.cores", l.Cores, 0, 1024)
	checkRange(c, "limits.memory_mb", l.MemoryMB, 16, 1<<20)
	checkRange(c, "limits.descriptors", l.Descriptors, 64, 1<<22)
	checkRange(c, "limits.disk_mb", l.DiskMB, 1, 1<<20)
	checkRange(c, "limits.window", l.Window, 0, 1_000_000)
	checkRange(c, "limits.backlog_mb", l.BacklogMB, 1, 1<<24)
	maxOpen := 10_000_000
	if l.Window > 0 {
		maxOpen = 1_000_000_000
	}
	checkRange(c, "limits.open_messages", l.OpenMessages, 1, maxOpen)
	checkRange(c, "limits.slots", l.Slots, 1, 1_000_000)
	checkRange(c, "limits.attempts", l.Attempts, 1, 1000)
	checkRange(c, "limits.remember", l.Remember, Duration(time.Second), Duration(30*24*time.Hour))
	checkRange(c, "limits.remembered", l.Remembered, 1, 100_000_000)
	checkRange(c, "limits.retry_after", l.RetryAfter, Duration(time.Millisecond), Duration(24*time.Hour))
	checkOneOf(c, "store.sync", f.Store.Sync, "always", "interval", "never")
	checkRange(c, "store.interval", f.Store.Interval, Duration(time.Millisecond), Duration(time.Minute))
	checkRange(c, "store.body_in_memory", f.Store.Bodies, 1, message.MaxBody)
	r := f.Rules
	checkRange(c, "rules.drain_grace", r.DrainGrace, 0, Duration(time.Hour))
	checkRange(c, "rules.fall_multiple", r.FallMultiple, 1, 1000)
	checkRange(c, "rules.fall_window", r.FallWindow, Duration(time.Millisecond), Duration(time.Hour))
	checkRange(c, "rules.cold_from", r.ColdFrom, 0.001, 1)
	checkRange(c, "rules.warm_after", r.WarmAfter, 0, Duration(24*time.Hour))
	checkRange(c, "rules.key_quiet", r.KeyQuiet, 0, Duration(time.Hour))
	checkRange(c, "transport.http.connect_timeout", f.Transport.HTTP.ConnectTimeout, Duration(time.Millisecond), Duration(time.Minute))
	checkRange(c, "transport.http.idle", f.Transport.HTTP.Idle, Duration(time.Millisecond), Duration(time.Hour))
	if s := f.Transport.HTTP.Source; s != "" && net.ParseIP(s) == nil {
		c.addError("transport.http.source", "%q is no IP address", s)
	}
	c.names()
	c.partners()
	c.fronts()
	c.cluster()
	c.sinks()
	return c.errs
}

// names checks zones, classes, tenants and kinds.
func (c *checker) names() {
	f := c.file
	seen := map[string]string{}
	for i, z := range f.Zones {
		c.checkName(seen, fmt.Sprintf("zones[%d]", i), z)
	}
	checkOneOf(c, "zone", f.Zone, f.Zones...)
	seen = map[string]string{}
	for i, x := range f.Classes {
		prefix := fmt.Sprintf("class[%d].", i)
		c.checkName(seen, prefix+"name", x.Name)
		checkOneOf(c, prefix+"effect", x.Effect, "safe", "keyed", "unsafe")
		checkRange(c, prefix+"deadline", x.Deadline, Duration(time.Millisecond), Duration(24*time.Hour))
		checkRange(c, prefix+"aim", x.Aim, Duration(time.Millisecond), max(x.Deadline, Duration(time.Millisecond)))
		checkRange(c, prefix+"worth", x.Worth, 1e-6, 1e6)
		checkRange(c, prefix+"late_worth", x.LateWorth, 0, 1)
		checkRange(c, prefix+"window", x.Window, 0, Duration(24*time.Hour))
		if x.Effect != "keyed" && (x.Window != 0 || x.ByZone) {
			c.addError(prefix+"window", "only a keyed class has a window")
		}
	}
	seen = map[string]string{}
	tokens := map[string]string{}
	for i, x := range f.Tenants {
		prefix := fmt.Sprintf("tenant[%d].", i)
		c.checkName(seen, prefix+"name", x.Name)
		checkRange(c, prefix+"quota", x.Quota, 0, 1e9)
		for k, token := range x.Tokens {
			path := fmt.Sprintf("%stokens[%d]", prefix, k)
			switch previous, duplicate := tokens[token]; {
			case len(token) < 16 || len(token) > 256 || !message.IsVisibleASCII(token):
				c.addError(path, "a token is 16 to 256 visible ASCII characters")
			case duplicate:
				c.addError(path, "the same token as %s", previous)
			default:
				tokens[token] = path
			}
		}
	}
	seen = map[string]string{}
	for i, x := range f.Kinds {
		prefix := fmt.Sprintf("kind[%d].", i)
		c.checkName(seen, prefix+"name", x.Name)
		checkOneOf(c, prefix+"routes", x.Routes, "shared", "apart")
	}
}

// partners checks the partners and their endpoints.
func (c *checker) partners() {
	f := c.file
	kinds := make([]string, len(f.Kinds))
	for i, k := range f.Kinds {
		kinds[i] = k.Name
	}
	seen, endpoints := map[string]string{}, map[string]string{}
	if len(f.Partners) == 0 {
		c.addError("partner", "no partner is given: nothing could be delivered")
	}
	if len(f.Partners) > maxNames {
		c.addError("partner", "over %d", maxNames)
		return
	}
	for i, p := range f.Partners {
		prefix := fmt.Sprintf("partner[%d].", i)
		c.checkName(seen, prefix+"name", p.Name)
		checkOneOf(c, prefix+"kind", p.Kind, kinds...)
		checkRange(c, prefix+"rate", p.Rate, 0, 1e6)
		if len(p.Endpoints) == 0 {
			c.addError(prefix+"endpoints", "no endpoint is given")
		}
		for k, e := range p.Endpoints {
			// The endpoints of the plain list of addresses come last. Their names consist of the partner's name
			// and the address, which are checked on their own.
			if first := len(p.Endpoints) - len(p.Addresses); k >= first {
				path := fmt.Sprintf("%sendpoints[%d]", prefix, k-first)
				c.address(path, e.Address, false)
				if previous, duplicate := endpoints[e.Name]; duplicate {
					c.addError(path, "%q is the name of %s too", e.Name, previous)
				}
				endpoints[e.Name] = path
				continue
			}
			path := fmt.Sprintf("%sendpoint[%d].", prefix, k)
			c.checkName(endpoints, path+"name", e.Name)
			checkOneOf(c, path+"zone", e.Zone, f.Zones...)
			c.address(path+"address", e.Address, false)
		}
	}
}

// address checks an address of the form host:port. A listener's host may be empty and its port 0.
func (c *checker) address(path, addr string, listener bool) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" && !listener {
		c.addError(path, "%q is not host:port", addr)
		return
	}
	n := 0
	if _, err := fmt.Sscanf(port, "%d", &n); err != nil || n < 0 || n > 65535 || n == 0 && !listener || fmt.Sprint(n) != port {
		c.addError(path, "%q has no port from 1 to 65535", addr)
	}
}

// onLoopback reports whether only this machine can reach a listener.
func onLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// fronts checks the console and the fronts. A listener that other machines can reach needs TLS
// and tokens, or a setting that allows it without.
func (c *checker) fronts() {
	f := c.file
	if f.Front.RESP == nil && f.Front.HTTP == nil {
		c.addError("front", "no front is given: [front.http] or [front.resp] is needed")
	}
	if x := f.Console; x.Listen != "" {
		c.address("console.listen", x.Listen, true)
		if !onLoopback(x.Listen) && !x.Insecure {
			c.addError("console.listen",
				"%q is not on loopback and has no authentication: set insecure = true to serve it nevertheless", x.Listen)
		}
	}
	tokens := f.HasTokens()
	if r := f.Front.RESP; r != nil {
		c.address("front.resp.listen", r.Listen, true)
		if !onLoopback(r.Listen) && !r.Insecure {
			c.addError("front.resp.listen",
				"%q is not on loopback, and RESP2 has no TLS here: set insecure = true to serve it nevertheless", r.Listen)
		}
	}
	if h := f.Front.HTTP; h != nil {
		c.address("front.http.listen", h.Listen, true)
		switch {
		case (h.Certificate == "") != (h.Key == ""):
			c.addError("front.http.certificate", "certificate and key must be given together")
		case h.Insecure || onLoopback(h.Listen):
		case h.Certificate == "":
			c.addError("front.http.listen", "%q is not on loopback and has no TLS: give certificate and key, or set insecure = true", h.Listen)
		case !tokens:
			c.addError("front.http.listen", "%q is not on loopback and no tenant has a token: give tokens, or set insecure = true", h.Listen)
		}
		checkRange(c, "front.http.long_polls", h.LongPolls, 1, 1_000_000)
		checkRange(c, "front.http.streams", h.Streams, 1, 100_000)
		checkRange(c, "front.http.window", h.Window, 1, 10_000_000)
		checkRange(c, "front.http.max_wait", h.MaxWait, Duration(time.Millisecond), Duration(time.Hour))
	}
}

// cluster checks the section that connects the senders.
func (c *checker) cluster() {
	x := c.file.Cluster
	if x == nil {
		return
	}
	if c.file.Name == "" || c.file.lines.line("name") == 0 {
		c.addError("cluster", "name must be given, a different one for each sender")
	}
	checkRange(c, "senders", c.file.Senders, 1, view.MaxSenders)
	c.address("cluster.listen", x.Listen, false)
	c.address("cluster.advertise", x.Advertise, false)
	for _, a := range [][2]string{{"cluster.listen", x.Listen}, {"cluster.advertise", x.Advertise}} {
		if host, _, err := net.SplitHostPort(a[1]); err == nil && net.ParseIP(host) == nil {
			c.addError(a[0], "%q is not an IP address with a port: names are not looked up", a[1])
		}
	}
	if host, _, err := net.SplitHostPort(x.Advertise); err == nil && net.ParseIP(host).IsUnspecified() {
		c.addError("cluster.advertise", "%q is not an address that peers can reach: give the one at which they reach this sender", x.Advertise)
	}
	if len(x.Join) > view.MaxSenders {
		c.addError("cluster.join", "over %d", view.MaxSenders)
	}
	for i, a := range x.Join {
		path := fmt.Sprintf("cluster.join[%d]", i)
		c.address(path, a, false)
		if host, _, err := net.SplitHostPort(a); err == nil && net.ParseIP(host) == nil {
			c.addError(path, "%q is not an IP address with a port: names are not looked up", a)
		}
	}
	if x.KeyFile != "" {
		if _, err := cluster.ReadKeys(x.KeyFile); err != nil {
			c.addError("cluster.key_file", "%v", err)
		}
	} else if !onLoopback(x.Listen) && !x.Insecure {
		c.addError("cluster.listen", "%q is not on loopback, and without a key anyone could send as a sender: give key_file, or set insecure = true", x.Listen)
	}
	checkRange(c, "cluster.lease", x.Lease, Duration(500*time.Millisecond), Duration(5*time.Minute))
	checkRange(c, "cluster.least", x.Least, 0.001, 1)
	checkRange(c, "cluster.drift", x.Drift, 0.0001, 0.1)
}

// sinks checks the sinks of notices.
func (c *checker) sinks() {
	if w := c.file.Sink.Webhook; w != nil {
		u, err := url.Parse(w.URL)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			c.addError("sink.webhook.url", "%q is no http or https URL", w.URL)
		}
		switch {
		case (w.Secret == "") == (w.SecretFile == ""):
			c.addError("sink.webhook.secret", "one of secret and secret_file must be given")
		default:
			if _, err := w.SigningKey(); err != nil {
				c.addError("sink.webhook.secret", "%v", err)
			}
		}
		checkRange(c, "sink.webhook.timeout", w.Timeout, Duration(time.Millisecond), Duration(time.Minute))
		checkRange(c, "sink.webhook.parallel", w.Parallel, 1, 1000)
		checkRange(c, "sink.webhook.waiting", w.Waiting, 1, 10_000_000)
	}
	if s := c.file.Sink.File; s != nil {
		if s.Path == "" {
			c.addError("sink.file.path", "must be given")
		}
		checkRange(c, "sink.file.max_mb", s.MaxMB, 1, 1<<20)
		checkRange(c, "sink.file.keep", s.Keep, 1, 1000)
		checkRange(c, "sink.file.waiting", s.Waiting, 1, 10_000_000)
	}
}

// SigningKey returns the key that signs the webhook's posts, read from SecretFile if that is set.
func (w *Webhook) SigningKey() ([]byte, error) {
	secret := w.Secret
	if w.SecretFile != "" {
		b, err := os.ReadFile(w.SecretFile)
		if err != nil {
			return nil, err
		}
		secret = strings.TrimSpace(string(b))
	}
	encoded, ok := strings.CutPrefix(secret, "whsec_")
	key, err := base64.StdEncoding.DecodeString(encoded)
	if !ok || err != nil || len(key) < 24 || len(key) > 64 {
		return nil, fmt.Errorf("a secret consists of whsec_ and 24 to 64 bytes in base64")
	}
	return key, nil
}
