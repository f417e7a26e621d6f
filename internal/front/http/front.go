package httpfront

import (
	"context"
	"crypto/tls"
	_ "embed"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cometrack/internal/clock"
	"cometrack/internal/core"
	"cometrack/internal/message"
	"cometrack/internal/netutil"
	"cometrack/internal/permit"
)

// Bounds of what a client may ask for.
const (
	headTime   = 5 * time.Second  // for a request's head
	bodyTime   = 10 * time.Second // for a body of one message, or a line of a batch
	answerTime = 10 * time.Second // for a client to take an answer, or an event
	idleTime   = 60 * time.Second // between requests; the idlest goes sooner where places are short
	maxHead    = 16 << 10
	maxStreams = 250 // requests at once on one HTTP/2 connection
	smallBody  = 4 << 10
	placeTime  = 200 * time.Millisecond // to wait for a place for a large body
	certTime   = 5 * time.Second
	// lastAnswers is for the answers to what was read before the process ends, though it
	// is held up meanwhile.
	lastAnswers = permit.MaxStall + 100*time.Millisecond
)

// Core is what the front hands requests to. [core.FrontLimiter] is one.
type Core interface {
	Clock() *clock.Clock
	Check(m *message.Message, hold time.Duration) error
	Submit(m *message.Message, answer chan<- core.SubmitResponse)
	State(ctx context.Context, id string, wait bool) (core.State, error)
}

// Options set a front up.
type Options struct {
	Listen         string
	Certificate    string // PEM files; empty for no TLS
	Key            string
	MaxConnections int   // at once; the idlest makes room for a new one
	LargeBodyBytes int64 // bytes that large bodies may hold until their requests are answered
	MaxLongPolls   int   // at once
	MaxStreams     int   // of ends, at once
	MaxWait        time.Duration
	Stream         *Stream
	// Tenant returns the tenant that a token stands for. If it is nil, anybody may
	// submit and read for any tenant.
	Tenant func(token string) (tenant string, ok bool)
	// DefaultDeadline returns how long messages of a class may be delivered where the
	// client does not say.
	DefaultDeadline func(class string) (time.Duration, bool)
	Log             *slog.Logger
}

// Front serves HTTP.
type Front struct {
	core    Core
	opts    Options
	log     *slog.Logger
	server  *http.Server
	ln      net.Listener
	cert    atomic.Pointer[tls.Certificate]
	large   chan struct{}
	polls   chan struct{}
	streams chan struct{}
	closing chan struct{} // closed when long answers are to end
	once    sync.Once
	places  places

	mu       sync.Mutex
	acceptor *netutil.Acceptor // nil before Serve
	accepted chan struct{}     // closed when no connection is accepted any more; nil before Serve

	certTime time.Duration // between two looks at the certificate's files
}

//go:embed openapi.json
var openAPI []byte

// New makes a front for a core.
func New(c Core, opts Options) *Front {
	f := &Front{core: c, opts: opts, log: opts.Log, closing: make(chan struct{}),
		large: make(chan struct{}, max(int(opts.LargeBodyBytes/(message.MaxBody+smallBody)), 8)),
		polls: make(chan struct{}, max(opts.MaxLongPolls, 1)), streams: make(chan struct{}, max(opts.MaxStreams, 1)),
		certTime: certTime, places: places{most: max(opts.MaxConnections, 1), conns: map[net.Conn]place{}}}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	f.server = &http.Server{Handler: f.routes(), ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHead,
		Protocols: &protocols, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams}, ConnState: f.places.note,
		ErrorLog: slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug)}
	return f
}

func (f *Front) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/messages", f.authed(f.post))
	mux.HandleFunc("GET /v1/messages/{id}", f.authed(f.get))
	mux.HandleFunc("POST /v1/batch", f.authed(f.batch))
	mux.HandleFunc("GET /v1/ends", f.authed(f.ends))
	mux.HandleFunc("GET /openapi.json", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Write(openAPI)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		for path, method := range map[string]string{"/v1/messages": "POST", "/v1/batch": "POST", "/v1/ends": "GET", "/openapi.json": "GET"} {
			if r.URL.Path == path {
				w.Header().Set("Allow", method)
				problem{Status: http.StatusMethodNotAllowed, Detail: "this path takes " + method}.write(w)
				return
			}
		}
		problem{Status: http.StatusNotFound, Detail: "there is nothing here; /openapi.json tells what there is"}.write(w)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Each handler sets its own; one left over from a request before would cut this one off.
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerTime))
		mux.ServeHTTP(w, r)
	})
}

