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

// Timeouts and limits of requests and connections.
const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time to read the body of one message, or one line of a batch.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the time that a client may take to receive a response or an event.
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a connection is kept between requests. The idlest one is closed sooner to make room.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// maxConcurrentStreams bounds the requests at once on one HTTP/2 connection.
	maxConcurrentStreams = 250
	// smallBodyBytes is the size of a body above which a request needs a slot for large bodies.
	smallBodyBytes = 4 << 10
	// largeSlotTimeout bounds the wait for a slot for a large body.
	largeSlotTimeout = 200 * time.Millisecond
	// crowdedSlotTimeout replaces largeSlotTimeout while the front has no place for a new connection.
	crowdedSlotTimeout = 10 * time.Millisecond
	// certificateCheckInterval is the time between checks for changes of the certificate's files.
	certificateCheckInterval = 5 * time.Second
	// finalResponseTimeout is how long Shutdown waits, after its context is done, for the responses to requests that
	// were read before. It exceeds the longest stall of the process that the rules allow for.
	finalResponseTimeout = permit.MaxStall + 100*time.Millisecond
)

// Core accepts messages and returns their states. [core.FrontLimiter] implements it.
type Core interface {
	Clock() *clock.Clock
	Check(m *message.Message, timeLeft time.Duration) error
	Submit(m *message.Message, result chan<- core.SubmitResponse)
	State(ctx context.Context, id string, wait bool) (core.State, error)
}

// Options configure a front.
type Options struct {
	Listen         string        // TCP address, host:port
	Certificate    string        // path of a PEM file; empty for no TLS
	Key            string        // path of a PEM file with the certificate's private key
	MaxConnections int           // at once; the idlest one is closed to make room for a new one
	LargeBodyBytes int64         // memory for large bodies whose requests have no response yet, in bytes
	MaxLongPolls   int           // at once
	MaxStreams     int           // streams of ends at once
	MaxWait        time.Duration // longest wait that a long poll may ask for
	Stream         *Stream
	// Tenant returns the tenant of a token. If it is nil, clients need no token and may submit and read for any tenant.
	Tenant func(token string) (tenant string, ok bool)
	// DefaultDeadline returns the time to the deadline of messages of a class for which the client gives none.
	DefaultDeadline func(class string) (time.Duration, bool)
	Log             *slog.Logger
}

// Front serves HTTP.
type Front struct {
	core        Core
	opts        Options
	log         *slog.Logger
	server      *http.Server
	ln          net.Listener
	certificate atomic.Pointer[tls.Certificate]
	largeSlots  chan struct{} // holds an element for each large body whose request has no response yet
	longPolls   chan struct{} // holds an element for each long poll that waits
	streams     chan struct{} // holds an element for each stream of ends
	closing     chan struct{} // closed when long polls and streams are to end
	closeOnce   sync.Once
	connections *connections
	heads       *headLimiter

	mu         sync.Mutex
	acceptor   *netutil.Acceptor // nil before Serve
	acceptDone chan struct{}     // closed when Serve has stopped accepting; nil before Serve

	certificateCheckInterval time.Duration
}

//go:embed openapi.json
var openAPI []byte

// New returns a front that submits messages to c.
func New(c Core, opts Options) *Front {
	f := &Front{core: c, opts: opts, log: opts.Log, closing: make(chan struct{}),
		largeSlots: make(chan struct{}, max(int(opts.LargeBodyBytes/(message.MaxBody+smallBodyBytes)), 8)),
		longPolls:  make(chan struct{}, max(opts.MaxLongPolls, 1)), streams: make(chan struct{}, max(opts.MaxStreams, 1)),
		certificateCheckInterval: certificateCheckInterval,
		connections:              newConnections(opts.MaxConnections)}
	if opts.Certificate == "" {
		f.heads = newHeadLimiter(opts.LargeBodyBytes)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	f.server = &http.Server{Handler: f.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		Protocols:      &protocols, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ConnState: f.connections.trackState, ConnContext: withConnection,
		ErrorLog: slog.NewLogLogger(opts.Log.Handler(), slog.LevelDebug)}
	return f
}

// routes returns the handler of all paths.
func (f *Front) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/messages", f.requireToken(f.postMessage))
	mux.HandleFunc("GET /v1/messages/{id}", f.requireToken(f.getMessage))
	mux.HandleFunc("POST /v1/batch", f.requireToken(f.batch))
	mux.HandleFunc("GET /v1/ends", f.requireToken(f.streamEnds))
	mux.HandleFunc("GET /openapi.json", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Write(openAPI)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		for path, method := range map[string]string{"/v1/messages": "POST", "/v1/batch": "POST",
			"/v1/ends": "GET", "/openapi.json": "GET"} {
			if r.URL.Path == path {
				w.Header().Set("Allow", method)
				problem{Status: http.StatusMethodNotAllowed, Detail: "this path takes " + method}.write(w)
				return
			}
		}
		problem{Status: http.StatusNotFound, Detail: "there is nothing here; /openapi.json tells what there is"}.write(w)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := connectionOf(r); conn != nil {
			conn.headReceived(r)
		}
		dropUnusedHeaders(r)
		// A write deadline left from the request before would cut off this response. Handlers may set a longer one.
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		mux.ServeHTTP(w, r)
	})
}

