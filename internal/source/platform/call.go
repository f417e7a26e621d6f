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
	dialTime = 2 * time.Second       // for a connection
	restTime = 2 * time.Second       // for the rest of an answer that has begun
	tailTime = 50 * time.Millisecond // for what comes behind a list that has come whole
	idleTime = 30 * time.Second      // for which a connection without a call is kept
	maxList  = 4 << 20               // bytes that are read of an answer
	maxConns = 6                     // connections to discovery; see otherSockets of the daemon
)

// newClient makes the client for calls to discovery. One connection is kept; calls beside each other have their own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: maxConns, IdleConnTimeout: idleTime}}
}

// listURL is what a request asks of discovery at an address.
func listURL(addr string, r poll.Request) string {
	url := "http://" + addr + "/discovery/hosts"
	if r.Complete {
		return url
	}
	return fmt.Sprintf("%s?from=%d&hold_ms=%d", url, r.Since, r.Hold.Milliseconds())
}

// fetch makes one call, and tells as its request is written and as its answer begins. It returns as soon as the list has come whole, whatever of the answer is still to come.
func fetch(ctx context.Context, client *http.Client, url string, limit time.Duration, came func(answering bool)) (List, error) {
	var list List
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	trace := &httptrace.ClientTrace{
		WroteRequest:         func(httptrace.WroteRequestInfo) { came(false) },
		GotFirstResponseByte: func() { came(true) },
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
	rest := time.AfterFunc(restTime, func() { stalled.Store(true); cancel() })
	defer rest.Stop()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
		return list, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxList)).Decode(&list); err != nil {
		if stalled.Load() {
			err = context.DeadlineExceeded
		}
		return list, fmt.Errorf("read list: %w", err)
	}
	if rest.Reset(tailTime) {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxList))
	}
	return list, nil
}
