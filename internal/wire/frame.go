// Package wire reads and writes the simulator's frames. It knows layouts only and decides nothing.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// MaxFrame is the longest frame body that is read, in bytes.
const MaxFrame = 1 << 30

// Codes of the events.
const (
	CodeHello          = 1
	CodeEndpointUpdate = 2
	CodeMessage        = 3
	CodeHead           = 4
	CodeAttemptResult  = 5
	CodeWithdrawn      = 6
	CodeTimerFired     = 7
	CodeStatus         = 8
	CodeInbox          = 9
	CodeExit           = 10
	CodeEndpointPage   = 11
)

// Event is one record of a batch. Code tells which fields are set.
type Event struct {
	Code     uint16
	Index    int // number of the record in its batch
	Offset   int // where the record starts in the frame body
	Instance uint16

	Seed         uint64 // hello
	Settings     string
	Scope        uint8 // directory_update
	Page         uint32
	Endpoints    []Endpoint // catalog
	Message      uint64     // submit, attempt_end, cancelled_by_client
	Tenant       uint16
	OrderingKey  uint64
	Class        uint8
	Destination  float32
	Bits         uint8
	Deadline     float64
	Attempt      uint8
	Endpoint     uint32
	Outcome      uint8
	Elapsed      float64
	Final        bool
	RetryAfterMs uint32
	LoadReport   []float32
	Label        uint32 // alarm
}

// Endpoint is one line of an endpoint list.
type Endpoint struct {
	Kind         uint16
	ID           uint32
	Rating       float32
	Destination  uint16
	Availability uint8
	Zone         uint8
}

const endpointSize = 22

// Batch is one frame from the simulator.
type Batch struct {
	Clock  float64 // milliseconds
	Events []Event
}

// ReadBatch reads one frame. It returns io.EOF when the input ends between frames.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [16]byte
	if n, err := io.ReadFull(r, head[:]); err == io.EOF {
		return Batch{}, io.EOF
	} else if err != nil {
		return Batch{}, fmt.Errorf("frame header: %d of 16 bytes, then the input ends", n)
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[:]))
	size := binary.LittleEndian.Uint32(head[8:])
	count := binary.LittleEndian.Uint32(head[12:])
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("frame header: the clock is not a number")
	}
	if size < 4 || size > MaxFrame {
		return Batch{}, fmt.Errorf("frame header: length %d is out of bounds", size)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)-4)) // grows with what comes, whatever is claimed
	if err != nil {
		return Batch{}, fmt.Errorf("frame body: %v", err)
	}
	if uint32(len(body)) != size-4 {
		return Batch{}, fmt.Errorf("frame body: %d of %d bytes, then the input ends", len(body), size-4)
	}
	return parse(clock, count, body)
}

func parse(clock float64, count uint32, body []byte) (Batch, error) {
	b := Batch{Clock: clock}
	if int64(count)*6 > int64(len(body)) {
		return b, fmt.Errorf("frame header: %d records do not fit in %d bytes", count, len(body))
	}
	b.Events = make([]Event, 0, count)
	at := 0
	for i := 0; i < int(count); i++ {
		if len(body)-at < 6 {
			return b, fmt.Errorf("record %d at offset %d: no room for its code and size", i, at)
		}
		code := binary.LittleEndian.Uint16(body[at:])
		size := int64(binary.LittleEndian.Uint32(body[at+2:]))
		if size > int64(len(body)-at-6) {
			return b, fmt.Errorf("record %d at offset %d: size %d runs past the frame", i, at, size)
		}
		d := decoder{buf: body[at+6 : at+6+int(size)]}
		e := Event{Code: code, Index: i, Offset: at}
		d.event(&e)
		if d.fail != "" {
			return b, fmt.Errorf("record %d at offset %d (code %d): %s", i, at, code, d.fail)
		}
		b.Events = append(b.Events, e)
		at += 6 + int(size)
	}
	if at != len(body) {
		return b, fmt.Errorf("record %d at offset %d: %d bytes left after the last record", count, at, len(body)-at)
	}
	return b, nil
}

type decoder struct {
	buf  []byte
	at   int
	fail string
}

func (d *decoder) take(n int, what string) []byte {
	if d.fail != "" || n > len(d.buf)-d.at {
		if d.fail == "" {
			d.fail = fmt.Sprintf("%s at offset %d of the record runs past its end", what, d.at+6)
		}
		return make([]byte, 8)
	}
	d.at += n
	return d.buf[d.at-n : d.at]
}

func (d *decoder) u8(what string) uint8   { return d.take(1, what)[0] }
func (d *decoder) u16(what string) uint16 { return binary.LittleEndian.Uint16(d.take(2, what)) }
func (d *decoder) u32(what string) uint32 { return binary.LittleEndian.Uint32(d.take(4, what)) }
func (d *decoder) u64(what string) uint64 { return binary.LittleEndian.Uint64(d.take(8, what)) }
func (d *decoder) f32(what string) float32 {
	v := math.Float32frombits(d.u32(what))
	if v64 := float64(v); math.IsNaN(v64) || math.IsInf(v64, 0) {
		d.bad(what)
	}
	return v
}
func (d *decoder) f64(what string) float64 {
	v := math.Float64frombits(d.u64(what))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		d.bad(what)
	}
	return v
}
func (d *decoder) bad(what string) {
	if d.fail == "" {
		d.fail = what + " is not a number"
	}
}

