package upstream

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// decode returns the events of a body that is read from text with the framing. wrap determines how the reads are split.
func decode(text string, f framing, left int64, wrap func(io.Reader) io.Reader) ([]Event, error) {
	b := body{reader: bufio.NewReaderSize(wrap(strings.NewReader(text)), 64), framing: f, remaining: left}
	var e eventSplitter
	var out []Event
	for {
		p, ok, valid := e.next()
		switch {
		case !valid:
			return out, errMalformed
		case ok:
			p.Raw, p.Data = []byte(string(p.Raw)), []byte(string(p.Data))
			out = append(out, p)
			continue
		}
		e.compact()
		var err error
		if e.buf, err = b.read(e.buf); err == nil {
			continue
		}
		for {
			p, ok, valid := e.next()
			if !valid {
				return out, errMalformed
			}
			if !ok {
				break
			}
			p.Raw, p.Data = []byte(string(p.Raw)), []byte(string(p.Data))
			out = append(out, p)
		}
		if errors.Is(err, io.EOF) && e.unfinished() {
			err = errMalformed
		}
		return out, err
	}
}

func unsplit(r io.Reader) io.Reader { return r }

const threeEvents = "id: 1\ndata: one\n\nversions: 4\r\nid: 2\r\ndata: two\r\ndata:more\r\n\r\n: idle\n\nid: 10\ndata\n\n"

func TestEventSplitter_AnyFragmentation(t *testing.T) {
	for size := 1; size <= len(threeEvents); size++ {
		var text strings.Builder
		for rest := threeEvents; rest != ""; {
			n := min(size, len(rest))
			text.WriteString(chunk(rest[:n]))
			rest = rest[n:]
		}
		text.WriteString("0\r\n\r\n")
		for _, wrap := range []func(io.Reader) io.Reader{unsplit, iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader} {
			got, err := decode(text.String(), byChunks, 0, wrap)
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, len(got), 4)
			raw := ""
			for _, p := range got {
				raw += string(p.Raw)
			}
			assert.Equal(t, raw, threeEvents)
			assert.Equal(t, got[0].ID+string(got[0].Data), "1one")
			assert.Equal(t, got[1].ID+string(got[1].Data)+got[1].Versions, "2two\nmore4")
			assert.Assert(t, got[2].ID == "" && !got[2].HasData)
			assert.Assert(t, got[3].ID == "10" && got[3].HasData && len(got[3].Data) == 0)
		}
	}
}

func TestBody_TruncatedChunksIncomplete(t *testing.T) {
	text := chunk(threeEvents[:20]) + "5;name=value\r\n" + threeEvents[20:25] + "\r\n" + chunk(threeEvents[25:]) + "0;x\r\nTrailer: t\r\n\r\n"
	got, err := decode(text, byChunks, 0, unsplit)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, len(got), 4)
	for n := range len(text) {
		for _, wrap := range []func(io.Reader) io.Reader{unsplit, iotest.OneByteReader} {
			_, err := decode(text[:n], byChunks, 0, wrap)
			assert.Equal(t, err, io.ErrUnexpectedEOF, "%d", n)
		}
	}
	for n := range len(threeEvents) {
		_, err := decode(threeEvents[:n], byLength, int64(len(threeEvents)), unsplit)
		assert.Equal(t, err, io.ErrUnexpectedEOF, "%d", n)
	}
	_, err = decode(threeEvents, byLength, int64(len(threeEvents)), unsplit)
	assert.Equal(t, err, io.EOF)
}

func TestBody_MalformedChunks(t *testing.T) {
	for _, text := range []string{"x\r\n", "\r\n", "-1\r\n", "1\nx\r\n", "1\r\nxy\r\n", "1\r\nx\n0\r\n\r\n", "123456789\r\n", "fffffffff\r\n", "0\r\nno field\r\n\r\n",
		"1;" + strings.Repeat("x", 2000) + "\r\nx\r\n", " 1\r\nx\r\n"} {
		_, err := decode(text, byChunks, 0, unsplit)
		assert.Equal(t, err, errMalformed, "%q", text)
	}
}

func TestIDIncreases(t *testing.T) {
	for _, text := range []string{"id: 1\n\nid: 1\n\n", "id: 2\n\nid: 1\n\n", "id: 10\n\nid: 9\n\n", "id: x\n\nid: x\n\n"} {
		got, err := decode(chunk(text)+"0\r\n\r\n", byChunks, 0, unsplit)
		assert.Equal(t, err, errMalformed)
		assert.Equal(t, len(got), 1)
	}
	_, err := decode(chunk("id: 9\n\ndata: none\n\nid: 10\n\nid: 12\n\n")+"0\r\n\r\n", byChunks, 0, unsplit)
	assert.Equal(t, err, io.EOF)
	_, err = decode(chunk("id: 9\n\nid: 10\n")+"0\r\n\r\n", byChunks, 0, unsplit)
	assert.Equal(t, err, errMalformed, "an incomplete event")
}
