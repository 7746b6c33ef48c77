package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// Defaults and limits.
const (
	defaultAttemptTimeout = time.Second
	minBackoff            = 20 * time.Millisecond
	maxBackoff            = 500 * time.Millisecond
	maxRedirects          = 2       // of one attempt
	maxResponseBytes      = 4 << 20 // of one response body
)

// Errors that callers can distinguish.
var (
	// ErrNoAddress is returned by New for a Config without an address.
	ErrNoAddress = errors.New("client: no control-plane address is given")
	// ErrLocked says that another owner holds the lock.
	ErrLocked = errors.New("client: another owner holds the lock")
	// ErrLockLost says that the lock is no longer held.
	ErrLockLost = errors.New("client: the lock is no longer held")
	// ErrKeyMissing says that the key was never put.
	ErrKeyMissing = errors.New("client: the key does not exist")
	// ErrHistoryGone says that the history of the group begins after the revision of a watch: read the keys again, then watch from
	// the current revision.
	ErrHistoryGone = errors.New("client: the history of the group begins after the revision")
)

// errTooManyRedirects ends an attempt; the next attempt is made at another address.
var errTooManyRedirects = errors.New("client: too many redirects in a row")

// StatusError is a response with a status that the call does not expect, such as 400 for an invalid call.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (err *StatusError) Error() string {
	return fmt.Sprintf("client: status %d: %s", err.Status, err.Message)
}

// Config is the configuration of a Client.
type Config struct {
	Addresses      []string      // host:port of control-plane processes
	HTTP           *http.Client  // default: a new client; this package follows redirects itself
	AttemptTimeout time.Duration // of one attempt at one address; default: one second
}

// Client calls the control plane.
type Client struct {
	config Config
	http   http.Client
	next   atomic.Uint64 // counts failed attempts; selects the address of the next attempt
}

// New returns a client. The only error is ErrNoAddress.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	if config.AttemptTimeout <= 0 {
		config.AttemptTimeout = defaultAttemptTimeout
	}
	c := &Client{config: config}
	if config.HTTP != nil {
		c.http = *config.HTTP
	}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

// reply is a response with its complete body.
type reply struct {
	status int
	body   []byte
}

// decode reads the JSON body.
func (r reply) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return fmt.Errorf("client: the response is not valid JSON: %w", err)
	}
	return nil
}

// statusError returns the error for a status that the call does not expect.
func (r reply) statusError() error {
	var body struct {
		Message string `json:"error_message"`
	}
	_ = json.Unmarshal(r.body, &body) // the message is optional
	return &StatusError{r.status, body.Message}
}

// call makes attempts until one gets a definitive response: any status except 429 and 5xx. timeout bounds one attempt. The error
// wraps that of ctx and the last failure.
func (c *Client) call(ctx context.Context, method, path string, body any, timeout time.Duration) (reply, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return reply{}, fmt.Errorf("client: failed to encode the request body: %w", err)
		}
	}
	backoff := minBackoff
	for {
		r, err := c.attempt(ctx, method, path, raw, timeout)
		if err == nil && r.status != http.StatusTooManyRequests && r.status < http.StatusInternalServerError {
			return r, nil
		}
		c.next.Add(1)
		if err == nil {
			err = r.statusError()
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return reply{}, fmt.Errorf("client: no definitive response: %w, last failure: %w", ctx.Err(), err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attempt makes one attempt at the current address, and follows its redirects.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte, timeout time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := c.config.Addresses[c.next.Load()%uint64(len(c.config.Addresses))]
	target := "http://" + address + "/saffronyard/" + path
	for redirects := 0; ; redirects++ {
		r, location, err := c.send(ctx, method, target, body)
		if err != nil || r.status != http.StatusTemporaryRedirect {
			return r, err
		}
		if redirects == maxRedirects {
			return reply{}, errTooManyRedirects
		}
		target = location
	}
}

// send sends one request, and returns its response and the target of a redirect.
func (c *Client) send(ctx context.Context, method, target string, body []byte) (r reply, location string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return reply{}, "", fmt.Errorf("client: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, "", fmt.Errorf("client: %w", err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return reply{}, "", fmt.Errorf("client: failed to read the response body: %w", err)
	}
	return reply{response.StatusCode, raw}, response.Header.Get("Location"), nil
}

// post makes a call with a JSON body.
func (c *Client) post(ctx context.Context, call, name string, body any) (reply, error) {
	return c.call(ctx, http.MethodPost, call+"/"+url.PathEscape(name), body, c.config.AttemptTimeout)
}
