// Package logformat creates the loggers of the tier's processes. An event is one line: key=value pairs (logfmt), then the quoted
// message. Loggers are safe for concurrent use.
package logformat

import (
	"bytes"
	"io"

	"github.com/phuslu/log"
)

// timeFormat is the format of the time of a line.
const timeFormat = "15:04:05.000"

// emptyMessage is the end of a line that the library writes for an event without a message.
var emptyMessage = []byte(" \"\"\n")

// New returns a logger that writes events of a level and above to w.
func New(w io.Writer, level log.Level) *log.Logger {
	return &log.Logger{Level: level, TimeFormat: timeFormat, Writer: &log.ConsoleWriter{Writer: w, Formatter: format}}
}

// format writes a line in logfmt. An empty message is left out.
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
