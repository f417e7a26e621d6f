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

// Limits of the console.
const (
	// MaxConnections is the number of concurrent connections. At the limit, a new connection
	// replaces the oldest one that has not sent a complete request head.
	MaxConnections = 16
	// MaxDescriptors is the largest number of file descriptors that the console uses.
	MaxDescriptors = MaxConnections + 2

	headTimeout      = 2 * time.Second // to read the head of a request
	responseTimeout  = 2 * time.Second // to read the body, and for the client to read the response
	maxHeaderBytes   = 4 << 10         // of a request
	maxBodyBytes     = 4 << 10         // of a request
	maxResponseBytes = 4 << 20         // of a response, as read by Request
)

// Lifecycle is the part of the lifecycle that the console reads and controls. [lifecycle.Controller]
// implements it.
type Lifecycle interface {
	Behavior() lifecycle.Behavior
	HandleEvent(ev lifecycle.Event) bool
}

// Cluster is the part of the cluster that the console reads and controls. [cluster.Cluster] implements
// it.
type Cluster interface {
	Status() (cluster.Status, error)
	Facts(partner, other string) (cluster.FactsReport, error)
	Leave() error
	Forget(name string) error
}

// Console is the HTTP server for operators.
type Console struct {
	cluster atomic.Pointer[Cluster]
	metrics atomic.Pointer[func() Metrics]
	server  *http.Server
	ln      net.Listener
	log     *slog.Logger
}

// Listen opens a console at an address. It serves no request before [Console.Serve].
func Listen(addr string, life Lifecycle, log *slog.Logger) (*Console, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	limiter := newConnLimiter(MaxConnections)
	c := &Console{ln: &limitedListener{netutil.Acceptor{Listener: ln, Log: log}, limiter}, log: log}
	c.server = &http.Server{Handler: c.handler(life),
		ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout + responseTimeout,
		WriteTimeout: headTimeout + responseTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: limiter.onConnState,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	c.server.SetKeepAlivesEnabled(false)
	return c, nil
}

// Addr returns the address of the listener.
func (c *Console) Addr() net.Addr { return c.ln.Addr() }

// Serve answers requests until Close.
func (c *Console) Serve() {
	if err := c.server.Serve(c.ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		c.log.Error("console", "err", err)
	}
}

// Metrics are returned by GET /_metrics as JSON: counters since the start, denied actions by reason,
// and violations of invariants.
type Metrics struct {
	State      string           `json:"state"`
	Counts     map[string]int64 `json:"counts"`
	Refused    map[string]int64 `json:"refused"`
	Violations map[string]int64 `json:"violations"`
}

// SetMetrics sets the function that collects the metrics.
func (c *Console) SetMetrics(metrics func() Metrics) { c.metrics.Store(&metrics) }

// SetCluster sets the cluster that the console reports about.
func (c *Console) SetCluster(x Cluster) { c.cluster.Store(&x) }

// Close stops the console at once.
func (c *Console) Close() error { return c.server.Close() }

// handler routes requests by path and method.
func (c *Console) handler(life Lifecycle) http.Handler {
	type route struct {
		method string
		serve  func(w http.ResponseWriter)
	}
	type clusterRoute struct {
		method string
		serve  func(w http.ResponseWriter, r *http.Request, x Cluster)
	}
	writeText := func(w http.ResponseWriter, code int, text string) {
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
			writeText(w, code, v.State.String())
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
			writeText(w, http.StatusOK, life.Behavior().State.String())
		}},
		"/_lameduck/off": {http.MethodPost, func(w http.ResponseWriter) {
			life.HandleEvent(lifecycle.DrainOff)
			v := life.Behavior()
			if v.State == lifecycle.Leaving || v.State == lifecycle.HandedOver {
				writeText(w, http.StatusConflict, v.State.String()+": it does not come back")
				return
			}
			writeText(w, http.StatusOK, v.State.String())
		}},
	}
	writeResult := func(w http.ResponseWriter, err error, text string) {
		if err != nil {
			writeText(w, http.StatusConflict, err.Error())
			return
		}
		writeText(w, http.StatusOK, text)
	}
	writeJSON := func(w http.ResponseWriter, v any, err error) {
		if err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		json.NewEncoder(w).Encode(v)
	}
	clusterRoutes := map[string]clusterRoute{
		"/cluster": {http.MethodGet, func(w http.ResponseWriter, _ *http.Request, x Cluster) {
			s, err := x.Status()
			writeJSON(w, s, err)
		}},
		"/cluster/facts": {http.MethodGet, func(w http.ResponseWriter, r *http.Request, x Cluster) {
			report, err := x.Facts(r.URL.Query().Get("partner"), r.URL.Query().Get("diff"))
			writeJSON(w, report, err)
		}},
		"/cluster/leave": {http.MethodPost, func(w http.ResponseWriter, _ *http.Request, x Cluster) {
			writeResult(w, x.Leave(), "left")
		}},
		"/cluster/forget": {http.MethodPost, func(w http.ResponseWriter, r *http.Request, x Cluster) {
			name := r.URL.Query().Get("name")
			writeResult(w, x.Forget(name), "forgotten: "+name)
		}},
	}
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w := &statusWriter{ResponseWriter: out, status: http.StatusOK}
		defer func() {
			c.log.Debug("console", "method", r.Method, "path", r.URL.Path, "status", w.status)
		}()
		matched, ok := routes[r.URL.Path]
		if x := c.cluster.Load(); !ok && x != nil {
			if candidate, found := clusterRoutes[r.URL.Path]; found {
				matched, ok = route{candidate.method, func(w http.ResponseWriter) { candidate.serve(w, r, *x) }}, true
			}
		}
		switch {
		case !ok && clusterRoutes[r.URL.Path].method != "":
			writeText(w, http.StatusNotFound, "this sender knows nothing of others: its file has no [cluster]")
		case !ok:
			writeText(w, http.StatusNotFound,
				"no such call; there are GET /_ready, GET /_metrics, POST /_lameduck/on, POST /_lameduck/off, GET /cluster, GET /cluster/facts?partner=NAME, POST /cluster/leave, POST /cluster/forget?name=NAME")
		case r.Method != matched.method:
			w.Header().Set("Allow", matched.method)
			writeText(w, http.StatusMethodNotAllowed, "this call takes "+matched.method)
		case r.ContentLength > maxBodyBytes:
			writeText(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("a body may hold %d bytes", maxBodyBytes))
		default:
			if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
				var tooLarge *http.MaxBytesError
				if errors.As(err, &tooLarge) {
					writeText(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("a body may hold %d bytes", maxBodyBytes))
				} else {
					writeText(w, http.StatusBadRequest, "the body can't be read")
				}
				return
			}
			matched.serve(w)
		}
	})
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements [http.ResponseWriter].
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Request sends one request to a console and returns the response text. A status other than 2xx is an
// error.
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	return string(text), err
}
