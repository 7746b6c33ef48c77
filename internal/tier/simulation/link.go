package simulation

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// link is the HTTP client of one process.
type link struct {
	network *network
	from    *process
}

// callResult is what a call returns.
type callResult struct {
	response *http.Response
	err      error
}

// Do makes a call. It implements twirp's HTTPClient.
func (l *link) Do(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
		_ = r.Body.Close()
	}
	done := make(chan callResult, 1)
	go func() {
		response, err := l.call(r, body)
		done <- callResult{response, err}
	}()
	select {
	case o := <-done:
		return o.response, o.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) { return l.Do(r) }

// call delivers a request to the machine to which it is addressed, and returns the reply.
func (l *link) call(r *http.Request, body []byte) (*http.Response, error) {
	if l.from.ended() {
		return nil, errReset
	}
	host, port, err := net.SplitHostPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	n := l.network
	to := n.machineAt(host)
	if to == nil {
		return lostCall()
	}
	from := l.from.machine.name
	f := n.drawOutcome(from, to.name, strings.HasPrefix(r.URL.Path, "/twirp/"))
	if !n.deliver(from, to.name, f.requestDelay) {
		return nil, errTimeout
	}
	if f.loseRequest {
		return lostCall()
	}
	p, poweredOff := to.process()
	switch {
	case poweredOff:
		return lostCall()
	case p == nil:
		return nil, errRefused
	}
	if r.URL.Path == replacePath {
		n.recordChange(to.name)
	}
	if f.duplicate {
		go l.deliverDuplicate(to, port, r, body, f.duplicateDelay)
	}
	reply := p.serve(r.Context(), from, port, r, body)
	if reply == nil || p.ended() {
		return nil, errReset
	}
	if n.tamperReply != nil {
		d := &Delivery{Path: r.URL.Path, Header: r.Header, Reply: reply.body.Bytes(),
			Repeat: func() { p.serve(r.Context(), from, port, r, body) }}
		n.tamperReply(d)
		reply.body = *bytes.NewBuffer(d.Reply)
	}
	if f.loseReply || !n.deliver(to.name, from, f.replyDelay) {
		return lostCall()
	}
	if l.from.ended() {
		return nil, errReset
	}
	return reply.response(r), nil
}

// lostCall waits for lostCallTimeout, after which a caller gives up a call without a reply.
func lostCall() (*http.Response, error) {
	time.Sleep(lostCallTimeout)
	return nil, errTimeout
}

// deliverDuplicate has a machine serve a call a second time, after a delay.
func (l *link) deliverDuplicate(to *machine, port string, r *http.Request, body []byte, delay time.Duration) {
	time.Sleep(delay)
	from := l.from.machine.name
	if again, _ := to.process(); again != nil && l.network.deliver(from, to.name, 0) {
		again.serve(context.WithoutCancel(r.Context()), from, port, r, body)
	}
}

// recorder records the response of a handler.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}

// response returns the recorded response to a request.
func (r *recorder) response(to *http.Request) *http.Response {
	r.WriteHeader(http.StatusOK)
	return &http.Response{Status: http.StatusText(r.status), StatusCode: r.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: r.header, Body: io.NopCloser(bytes.NewReader(r.body.Bytes())), ContentLength: int64(r.body.Len()), Request: to}
}
