package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 1 << 20

// client calls a daemon's HTTP front.
type client struct {
	url   string
	token string
}

// addFlags adds the flags of the client to a command.
func (c *client) addFlags(cmd *cobra.Command) {
	env := func(name, fallback string) string {
		if v := os.Getenv(name); v != "" {
			return v
		}
		return fallback
	}
	cmd.Flags().StringVar(&c.url, "url", env("COMETRACK_URL", "http://127.0.0.1:8080"),
		"the daemon's HTTP front (COMETRACK_URL)")
	cmd.Flags().StringVar(&c.token, "token", os.Getenv("COMETRACK_TOKEN"), "the tenant's token (COMETRACK_TOKEN)")
	cmd.Flags().Lookup("token").DefValue = ""
}

// response is the decoded body of a response, of success or failure.
type response struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	Title        string `json:"title"`
	Detail       string `json:"detail"`
	Field        string `json:"field"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	raw          []byte
}

// do makes a request and returns the status and the decoded body of the response.
func (c *client) do(ctx context.Context, method, path string, body io.Reader) (int, *response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.url, "/")+path, body)
	if err != nil {
		return 0, nil, &exit{exitUsage, err}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, &exit{exitError, err}
	}
	defer resp.Body.Close()
	a := &response{}
	if a.raw, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
		return 0, nil, &exit{exitError, err}
	}
	if err := json.Unmarshal(a.raw, a); err != nil {
		return 0, nil, &exit{exitError, fmt.Errorf("answer %s can't be read: %w", resp.Status, err)}
	}
	return resp.StatusCode, a, nil
}

// failure returns the error for a response whose status is not the expected one.
func (a *response) failure(status int) error {
	text := a.Title
	if a.Field != "" {
		text += ": " + a.Field
	}
	if a.Detail != "" {
		text += ": " + a.Detail
	}
	if a.RetryAfterMS > 0 {
		text += fmt.Sprintf(" (come again in %v)", time.Duration(a.RetryAfterMS)*time.Millisecond)
	}
	code := exitError
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		code = exitRefused
	case http.StatusNotFound:
		code = exitUnknown
	case http.StatusUnprocessableEntity:
		code = exitFailed
	}
	return &exit{code, errors.New(text)}
}

// endError returns an error whose exit code states how the message ended, or nil if it was not returned and did not
// fail.
func (a *response) endError() error {
	switch a.State {
	case "returned":
		return &exit{exitRefused, fmt.Errorf("%s was returned", a.ID)}
	case "failed":
		return &exit{exitFailed, fmt.Errorf("%s failed", a.ID)}
	}
	return nil
}

// signalContext returns a context that is done on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func putCommand() *cobra.Command {
	c := &client{}
	fields := map[string]*string{}
	var body string
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "put --partner NAME --class NAME [flags]",
		Short: "Hand a message in and print its id, or with --wait its end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := readBody(body)
			if err != nil {
				return &exit{exitError, err}
			}
			q := url.Values{}
			for name, v := range fields {
				if *v != "" {
					q.Set(name, *v)
				}
			}
			ctx, stop := signalContext()
			defer stop()
			status, a, err := c.do(ctx, http.MethodPost, "/v1/messages?"+q.Encode(), bytes.NewReader(text))
			if err != nil {
				return err
			}
			if status != http.StatusAccepted {
				return a.failure(status)
			}
			if wait <= 0 {
				fmt.Fprintln(cmd.OutOrStdout(), a.ID)
				return nil
			}
			return c.printState(ctx, cmd.OutOrStdout(), a.ID, wait)
		},
	}
	for _, f := range [][2]string{{"partner", "who is to get it"}, {"class", "its class"}, {"id", "its id (default: a new one)"},
		{"key", "idempotency key, in a keyed class"}, {"order", "order key"}, {"tenant", "whose it is (default: the token's)"},
		{"left", "how long it may be delivered, such as 30s (default: the class's)"}, {"deadline", "until when, as RFC 3339"}} {
		fields[f[0]] = cmd.Flags().String(f[0], "", f[1])
	}
	cmd.Flags().StringVar(&body, "body", "-", "the body: text, @FILE, or - for standard input")
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait so long for its end")
	cmd.MarkFlagRequired("partner")
	cmd.MarkFlagRequired("class")
	c.addFlags(cmd)
	return cmd
}

// readBody returns the message body that a flag gives: text, @FILE, or - for standard input.
func readBody(body string) ([]byte, error) {
	switch {
	case body == "-":
		return io.ReadAll(os.Stdin)
	case strings.HasPrefix(body, "@"):
		return os.ReadFile(body[1:])
	}
	return []byte(body), nil
}

func stateCommand() *cobra.Command {
	c := &client{}
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "state ID",
		Short: "Print what is known of a message, or with --wait its end",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, stop := signalContext()
			defer stop()
			return c.printState(ctx, cmd.OutOrStdout(), args[0], wait)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait so long for its end")
	c.addFlags(cmd)
	return cmd
}

// printState prints the state of a message, which it awaits for up to wait.
func (c *client) printState(ctx context.Context, out io.Writer, id string, wait time.Duration) error {
	path := "/v1/messages/" + url.PathEscape(id)
	if wait > 0 {
		path += "?wait=" + wait.String()
	}
	status, a, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return a.failure(status)
	}
	fmt.Fprint(out, string(a.raw))
	return a.endError()
}
