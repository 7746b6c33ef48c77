package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
)

// MaxFrame is the longest frame body that is read, in bytes.
const MaxFrame = 1 << 30

// ReadBatch reads one frame. It returns io.EOF when the input ends between frames.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [16]byte
	if n, err := io.ReadFull(r, head[:]); err == io.EOF {
		return Batch{}, io.EOF
	} else if err != nil {
		return Batch{}, headerError("input ends after %d of 16 bytes", n)
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[:]))
	size := binary.LittleEndian.Uint32(head[8:])
	count := binary.LittleEndian.Uint32(head[12:])
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, headerError("the clock is not a number")
	}
	if size < 4 || size > MaxFrame {
		return Batch{}, headerError("length %d is out of bounds", size)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)-4)) // grows with the bytes that arrive, not with the claimed size
	if err != nil {
		return Batch{}, &FrameError{Part: "frame body", Reason: err.Error(), Err: err}
	}
	if uint32(len(body)) != size-4 {
		return Batch{}, &FrameError{
			Part:   "frame body",
			Reason: fmt.Sprintf("input ends after %d of %d bytes", len(body), size-4),
		}
	}
	return parse(clock, count, body)
}

func headerError(format string, args ...any) error {
	return &FrameError{Part: "frame header", Reason: fmt.Sprintf(format, args...)}
}

// parse reads the records of a frame.
func parse(clock float64, count uint32, body []byte) (Batch, error) {
	b := Batch{Clock: clock}
	if int64(count)*6 > int64(len(body)) {
		return b, headerError("%d records do not fit in %d bytes", count, len(body))
	}
	b.Events = make([]Event, 0, count)
	at := 0
	for i := 0; i < int(count); i++ {
		if len(body)-at < 6 {
			return b, &RecordError{i, at, NotRead, &LayoutError{"frame ends before its code and size"}}
		}
		code := binary.LittleEndian.Uint16(body[at:])
		size := int64(binary.LittleEndian.Uint32(body[at+2:]))
		if size > int64(len(body)-at-6) {
			return b, &RecordError{i, at, NotRead, &LayoutError{fmt.Sprintf("size %d exceeds the rest of the frame", size)}}
		}
		d := decoder{buf: body[at+6 : at+6+int(size)]}
		e := Event{Code: code, Index: i, Offset: at}
		d.event(&e)
		if d.fail != "" {
			return b, &RecordError{i, at, int(code), &LayoutError{d.fail}}
		}
		b.Events = append(b.Events, e)
		at += 6 + int(size)
	}
	if at != len(body) {
		return b, &RecordError{int(count), at, NotRead, &LayoutError{fmt.Sprintf("%d bytes left after the last record", len(body)-at)}}
	}
	return b, nil
}

// decoder reads the fields of one record. After a failure it reads zeros.
type decoder struct {
	buf  []byte
	at   int
	fail string // error of the first field that cannot be read
}

// take reads the next n bytes, which belong to field. After a failure it returns zeros.
func (d *decoder) take(n int, field string) []byte {
	if d.fail != "" || n > len(d.buf)-d.at {
		if d.fail == "" {
			d.fail = fmt.Sprintf("%s at offset %d of the record exceeds the record", field, d.at+6)
		}
		return make([]byte, 8)
	}
	d.at += n
	return d.buf[d.at-n : d.at]
}

func (d *decoder) u8(field string) uint8 { return d.take(1, field)[0] }

func (d *decoder) u16(field string) uint16 { return binary.LittleEndian.Uint16(d.take(2, field)) }

func (d *decoder) u32(field string) uint32 { return binary.LittleEndian.Uint32(d.take(4, field)) }

func (d *decoder) u64(field string) uint64 { return binary.LittleEndian.Uint64(d.take(8, field)) }

func (d *decoder) f32(field string) float32 {
	v := math.Float32frombits(d.u32(field))
	if v64 := float64(v); math.IsNaN(v64) || math.IsInf(v64, 0) {
		d.bad(field)
	}
	return v
}

func (d *decoder) f64(field string) float64 {
	v := math.Float64frombits(d.u64(field))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		d.bad(field)
	}
	return v
}

func (d *decoder) bad(field string) {
	if d.fail == "" {
		d.fail = field + " is not a number"
	}
}

// count reads an element count and checks that the record is long enough for the elements, each of size bytes.
func (d *decoder) count(size int, field string) int {
	n := int64(d.u32(field + " count"))
	if d.fail == "" && n*int64(size) > int64(len(d.buf)-d.at) {
		d.fail = fmt.Sprintf("%s count %d exceeds the record", field, n)
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
