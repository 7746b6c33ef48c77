package controlplane

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

var cmpChanges = cmp.AllowUnexported(configurationChange{})

// changeOf returns a change whose body is the given text.
func changeOf(base, revision int64, body string) configurationChange {
	return configurationChange{revision: revision, baseRevision: base, digest: digestOf([]byte(body))}
}

// acceptedChanges returns the history after changes were accepted one after the other.
func acceptedChanges(orders ...configurationChange) (h changeHistory) {
	for _, order := range orders {
		h, _ = h.accept(order)
	}
	return h
}

func TestChangeHistory_Decide(t *testing.T) {
	three := acceptedChanges(changeOf(0, 3, "a"), changeOf(3, 5, "b"), changeOf(5, 9, "c"))
	// The changes up to revision 5 are no longer recorded.
	truncated := changeHistory{current: 9, records: three.records[2:]}
	// The configuration was written by a version that kept no records.
	unrecorded, err := loadChangeHistory(9, []byte("c"), func(string) ([]byte, uint64) { return nil, 0 })
	assert.NilError(t, err)
	for _, c := range []struct {
		name    string
		history changeHistory
		order   configurationChange
		want    decision
	}{
		{"the first", changeHistory{}, changeOf(0, 3, "a"), decisionAccept},
		{"the first, on a base", changeHistory{}, changeOf(1, 3, "a"), decisionConflict},
		{"the next", three, changeOf(9, 10, "d"), decisionAccept},
		{"the one in force again", three, changeOf(5, 9, "c"), decisionAlreadyAccepted},
		{"the base of a later change", three, changeOf(3, 5, "b"), decisionAlreadyAccepted},
		{"the oldest", three, changeOf(0, 3, "a"), decisionAlreadyAccepted},
		{"equal body, other base", three, changeOf(4, 5, "b"), decisionAlreadyAccepted},
		{"equal body, base in force", three, changeOf(9, 9, "c"), decisionAlreadyAccepted},
		{"equal number, other body", three, changeOf(3, 5, "x"), decisionConflict},
		{"equal number and base as the one in force, other body", three, changeOf(5, 9, "x"), decisionConflict},
		{"a revision never accepted", three, changeOf(3, 6, "x"), decisionConflict},
		{"a base that is not there yet", three, changeOf(10, 11, "x"), decisionConflict},
		{"not above its base", three, changeOf(9, 9, "x"), decisionNotNewer},
		{"below its base", three, changeOf(9, 4, "x"), decisionNotNewer},
		{"forgotten", truncated, changeOf(0, 3, "a"), decisionTooOld},
		{"forgotten, the last one", truncated, changeOf(3, 5, "b"), decisionTooOld},
		{"never accepted, before the history begins", truncated, changeOf(3, 4, "x"), decisionTooOld},
		{"on a forgotten base, above the begin of the history", truncated, changeOf(3, 6, "x"), decisionConflict},
		{"between revisions of the history", truncated, changeOf(5, 6, "x"), decisionConflict},
		{"in the history", truncated, changeOf(5, 9, "c"), decisionAlreadyAccepted},
		{"the next on a truncated history", truncated, changeOf(9, 10, "d"), decisionAccept},
		{"in force without a record", unrecorded, changeOf(5, 9, "c"), decisionAlreadyAccepted},
		{"before one without a record", unrecorded, changeOf(3, 5, "b"), decisionTooOld},
		{"same number as one without a record, other body", unrecorded, changeOf(5, 9, "x"), decisionTooOld},
		{"above one without a record, on another base", unrecorded, changeOf(3, 10, "x"), decisionConflict},
		{"on one without a record", unrecorded, changeOf(9, 10, "d"), decisionAccept},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.history.decide(c.order), c.want) })
	}
}

