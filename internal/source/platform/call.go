package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cometrack/internal/source/platform/poll"
)

const (
	dialTimeout      = 2 * time.Second       // to establish a connection
	responseTimeout  = 2 * time.Second       // for the rest of a response that has begun
	drainTimeout     = 50 * time.Millisecond // for what follows a complete list
	idleTimeout      = 30 * time.Second      // after which an idle connection is closed
	maxResponseBytes = 4 << 20               // bytes read of a response
	maxConns         = 6                     // connections to discovery; see reservedDescriptors of the daemon
)

// newClient returns the client for calls to discovery. It keeps one idle connection; concurrent calls have their own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: maxConns, IdleConnTimeout: idleTimeout}}
}

// listURL returns the URL of a request to discovery at an address.
func listURL(addr string, r poll.Request) string {
	url := "http://" + addr + "/discovery/hosts"
	if r.Complete {
		return url
	}
	return fmt.Sprintf("%s?from=%d&hold_ms=%d", url, r.Since, r.Hold.Milliseconds())
}

// fetch makes one call that takes at most timeout. It calls onProgress when the request has been written, and again
// with responding set when the response begins. It returns soon after the list is complete, without waiting for the
// end of the response.
func fetch(ctx context.Context, client *http.Client, url string, timeout time.Duration,
	onProgress func(responding bool)) (List, error) {
	var list List
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	trace := &httptrace.ClientTrace{
		WroteRequest:         func(httptrace.WroteRequestInfo) { onProgress(false) },
		GotFirstResponseByte: func() { onProgress(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, url, nil)
	if err != nil {
		return list, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	var stalled atomic.Bool
	restTimer := time.AfterFunc(responseTimeout, func() { stalled.Store(true); cancel() })
	defer restTimer.Stop()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&list); err != nil {
		if stalled.Load() {
			err = context.DeadlineExceeded
		}
		return list, fmt.Errorf("read list: %w", err)
	}
	if restTimer.Reset(drainTimeout) {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	}
	return list, nil
}
