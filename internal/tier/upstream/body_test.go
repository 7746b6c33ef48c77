package upstream

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// After a reset was reported to a failed write, the next read returns a plain io.EOF. An unframed response that the reset
// truncated must not be taken for complete.
func TestCall_ResetWhileWritingUnframedResponse(t *testing.T) {
	body := strings.Repeat("x", 8<<20)
	partialWrites := 0
	for range 20 {
		target := startEndpoint(t, func(_ int, l *serverConn) {
			l.SetReadBuffer(4 << 10)
			l.r.ReadByte()
			l.writeText("HTTP/1.1 500 Oops\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\nConnection: close\r\n\r\nhalf of")
			l.reset()
		})
		r := newTestPool(t).Call(context.Background(), target, post("a", body), longWait)
		if r.connection.partlyWritten {
			partialWrites++
		}
		assert.Assert(t, r.Disposition(false).Reply != ForwardResponse, "%v %q", r.Outcome, r.Body)
	}
	assert.Assert(t, partialWrites > 0, "no write failed")
}
