// Package boltfile opens bbolt files and runs transactions on them, and returns damage to a file as an error. bbolt maps its file into
// memory: damaged pages make it panic, and a file that is truncated while it is mapped faults the process (SIGBUS).
package boltfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

// DamagedError reports a file, or pages of it, that bbolt can't read.
type DamagedError struct {
	Path   string // empty: the file of the transaction
	Detail string // what bbolt panicked with
}

// Error names the file.
func (e *DamagedError) Error() string {
	if e.Path == "" {
		return "the file is damaged: " + e.Detail
	}
	return e.Path + " is damaged: " + e.Detail
}

// LockedError reports a file that another process has open.
type LockedError struct{ Path string }

// Error names the file.
func (e *LockedError) Error() string {
	return e.Path + " is held by another process, such as a running sender"
}

// TruncatedError reports a file that is shorter than its meta pages say.
type TruncatedError struct {
	Pages    int64 // according to its meta pages; 0: the file is too short to have both
	PageSize int64 // bytes
	Size     int64 // bytes
}

// Error names the sizes.
func (e *TruncatedError) Error() string {
	if e.PageSize == 0 {
		return fmt.Sprintf("it is cut short: %d bytes", e.Size)
	}
	return fmt.Sprintf("it is cut short: its header says %d pages of %d bytes, but it has %d bytes", e.Pages, e.PageSize, e.Size)
}

// lockTimeout is how long to wait for a file that another process has open.
const lockTimeout = 2 * time.Second

// Open opens a file, or creates it unless it is read only. A file that is damaged, or open in another process (*LockedError), is an error
// that names it, and is left as it is.
func Open(path string, readOnly bool) (db *bolt.DB, err error) {
	defer func() { // bbolt panics on some kinds of damage
		if p := recover(); p != nil {
			db, err = nil, &DamagedError{Path: path, Detail: fmt.Sprint(p)}
		}
	}()
	if err := checkLength(path); err != nil {
		return nil, fmt.Errorf("%s is damaged: %w", path, err)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType, NoFreelistSync: true})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, &LockedError{Path: path}
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return nil, fmt.Errorf("%s is damaged, or not a bbolt file: %w", path, err)
	}
	return db, err
}

// Guarded runs a transaction. If the transaction meets damage, Guarded returns a *DamagedError and the transaction has no effect.
func Guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &DamagedError{Detail: fmt.Sprint(p)}
		}
	}()
	return f()
}

// checkLength returns a *TruncatedError for a file with fewer pages than its meta pages say: bbolt would read past its end.
func checkLength(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	// Each of the first two pages, the meta pages, has a header of 16 bytes, then magic, version, page size, flags (4 each), root (16), free
	// list, page count, transaction, checksum (8 each), in the machine's order.
	const magic = 0xED0CDAED
	size := int64(os.Getpagesize())
	pages := int64(-1)
	for i := range int64(2) {
		b := make([]byte, 80)
		if _, err := f.ReadAt(b, i*size); err != nil {
			return &TruncatedError{Size: info.Size()}
		}
		m := b[16:]
		if binary.NativeEndian.Uint32(m) != magic {
			continue // bbolt reports the invalid page itself
		}
		if n := int64(binary.NativeEndian.Uint64(m[40:])); n >= 0 && n < 1<<40 {
			pages = max(pages, n)
		}
	}
	if pages*size > info.Size() {
		return &TruncatedError{Pages: pages, PageSize: size, Size: info.Size()}
	}
	return nil
}

// Number encodes a number as files store it: eight bytes, big endian.
func Number(v int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(v)) }

// Value decodes a Number; anything else is 0.
func Value(b []byte) int64 {
	if len(b) != 8 {
		return 0
	}
	return int64(binary.BigEndian.Uint64(b))
}
