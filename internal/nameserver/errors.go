package nameserver

import (
	"errors"
	"fmt"

	"github.com/miekg/dns"
)

// Errors of a primary's answers.
var (
	errNoSOA           = errors.New("its answer holds no SOA of the zone")
	errTruncatedAnswer = errors.New("its answer is cut off")
)

// ConfigError is a zone, a key or a member that can't be as it is.
type ConfigError struct{ detail string }

func configError(format string, args ...any) error {
	return &ConfigError{detail: fmt.Sprintf(format, args...)}
}

// Error tells what is wrong.
func (e *ConfigError) Error() string { return e.detail }

// KeyFileError is a line of a file of keys that can't be read. It does not quote secrets.
type KeyFileError struct {
	Path   string
	Line   int // from 1
	Detail string
}

// Error returns "path:line: detail".
func (e *KeyFileError) Error() string { return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Detail) }

// FileError is a zone file that is not accepted.
type FileError struct {
	File   string
	Detail string
}

// Error returns "file: detail".
func (e *FileError) Error() string { return e.File + ": " + e.Detail }

// RcodeError is a primary's answer with another response code than NOERROR.
type RcodeError struct{ Rcode int }

// Error names the code.
func (e *RcodeError) Error() string { return "it answers " + dns.RcodeToString[e.Rcode] }

// TooManyRecordsError is a transfer, or the zone that it gave, with more records than a zone may have.
type TooManyRecordsError struct {
	Max  int
	Zone bool // the zone has too many, not the transfer
}

// Error tells how many there may be.
func (e *TooManyRecordsError) Error() string {
	if e.Zone {
		return fmt.Sprintf("the zone has more than %d records", e.Max)
	}
	return fmt.Sprintf("more than %d records", e.Max)
}

// transferError is a message of a transfer that is no part of one.
type transferError struct {
	message int // from 1
	text    string
}

// Error names the message.
func (e *transferError) Error() string { return fmt.Sprintf("message %d %s", e.message, e.text) }
