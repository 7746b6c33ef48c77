package features

import (
	"time"

	"saffronyard.example/saffronyard/internal/tomlfile"
)

// Undelivered is the store of undelivered messages.
type Undelivered struct {
	Folder string        `toml:"folder"` // default: "undelivered" in the sender's state folder
	Bytes  int64         `toml:"bytes"`  // maximum size of all entries; default 268435456
	Age    tomlfile.Span `toml:"age"`    // time after the end of a message at which its entry is dropped; default 168h
	Resend []Resend      `toml:"resend"` // rules of resends, of which the first that matches applies; default: no automatic resends
}

const (
	minUndeliveredBytes = 1 << 20
	maxUndeliveredBytes = 1 << 40
	minUndeliveredAge   = time.Minute
	maxUndeliveredAge   = 366 * 24 * time.Hour
)

// check validates the table and fills in its defaults. hasWork is whether the file has [work], without which no rule can resend messages.
func (u *Undelivered) check(doc document, hasWork bool) error {
	if u == nil {
		return nil
	}
	setDefault(&u.Bytes, 256<<20)
	setDefault(&u.Age, tomlfile.Span(7*24*time.Hour))
	if u.Bytes < minUndeliveredBytes || u.Bytes > maxUndeliveredBytes {
		return doc.errorAt("undelivered", 0, "bytes", "undelivered.bytes = %d is not from %d to %d", u.Bytes, minUndeliveredBytes, int64(maxUndeliveredBytes))
	}
	if age := u.Age.D(); age < minUndeliveredAge || age > maxUndeliveredAge {
		return doc.errorAt("undelivered", 0, "age", "undelivered.age = %v is not from %v to %v", age, minUndeliveredAge, maxUndeliveredAge)
	}
	return u.checkResend(doc, hasWork)
}
