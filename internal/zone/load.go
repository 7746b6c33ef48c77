package zone

import (
	"errors"
	"fmt"
	"io"
	"io/fs"

	"github.com/miekg/dns"
)

// Parse parses a zone file (RFC 1035 5, RFC 2308 4 for $TTL; $GENERATE as in BIND). $INCLUDE opens files in the file system files
// only; without it $INCLUDE is an error. An error names the file and, for a syntax error, the line. maxRecords bounds the records.
func Parse(r io.Reader, origin, file string, files fs.FS, maxRecords int) (*Zone, error) {
	p := dns.NewZoneParser(r, Name(origin), file)
	if files != nil {
		p.SetIncludeAllowed(true)
		p.SetIncludeFS(confined{files})
	}
	z := &Zone{origin: Name(origin), tree: emptyTree()}
	e := z.edit()
	soas := 0
	for rr, ok := p.Next(); ok; rr, ok = p.Next() {
		if err := z.checkRecord(rr); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		if rr.Header().Rrtype == dns.TypeSOA {
			if soas++; soas > 1 {
				return nil, dataError("%s: a second SOA: %s", file, rr)
			}
		}
		if e.add(rr, false); e.records > maxRecords {
			return nil, dataError("%s: more than %d records", file, maxRecords)
		}
	}
	if err := p.Err(); err != nil {
		return nil, fmt.Errorf("zone file: %w", err) // the parser names file and line
	}
	z = e.zone()
	if err := z.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return z, nil
}

// errNotRegular reports that $INCLUDE names a folder or a device.
var errNotRegular = errors.New("not a regular file")

// confined opens only regular files. The file system itself must refuse paths and links that lead out of it, as that of an os.Root does.
type confined struct{ fs.FS }

// Open opens a regular file.
func (c confined) Open(name string) (fs.File, error) {
	f, err := c.FS.Open(name)
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err == nil && !info.Mode().IsRegular() {
		err = &fs.PathError{Op: "open", Path: name, Err: errNotRegular}
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Write writes a zone as a file that Parse can read: the SOA first, then by name in canonical order.
func (z *Zone) Write(w io.Writer) error {
	var err error
	if _, err = fmt.Fprintf(w, "; %s, %d records, written by saffronyard\n", z.origin, z.records); err != nil {
		return err
	}
	z.All(func(rr dns.RR) bool {
		_, err = fmt.Fprintln(w, rr.String())
		return err != nil
	})
	return err
}

// FileChange is how a newly read file relates to the current version.
type FileChange int

// File changes.
const (
	Same         FileChange = iota
	Newer                   // the serial is newer
	SerialReused            // the data differ and the serial is the same: accepted, under the next serial
	Backwards               // the serial is not newer: rejected
)

// NextVersion compares a newly read file with the current version. next is the version to serve from now on; nil if nothing changes.
func NextVersion(current, read *Zone) (next *Zone, what FileChange) {
	switch d := Diff(current, read); {
	case d.From == d.To && d.Records() == 0:
		return nil, Same
	case d.From == d.To:
		return read.WithSerial(NextSerial(current.Serial())), SerialReused
	case !NewerSerial(d.To, d.From):
		return nil, Backwards
	}
	return read, Newer
}
