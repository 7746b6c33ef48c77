package controlplane

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/joomcode/errorx"
)

// Bounds of the order history. A record takes at most orderRecordBytes in the control state and in each copy of it.
const (
	// maxChangeRecords lets an order be sent again after 2,047 others were taken on top of it. The longest day that is
	// known of holds 1,700 changes.
	maxChangeRecords = 2048
	// maxChangeHistoryBytes bounds what a copy of the whole state carries beside the configuration, as a new backup waits for
	// that copy before it counts.
	maxChangeHistoryBytes = 256 << 10
	// maxChangeRecordBytes is the largest size of one record on the wire and on disk: key, value, sequence and framing.
	maxChangeRecordBytes = 80
	// changeHistoryLimit is the number of records that both bounds allow.
	changeHistoryLimit = min(maxChangeRecords, maxChangeHistoryBytes/maxChangeRecordBytes)
)

// keyChangePrefix begins the key of an order's record; the revision follows in decimal.
const keyChangePrefix = "order/"

// digestBytes is how much of a SHA-256 an order is known by: 128 bits, so that no two bodies are taken for each other.
const digestBytes = 16

type bodyDigest [digestBytes]byte

func digestOf(body []byte) bodyDigest {
	sum := sha256.Sum256(body)
	return bodyDigest(sum[:digestBytes])
}

// configurationChange is an operator's order to replace the configuration, as far as the decision on it needs it.
//
// One that is taken is recorded. Its record is written in the same step as the configuration, and so is in every copy and
// snapshot that has the configuration or a later one.
type configurationChange struct {
	revision     int64 // of the configuration that it brings
	baseRevision int64 // the revision that it builds on; of a record: the revision of the record before
	digest       bodyDigest
}

func changeKey(revision int64) string { return keyChangePrefix + strconv.FormatInt(revision, 10) }

// encode gives the value of an order's record: eight bytes of base, big-endian, then the digest.
func (order configurationChange) encode() []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(order.baseRevision)), order.digest[:]...)
}

func decodeChange(revision int64, value []byte) (configurationChange, error) {
	if len(value) != 8+digestBytes {
		return configurationChange{}, errorx.IllegalFormat.New("order record of revision %d has %d bytes", revision, len(value))
	}
	order := configurationChange{revision: revision, baseRevision: int64(binary.BigEndian.Uint64(value)), digest: bodyDigest(value[8:])}
	if order.baseRevision >= revision {
		return configurationChange{}, errorx.IllegalFormat.New("order record of revision %d builds on %d", revision, order.baseRevision)
	}
	return order, nil
}

// changeHistory holds the newest orders that were taken, oldest first, without a gap: each builds on the one before. It is
// never changed, only replaced.
type changeHistory struct {
	current int64 // revision in force, 0 without a configuration
	records []configurationChange
}

// startRevision is the revision before the oldest record: of all that was taken above it there is a record.
func (h changeHistory) startRevision() int64 {
	if len(h.records) == 0 {
		return h.current
	}
	return h.records[0].baseRevision
}

// decision is the decision on an order.
type decision int

const (
	// verdictTake: it builds on the revision in force and is to be written.
	decisionAccept decision = iota
	// verdictTaken: this very configuration was taken before.
	decisionAlreadyAccepted
	// verdictConflict: it was not taken and never can be, as another revision than its base is in force.
	decisionConflict
	// verdictNotAbove: it builds on the revision in force, but its own is not above that; it never can be taken.
	decisionNotNewer
	// verdictTooLarge: it was not taken, as the control state would become too large with it.
	decisionStateTooLarge
	// verdictForgotten: it is so old that it may have been taken before the history begins.
	decisionTooOld
)

// decide tells what becomes of an order. An order is known by its body: the same body is the same configuration, whatever
// base it names, so that it is acknowledged again as often as it is sent.
//
// Revisions only rise, so an order that is not in the history can have been taken only at or below spanStart.
func (h changeHistory) decide(order configurationChange) decision {
	for i := len(h.records) - 1; i >= 0; i-- { // the newest are asked for again most often
		if h.records[i].digest == order.digest {
			return decisionAlreadyAccepted
		}
	}
	switch {
	case order.baseRevision == h.current && order.revision > h.current:
		return decisionAccept
	case order.baseRevision == h.current:
		return decisionNotNewer // no order whose revision is not above its base is ever taken
	case order.revision <= h.startRevision():
		return decisionTooOld
	default:
		return decisionConflict
	}
}

// accept gives the history with an order on top, and the changes to the control state that go with the configuration.
func (h changeHistory) accept(order configurationChange) (changeHistory, map[string][]byte) {
	sets := map[string][]byte{changeKey(order.revision): order.encode()}
	records := h.records
	for len(records) >= changeHistoryLimit {
		sets[changeKey(records[0].revision)] = nil
		records = records[1:]
	}
	return changeHistory{current: order.revision, records: append(slices.Clone(records), order)}, sets
}

// loadChangeHistory reads the history of a configuration back from the control state, from the newest order to the oldest. Each
// record leads to the one before by its base.
func loadChangeHistory(revision int64, body []byte, get func(key string) ([]byte, uint64)) (changeHistory, error) {
	h := changeHistory{current: revision}
	for at := revision; at > 0 && len(h.records) < changeHistoryLimit; {
		value, _ := get(changeKey(at))
		if value == nil {
			break
		}
		r, err := decodeChange(at, value)
		if err != nil {
			return changeHistory{}, err
		}
		h.records = append(h.records, r)
		at = r.baseRevision
	}
	slices.Reverse(h.records)
	if len(h.records) == 0 && revision > 0 {
		// A program that kept no records wrote it. That it was taken is known, what it built on is not.
		h.records = []configurationChange{{revision: revision, baseRevision: revision, digest: digestOf(body)}}
	}
	return h, nil
}
