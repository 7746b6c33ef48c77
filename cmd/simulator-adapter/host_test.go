package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func record(code uint16, fields ...any) []byte {
	var b, out bytes.Buffer
	for _, f := range fields {
		if s, ok := f.(string); ok {
			b.WriteString(s)
		} else if err := binary.Write(&b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	binary.Write(&out, binary.LittleEndian, code)
	binary.Write(&out, binary.LittleEndian, uint32(b.Len()))
	out.Write(b.Bytes())
	return out.Bytes()
}

func frame(clock float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	out := binary.LittleEndian.AppendUint64(nil, math.Float64bits(clock))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(body)+4))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	return append(out, body...)
}

const env = "balancers=2\nfamilyInfo.callsOut=8\nfamilyInfo.perCall=1\nfamilyInfo.routesApart=false\nmodels=plain\n" +
	"limits.mostHeld=50\nlimits.maxAttempts=6\nstep=5.0\nservices.count=1\nservices.0.slo=1000\nservices.0.giveUp=8000\n" +
	"services.0.effect=read_like\nservices.0.worth=1\nservices.0.lateValue=0.5\ntelemetry.fields=x0,x1\nsomething.new=1\n"

func hello(i uint16, env string) []byte { return record(1, i, uint64(9), uint32(len(env)), env) }

func list(i uint16) []byte {
	page := record(11, uint32(2), uint32(1), uint16(0), uint32(70), float32(1), uint16(4), uint8(1), uint8(0), float64(0))
	return append(page, record(2, i, uint8(2), uint32(1), uint32(2))...)
}

func submit(i uint16, call uint64) []byte {
	return record(3, i, call, 0.0, uint16(0), uint64(0), uint8(0), float32(4), uint8(0), 9000.0)
}

// join makes one batch of records; each part may contain several records.
func join(clock float64, parts ...[]byte) []byte {
	var all [][]byte
	for _, p := range parts {
		for len(p) > 0 {
			n := 6 + int(binary.LittleEndian.Uint32(p[2:]))
			all = append(all, p[:n])
			p = p[n:]
		}
	}
	return frame(clock, all...)
}

// build builds the adapter's program for a test.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "simulator-adapter")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

func reply(t *testing.T, r io.Reader) (codes []uint16, body []byte) {
	t.Helper()
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		t.Fatal(err)
	}
	body = make([]byte, binary.LittleEndian.Uint32(head[:])-4)
	if _, err := io.ReadFull(r, body); err != nil {
		t.Fatal(err)
	}
	for p := body; len(p) > 0; p = p[6+binary.LittleEndian.Uint32(p[2:]):] {
		codes = append(codes, binary.LittleEndian.Uint16(p))
	}
	if len(codes) != int(binary.LittleEndian.Uint32(head[4:])) {
		t.Fatalf("%d records, the header says %d", len(codes), binary.LittleEndian.Uint32(head[4:]))
	}
	return codes, body
}

func TestAdapter_OverPipes(t *testing.T) {
	cmd := exec.Command(build(t))
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	in.Write(frame(1000))
	if codes, _ := reply(t, out); len(codes) != 0 {
		t.Errorf("reply to an empty batch: %v", codes)
	}
	in.Write(join(1000, hello(0, env), list(0), hello(1, env), list(1), submit(0, 5)))
	codes, body := reply(t, out)
	if len(codes) < 2 || codes[0] != 1 || binary.LittleEndian.Uint64(body[8:]) != 5 || binary.LittleEndian.Uint32(body[24:]) != 70 {
		t.Errorf("submit: %v %x", codes, body)
	}
	in.Write(join(1100, record(5, uint16(0), uint64(5), uint8(0), uint32(70), uint8(10), 100.0, uint8(1), uint32(0), uint8(0)),
		record(10, uint16(1)), hello(1, env), list(1), submit(1, 6)))
	if codes, body := reply(t, out); len(codes) < 1 || codes[0] != 1 || binary.LittleEndian.Uint16(body[6:]) != 1 {
		t.Errorf("after a restart: %v", codes)
	}
	in.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestAdapter_MalformedInputIsOneLine(t *testing.T) {
	bin := build(t)
	good := join(1000, hello(0, env), list(0))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"short frame":        {good[:20], "batch 0: frame body"},
		"unknown instance":   {join(1, submit(7, 1)), "instance 7 is not running"},
		"unreadable setting": {join(1, hello(0, strings.Replace(env, "=8000", "=soon", 1))), "setting services.0.giveUp"},
		"unknown class":      {append(good[:len(good):len(good)], join(1001, record(3, uint16(0), uint64(1), 0.0, uint16(0), uint64(0), uint8(3), float32(4), uint8(0), 9000.0))...), "batch 1: record 0 at offset 0 (code 3): class 3"},
		"unknown result":     {append(good[:len(good):len(good)], join(1001, record(5, uint16(0), uint64(1), uint8(0), uint32(70), uint8(11), 1.0, uint8(0), uint32(0), uint8(0)))...), "result 11"},
		"list never sent":    {join(1, hello(0, env), record(2, uint16(0), uint8(2), uint32(1), uint32(9))), "catalog 9"},
	} {
		cmd := exec.Command(bin)
		cmd.Stdin = bytes.NewReader(c.in)
		var errs bytes.Buffer
		cmd.Stderr = &errs
		err := cmd.Run()
		line := errs.String()
		if err == nil || !strings.Contains(line, c.want) || strings.Count(line, "\n") != 1 {
			t.Errorf("%s: %v: %q", name, err, line)
		}
	}
}

func TestStep_PanicBecomesInternalError(t *testing.T) {
	h := newHost()
	in := bytes.NewReader(join(1000, hello(0, env), list(0)))
	var out bytes.Buffer
	if _, err := h.serveBatch(in, &out); err != nil {
		t.Fatal(err)
	}
	h.instances[0].brain = nil
	out.Reset()
	if _, err := h.serveBatch(bytes.NewReader(join(1001, submit(0, 1))), &out); err != nil {
		t.Fatal(err)
	}
	if codes, _ := reply(t, &out); len(codes) != 1 || codes[0] != 10 {
		t.Errorf("codes %v", codes)
	}
}
