package wire

import (
	"encoding/binary"
	"io"
	"math"
)

// Codes of the action records, with their names in WIRE-saffronyard.md.
const (
	codeSend           = 1  // send
	codeReject         = 2  // decline
	codeFail           = 3  // finish_error
	codeCancel         = 4  // cancel
	codeSetTimer       = 5  // wake_me
	codeCloseIdleConns = 7  // close
	codeLog            = 9  // write_log
	codeInternalError  = 10 // internal_error
	codeWatchEndpoints = 11 // stream_changes
)

// Reply collects the actions of one frame. Its zero value is empty. In all methods i is the instance, and times are in ms.
type Reply struct {
	buf   []byte
	count uint32
}

// record begins a record with size bytes of fields.
func (r *Reply) record(code uint16, size int, instance uint16) {
	if r.count == 0 {
		r.buf = append(r.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	}
	r.count++
	r.buf = binary.LittleEndian.AppendUint16(r.buf, code)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, uint32(size))
	r.buf = binary.LittleEndian.AppendUint16(r.buf, instance)
}

func (r *Reply) u64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *Reply) text(s string) {
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Send writes a send: an attempt of a message at an endpoint.
func (r *Reply) Send(i uint16, message uint64, timeoutMs float64, endpoint uint32) {
	r.record(codeSend, 22, i)
	r.u64(message)
	r.f64(timeoutMs)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, endpoint)
}

// Reject writes a decline: the client may retry after the wait.
func (r *Reply) Reject(i uint16, message uint64, retryAfterMs float64) {
	r.record(codeReject, 18, i)
	r.u64(message)
	r.f64(retryAfterMs)
}

// Fail writes a finish_error: the message ends, and an attempt of it may or may not have run.
func (r *Reply) Fail(i uint16, message uint64) {
	r.record(codeFail, 10, i)
	r.u64(message)
}

// Cancel writes a cancel of an attempt.
func (r *Reply) Cancel(i uint16, message uint64, attempt uint8) {
	r.record(codeCancel, 11, i)
	r.u64(message)
	r.buf = append(r.buf, attempt)
}

// SetTimer writes a wake_me, which requests an alarm with the label at that time of the clock.
func (r *Reply) SetTimer(i uint16, atMs float64, label uint32) {
	r.record(codeSetTimer, 14, i)
	r.f64(atMs)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, label)
}

// CloseIdleConns writes a close: the idle connections to an endpoint are closed.
func (r *Reply) CloseIdleConns(i uint16, endpoint uint32) {
	r.record(codeCloseIdleConns, 6, i)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, endpoint)
}

// Log writes a write_log. A line is cut off at 65,535 bytes.
func (r *Reply) Log(i uint16, s string) { r.line(codeLog, i, s) }

// InternalError writes an internal_error. A line is cut off at 65,535 bytes.
func (r *Reply) InternalError(i uint16, s string) { r.line(codeInternalError, i, s) }

func (r *Reply) line(code, i uint16, s string) {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	r.record(code, 4+len(s), i)
	r.text(s)
}

// WatchEndpoints writes a stream_changes that opens the subscription.
func (r *Reply) WatchEndpoints(i uint16) {
	r.record(codeWatchEndpoints, 3, i)
	r.buf = append(r.buf, 1)
}

// Flush writes the reply to w and empties it.
func (r *Reply) Flush(w io.Writer) error {
	if r.count == 0 {
		r.buf = append(r.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	}
	binary.LittleEndian.PutUint32(r.buf, uint32(len(r.buf)-4))
	binary.LittleEndian.PutUint32(r.buf[4:], r.count)
	r.count = 0
	_, err := w.Write(r.buf)
	return err
}
