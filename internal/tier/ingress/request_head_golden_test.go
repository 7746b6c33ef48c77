package ingress

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"
)

// goldenRequests returns request heads at the edges of what is accepted; rejectedRequests has more rejected ones.
func goldenRequests() []string {
	var heads []string
	for _, line := range []string{"GET / HTTP/1.1", "GET /a?b=c&d HTTP/1.1", "GET /a%20b//../c HTTP/1.1", "OPTIONS * HTTP/1.1", "GET http://a/x?y HTTP/1.1", "GET HTTP://A HTTP/1.1",
		"GET http://a:80/x HTTP/1.1", "HEAD / HTTP/1.0", "M!#$%&'*+-.^_`|~9 / HTTP/1.1", "GET / HTTP/1.1 ", "GET  HTTP/1.1", "GET / HTTP/9.9", "GET / HTTP/1:1", "GET / HTTPS/1.1", "", "GET"} {
		heads = append(heads, line+"\r\nHost: a\r\n\r\n")
	}
	for _, fields := range []string{
		"A:1\r\nb: 2 \t\r\nC:\r\n", "A: \t 1\t2 \r\n", "A: \xe9\r\n", "Content-Length: 0\r\n", "Content-Length: 007\r\n", "content-length: 9223372036854775807\r\n", "Content-Length: 9223372036854775808\r\n",
		"Content-Length: 1 1\r\n", "Transfer-Encoding: CHUNKED\r\n", "Transfer-Encoding: \r\n", "Expect: 100-Continue\r\n", "Expect: \r\n", "Expect: 100-continue\r\nExpect: x\r\n",
		"Connection: close\r\n", "Connection: keep-alive ,\tCLOSE\r\n", "Connection: closed\r\n", "Connection: a\r\nConnection: close\r\n",
		"X-Attempt-Id: a\r\n", "X-Attempt-Id: a\r\nX-Attempt-Id: b\r\n", "X-Deadline-Ms: 5\r\n", "X-Deadline-Ms: 5\r\nx-deadline-ms: 5\r\n", "Host: a\r\n", "HOST: b\r\n",
		strings.Repeat("A: 1\r\n", 20), "X-A: 1\r\nConnection: x-a, TE\r\nTE: x\r\nKeep-Alive: 1\r\nTrailer: x\r\nUpgrade: x\r\nProxy-Connection: x\r\nX-B: 2\r\n", "A\r\n", "A : 1\r\n", " A: 1\r\n",
	} {
		heads = append(heads, "POST /p HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n")
	}
	for _, host := range []string{"a:80", "[::1]:80", "-._~!$&'()*+,;=:[]%", "a/b", "a b", "", "\xe9"} {
		heads = append(heads, "GET / HTTP/1.1\r\nHost: "+host+"\r\n\r\n", "GET http://"+host+"/ HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
	}
	return heads
}

// TestParseHead_Golden compares the parsed form of many heads with the golden file.
func TestParseHead_Golden(t *testing.T) {
	var out strings.Builder
	for _, head := range goldenRequests() {
		var exchange Exchange
		framing, status := parseHead(head, &exchange)
		fmt.Fprintf(&out, "%q\n", head)
		if status != 0 {
			fmt.Fprintf(&out, "  rejected %d\n", status)
			continue
		}
		fmt.Fprintf(&out, "  %q %q path %q host %q 1.0 %t head %t length %d chunked %t close %t expect %t\n  fields", exchange.Method, exchange.Target, exchange.Path, exchange.Host,
			exchange.http10, exchange.head, framing.length, framing.chunked, framing.close, framing.expect)
		for _, field := range exchange.Header {
			fmt.Fprintf(&out, " %q=%q", field.Name, field.Value)
		}
		out.WriteString("\n  passed on")
		for _, field := range exchange.Header.AppendEndToEnd(nil) {
			fmt.Fprintf(&out, " %q=%q", field.Name, field.Value)
		}
		out.WriteByte('\n')
	}
	for _, size := range []string{"0", "1", "a", "F", "fff;x=y", "000000000000001", "0000000000000001", "", ";x", "g", "1 ", " 1", "1;\x01", "1;", "-1", "fffffffffffffff"} {
		n, ok := parseChunkSize(size)
		fmt.Fprintf(&out, "chunk size %q: %d %t\n", size, n, ok)
	}
	golden.Assert(t, out.String(), "heads.golden")
}
