package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/fleet"
)

// socketTimeout bounds one request to a running sender, from connecting to the end of the body.
const socketTimeout = 5 * time.Second

// getFromSocket sends a GET request to a running sender over its Unix socket and returns the body.
func getFromSocket(socket, path string) ([]byte, error) {
	return requestFromSocket(http.MethodGet, socket, path)
}

// requestFromSocket sends a request without a body.
func requestFromSocket(method, socket, path string) ([]byte, error) {
	return requestFromSocketAs(method, socket, path, "", nil)
}

// requestFromSocketAs sends a request in the name of a user, which the history records as the author of the change. An empty user sends
// no name. A status other than 200 is a *serverError.
func requestFromSocketAs(method, socket, path, user string, body []byte) ([]byte, error) {
	client := http.Client{Timeout: socketTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", socket)
		}}}
	req, err := http.NewRequest(method, "http://sender"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if user != "" {
		req.Header.Set(fleet.AuthorHeader, user)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no sender answers (does its features file have [peers], [knowledge], [dns], [fleet] or [work]?): %w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &serverError{text: "the sender says: " + strings.TrimSpace(string(raw))}
	}
	return raw, nil
}

// formatMillis writes a number of milliseconds as a duration, to a tenth of a second.
func formatMillis(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
