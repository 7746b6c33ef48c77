package ingress

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

const benchGet = "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 6000\r\n" +
	"X-Model: m\r\nX-Token-Usage: 1460,80\r\n\r\n"

// benchmarkExchanges sends small requests one after another on a connection. The client itself allocates nothing per request.
func benchmarkExchanges(b *testing.B, addr string) {
	conn := dial(b, addr)
	conn.send(benchGet)
	size := 0
	a, err := http.ReadResponse(bufio.NewReader(io.TeeReader(conn.TCPConn, byteCounter{&size})), nil)
	assert.NilError(b, err)
	_, err = io.ReadAll(a.Body)
	assert.NilError(b, err)
	request, response := []byte(benchGet), make([]byte, size)
	conn.SetDeadline(time.Time{})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		conn.Write(request)
		if _, err := io.ReadFull(conn.TCPConn, response); err != nil {
			b.Fatal(err)
		}
	}
}

// byteCounter counts the bytes written to it.
type byteCounter struct{ n *int }

func (c byteCounter) Write(p []byte) (int, error) {
	*c.n += len(p)
	return len(p), nil
}

var benchFields = []http1.Field{{Name: "X-Attempt-Id", Value: "9c41d07be2a35f68"}, {Name: "X-Response-Signature", Value: "3e1b.07.5a2.600.0.c9f2a4d1"}}

func BenchmarkRequest(b *testing.B) {
	body := make([]byte, 200)
	benchmarkExchanges(b, start(b, &Server{Handler: func(x *Exchange) { x.Respond(200, benchFields, body) }}))
}

// BenchmarkRequestNetHTTP serves the requests of BenchmarkRequest with net/http, for comparison.
func BenchmarkRequestNetHTTP(b *testing.B) {
	body := make([]byte, 200)
	l, err := Listen("127.0.0.1:0")
	assert.NilError(b, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, f := range benchFields {
			w.Header().Set(f.Name, f.Value)
		}
		w.Write(body)
	})}
	go s.Serve(l)
	b.Cleanup(func() { s.Close() })
	benchmarkExchanges(b, l.Addr().String())
}

func BenchmarkStream20(b *testing.B) {
	event := []byte("id: 12\ndata: 0123456789abcdef0123456789abcdef\n\n")
	for _, watched := range []bool{false, true} {
		name := "plain"
		if watched {
			name = "watched"
		}
		b.Run(name, func(b *testing.B) {
			benchmarkExchanges(b, start(b, &Server{Handler: func(x *Exchange) {
				if watched {
					x.OnClientGone(0, func() {})
				}
				x.Begin(200, benchFields)
				for range 20 {
					x.Write(event)
				}
				x.End()
			}}))
		})
	}
}
