package config

import (
	"fmt"
	"time"
)

// Duration is a span as text: "250ms", "2s", "1h30m".
type Duration time.Duration

// UnmarshalText reads what [time.ParseDuration] reads.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time such as \"250ms\" or \"2s\"", text)
	}
	*d = Duration(v)
	return nil
}

// File is the configuration of a standalone daemon, as its TOML file states it.
// [Load] fills in what the file leaves out.
type File struct {
	Name    string   `toml:"name"`    // of this sender, in its log
	State   string   `toml:"state"`   // folder for the journal
	Senders int      `toml:"senders"` // daemons that share the partners, this one counted
	Zones   []string `toml:"zones"`   // names of zones
	Zone    string   `toml:"zone"`    // this daemon's

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
	lines positions
}

// Limits is what the daemon may take and hold.
type Limits struct {
	Cores        int      `toml:"cores"`         // processors used at once; 0 for all
	MemoryMB     int      `toml:"memory_mb"`     // aim of the garbage collector
	Descriptors  int      `toml:"descriptors"`   // shared out between fronts and calls
	DiskMB       int      `toml:"disk_mb"`       // bytes of the journal's folder, in millions
	OpenMessages int      `toml:"open_messages"` // messages held at once
	Window       int      `toml:"window"`        // messages of a partner in memory; others wait on the disk; 0 for all in memory
	BacklogMB    int      `toml:"backlog_mb"`    // window: bytes of those that wait on the disk, in millions
	Slots        int      `toml:"slots"`         // calls out at once
	Attempts     int      `toml:"attempts"`      // for one message
	Remember     Duration `toml:"remember"`      // ended messages are remembered so long ...
	Remembered   int      `toml:"remembered"`    // ... and no more than so many
	RetryAfter   Duration `toml:"retry_after"`   // the longest time to come again that a client is told
}

// Store is what the journal does for what it writes.
type Store struct {
	Sync     string   `toml:"sync"`           // always, interval or never
	Interval Duration `toml:"interval"`       // interval: between two syncs
	Bodies   int      `toml:"body_in_memory"` // a larger body of a held message is left on the disk
}

// Rules are the figures of the rules that protect partners.
type Rules struct {
	DrainGrace   Duration `toml:"drain_grace"`
	FallMultiple float64  `toml:"fall_multiple"`
	FallWindow   Duration `toml:"fall_window"`
	ColdFrom     float64  `toml:"cold_from"`
	WarmAfter    Duration `toml:"warm_after"`
	KeyQuiet     Duration `toml:"key_quiet"`
}

// Fronts are the ways in. One that is left out is not served.
type Fronts struct {
	RESP *RESP `toml:"resp"`
	HTTP *HTTP `toml:"http"`
}

// RESP is the RESP2 front.
type RESP struct {
	Listen   string `toml:"listen"`
	Insecure bool   `toml:"insecure"` // may listen off loopback all the same
}

// HTTP is the HTTP front.
type HTTP struct {
	Listen      string   `toml:"listen"`
	Certificate string   `toml:"certificate"` // PEM files; both or neither
	Key         string   `toml:"key"`
	Insecure    bool     `toml:"insecure"`   // may listen off loopback without tokens or TLS
	LongPolls   int      `toml:"long_polls"` // at once
	Streams     int      `toml:"streams"`    // of ends, at once
	Window      int      `toml:"window"`     // ends that a stream can be resumed over
	MaxWait     Duration `toml:"max_wait"`   // of a long-poll
}

// Console is the operators' door.
type Console struct {
	Listen   string `toml:"listen"`   // empty for none
	Insecure bool   `toml:"insecure"` // may listen off loopback: it asks nobody who they are
}

