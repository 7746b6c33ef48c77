package controlplane

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// Bounds of the change history. A record takes at most maxChangeRecordBytes in the control state and in each replica of it.
const (
	// maxChangeRecords lets a change be repeated after 2,047 others were accepted on top of it. The largest known number of
	// changes in a day is 1,700.
	maxChangeRecords = 2048
	// maxChangeHistoryBytes bounds the history in a snapshot of the state, as a new backup does not count before it has
	// received a snapshot.
	maxChangeHistoryBytes = 256 << 10
	// maxChangeRecordBytes is the largest size of one record on the wire and on disk: key, value, sequence and framing.
	maxChangeRecordBytes = 80
	// changeHistoryLimit is the number of records that both bounds allow.
	changeHistoryLimit = min(maxChangeRecords, maxChangeHistoryBytes/maxChangeRecordBytes)
)

// digestBytes is the length of the truncated SHA-256 that identifies a change: 128 bits, so that no two bodies collide.
const digestBytes = 16

// bodyDigest identifies the body of a change.
type bodyDigest [digestBytes]byte

// digestOf returns the digest of a body.
func digestOf(body []byte) bodyDigest {
	sum := sha256.Sum256(body)
	return bodyDigest(sum[:digestBytes])
}

// configurationChange identifies an operator's request to replace the configuration, as needed for the decision on it.
//
// An accepted change is recorded, so that a repeated request is acknowledged again (idempotency). The record is written in one
// write with the configuration, and so is in every replica and snapshot that has the configuration or a later one.
type configurationChange struct {
	revision     int64 // of the new configuration
	baseRevision int64 // the revision that the change builds on; in a record, the revision of the previous record
	digest       bodyDigest
}

// changeKey returns the key of the record of a change.
func changeKey(revision int64) string { return keyChangePrefix + strconv.FormatInt(revision, 10) }

// encode returns the value of the change's record: eight bytes of base revision, big-endian, then the digest.
func (change configurationChange) encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(change.baseRevision)), change.digest[:]...)
}

// damagedRecordError reports a record in the control state that no version of this program writes.
type damagedRecordError struct {
	revision int64
	problem  string
}

// Error implements error.
func (err damagedRecordError) Error() string {
	return fmt.Sprintf("change record of revision %d %s", err.revision, err.problem)
}

// decodeChange reads the value of a record. The error is a damagedRecordError.
func decodeChange(revision int64, value []byte) (configurationChange, error) {
	if len(value) != 8+digestBytes {
		return configurationChange{}, damagedRecordError{revision, fmt.Sprintf("has %d bytes", len(value))}
	}
	change := configurationChange{revision: revision, baseRevision: int64(binary.BigEndian.Uint64(value)), digest: bodyDigest(value[8:])}
	if change.baseRevision >= revision {
		return configurationChange{}, damagedRecordError{revision, fmt.Sprintf("builds on revision %d", change.baseRevision)}
	}
	return change, nil
}

// changeHistory holds the newest accepted changes, oldest first, without a gap: each builds on the previous one. It is
// immutable.
type changeHistory struct {
	current int64 // revision in force, 0 without a configuration
	records []configurationChange
}

// startRevision returns the revision before the oldest record: every change accepted above it has a record.
func (h changeHistory) startRevision() int64 {
	if len(h.records) == 0 {
		return h.current
	}
	return h.records[0].baseRevision
}

// decision is the result of deciding on a change.
type decision int

const (
	// decisionAccept: the change builds on the revision in force and is to be written.
	decisionAccept decision = iota
	// decisionAlreadyAccepted: the same configuration was accepted before.
	decisionAlreadyAccepted
	// decisionConflict: the change was not accepted and never can be, as another revision than its base is in force.
	decisionConflict
	// decisionNotNewer: the change builds on the revision in force, but its own revision is not above that; it never can be
	// accepted.
	decisionNotNewer
	// decisionStateTooLarge: the change was not written, as it would make the control state too large.
	decisionStateTooLarge
	// decisionTooOld: the change is so old that it may have been accepted before the history begins.
	decisionTooOld
)

// decide returns the decision on a change. A change is identified by its body: the same body is the same configuration,
// whatever its base is, so that a repeated change is acknowledged each time.
//
// Revisions only rise, so a change that is not in the history can have been accepted only at or below startRevision.
func (h changeHistory) decide(change configurationChange) decision {
	for i := len(h.records) - 1; i >= 0; i-- { // the newest are repeated most often
		if h.records[i].digest == change.digest {
			return decisionAlreadyAccepted
		}
	}
	switch {
	case change.baseRevision == h.current && change.revision > h.current:
		return decisionAccept
	case change.baseRevision == h.current:
		return decisionNotNewer // no change whose revision is not above its base is ever accepted
	case change.revision <= h.startRevision():
		return decisionTooOld
	default:
		return decisionConflict
	}
}

// accept returns the history with a change on top, and the writes to the control state that go with the configuration.
func (h changeHistory) accept(change configurationChange) (changeHistory, map[string][]byte) {
	sets := map[string][]byte{changeKey(change.revision): change.encode()}
	records := h.records
	for len(records) >= changeHistoryLimit {
		sets[changeKey(records[0].revision)] = nil
		records = records[1:]
	}
	return changeHistory{current: change.revision, records: append(slices.Clone(records), change)}, sets
}

// loadChangeHistory reads the history of a configuration from the control state, from the newest change to the oldest: the base
// revision of each record is the revision of the previous one. The error is a damagedRecordError.
func loadChangeHistory(revision int64, body []byte, get func(key string) ([]byte, uint64)) (changeHistory, error) {
	h := changeHistory{current: revision}
	for at := revision; at > 0 && len(h.records) < changeHistoryLimit; {
		value, _ := get(changeKey(at))
		if value == nil {
			break
		}
		record, err := decodeChange(at, value)
		if err != nil {
			return changeHistory{}, err
		}
		h.records = append(h.records, record)
		at = record.baseRevision
	}
	slices.Reverse(h.records)
	if len(h.records) == 0 && revision > 0 {
		// A version that kept no records wrote the configuration: it was accepted, but its base is unknown.
		h.records = []configurationChange{{revision: revision, baseRevision: revision, digest: digestOf(body)}}
	}
	return h, nil
}
