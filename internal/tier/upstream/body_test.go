package upstream

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A reset that a failed write has reported gives a plain end to the next read: an unframed answer that it cut would look
// complete.
func TestCall_ResetWhileWritingUnframedResponse(t *testing.T) {
	body := strings.Repeat("x", 8<<20)
	due := 0
	for range 20 {
		target := startEndpoint(t, func(_ int, l *serverConn) {
			l.SetReadBuffer(4 << 10)
			l.r.ReadByte()
			l.writeText("HTTP/1.1 500 Oops\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\nConnection: close\r\n\r\nhalf of")
			l.reset()
		})
		r := newTestPool(t).Call(context.Background(), target, post("a", body), long)
		if r.connection.partlyWritten {
			due++
		}
		assert.Assert(t, r.Disposition(false).Reply != ForwardResponse, "%v %q", r.Outcome, r.Body)
	}
	assert.Assert(t, due > 0, "no write failed")
}