// Listen opens the listener.
func (f *Front) Listen() error {
	if err := f.ReloadCertificate(); err != nil {
		return err
	}
	if f.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", f.opts.Listen)
	if err != nil {
		return err
	}
	f.ln = ln
	return nil
}

// followCertificate rereads certificate and key when one of the files changes.
func (f *Front) followCertificate() {
	stamp := func() (s [2]string) {
		for i, path := range []string{f.opts.Certificate, f.opts.Key} {
			if info, err := os.Stat(path); err == nil {
				s[i] = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
			}
		}
		return s
	}
	tick := time.NewTicker(f.certTime)
	defer tick.Stop()
	for seen := stamp(); ; {
		select {
		case <-f.closing:
			return
		case <-tick.C:
		}
		if now := stamp(); now != seen {
			if err := f.ReloadCertificate(); err != nil {
				f.log.Error("http front: the old certificate stands", "err", err)
				continue // a pair that is half replaced is looked at again
			}
			seen = now
			f.log.Info("http front: the certificate was reread")
		}
	}
}

// ReloadCertificate reads certificate and key anew. On an error the old ones stand.
func (f *Front) ReloadCertificate() error {
	if f.opts.Certificate == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(f.opts.Certificate, f.opts.Key)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	f.cert.Store(&cert)
	return nil
}

// AdoptListener gives the front a listener that another process has listened on, if it is at
// the front's address.
func (f *Front) AdoptListener(ln net.Listener) bool {
	if !netutil.MatchesAddr(f.opts.Listen, ln.Addr()) {
		return false
	}
	f.ln = ln
	return true
}

// Listener is what the front listens on.
func (f *Front) Listener() net.Listener { return f.ln }

// Addr is where the front listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// LongPolls is the number of long-polls that wait.
func (f *Front) LongPolls() int { return len(f.polls) }

// Serve takes clients until CloseListener.
func (f *Front) Serve() {
	accept, accepted := newListener(f.ln, &f.places, f.log), make(chan struct{})
	defer close(accepted)
	f.mu.Lock()
	f.acceptor, f.accepted = &accept.Acceptor, accepted
	f.mu.Unlock()
	var ln net.Listener = accept
	if f.opts.Certificate != "" {
		go f.followCertificate()
		ln = tls.NewListener(ln, &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.cert.Load(), nil }})
	}
	if err := f.server.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		f.log.Error("http front", "err", err)
	}
}

// Retire has connections closed between requests, or no longer.
func (f *Front) DisableKeepAlives(on bool) { f.server.SetKeepAlivesEnabled(!on) }

// CloseListener ends the taking of new clients, but for those that wait to be accepted
// already.
func (f *Front) CloseListener() {
	f.mu.Lock()
	accept := f.acceptor
	f.mu.Unlock()
	if accept == nil {
		f.ln.Close()
		return
	}
	accept.Drain()
}

// Shutdown ends long-polls and streams, lets other requests end, and closes. Once ctx
// is over it waits no longer than it takes to answer what has been read.
func (f *Front) Shutdown(ctx context.Context, _ bool) {
	f.once.Do(func() { close(f.closing) })
	f.mu.Lock()
	accepted := f.accepted
	f.mu.Unlock()
	if accepted != nil { // what has been accepted is served
		select {
		case <-accepted:
		case <-ctx.Done():
		}
	}
	if f.server.Shutdown(ctx) == nil {
		return
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswers)
	defer cancel()
	if f.server.Shutdown(last) != nil {
		f.server.Close()
	}
}

// who is the tenant that a request is bound to.
type who struct {
	tenant string
	bound  bool
}

// sees says whether a message of a tenant is there for a request.
func (w who) sees(tenant string) bool { return !w.bound || w.tenant == tenant }

// authed asks for a token where tokens are set.
func (f *Front) authed(next func(w http.ResponseWriter, r *http.Request, by who)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f.opts.Tenant == nil {
			next(w, r, who{})
			return
		}
		const scheme = "Bearer "
		head := r.Header.Get("Authorization")
		if len(head) > len(scheme) && head[:len(scheme)] == scheme {
			if tenant, ok := f.opts.Tenant(head[len(scheme):]); ok {
				next(w, r, who{tenant, true})
				return
			}
		}
		w.Header().Set("WWW-Authenticate", `Bearer realm="cometrack"`)
		problem{Status: http.StatusUnauthorized, Detail: "a token of a tenant is needed: Authorization: Bearer TOKEN"}.write(w)
	}
}
