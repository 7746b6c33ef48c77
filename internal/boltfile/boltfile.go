// Package boltfile opens bbolt files and works on them so that damage is an error. bbolt maps its file: pages that are damaged
// make it panic, and a file that was cut short under it is a fault of the machine's.
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

// lockTime is how long another process may hold a file.
const lockTime = 2 * time.Second

// Open opens a file, or makes it unless it is only to be read. A damaged one, or one that another process holds, is an
// error that names it, and is left as it is.
func Open(path string, readOnly bool) (db *bolt.DB, err error) {
	defer func() { // bbolt panics at some damage
		if p := recover(); p != nil {
			db, err = nil, fmt.Errorf("%s is damaged: %v", path, p)
		}
	}()
	if err := whole(path); err != nil {
		return nil, fmt.Errorf("%s is damaged: %w", path, err)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTime, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType, NoFreelistSync: true})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, fmt.Errorf("%s is held by another process: a sender that runs", path)
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return nil, fmt.Errorf("%s is damaged, or no store: %w", path, err)
	}
	return db, err
}

// Guarded runs a transaction; one that meets damage is an error, and as if it had not been.
func Guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("the file is damaged: %v", p)
		}
	}()
	return f()
}

// whole is whether a file has all the pages that it says it has: bbolt would read behind its end.
func whole(path string) error {
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
	// Each of the first two pages: 16 bytes of head, then magic, version, page size, flags (4 each), root (16), free
	// list, page count, transaction, checksum (8 each), in the machine's order.
	const magic = 0xED0CDAED
	size := int64(os.Getpagesize())
	most := int64(-1)
	for i := range int64(2) {
		b := make([]byte, 80)
		if _, err := f.ReadAt(b, i*size); err != nil {
			return fmt.Errorf("it is cut short: %d bytes", info.Size())
		}
		m := b[16:]
		if binary.NativeEndian.Uint32(m) != magic {
			continue // bbolt says what it thinks of that
		}
		if pages := int64(binary.NativeEndian.Uint64(m[40:])); pages >= 0 && pages < 1<<40 {
			most = max(most, pages)
		}
	}
	if most*size > info.Size() {
		return fmt.Errorf("it is cut short: it says %d pages of %d bytes, and has %d bytes", most, size, info.Size())
	}
	return nil
}

// Number is a number as files hold it: eight octets, the highest first.
func Number(v int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(v)) }

// Value reads a Number; what is none is 0.
func Value(b []byte) int64 {
	if len(b) != 8 {
		return 0
	}
	return int64(binary.BigEndian.Uint64(b))
}