// The write that adds the newest record removes the oldest, and the history read back equals the one in memory.
func TestChangeHistory_BoundedAndReadBack(t *testing.T) {
	state := map[string][]byte{}
	var h changeHistory
	const orders = changeHistoryLimit + 50
	for i := int64(1); i <= orders; i++ {
		order := changeOf(3*(i-1), 3*i, fmt.Sprint(i))
		var sets map[string][]byte
		h, sets = h.accept(order)
		maps.Copy(state, sets)
		maps.DeleteFunc(state, func(_ string, value []byte) bool { return value == nil })
		assert.Assert(t, len(sets) <= 2)
		assert.Assert(t, len(state) <= changeHistoryLimit)
	}
	assert.Equal(t, len(h.records), changeHistoryLimit)
	assert.Equal(t, h.startRevision(), int64(3*50))
	back, err := loadChangeHistory(3*orders, nil, func(key string) ([]byte, uint64) { return state[key], 1 })
	assert.NilError(t, err)
	assert.Equal(t, back.current, h.current)
	assert.DeepEqual(t, back.records, h.records, cmpChanges)
	assert.Equal(t, back.decide(changeOf(0, 3, "1")), decisionTooOld)
	assert.Equal(t, back.decide(changeOf(3*50, 3*51, "51")), decisionAlreadyAccepted)
}

func TestChangeHistory_RecordSizes(t *testing.T) {
	const largest = 1 << 53 // the largest revision that a configuration may have
	order := changeOf(largest-1, largest, "x")
	entry := &tierv1.Entry{Key: changeKey(largest), Value: order.encode(), Sequence: 1<<63 + 1}
	request := &tierv1.WriteRequest{Entries: []*tierv1.Entry{entry}}
	assert.Assert(t, proto.Size(request) <= maxChangeRecordBytes, "%d", proto.Size(request))
	assert.Assert(t, changeHistoryLimit*maxChangeRecordBytes <= maxChangeHistoryBytes)
	assert.Assert(t, changeHistoryLimit >= 1700)
	all := &tierv1.WriteRequest{}
	for i := range int64(changeHistoryLimit) { // as after a day of 2,048 changes
		all.Entries = append(all.Entries, &tierv1.Entry{Key: changeKey(2 * i), Value: order.encode(), Sequence: uint64(i)})
	}
	t.Logf("the largest record has %d bytes, a full history %d", proto.Size(request), proto.Size(all))
}

func TestChangeHistory_DamagedRecords(t *testing.T) {
	for _, value := range [][]byte{{}, {1}, changeOf(5, 5, "a").encode(), changeOf(9, 5, "a").encode(), append(changeOf(3, 5, "a").encode(), 0)} {
		_, err := loadChangeHistory(5, nil, func(string) ([]byte, uint64) { return value, 1 })
		assert.Assert(t, err != nil, "%x", value)
	}
}

// accept does not modify the history that it extends, as sessions and calls under way may still use it.
func TestChangeHistory_Immutable(t *testing.T) {
	base := acceptedChanges(changeOf(0, 3, "a"), changeOf(3, 5, "b"))
	left, _ := base.accept(changeOf(5, 6, "left"))
	right, _ := base.accept(changeOf(5, 7, "right"))
	assert.Equal(t, left.decide(changeOf(5, 6, "left")), decisionAlreadyAccepted)
	assert.Equal(t, right.decide(changeOf(5, 6, "left")), decisionConflict)
	assert.Equal(t, base.decide(changeOf(5, 6, "left")), decisionAccept)
}

func BenchmarkChangeHistory(b *testing.B) {
	state := map[string][]byte{}
	var h changeHistory
	for i := int64(1); i <= changeHistoryLimit; i++ {
		var sets map[string][]byte
		h, sets = h.accept(changeOf(i-1, i, fmt.Sprint(i)))
		maps.Copy(state, sets)
	}
	next := changeOf(h.current, h.current+1, "next")
	b.Run("decide", func(b *testing.B) {
		for b.Loop() {
			h.decide(next)
		}
	})
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			h.accept(next)
		}
	})
	b.Run("load", func(b *testing.B) {
		for b.Loop() {
			if _, err := loadChangeHistory(h.current, nil, func(key string) ([]byte, uint64) { return state[key], 1 }); err != nil {
				b.Fatal(err)
			}
		}
	})
}