// Listen reads the certificate, if one is configured, and opens the listener. A front that has adopted the listener of
// a predecessor keeps it and only reads the certificate.
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

// watchCertificate reloads certificate and key when one of their files changes, until the front closes.
func (f *Front) watchCertificate() {
	stamp := func() (s [2]string) {
		for i, path := range []string{f.opts.Certificate, f.opts.Key} {
			if info, err := os.Stat(path); err == nil {
				s[i] = fmt.Sprint(info.ModTime().UnixNano(), info.Size())
			}
		}
		return s
	}
	tick := time.NewTicker(f.certificateCheckInterval)
	defer tick.Stop()
	for seen := stamp(); ; {
		select {
		case <-f.closing:
			return
		case <-tick.C:
		}
		if now := stamp(); now != seen {
			if err := f.ReloadCertificate(); err != nil {
				f.log.Error("http front: can't reload the certificate; the old one stays in use", "err", err)
				continue // try again: perhaps only one of the two files is replaced so far
			}
			seen = now
			f.log.Info("http front: certificate reloaded")
		}
	}
}

// ReloadCertificate reads certificate and key from their files. After an error the old ones stay in use.
func (f *Front) ReloadCertificate() error {
	if f.opts.Certificate == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(f.opts.Certificate, f.opts.Key)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	f.certificate.Store(&cert)
	return nil
}

// AdoptListener makes the front use a listener inherited from another process. It reports whether the listener has
// the front's address.
func (f *Front) AdoptListener(ln net.Listener) bool {
	if !netutil.MatchesAddr(f.opts.Listen, ln.Addr()) {
		return false
	}
	f.ln = ln
	return true
}

// Listener returns the front's listener.
func (f *Front) Listener() net.Listener { return f.ln }

// Addr returns the address of the listener.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// LongPolls returns the number of long polls that wait.
func (f *Front) LongPolls() int { return len(f.longPolls) }

// Serve serves clients until CloseListener or Shutdown.
func (f *Front) Serve() {
	limited, acceptDone := newListener(f.ln, f.connections, f.heads, f.log), make(chan struct{})
	defer close(acceptDone)
	f.mu.Lock()
	f.acceptor, f.acceptDone = &limited.Acceptor, acceptDone
	f.mu.Unlock()
	var ln net.Listener = limited
	if f.opts.Certificate != "" {
		go f.watchCertificate()
		ln = tls.NewListener(ln, &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificate.Load(), nil }})
	}
	if err := f.server.Serve(ln); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		f.log.Error("http front", "err", err)
	}
}

// DisableKeepAlives sets whether connections are closed between requests.
func (f *Front) DisableKeepAlives(disable bool) { f.server.SetKeepAlivesEnabled(!disable) }

// CloseListener stops accepting connections once those that are queued in the listener have been accepted.
func (f *Front) CloseListener() {
	f.mu.Lock()
	a := f.acceptor
	f.mu.Unlock()
	if a == nil {
		f.ln.Close()
		return
	}
	a.Drain()
}

// Shutdown ends long polls and streams, waits for other requests to finish, and closes their connections. Once ctx is
// done it waits at most finalResponseTimeout for the responses to requests that were read.
func (f *Front) Shutdown(ctx context.Context, _ bool) {
	f.closeOnce.Do(func() { close(f.closing) })
	f.mu.Lock()
	acceptDone := f.acceptDone
	f.mu.Unlock()
	if acceptDone != nil { // serve every connection that was accepted
		select {
		case <-acceptDone:
		case <-ctx.Done():
		}
	}
	if f.server.Shutdown(ctx) == nil {
		return
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalResponseTimeout)
	defer cancel()
	if f.server.Shutdown(last) != nil {
		f.server.Close()
	}
}

// caller is the tenant that a request is bound to, if any.
type caller struct {
	tenant string
	bound  bool // tokens are required; the caller has access to the messages of tenant only
}

// mayRead reports whether the caller may see messages of a tenant.
func (c caller) mayRead(tenant string) bool { return !c.bound || c.tenant == tenant }

// requireToken wraps a handler: it rejects requests without a valid token if tokens are configured.
func (f *Front) requireToken(next func(w http.ResponseWriter, r *http.Request, c caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f.opts.Tenant == nil {
			next(w, r, caller{})
			return
		}
		const scheme = "Bearer "
		header := r.Header.Get("Authorization")
		if len(header) > len(scheme) && header[:len(scheme)] == scheme {
			if tenant, ok := f.opts.Tenant(header[len(scheme):]); ok {
				next(w, r, caller{tenant, true})
				return
			}
		}
		w.Header().Set("WWW-Authenticate", `Bearer realm="cometrack"`)
		problem{Status: http.StatusUnauthorized,
			Detail: "a token of a tenant is needed: Authorization: Bearer TOKEN"}.write(w)
	}
}
