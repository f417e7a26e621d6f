package console

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cometrack/internal/cluster"
	"cometrack/internal/lifecycle"
	"cometrack/internal/netutil"
)

// Bounds of the console.
const (
	// MaxConnections are held at once. When all are taken, the one that has gone longest
	// without a whole call makes room.
	MaxConnections = 16
	// MaxDescriptors is what the console takes at most.
	MaxDescriptors = MaxConnections + 2

	headTime   = 2 * time.Second // for a call's head
	answerTime = 2 * time.Second // for its body, and for the caller to take the answer
	maxHead    = 4 << 10
	maxBody    = 4 << 10
	maxText    = 4 << 20 // of an answer, as its caller reads it
)

// Lifecycle is what the console asks and tells. [lifecycle.Controller] is one.
type Lifecycle interface {
	Behavior() lifecycle.Behavior
	HandleEvent(ev lifecycle.Event) bool
}

// Cluster is what the console asks of other senders. [cluster.Cluster] is one.
type Cluster interface {
	Status() (cluster.Status, error)
	Facts(partner, other string) (cluster.FactsReport, error)
	Leave() error
	Forget(name string) error
}

// Console serves the operators.
type Console struct {
	cluster atomic.Pointer[Cluster]
	metrics atomic.Pointer[func() Metrics]
	server  *http.Server
	ln      net.Listener
	log     *slog.Logger
}

// Listen opens a console at an address. Nothing is served before [Console.Serve].
func Listen(addr string, life Lifecycle, log *slog.Logger) (*Console, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	p := newPlaces(MaxConnections)
	c := &Console{ln: &listener{netutil.Acceptor{Listener: ln, Log: log}, p}, log: log}
	c.server = &http.Server{Handler: c.handler(life), ReadHeaderTimeout: headTime, ReadTimeout: headTime + answerTime,
		WriteTimeout: headTime + answerTime, MaxHeaderBytes: maxHead, ConnState: p.note,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	c.server.SetKeepAlivesEnabled(false)
	return c, nil
}

// Addr is where the console listens.
func (c *Console) Addr() net.Addr { return c.ln.Addr() }

// Serve answers calls until Close.
func (c *Console) Serve() {
	if err := c.server.Serve(c.ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		c.log.Error("console", "err", err)
	}
}

// Metrics are what GET /_metrics tells, as JSON: counts since the start, actions that
// were refused by their reason, and violations of what must always hold.
type Metrics struct {
	State      string           `json:"state"`
	Counts     map[string]int64 `json:"counts"`
	Refused    map[string]int64 `json:"refused"`
	Violations map[string]int64 `json:"violations"`
}

// SetMetrics has the console tell metrics.
func (c *Console) SetMetrics(metrics func() Metrics) { c.metrics.Store(&metrics) }

// SetCluster has the console answer for what is known of other senders.
func (c *Console) SetCluster(x Cluster) { c.cluster.Store(&x) }

// Close ends the console at once.
func (c *Console) Close() error { return c.server.Close() }

// handler answers by path and method.
func (c *Console) handler(life Lifecycle) http.Handler {
	type route struct {
		method string
		serve  func(w http.ResponseWriter)
	}
	type clusterRoute struct {
		method string
		serve  func(w http.ResponseWriter, r *http.Request, x Cluster)
	}
	say := func(w http.ResponseWriter, code int, text string) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(code)
		fmt.Fprintln(w, text)
	}
	routes := map[string]route{
		"/_ready": {http.MethodGet, func(w http.ResponseWriter) {
			v := life.Behavior()
			code := http.StatusOK
			if !v.Ready {
				code = http.StatusServiceUnavailable
			}
			say(w, code, v.State.String())
		}},
		"/_metrics": {http.MethodGet, func(w http.ResponseWriter) {
			m := Metrics{}
			if f := c.metrics.Load(); f != nil {
				m = (*f)()
			}
			m.State = life.Behavior().State.String()
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Cache-Control", "no-store")
			json.NewEncoder(w).Encode(m)
		}},
		"/_lameduck/on": {http.MethodPost, func(w http.ResponseWriter) {
			life.HandleEvent(lifecycle.DrainOn)
			say(w, http.StatusOK, life.Behavior().State.String())
		}},
		"/_lameduck/off": {http.MethodPost, func(w http.ResponseWriter) {
			life.HandleEvent(lifecycle.DrainOff)
			v := life.Behavior()
			if v.State == lifecycle.Leaving || v.State == lifecycle.HandedOver {
				say(w, http.StatusConflict, v.State.String()+": it does not come back")
				return
			}
			say(w, http.StatusOK, v.State.String())
		}},
	}
	told := func(w http.ResponseWriter, err error, text string) {
		if err != nil {
			say(w, http.StatusConflict, err.Error())
			return
		}
		say(w, http.StatusOK, text)
	}
	show := func(w http.ResponseWriter, v any, err error) {
		if err != nil {
			say(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		json.NewEncoder(w).Encode(v)
	}
	others := map[string]clusterRoute{
		"/cluster": {http.MethodGet, func(w http.ResponseWriter, _ *http.Request, x Cluster) {
			s, err := x.Status()
			show(w, s, err)
		}},
		"/cluster/facts": {http.MethodGet, func(w http.ResponseWriter, r *http.Request, x Cluster) {
			told, err := x.Facts(r.URL.Query().Get("partner"), r.URL.Query().Get("diff"))
			show(w, told, err)
		}},
		"/cluster/leave": {http.MethodPost, func(w http.ResponseWriter, _ *http.Request, x Cluster) { told(w, x.Leave(), "left") }},
		"/cluster/forget": {http.MethodPost, func(w http.ResponseWriter, r *http.Request, x Cluster) {
			name := r.URL.Query().Get("name")
			told(w, x.Forget(name), "forgotten: "+name)
		}},
	}
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w := &statusWriter{ResponseWriter: out, status: http.StatusOK}
		defer func() {
			c.log.Debug("console", "method", r.Method, "path", r.URL.Path, "status", w.status)
		}()
		at, ok := routes[r.URL.Path]
		if x := c.cluster.Load(); !ok && x != nil {
			if to, is := others[r.URL.Path]; is {
				at, ok = route{to.method, func(w http.ResponseWriter) { to.serve(w, r, *x) }}, true
			}
		}
		switch {
		case !ok && others[r.URL.Path].method != "":
			say(w, http.StatusNotFound, "this sender knows nothing of others: its file has no [cluster]")
		case !ok:
			say(w, http.StatusNotFound, "no such call; there are GET /_ready, GET /_metrics, POST /_lameduck/on, POST /_lameduck/off, GET /cluster, GET /cluster/facts?partner=NAME, POST /cluster/leave, POST /cluster/forget?name=NAME")
		case r.Method != at.method:
			w.Header().Set("Allow", at.method)
			say(w, http.StatusMethodNotAllowed, "this call takes "+at.method)
		case r.ContentLength > maxBody:
			say(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("a body may hold %d bytes", maxBody))
		default:
			if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
				var over *http.MaxBytesError
				if errors.As(err, &over) {
					say(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("a body may hold %d bytes", maxBody))
				} else {
					say(w, http.StatusBadRequest, "the body can't be read")
				}
				return
			}
			at.serve(w)
		}
	})
}

// statusWriter keeps the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader is [http.ResponseWriter.WriteHeader].
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Request makes one call to a console and returns its text; an error says no.
func Request(ctx context.Context, addr, method, path string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxText))
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	return string(text), err
}
