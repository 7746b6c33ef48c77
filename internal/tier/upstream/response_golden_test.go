package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"
)

// goldenHeads returns response heads at the edges of what is accepted.
func goldenHeads() []string {
	const status = "HTTP/1.1 200 OK\r\n"
	heads := []string{
		"HTTP/1.1 200\r\n\r\n", "HTTP/1.1 200 \r\n\r\n", "HTTP/1.0 599 x\r\n\r\n", "HTTP/1.1 099 x\r\n\r\n", "HTTP/1.1 600 x\r\n\r\n",
		"HTTP/1.2 200 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "http/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 O\x01K\r\n\r\n", "HTTP/1.1 200 caf\xe9\r\n\r\n",
		"HTTP/1.1 2O0 OK\r\n\r\n", "HTTP/1.1 200-OK\r\n\r\n", "\r\n" + status + "\r\n", status + "A: 1\n\r\n", status, "HTT",
	}
	for _, fields := range []string{
		"A:1\r\nb: 2 \t\r\nC:\r\n", "A : 1\r\n", ": 1\r\n", " A: 1\r\n", "A\r\n", "A(: 1\r\n", "A: 1\x002\r\n", "A: 1\x7f\r\n", "A: \xe9\r\n", "\xe9: 1\r\n",
		"Content-Length: 0\r\n", "Content-Length: 007\r\n", "content-length: 1099511627776\r\n", "Content-Length: 1099511627777\r\n", "Content-Length: 1, 1\r\n",
		"Content-Length: \r\n", "Content-Length: -1\r\n", "Content-Length: 1\r\nContent-Length: 1\r\n", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: CHUNKED\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"X-Attempt-Id: a\r\nx-attempt-id: a\r\n", "X-Attempt-Id: a b\r\n", "X-Response-Signature: s\r\n", "X-Response-Signature: s\r\nX-Response-Signature: s\r\n",
		"X-Not-Executed:\r\n", "X-Not-Executed: 1\r\nX-Not-Executed: 1\r\n", "Content-Type: text/event-stream\r\n", "Content-Type: Text/Event-Stream ; charset=utf-8\r\n",
		"Content-Type: text/event-streams\r\n", "Content-Type: a\r\nContent-Type: a\r\n", "Content-Encoding: gzip\r\n", "Retry-After: 2\r\n", "Retry-After: 0.25\r\n", "Retry-After: 1e3\r\n",
		"Retry-After: 3601\r\n", "Retry-After: -1\r\n", "Retry-After: soon\r\n", "Retry-After: NaN\r\n", "X-Instance-Load: 1,2,3\r\n", "X-Instance-Load: 1, 2 ,\t3\r\n",
		"X-Instance-Load: 1,2,2147483648\r\n", "X-Instance-Load: 1,2,3,4\r\n", "X-Instance-Load: 1,2,3\r\nX-Instance-Load: x\r\n", "Versions: a=1\r\nVersions: b=2\r\n",
		"Connection: close\r\n", "Connection: keep-alive, CLOSE\r\n", "Connection: X-A, x-b\r\nX-A: 1\r\nX-B: 2\r\nX-C: 3\r\n", "X-A: 1\r\nConnection: ,,x-a\r\n",
		"Connection: X-Attempt-Id\r\nX-Attempt-Id: a\r\n", "Connection: Content-Length\r\nContent-Length: 3\r\n", "Connection: a\r\nConnection: close\r\nA: 1\r\n",
		"Keep-Alive: timeout=5, max=100\r\n", "Keep-Alive: 5\r\n", "Keep-Alive: timeout=86401\r\n", "Proxy-Connection: x\r\nTE: x\r\nTrailer: x\r\nUpgrade: x\r\nKeep-Alive: x\r\n",
		"Date: x\r\nSet-Cookie: a\r\nset-cookie: b\r\n", "X-Response-Signature-That-Is-A-Very-Long-Name: 1\r\n",
		strings.Repeat("A: 1\r\n", 100), strings.Repeat("A: 1\r\n", 101), "A: " + strings.Repeat("x", 4090) + "\r\n", "A: " + strings.Repeat("x", 4091) + "\r\n",
		strings.Repeat("A: "+strings.Repeat("x", 2000)+"\r\n", 8), strings.Repeat("A: "+strings.Repeat("x", 2000)+"\r\n", 9),
	} {
		heads = append(heads, status+fields+"\r\n")
	}
	return heads
}

// TestReadHead_Golden compares the parsed form of many heads with the golden file. Further bytes follow each head.
func TestReadHead_Golden(t *testing.T) {
	var out strings.Builder
	for _, head := range goldenHeads() {
		reader := bufio.NewReaderSize(strings.NewReader(head+"rest"), readerSize)
		response, _, err := readHead(reader, nil)
		shown := head
		if len(shown) > 200 {
			shown = fmt.Sprintf("%s...%d bytes", shown[:100], len(head))
		}
		fmt.Fprintf(&out, "%q\n", shown)
		if err != nil {
			fmt.Fprintf(&out, "  malformed %t\n", errors.Is(err, errMalformed))
			continue
		}
		fmt.Fprintf(&out, "  %d %q length %d id %q signature %q not executed %t events %t retry after %v load %v %t versions %q closes %t named %t chunked %t encoded %t alive %v\n  fields",
			response.Status, response.Reason, response.Length, response.AttemptID, response.Signature, response.NotExecuted, response.IsEventStream, response.RetryAfter, response.Load, response.HasLoad,
			response.Versions, response.closesConnection, response.explicitClose, response.chunked, response.encoded, response.keepAlive)
		for i, field := range response.Header {
			if i == 5 {
				fmt.Fprintf(&out, " and %d more", len(response.Header)-i)
				break
			}
			value := field.Value
			if len(value) > 50 {
				value = fmt.Sprintf("%s...%d bytes", value[:20], len(field.Value))
			}
			fmt.Fprintf(&out, " %q=%q", field.Name, value)
		}
		out.WriteByte('\n')
	}
	golden.Assert(t, out.String(), "heads.golden")
}
