package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math"
	"strings"
	"testing"
)

// frame builds a batch around records.
func frame(clock float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint64(nil, math.Float64bits(clock))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)+4))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	return append(out, body...)
}

func rec(code uint16, fields string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(fields, " ", ""))
	if err != nil {
		panic(err)
	}
	out := binary.LittleEndian.AppendUint16(nil, code)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(b)))
	return append(out, b...)
}

var (
	submit  = rec(3, "0300 c4913a5d34b40100 0000000000002840 0000 640ad2557c3bf091 00 00006442 01 0000000020e6c040")
	ended   = rec(5, "0500 26000000 0300 0000 00 074a1203 1e 0000000000803240 01 2c010000 02 cdcccc3e 0000a03f")
	catalog = rec(11, "00000000 01000000 0000 074a1203 0000803f 3900 01 00 0000000000000000")
)

func TestReadBatch_Events(t *testing.T) {
	in := append(frame(8412.25, submit, ended, catalog), frame(8413)...)
	r := bytes.NewReader(in)
	b, err := ReadBatch(r)
	if err != nil || b.Clock != 8412.25 || len(b.Events) != 3 {
		t.Fatalf("%+v %v", b, err)
	}
	if e := b.Events[0]; e.Instance != 3 || e.Message != 0x0001b4345d3a91c4 || e.Destination != 57 || e.Bits != 1 ||
		e.Deadline != 8652.25 || e.OrderingKey != 0x91f03b7c55d20a64 {
		t.Errorf("submit %+v", e)
	}
	if e := b.Events[1]; e.Outcome != 30 || e.Elapsed != 18.5 || !e.Final || e.RetryAfterMs != 300 || len(e.LoadReport) != 2 ||
		e.LoadReport[1] != 1.25 {
		t.Errorf("attempt_end %+v", e)
	}
	if n := b.Events[2].Endpoints; len(n) != 1 || n[0].Destination != 57 || n[0].Availability != 1 || n[0].ID != 0x03124a07 {
		t.Errorf("catalog %+v", n)
	}
	if b, err = ReadBatch(r); err != nil || len(b.Events) != 0 {
		t.Errorf("empty batch: %+v %v", b, err)
	}
	if _, err = ReadBatch(r); err != io.EOF { //nolint:errorlint // the value itself is the contract
		t.Errorf("end of input: %v", err)
	}
}

func TestReadBatch_MalformedFrames(t *testing.T) {
	valid := frame(1, submit)
	bigCount := append([]byte(nil), valid...)
	binary.LittleEndian.PutUint32(bigCount[12:], 1<<31)
	bigSize := append([]byte(nil), valid...)
	binary.LittleEndian.PutUint32(bigSize[8:], math.MaxUint32)
	longRecord := append([]byte(nil), valid...)
	binary.LittleEndian.PutUint32(longRecord[18:], 1<<20)
	fewer := append([]byte(nil), valid...)
	binary.LittleEndian.PutUint32(fewer[12:], 0)
	manyNodes := rec(11, "00000000 ffffff7f")
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"short header":         {valid[:10], "frame header: input ends after 10 of 16 bytes"},
		"short body":           {valid[:30], "frame body: input ends after 14 of 48 bytes"},
		"count past the end":   {bigCount, "do not fit"},
		"length out of bounds": {bigSize, "length 4294967295 is out of bounds"},
		"record past the end":  {longRecord, "record 0 at offset 0: size 1048576 exceeds"},
		"node count":           {frame(1, submit, manyNodes), "record 1 at offset 48 (code 11): nodesList count"},
		"short record":         {frame(1, rec(6, "0300 00")), "record 0 at offset 0 (code 6): call at offset 8"},
		"unknown code":         {frame(1, rec(99, "0300")), "unknown code"},
		"bytes left over":      {fewer, "record 0 at offset 0: 48 bytes left"},
		"not a number":         {frame(math.NaN()), "clock is not a number"},
	} {
		_, err := ReadBatch(bytes.NewReader(c.in))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestReply_Bytes(t *testing.T) {
	var r Reply
	var out bytes.Buffer
	if err := r.Flush(&out); err != nil || hex.EncodeToString(out.Bytes()) != "0400000000000000" {
		t.Fatalf("empty reply %x %v", out.Bytes(), err)
	}
	out.Reset()
	r.Send(3, 0x0001b4345d3a91c4, 80, 0x03124a07)
	r.SetTimer(3, 8912, 77)
	r.Log(5, "two servers known")
	if err := r.Flush(&out); err != nil {
		t.Fatal(err)
	}
	want := "4f00000003000000" + "0100160000000300c4913a5d34b401000000000000005440074a1203" +
		"05000e0000000300000000000068c1404d000000" + "090015000000050011007477" + hex.EncodeToString([]byte("o servers known"))
	if got := hex.EncodeToString(out.Bytes()); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	out.Reset()
	r.Reject(1, 2, 3)
	r.Fail(1, 2)
	r.Cancel(1, 2, 3)
	r.WatchEndpoints(1)
	r.InternalError(1, "x")
	if err := r.Flush(&out); err != nil || out.Len() != 8+5*6+18+10+11+3+5 {
		t.Errorf("%d bytes, %v", out.Len(), err)
	}
}

func TestSettings_Parsing(t *testing.T) {
	e, err := ParseSettings("a=1.5\nb=true\nc=x,y\nd=true,false\nlist.count=2\nw=two\nunknown.key=whatever\n")
	if err != nil || e.Float("a") != 1.5 || !e.Bool("b") || len(e.List("c")) != 2 || !e.Bools("d")[0] ||
		e.Count("list") != 2 || e.Enum("w", "one", "two") != 1 || e.Float("absent") != 0 || e.Err() != nil {
		t.Fatalf("%v %v", err, e.Err())
	}
	for _, c := range []struct {
		line string
		read func(*Settings)
		key  string
	}{
		{"a=fast", func(e *Settings) { e.Float("a") }, "a"},
		{"a=NaN", func(e *Settings) { e.Float("a") }, "a"},
		{"n=1.5", func(e *Settings) { e.Int("n") }, "n"},
		{"b=yes", func(e *Settings) { e.Bool("b") }, "b"},
		{"l.count=99999999", func(e *Settings) { e.Count("l") }, "l.count"},
		{"w=three", func(e *Settings) { e.Enum("w", "one") }, "w"},
		{"d=true,maybe", func(e *Settings) { e.Bools("d") }, "d"},
	} {
		e, err := ParseSettings(c.line)
		if err != nil {
			t.Fatal(err)
		}
		c.read(e)
		if e.Err() == nil || !strings.Contains(e.Err().Error(), "setting "+c.key+":") {
			t.Errorf("%s: %v", c.line, e.Err())
		}
	}
	if _, err := ParseSettings("no equals sign"); err == nil {
		t.Error("a line without '=' was accepted")
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add(frame(8412.25, submit, ended, catalog))
	f.Add(frame(1, rec(1, "0300 0100000000000000 03000000 613d31")))
	f.Add(frame(1, rec(11, "00000000 ffffff7f")))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bytes.NewReader(in)
		for {
			if _, err := ReadBatch(r); err != nil {
				return
			}
		}
	})
}
