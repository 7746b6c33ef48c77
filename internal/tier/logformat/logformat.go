// Package logformat makes the loggers of the tier's processes: one line of key=value pairs for each event.
package logformat

import (
	"bytes"
	"io"

	"github.com/phuslu/log"
)

// timeFormat is that of a line's time.
const timeFormat = "15:04:05.000"

// emptyMessage is what the library ends a line with where an event has no message beside its pairs.
var emptyMessage = []byte(" \"\"\n")

// New makes a logger that writes to w from a level on.
func New(w io.Writer, level log.Level) *log.Logger {
	return &log.Logger{Level: level, TimeFormat: timeFormat, Writer: &log.ConsoleWriter{Writer: w, Formatter: format}}
}

// format writes a line in logfmt. A message that is empty is left out.
func format(out io.Writer, args *log.FormatterArgs) (int, error) {
	pairs := log.LogfmtFormatter{TimeField: "time"}
	if args.Message != "" {
		return pairs.Formatter(out, args)
	}
	var line bytes.Buffer
	if _, err := pairs.Formatter(&line, args); err != nil {
		return 0, err
	}
	return out.Write(append(bytes.TrimSuffix(line.Bytes(), emptyMessage), '\n'))
}
