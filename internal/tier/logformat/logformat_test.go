package logformat

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
)

// A line has the pairs of its event, and a message only if the event has one.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, log.InfoLevel)
	logger.Info().Str("event", "started").Int("n", 3).Msg("")
	logger.Info().Str("event", "quoted").Str("empty", "").Msg("")
	logger.Warn().Str("what", `say "so"`).Msg("told")
	logger.Debug().Str("event", "unseen").Msg("")
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	assert.Equal(t, len(lines), 3)
	for i, want := range []string{`level=info event="started" n=3`, `level=info event="quoted" empty=""`, `level=warn what="say \"so\"" "told"`} {
		begin, rest, ok := strings.Cut(lines[i], " ")
		assert.Assert(t, ok && strings.HasPrefix(begin, "time="), lines[i])
		assert.Equal(t, rest, want)
	}
}
