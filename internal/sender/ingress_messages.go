package sender

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// headerName reads a header with a name or key, which goes into records and calls unchanged. A missing header is "".
func headerName(r *http.Request, header string) (string, error) {
	values := r.Header.Values(header)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", badRequest("%s stands there more than once", header)
	}
	if len(values[0]) > maxNameBytes {
		return "", badRequest("%s is longer than %d bytes", header, maxNameBytes)
	}
	for _, c := range []byte(values[0]) {
		if c < 0x20 || c > 0x7e {
			return "", badRequest("%s holds bytes that are not plain ASCII", header)
		}
	}
	return values[0], nil
}

// parseMessageHead reads the head of a request that submits a message. The submission's Deadline is a duration; messageRequest makes it
// a time once the complete request has been read.
func (s *server) parseMessageHead(r *http.Request) (*submission, error) {
	sub := &submission{answer: make(chan response, 1), tenant: -1}
	for header, field := range map[string]*string{"X-Request-Id": &sub.ID, "X-Class": &sub.Class,
		"X-Tenant": &sub.Tenant, "Idempotency-Key": &sub.Key} {
		v, err := headerName(r, header)
		if err != nil {
			return nil, err
		}
		*field = v
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "messages are handed in with HTTP/1.1"}
	}
	if r.Header.Get("Content-Length") == "" {
		return nil, &requestError{http.StatusLengthRequired, "Content-Length is missing"}
	}
	if sub.ID == "" {
		return nil, badRequest("X-Request-Id is missing")
	}
	if sub.class = indexOf(s.config.Classes, sub.Class, -1); sub.class < 0 {
		return nil, badRequest("X-Class %q is not among the settings", sub.Class)
	}
	if sub.tenant = indexOf(s.config.Tenants, sub.Tenant, -1); sub.tenant < 0 && len(s.config.Tenants) > 0 {
		return nil, badRequest("X-Tenant %q is not among the settings", sub.Tenant)
	}
	if s.config.Settings.Classes[sub.class].Idempotency == brain.IdempotentByKey && sub.Key == "" {
		return nil, badRequest("Idempotency-Key is missing, and class %s is keyed", sub.Class)
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return nil, badRequest("X-Deadline-Ms %q is not a sensible time", r.Header.Get("X-Deadline-Ms"))
	}
	sub.Deadline = time.Duration(ms) * time.Millisecond
	if s.config.Settings.Classes[sub.class].Ordered {
		// Without an ordering key, a message of an ordered class is sent without an order.
		if sub.OrderKey, err = headerName(r, "X-Order-Key"); err != nil {
			return nil, err
		}
	}
	sub.Dest, err = parseDestination(r.Header.Get("X-Addressing"))
	return sub, err
}

// parseDestination reads the destination from X-Addressing: its element "dest=" with a number up to maxDestination.
func parseDestination(text string) (uint32, error) {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.ParseUint(v, 10, 32)
			if err != nil || n > maxDestination {
				return 0, badRequest("X-Addressing: dest %q is not a destination's number", v)
			}
			return uint32(n), nil
		}
	}
	return 0, badRequest("X-Addressing names no dest")
}

// messageIngress is the platform's protocol: one message a request.
type messageIngress struct{ server *server }

// maxBody is maxBodyBytes.
func (f messageIngress) maxBody() int64 { return maxBodyBytes }

// readHead reads the message except for its body.
func (f messageIngress) readHead(r *http.Request) (ingressRequest, error) {
	sub, err := f.server.parseMessageHead(r)
	if err != nil {
		return nil, err
	}
	return &messageRequest{submission: [1]submission{*sub}}, nil
}

// messageRequest is a request that submits a message.
type messageRequest struct{ submission [1]submission }

// submissions is the message with its body.
func (p *messageRequest) submissions(body []byte, arrived time.Duration) ([]submission, error) {
	p.submission[0].Body = body
	p.submission[0].Deadline += arrived
	return p.submission[:], nil
}

// response is the answer to the message.
func (p *messageRequest) response(all []response) response { return all[0] }
