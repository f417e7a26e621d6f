package config

import (
	"fmt"
	"time"
)

// Duration is a duration that the file has as text: "250ms", "2s", "1h30m".
type Duration time.Duration

// UnmarshalText parses text in the format of [time.ParseDuration].
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time such as \"250ms\" or \"2s\"", text)
	}
	*d = Duration(v)
	return nil
}

// File is the configuration of a standalone daemon, as in its TOML file. [Load] sets the
// defaults of settings that the file leaves out.
type File struct {
	Name    string   `toml:"name"`    // of this sender, in its log
	State   string   `toml:"state"`   // folder for the journal
	Senders int      `toml:"senders"` // number of daemons that share the partners, including this one
	Zones   []string `toml:"zones"`   // names of zones
	Zone    string   `toml:"zone"`    // of this daemon

	Limits    Limits    `toml:"limits"`
	Rules     Rules     `toml:"rules"`
	Store     Store     `toml:"store"`
	Front     Fronts    `toml:"front"`
	Console   Console   `toml:"console"`
	Cluster   *Cluster  `toml:"cluster"`
	Transport Transport `toml:"transport"`
	Sink      Sinks     `toml:"sink"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant"`
	Kinds     []Kind    `toml:"kind"`
	Partners  []Partner `toml:"partner"`

	path  string
	lines positions // of the keys
}

// Limits bounds the resources that the daemon uses.
type Limits struct {
	Cores        int      `toml:"cores"`         // processors used at once; 0 for all
	MemoryMB     int      `toml:"memory_mb"`     // soft memory limit of the garbage collector
	Descriptors  int      `toml:"descriptors"`   // file descriptors, divided between fronts and calls
	DiskMB       int      `toml:"disk_mb"`       // size of the journal's folder in millions of bytes
	OpenMessages int      `toml:"open_messages"` // pending limit: messages accepted and not yet ended
	Window       int      `toml:"window"`        // messages of a partner in memory; 0 for all, else the rest on disk
	BacklogMB    int      `toml:"backlog_mb"`    // with a window: size of the backlog on disk in millions of bytes
	Slots        int      `toml:"slots"`         // concurrent calls
	Attempts     int      `toml:"attempts"`      // maximum attempts for one message
	Remember     Duration `toml:"remember"`      // how long the outcomes of ended messages are kept
	Remembered   int      `toml:"remembered"`    // maximum number of them
	RetryAfter   Duration `toml:"retry_after"`   // longest retry delay sent to a client
}

// Store configures how the journal stores messages.
type Store struct {
	Sync     string   `toml:"sync"`           // always, interval or never
	Interval Duration `toml:"interval"`       // with sync = interval: time between two syncs
	Bodies   int      `toml:"body_in_memory"` // bytes; a larger body of a pending message is kept on disk only
}

// Rules has the parameters of the rules that protect partners.
type Rules struct {
	DrainGrace   Duration `toml:"drain_grace"`
	FallMultiple float64  `toml:"fall_multiple"`
	FallWindow   Duration `toml:"fall_window"`
	ColdFrom     float64  `toml:"cold_from"`
	WarmAfter    Duration `toml:"warm_after"`
	KeyQuiet     Duration `toml:"key_quiet"`
}

// Fronts are the listeners to which clients submit messages. A front that is nil is not served.
type Fronts struct {
	RESP *RESP `toml:"resp"`
	HTTP *HTTP `toml:"http"`
}

// RESP configures the RESP2 front.
type RESP struct {
	Listen   string `toml:"listen"`
	Insecure bool   `toml:"insecure"` // may listen off loopback although it has no TLS
}

// HTTP configures the HTTP front.
type HTTP struct {
	Listen      string   `toml:"listen"`
	Certificate string   `toml:"certificate"` // PEM files; both or neither
	Key         string   `toml:"key"`
	Insecure    bool     `toml:"insecure"`   // may listen off loopback without tokens or TLS
	LongPolls   int      `toml:"long_polls"` // maximum number at once
	Streams     int      `toml:"streams"`    // maximum number of streams of ends at once
	Window      int      `toml:"window"`     // number of ends that a resumed stream can repeat
	MaxWait     Duration `toml:"max_wait"`   // maximum duration of a long poll
}

// Console configures the operators' console.
type Console struct {
	Listen   string `toml:"listen"`   // empty for none
	Insecure bool   `toml:"insecure"` // may listen off loopback although it has no authentication
}

