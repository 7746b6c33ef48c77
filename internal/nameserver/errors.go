package nameserver

import (
	"errors"
	"fmt"

	"github.com/miekg/dns"
)

// Errors of a primary's answers.
var (
	errNoSOA           = errors.New("the answer has no SOA of the zone")
	errTruncatedAnswer = errors.New("the answer is truncated")
)

// ConfigError is an invalid configuration of a zone, a key or a member.
type ConfigError struct{ detail string }

func configError(format string, args ...any) error {
	return &ConfigError{detail: fmt.Sprintf(format, args...)}
}

// Error returns the detail.
func (e *ConfigError) Error() string { return e.detail }

// KeyFileError is an invalid line of a key file. It does not quote secrets.
type KeyFileError struct {
	Path   string
	Line   int // from 1
	Detail string
}

// Error returns "path:line: detail".
func (e *KeyFileError) Error() string { return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Detail) }

// FileError is a zone file that is rejected.
type FileError struct {
	File   string
	Detail string
}

// Error returns "file: detail".
func (e *FileError) Error() string { return e.File + ": " + e.Detail }

// RcodeError is an answer of a primary with a response code other than NOERROR.
type RcodeError struct{ Rcode int }

// Error names the code.
func (e *RcodeError) Error() string { return "the primary answered " + dns.RcodeToString[e.Rcode] }

// TooManyRecordsError is a transfer with too many records, or a transferred zone with more records than a zone may have.
type TooManyRecordsError struct {
	Max  int
	Zone bool // the zone exceeds its limit, not the transfer
}

// Error returns the limit that is exceeded.
func (e *TooManyRecordsError) Error() string {
	if e.Zone {
		return fmt.Sprintf("the zone has more than %d records", e.Max)
	}
	return fmt.Sprintf("the transfer has more than %d records", e.Max)
}

// transferError is an invalid message of a transfer.
type transferError struct {
	message int // from 1
	text    string
}

// Error returns the number of the message and what is wrong with it.
func (e *transferError) Error() string { return fmt.Sprintf("message %d %s", e.message, e.text) }