// Cluster is how this sender meets the others that share its partners. Without it
// each keeps to an even part of every rate, whoever is there.
type Cluster struct {
	Listen    string   `toml:"listen"`    // datagrams and streams of the others
	Advertise string   `toml:"advertise"` // where they reach it; default: listen
	Join      []string `toml:"join"`      // addresses of others; some are enough
	KeyFile   string   `toml:"key_file"`  // a key on each line: the first seals what is sent, all open what comes
	Insecure  bool     `toml:"insecure"`  // may listen off loopback without a key
	Lease     Duration `toml:"lease"`     // a part is used for so long without word of the others
	Least     float64  `toml:"least"`     // share of each rate that is kept for senders that are cut off
	Drift     float64  `toml:"drift"`     // clocks of the senders' machines run at 1-drift to 1+drift of the true pace
	Facts     *bool    `toml:"facts"`     // what is learnt of partners is shared; default: true
	Guard     *bool    `toml:"guard"`     // a small process that tells the others if this one is paused; default: true
}

// Ticks is how many messages each sender sends each other one within a lease.
const Ticks = 10

// Transport is how messages go out.
type Transport struct {
	HTTP HTTPTransport `toml:"http"`
}

// HTTPTransport bounds calls to partners.
type HTTPTransport struct {
	ConnectTimeout Duration `toml:"connect_timeout"`
	Idle           Duration `toml:"idle"`   // a connection is not used after this
	Source         string   `toml:"source"` // the address of this machine that calls come from; empty for the kernel's choice
}

// Sinks are told how messages ended.
type Sinks struct {
	Webhook *Webhook  `toml:"webhook"`
	File    *FileSink `toml:"file"`
}

// Webhook posts each end to a URL, signed after the Standard Webhooks
// specification.
type Webhook struct {
	URL        string   `toml:"url"`
	Secret     string   `toml:"secret"`      // "whsec_" and base64
	SecretFile string   `toml:"secret_file"` // holds the same; one of the two
	Timeout    Duration `toml:"timeout"`     // for one answer
	Parallel   int      `toml:"parallel"`    // posts out at once
	Waiting    int      `toml:"waiting"`     // ends that wait; the oldest are dropped above it
}

// FileSink writes each end as a line of JSON.
type FileSink struct {
	Path    string `toml:"path"`
	MaxMB   int    `toml:"max_mb"`  // a file is closed and a new one begun at this size
	Keep    int    `toml:"keep"`    // older files
	Waiting int    `toml:"waiting"` // ends that wait; the oldest are dropped above it
}

// Class is a class of messages.
type Class struct {
	Name      string   `toml:"name"`
	Effect    string   `toml:"effect"`     // safe, keyed or unsafe
	Aim       Duration `toml:"aim"`        // delivered within this, it earns its full worth
	Deadline  Duration `toml:"deadline"`   // how long it may be delivered at all
	Worth     float64  `toml:"worth"`      // beside that of other classes
	LateWorth float64  `toml:"late_worth"` // share that is left at the deadline
	Window    Duration `toml:"window"`     // keyed: how long partners drop repeats
	ByZone    bool     `toml:"by_zone"`    // keyed: only endpoints of one zone drop repeats of each other
	Order     bool     `toml:"order"`      // messages of one order key go one at a time
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name   string   `toml:"name"`
	Quota  float64  `toml:"quota"`  // messages a second, over all senders; 0 for no quota
	Tokens []string `toml:"tokens"` // its clients show one of these
}

// Kind is a kind of partner.
type Kind struct {
	Name   string `toml:"name"`
	Routes string `toml:"routes"` // shared: the endpoints share one limit; apart: each has its own
}

// Partner is a destination of messages.
type Partner struct {
	Name      string     `toml:"name"`
	Kind      string     `toml:"kind"`
	Rate      float64    `toml:"rate"`      // calls a second that it takes from all senders; 0 if that is not known
	Addresses []string   `toml:"endpoints"` // host:port each
	Endpoints []Endpoint `toml:"endpoint"`
}

// Endpoint is one endpoint of a partner.
type Endpoint struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Drain   bool   `toml:"drain"` // nothing new is sent to it
}