// Cluster configures the connections with the other senders that share the partners. Without
// it each sender uses an equal share of every rate, whichever senders run.
type Cluster struct {
	Listen    string   `toml:"listen"`    // address for datagrams and streams of peers
	Advertise string   `toml:"advertise"` // address at which peers reach it; default: listen
	Join      []string `toml:"join"`      // addresses of some peers
	KeyFile   string   `toml:"key_file"`  // a key on each line: the first encrypts, all decrypt
	Insecure  bool     `toml:"insecure"`  // may listen off loopback without a key
	Lease     Duration `toml:"lease"`     // how long a share may be used without hearing from peers
	Least     float64  `toml:"least"`     // part of each rate that is reserved for senders that are cut off
	Drift     float64  `toml:"drift"`     // the senders' clocks run at 1-drift to 1+drift of the true rate
	Facts     *bool    `toml:"facts"`     // publish facts about partners to peers; default: true
	Guard     *bool    `toml:"guard"`     // run a process that informs peers if this one is paused; default: true
}

// HeartbeatsPerLease is the number of messages that a sender sends each peer within a lease.
const HeartbeatsPerLease = 10

// Transport configures how messages are sent.
type Transport struct {
	HTTP HTTPTransport `toml:"http"`
}

// HTTPTransport configures calls to partners over HTTP.
type HTTPTransport struct {
	ConnectTimeout Duration `toml:"connect_timeout"`
	Idle           Duration `toml:"idle"`   // a connection idle for longer is not used again
	Source         string   `toml:"source"` // local IP address of calls; empty for the kernel's choice
}

// Sinks receive a notice of the end of each message.
type Sinks struct {
	Webhook *Webhook  `toml:"webhook"`
	File    *FileSink `toml:"file"`
}

// Webhook posts each end to a URL, signed according to the Standard Webhooks specification.
type Webhook struct {
	URL        string   `toml:"url"`
	Secret     string   `toml:"secret"`      // "whsec_" and base64
	SecretFile string   `toml:"secret_file"` // file with the secret; one of the two must be set
	Timeout    Duration `toml:"timeout"`     // for the response to a post
	Parallel   int      `toml:"parallel"`    // concurrent posts
	Waiting    int      `toml:"waiting"`     // maximum number of waiting ends; the oldest are dropped above it
}

// FileSink writes each end as a line of JSON.
type FileSink struct {
	Path    string `toml:"path"`
	MaxMB   int    `toml:"max_mb"`  // a file of this size is closed and a new one started
	Keep    int    `toml:"keep"`    // number of older files to keep
	Waiting int    `toml:"waiting"` // maximum number of waiting ends; the oldest are dropped above it
}

// Class is a class of messages.
type Class struct {
	Name      string   `toml:"name"`
	Effect    string   `toml:"effect"`     // safe, keyed or unsafe
	Aim       Duration `toml:"aim"`        // a message delivered within this time has its full worth
	Deadline  Duration `toml:"deadline"`   // a message may be delivered within this time
	Worth     float64  `toml:"worth"`      // relative to other classes
	LateWorth float64  `toml:"late_worth"` // fraction of the worth that remains at the deadline
	Window    Duration `toml:"window"`     // keyed: how long partners discard repeats
	ByZone    bool     `toml:"by_zone"`    // keyed: partners discard repeats only among endpoints of one zone
	Order     bool     `toml:"order"`      // messages of one order key are sent one at a time
}

// Tenant is a customer of the service with a quota and access tokens.
type Tenant struct {
	Name   string   `toml:"name"`
	Quota  float64  `toml:"quota"`  // messages a second over all senders; 0 for no quota
	Tokens []string `toml:"tokens"` // its clients present one of these
}

// Kind is a kind of partner.
type Kind struct {
	Name   string `toml:"name"`
	Routes string `toml:"routes"` // shared: the endpoints share one rate limit; apart: each has its own
}

// Partner is a destination of messages.
type Partner struct {
	Name      string     `toml:"name"`
	Kind      string     `toml:"kind"`
	Rate      float64    `toml:"rate"`      // calls a second that it accepts from all senders; 0 if unknown
	Addresses []string   `toml:"endpoints"` // host:port each
	Endpoints []Endpoint `toml:"endpoint"`
}

// Endpoint is one endpoint of a partner.
type Endpoint struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Drain   bool   `toml:"drain"` // no new messages are sent to it
}