// count reads an element count and makes sure that so many elements are there.
func (d *decoder) count(size int, what string) int {
	n := int64(d.u32(what + " count"))
	if d.fail == "" && n*int64(size) > int64(len(d.buf)-d.at) {
		d.fail = fmt.Sprintf("%s count %d runs past the record's end", what, n)
	}
	if d.fail != "" {
		return 0
	}
	return int(n)
}

func (d *decoder) report() []float32 {
	n := int(d.u8("telemetry count"))
	if n == 0 {
		return nil
	}
	out := make([]float32, 0, n)
	for i := 0; i < n && d.fail == ""; i++ {
		out = append(out, d.f32("telemetry"))
	}
	return out
}

// event reads the fields of one record. A record may be longer than its known fields.
func (d *decoder) event(e *Event) {
	if e.Code == CodeEndpointPage {
		e.Page = d.u32("page")
		n := d.count(endpointSize, "nodesList")
		e.Endpoints = make([]Endpoint, 0, n)
		for i := 0; i < n; i++ {
			node := Endpoint{Kind: d.u16("kind"), ID: d.u32("endpoint"), Rating: d.f32("rating"),
				Destination: d.u16("cell"), Availability: d.u8("availability"), Zone: d.u8("rackZone")}
			d.f64("lastStart")
			e.Endpoints = append(e.Endpoints, node)
		}
		return
	}
	if e.Code < CodeHello || e.Code > CodeEndpointPage {
		d.fail = "unknown code"
		return
	}
	e.Instance = d.u16("i")
	switch e.Code {
	case CodeHello:
		e.Seed = d.u64("nonce64")
		e.Settings = string(d.take(d.count(1, "env"), "env"))
	case CodeEndpointUpdate:
		e.Scope = d.u8("scope")
		d.u32("generation")
		e.Page = d.u32("page")
	case CodeMessage:
		e.Message = d.u64("call")
		d.f64("effort")
		e.Tenant = d.u16("billing")
		e.OrderingKey = d.u64("object")
		e.Class = d.u8("priority")
		e.Destination = d.f32("farEnd")
		e.Bits = d.u8("bits")
		e.Deadline = d.f64("expires")
	case CodeAttemptResult:
		e.Message = d.u64("call")
		e.Attempt = d.u8("try")
		e.Endpoint = d.u32("endpoint")
		e.Outcome = d.u8("result")
		e.Elapsed = d.f64("elapsed")
		e.Final = d.u8("noMore") != 0
		e.RetryAfterMs = d.u32("waitMs")
		e.LoadReport = d.report()
	case CodeWithdrawn:
		e.Message = d.u64("call")
	case CodeTimerFired:
		e.Label = d.u32("label")
	}
}

// Reply collects the actions of one reply.
type Reply struct {
	buf   []byte
	count uint32
}

func (r *Reply) record(code uint16, size int, instance uint16) {
	if r.count == 0 {
		r.buf = append(r.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	}
	r.count++
	r.buf = binary.LittleEndian.AppendUint16(r.buf, code)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, uint32(size))
	r.buf = binary.LittleEndian.AppendUint16(r.buf, instance)
}
func (r *Reply) u64(v uint64)  { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }
func (r *Reply) text(s string) {
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Send writes a send.
func (r *Reply) Send(i uint16, call uint64, giveUpMs float64, endpoint uint32) {
	r.record(1, 22, i)
	r.u64(call)
	r.f64(giveUpMs)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, endpoint)
}

// Reject writes a decline.
func (r *Reply) Reject(i uint16, call uint64, holdOffMs float64) {
	r.record(2, 18, i)
	r.u64(call)
	r.f64(holdOffMs)
}

// Fail writes a finish_error.
func (r *Reply) Fail(i uint16, call uint64) {
	r.record(3, 10, i)
	r.u64(call)
}

// Cancel writes a cancel.
func (r *Reply) Cancel(i uint16, call uint64, try uint8) {
	r.record(4, 11, i)
	r.u64(call)
	r.buf = append(r.buf, try)
}

// SetTimer writes a wake_me.
func (r *Reply) SetTimer(i uint16, atMs float64, label uint32) {
	r.record(5, 14, i)
	r.f64(atMs)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, label)
}

// CloseIdleConns writes a close.
func (r *Reply) CloseIdleConns(i uint16, endpoint uint32) {
	r.record(7, 6, i)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, endpoint)
}

// Log writes a write_log.
func (r *Reply) Log(i uint16, s string) { r.line(9, i, s) }

// InternalError writes an internal_error.
func (r *Reply) InternalError(i uint16, s string) { r.line(10, i, s) }

func (r *Reply) line(code, i uint16, s string) {
	if len(s) > math.MaxUint16 {
		s = s[:math.MaxUint16]
	}
	r.record(code, 4+len(s), i)
	r.text(s)
}

// WatchEndpoints writes a stream_changes that opens the subscription.
func (r *Reply) WatchEndpoints(i uint16) {
	r.record(11, 3, i)
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
