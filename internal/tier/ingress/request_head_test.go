package ingress

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// rejectedRequests are requests that the server rejects, each with the status of the rejection.
var rejectedRequests = []struct {
	name, request string
	status        int
}{
	{"bare LF ends a line", "GET / HTTP/1.1\nHost: a\r\n\r\n", 400},
	{"bare LF ends a field", "GET / HTTP/1.1\r\nHost: a\nX: 1\r\n\r\n", 400},
	{"bare LF ends the head", "GET / HTTP/1.1\r\nHost: a\r\n\n", 400},
	{"bare LF at first", "\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"bare CR in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r2\r\n\r\n", 400},
	{"bare CR in the request line", "GET /\r HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"CR CR LF", "GET / HTTP/1.1\r\nHost: a\r\r\n\r\n", 400},
	{"two empty lines before", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
	{"space before a field", "GET / HTTP/1.1\r\n Host: a\r\n\r\n", 400},
	{"folded", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", 400},
	{"folded with a tab", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n\t2\r\n\r\n", 400},
	{"no colon", "GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", 400},
	{"no name", "GET / HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", 400},
	{"name is no token", "GET / HTTP/1.1\r\nHost: a\r\nX(y): 1\r\n\r\n", 400},
	{"name beyond ASCII", "GET / HTTP/1.1\r\nHost: a\r\nX\xe9: 1\r\n\r\n", 400},
	{"NUL in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\x002\r\n\r\n", 400},
	{"DEL in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\x7f\r\n\r\n", 400},
	{"vertical tab in a value", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\x0b\r\n\r\n", 400},
	{"no Host", "GET / HTTP/1.1\r\nX: a\r\n\r\n", 400},
	{"no Host in 1.0", "GET / HTTP/1.0\r\n\r\n", 400},
	{"empty Host", "GET / HTTP/1.1\r\nHost:\r\n\r\n", 400},
	{"two Hosts", "GET / HTTP/1.1\r\nHost: a\r\nhost: a\r\n\r\n", 400},
	{"Host with a path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
	{"Host with a user", "GET / HTTP/1.1\r\nHost: u@a\r\n\r\n", 400},
	{"Host with a space", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
	{"absolute, other Host", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"absolute, other scheme", "GET ftp://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"absolute without authority", "GET http:///x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"absolute without a path", "GET http://a?x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
	{"list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\nx", 400},
	{"empty length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", 400},
	{"length with a plus", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nx", 400},
	{"length with a minus", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\nx", 400},
	{"length in hex", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x1\r\n\r\nx", 400},
	{"length and coding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"coding and length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
	{"two codings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"coding in 1.0", "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"other coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
	{"list of codings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
	{"identity", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n", 501},
	{"coding with a parameter", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked;q=1\r\n\r\n0\r\n\r\n", 501},
	{"two attempt ids", "GET / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: 1\r\nx-attempt-id: 1\r\n\r\n", 400},
	{"two deadlines", "GET / HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: 1\r\nX-Deadline-MS: 2\r\n\r\n", 400},
	{"other expectation", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 200-ok\r\nContent-Length: 1\r\n\r\nx", 417},
	{"two spaces", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"space at the end of the line", "GET / HTTP/1.1 \r\nHost: a\r\n\r\n", 400},
	{"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"tab for a space", "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"no version", "GET /\r\nHost: a\r\n\r\n", 400},
	{"no target", "GET HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"method is no token", "G@T / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"target without a slash", "GET a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"target with a fragment", "GET /#a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"target beyond ASCII", "GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"authority", "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n", 400},
	{"asterisk of another method", "GET * HTTP/1.1\r\nHost: a\r\n\r\n", 400},
	{"version in lower case", "GET / http/1.1\r\nHost: a\r\n\r\n", 400},
	{"longer version", "GET / HTTP/1.10\r\nHost: a\r\n\r\n", 400},
	{"version 2.0", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
	{"version 1.2", "GET / HTTP/1.2\r\nHost: a\r\n\r\n", 505},
	{"version 0.9", "GET / HTTP/0.9\r\nHost: a\r\n\r\n", 505},
	{"chunk size with a sign", chunkedHead + "+1\r\nx\r\n0\r\n\r\n", 400},
	{"chunk size with 0x", chunkedHead + "0x1\r\nx\r\n0\r\n\r\n", 400},
	{"empty chunk size", chunkedHead + "\r\nx\r\n0\r\n\r\n", 400},
	{"chunk size with a space", chunkedHead + "1 \r\nx\r\n0\r\n\r\n", 400},
	{"chunk size too long", chunkedHead + "0000000000000001\r\nx\r\n0\r\n\r\n", 400},
	{"chunk line ends in LF", chunkedHead + "1\nx\r\n0\r\n\r\n", 400},
	{"chunk longer than its size", chunkedHead + "1\r\nxy\r\n0\r\n\r\n", 400},
	{"chunk without an end", chunkedHead + "1\r\nxyz0\r\n\r\n", 400},
	{"chunk ends in LF", chunkedHead + "1\r\nx\n0\r\n\r\n", 400},
	{"control character in an extension", chunkedHead + "1;a\x01\r\nx\r\n0\r\n\r\n", 400},
	{"CR in an extension", chunkedHead + "1;a\rb\r\nx\r\n0\r\n\r\n", 400},
	{"trailer is no field", chunkedHead + "0\r\nX\r\n\r\n", 400},
	{"folded trailer", chunkedHead + "0\r\nX: 1\r\n 2\r\n\r\n", 400},
	{"trailers end in LF", chunkedHead + "0\r\n\n", 400},
	{"head too long", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", testHeader) + "\r\n\r\n", 431},
	{"request line too long", "GET /" + strings.Repeat("x", testHeader) + " HTTP/1.1\r\nHost: a\r\n\r\n", 431},
	{"head without an end", "GET /" + strings.Repeat("x", 2*testHeader), 431},
	{"extensions too long", chunkedHead + "1;" + strings.Repeat("x", testHeader) + "\r\nx\r\n0\r\n\r\n", 431},
	{"trailers too long", chunkedHead + "0\r\nX: " + strings.Repeat("x", testHeader) + "\r\n\r\n", 431},
	{"body too long", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(testBody+1) + "\r\n\r\n", 413},
	{"length overflows", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999999\r\n\r\n", 413},
	{"chunk too long", chunkedHead + strconv.FormatInt(testBody+1, 16) + "\r\n", 413},
	{"largest chunk size", chunkedHead + "fffffffffffffff\r\n", 413},
	{"chunks too long together", chunkedHead + "1\r\nx\r\n" + strconv.FormatInt(testBody, 16) + "\r\n", 413},
}

const (
	chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	testHeader  = 6 << 10
	testBody    = 100 << 10
)

func TestParseHead_AsSent(t *testing.T) {
	var x Exchange
	f, status := parseHead("POST /a/b%20c?d=e&f HTTP/1.1\r\nhOST: Ex.example:80\r\nX-A:  1 2\t\r\nX-B:\r\nX-C: \xe9\r\n"+
		"Connection: x, Close\r\nContent-Length: 007\r\n\r\n", &x)
	assert.Equal(t, status, 0)
	assert.Equal(t, f, framing{length: 7, close: true})
	assert.Equal(t, x.Method+" "+x.Target+" "+x.Path+" "+x.Host, "POST /a/b%20c?d=e&f /a/b%20c Ex.example:80")
	assert.DeepEqual(t, x.Header, http1.Header{{Name: "hOST", Value: "Ex.example:80"}, {Name: "X-A", Value: "1 2"}, {Name: "X-B", Value: ""}, {Name: "X-C", Value: "\xe9"},
		{Name: "Connection", Value: "x, Close"}, {Name: "Content-Length", Value: "007"}})
	assert.Equal(t, x.Header.Get("x-a"), "1 2")
	assert.Equal(t, x.Header.Get("x-z"), "")
}

func TestParseHead_AbsoluteTarget(t *testing.T) {
	for target, want := range map[string]string{
		"http://A.example:8080/x?y": "/x?y", "HTTP://a.example:8080": "/", "http://a.example:8080/": "/",
	} {
		var x Exchange
		_, status := parseHead("GET "+target+" HTTP/1.1\r\nHost: a.example:8080\r\n\r\n", &x)
		assert.Equal(t, status, 0, target)
		assert.Equal(t, x.Target, want)
		assert.Equal(t, x.Host, "a.example:8080")
	}
	var x Exchange
	_, status := parseHead("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", &x)
	assert.Equal(t, status, 0)
	assert.Equal(t, x.Path, "*")
}
