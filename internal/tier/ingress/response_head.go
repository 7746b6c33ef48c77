package ingress

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// signatureField marks a response as an endpoint's own.
const signatureField = "X-Response-Signature"

// appendHead appends the head of a response whose body has a length, or is chunked if that is negative.
func (exchange *Exchange) appendHead(b []byte, status int, header []http1.Field, length int64) ([]byte, error) {
	if status < 200 || status > 999 {
		return nil, ErrInvalidHeader
	}
	empty := status == 204 || status == 304
	exchange.noBody = empty || exchange.head
	exchange.status = status
	b = append(b, "HTTP/1.1 "...)
	b = appendStatus(b, status)
	given := false // the response to HEAD has the length that the handler gives
	for _, f := range header {
		if !http1.IsToken(f.Name) || f.Value != "" && !http1.AllOf(f.Value, http1.ValueChar) {
			return nil, ErrInvalidHeader
		}
		exchange.signed = exchange.signed || strings.EqualFold(f.Name, signatureField)
		if http1.IsHopByHop(f.Name) {
			if !exchange.head || status == 204 || given || length > 0 || !strings.EqualFold(f.Name, "Content-Length") {
				continue
			}
			given = true
		}
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, '\r', '\n')
	}
	switch {
	case empty || given:
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, '\r', '\n')
	}
	// Clients obey the announced time, which ends before we close, so that no request crosses the close.
	if seconds := int64(exchange.conn.limits.IdleTimeout * 9 / 10 / time.Second); !exchange.keepAlive {
		b = append(b, "Connection: close\r\n"...)
	} else if seconds > 0 {
		b = append(b, "Keep-Alive: timeout="...)
		b = strconv.AppendInt(b, seconds, 10)
		b = append(b, '\r', '\n')
	}
	return append(b, '\r', '\n'), nil
}

// appendStatus appends a status and its phrase, with the end of the line.
func appendStatus(b []byte, status int) []byte {
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, '\r', '\n')
}

// formatSeconds formats a duration as seconds with their fraction.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
