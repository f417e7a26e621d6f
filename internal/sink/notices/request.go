package notices

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

const (
	// postTimeout bounds a post. It is longer than a notice may take, as a slow platform has received it.
	postTimeout = 5 * time.Second
	// maxConns bounds the connections besides the spare one: those of open posts, and those that are still
	// being opened for a post that was cancelled, which serve a later one.
	maxConns         = maxPosts + 2
	idleTimeout      = 5 * time.Second // after which an idle connection is closed
	maxResponseBytes = 64 << 10        // bytes read of a response
)

// response describes the response to a post and the connection that the post was written to.
type response struct {
	status  int
	latency time.Duration // from when the post had its connection
	reused  bool          // the connection had carried another post
	connAge time.Duration // of the connection when the post got it
}

// openedConn is a connection with the time when it was opened.
type openedConn struct {
	net.Conn
	openedAt time.Time
}

// newClient returns the client for posts over the connections of a dialer. It keeps one idle connection.
func newClient(d *dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d.DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: maxConns, IdleConnTimeout: idleTimeout}}
}

// encode returns the request body for a batch: one JSON object a line.
func encode(batch []notice) []byte {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for _, entry := range batch {
		encoder.Encode(entry) // neither strings and numbers nor writes to a buffer fail
	}
	return body.Bytes()
}

// send posts a body and returns the response. After an error the notices may have been received; repeating a
// notice does no harm.
func send(ctx context.Context, client *http.Client, url string, body []byte) (out response, err error) {
	var connectedAt time.Time
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connectedAt, out.reused = time.Now(), info.Reused
		if conn, ok := info.Conn.(*openedConn); ok {
			out.connAge = connectedAt.Sub(conn.openedAt)
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := client.Do(req)
	if err != nil {
		return out, fmt.Errorf("post notices: %w", err)
	}
	defer resp.Body.Close()
	out.status, out.latency = resp.StatusCode, time.Since(connectedAt)
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return out, nil
}
