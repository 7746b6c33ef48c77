package tomlfile

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSpan_UnmarshalText(t *testing.T) {
	for _, row := range []struct {
		name, text string
		want       time.Duration
		problem    string // text of the error; "": no error
	}{
		{"milliseconds", "400ms", 400 * time.Millisecond, ""},
		{"fraction", "2.5s", 2500 * time.Millisecond, ""},
		{"zero", "0s", 0, ""},
		{"no unit", "5", 0, `"5" is no time such as "400ms", "2.5s" or "5m"`},
		{"negative", "-1s", 0, `"-1s" is negative`},
	} {
		t.Run(row.name, func(t *testing.T) {
			var span Span
			err := span.UnmarshalText([]byte(row.text))
			if row.problem == "" {
				assert.NilError(t, err)
				assert.Equal(t, span.D(), row.want)
				return
			}
			var spanError *SpanError
			assert.Assert(t, errors.As(err, &spanError))
			assert.Equal(t, err.Error(), row.problem)
		})
	}
}

func TestDecode_NamesFileAndLine(t *testing.T) {
	type file struct {
		Lease Span `toml:"lease"`
	}
	for _, row := range []struct{ name, text, want string }{
		{"unknown key", "lease = \"1s\"\nlaese = \"1s\"\n", `a.toml:2: unknown key "laese"`},
		{"no TOML", "lease = \n", "a.toml:1: "},
		{"a span that is none", "\nlease = \"5\"\n", "a.toml:2: "},
	} {
		t.Run(row.name, func(t *testing.T) {
			err := Decode("a.toml", []byte(row.text), &file{})
			var syntax *SyntaxError
			assert.Assert(t, errors.As(err, &syntax), "%v", err)
			assert.Assert(t, len(err.Error()) >= len(row.want) && err.Error()[:len(row.want)] == row.want, "%v", err)
		})
	}
	var read file
	assert.NilError(t, Decode("a.toml", []byte("lease = \"1s\"\n"), &read))
	assert.Equal(t, read.Lease.D(), time.Second)
}
