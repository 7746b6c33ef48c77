package undelivered

import (
	"bytes"
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
)

// indexKey joins the parts of an index's key, each with a zero byte after it.
func indexKey(parts ...string) []byte {
	var b []byte
	for _, p := range parts {
		b = append(append(b, p...), 0)
	}
	return b
}

// forEachIndex calls f with the bucket of each index that has the entry, and the prefix of its key there.
func forEachIndex(tx *bolt.Tx, e *Entry, f func(b *bolt.Bucket, prefix []byte) error) error {
	for _, i := range []struct {
		bucket []byte
		prefix []byte
	}{
		{bucketMembers, indexKey(e.Member)}, {bucketReasons, indexKey(string(e.Reason))}, {bucketClasses, indexKey(e.Class)},
		{bucketDestinations, indexKey(fmt.Sprint(e.Destination))}, {bucketPairs, indexKey(e.Member, string(e.Reason))},
	} {
		if err := f(tx.Bucket(i.bucket), i.prefix); err != nil {
			return err
		}
	}
	if b := tx.Bucket(bucketKeys); b != nil && e.Key != "" {
		return f(b, indexKey(e.Member, e.Key))
	}
	return nil
}

// insert writes an entry and its index keys.
func insert(tx *bolt.Tx, e *Entry, raw []byte) error {
	key := KeyOf(e.Message, e.EndedAt)
	if err := tx.Bucket(bucketEntries).Put(key[:], raw); err != nil {
		return err
	}
	if err := tx.Bucket(bucketMessages).Put([]byte(e.Message), key[:]); err != nil {
		return err
	}
	if err := forEachIndex(tx, e, func(b *bolt.Bucket, prefix []byte) error { return b.Put(append(prefix, key[:]...), nil) }); err != nil {
		return err
	}
	return count(tx, e.Member, 1, int64(len(raw)))
}

// remove deletes an entry and its index keys.
func remove(tx *bolt.Tx, key []byte) (Entry, error) {
	var e Entry
	raw := tx.Bucket(bucketEntries).Get(key)
	if raw == nil {
		return e, corrupt("entry %x is missing", key)
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return e, fmt.Errorf("entry %x: %w", key, err)
	}
	size := int64(len(raw))
	key = bytes.Clone(key)
	if err := tx.Bucket(bucketEntries).Delete(key); err != nil {
		return e, err
	}
	if err := tx.Bucket(bucketMessages).Delete([]byte(e.Message)); err != nil {
		return e, err
	}
	if err := forEachIndex(tx, &e, func(b *bolt.Bucket, prefix []byte) error { return b.Delete(append(prefix, key...)) }); err != nil {
		return e, err
	}
	return e, count(tx, e.Member, -1, -size)
}

// count adds to the totals of the file and of a member.
func count(tx *bolt.Tx, member string, n, size int64) error {
	meta, totals := tx.Bucket(bucketMeta), tx.Bucket(bucketTotals)
	if err := meta.Put(keyBytes, boltfile.Number(boltfile.Value(meta.Get(keyBytes))+size)); err != nil {
		return err
	}
	was := totals.Get([]byte(member))
	entries, bytes := int64(0), int64(0)
	if len(was) == 16 {
		entries, bytes = boltfile.Value(was[:8]), boltfile.Value(was[8:])
	}
	if entries+n <= 0 {
		return totals.Delete([]byte(member))
	}
	return totals.Put([]byte(member), append(boltfile.Number(entries+n), boltfile.Number(bytes+size)...))
}

// updateEntry changes fields of an entry that are not indexed. f reports whether the entry is to be written; ok is whether it was.
func updateEntry(tx *bolt.Tx, key Key, f func(*Entry) bool) (e Entry, ok bool, err error) {
	raw := tx.Bucket(bucketEntries).Get(key[:])
	if raw == nil {
		return e, false, nil
	}
	if err := json.Unmarshal(raw, &e); err != nil {
		return e, false, fmt.Errorf("entry %s: %w", key, err)
	}
	if !f(&e) {
		return e, false, nil
	}
	updated, err := json.Marshal(&e)
	if err != nil {
		return e, false, err
	}
	size := int64(len(updated) - len(raw))
	if err := tx.Bucket(bucketEntries).Put(key[:], updated); err != nil {
		return e, false, err
	}
	return e, true, count(tx, e.Member, 0, size)
}
