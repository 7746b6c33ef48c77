package coordination

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Keys of the records in the control state. They are part of the stored data and must never change.
const (
	// KeyPrefix is the prefix of the keys of all records.
	KeyPrefix = "coordination/"

	lockPrefix    = KeyPrefix + "lock/"    // the lock's name follows
	counterPrefix = KeyPrefix + "counter/" // the counter's name follows
	keyPrefix     = KeyPrefix + "key/"     // the key's name follows
	historyPrefix = KeyPrefix + "history/" // the group's name and the revision follow
	fenceKey      = KeyPrefix + "fence"    // the last fencing token, of all locks
)

var errorTypes = errorx.NewNamespace("coordination")

// CorruptRecord is the type of the error of Load for records that this program cannot read.
var CorruptRecord = errorTypes.NewType("corrupt_record")

// historySlackDivisor divides the retention of a put in the history; the put is retained longer by the quotient.
const historySlackDivisor = 4

func lockKey(id string) string    { return lockPrefix + id }
func counterKey(id string) string { return counterPrefix + id }
func keyKey(name string) string   { return keyPrefix + name }

func historyKey(group string, revision uint64) string {
	return historyPrefix + group + "/" + strconv.FormatUint(revision, 10)
}

func encode(record proto.Message) []byte {
	raw, err := proto.Marshal(record)
	if err != nil { // only for text that is not UTF-8, which the checks of calls exclude
		panic(fmt.Sprintf("coordination: failed to encode a record: %v", err))
	}
	return raw
}

func encodeLock(l *lock) []byte {
	return encode(&tierv1.LockRecord{Owner: l.owner, Fence: l.fence, FirstFence: l.firstFence, HoldMs: l.hold.Milliseconds()})
}

func encodeCounter(value uint64) []byte { return encode(&tierv1.CounterRecord{Value: value}) }

func encodeKey(put Put) []byte {
	return encode(&tierv1.KeyRecord{Name: put.Name, Value: put.Value, Revision: put.Revision})
}

// Load returns a Machine with the state of all records whose keys begin with KeyPrefix. Each lock counts as held for its full hold
// time from now, because the records do not contain when it was last extended. The error is of type CorruptRecord.
func Load(config Config, now time.Duration, records map[string][]byte) (*Machine, error) {
	m := &Machine{
		retention: config.HistoryRetention + config.HistoryRetention/historySlackDivisor,
		now:       now,
		locks:     map[string]*lock{},
		counters:  map[string]uint64{},
		keys:      map[string]Put{},
		groups:    map[string]*group{},
		watches:   map[uint64]*watch{},
	}
	var history []Put
	for key, raw := range records {
		put, err := m.loadRecord(key, raw)
		if err != nil {
			return nil, CorruptRecord.Wrap(err, "record %q", key)
		}
		if put != nil {
			history = append(history, *put)
		}
	}
	return m, m.loadHistory(history)
}

// loadRecord adds a record. A put of the history is returned instead, because the puts must be added in order.
func (m *Machine) loadRecord(key string, raw []byte) (*Put, error) {
	switch {
	case key == fenceKey:
		return nil, decodeCounter(raw, func(value uint64) { m.lastFence = value })
	case strings.HasPrefix(key, lockPrefix):
		return nil, m.loadLock(strings.TrimPrefix(key, lockPrefix), raw)
	case strings.HasPrefix(key, counterPrefix):
		return nil, decodeCounter(raw, func(value uint64) { m.counters[strings.TrimPrefix(key, counterPrefix)] = value })
	case strings.HasPrefix(key, keyPrefix):
		put, err := decodeKey(raw)
		if err != nil {
			return nil, err
		}
		m.keys[put.Name] = put
		g := m.group(GroupOf(put.Name))
		g.revision = max(g.revision, put.Revision)
		return nil, nil
	case strings.HasPrefix(key, historyPrefix):
		put, err := decodeKey(raw)
		return &put, err
	}
	return nil, nil // a record of a later version
}

func (m *Machine) loadLock(id string, raw []byte) error {
	record := &tierv1.LockRecord{}
	if err := proto.Unmarshal(raw, record); err != nil {
		return err
	}
	hold := time.Duration(record.HoldMs) * time.Millisecond
	m.locks[id] = &lock{owner: record.Owner, fence: record.Fence, firstFence: record.FirstFence, hold: hold, expiresAt: m.holdEnd(hold)}
	return nil
}

// loadHistory adds the puts of the histories. The newest put of a group is also the newest put of its key, so their revisions must
// be equal.
func (m *Machine) loadHistory(puts []Put) error {
	slices.SortFunc(puts, func(a, b Put) int {
		return cmp.Or(cmp.Compare(GroupOf(a.Name), GroupOf(b.Name)), cmp.Compare(a.Revision, b.Revision))
	})
	for _, put := range puts {
		g := m.group(GroupOf(put.Name))
		if n := len(g.history); n > 0 && g.history[n-1].Revision+1 != put.Revision {
			return CorruptRecord.New("the history of group %q has a gap before revision %d", g.name, put.Revision)
		}
		newest := g.revision
		g.append(put, m.now)
		g.revision = max(newest, put.Revision)
	}
	for _, g := range m.groups {
		if n := len(g.history); n > 0 && g.history[n-1].Revision != g.revision {
			return CorruptRecord.New("the history of group %q ends at revision %d, its keys at %d", g.name, g.history[n-1].Revision, g.revision)
		}
	}
	return nil
}

func decodeCounter(raw []byte, take func(value uint64)) error {
	record := &tierv1.CounterRecord{}
	if err := proto.Unmarshal(raw, record); err != nil {
		return err
	}
	take(record.Value)
	return nil
}

func decodeKey(raw []byte) (Put, error) {
	record := &tierv1.KeyRecord{}
	err := proto.Unmarshal(raw, record)
	return Put{Name: record.Name, Value: record.Value, Revision: record.Revision}, err
}
