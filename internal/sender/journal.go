package sender

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/cloudevents"
)

// The journal is one file of lines, each a checksum and a JSON record. A process that is killed leaves at
// most a torn last line: a line whose checksum is wrong is skipped and what stands before it counts.

const (
	journalFileName = "messages.journal"
	// maxNameBytes bounds ids, keys and endpoint names, or what is written of a message would have no bound.
	maxNameBytes = 128
	// compactionRetryInterval is the pause between compactions while they fail.
	compactionRetryInterval = 200 * time.Millisecond
	// maxRates bounds a record of rates, and ratesRoom what it takes.
	maxRates     = 100
	ratesReserve = 32 * maxRates
	// maxOutageReserve is the bytes that receivers out of service may take beside the rates, and a part of the journal's room.
	maxOutageReserve    = 4 << 10
	outageBudgetDivisor = 32
)

// followUpBytes is what all records on one message's attempts and end may come to, beside its take record.
func followUpBytes(id string) int64 { return 1536 + 14*int64(len(id)) }

// record is one line. Times are the clock's: Unix nanoseconds.
type record struct {
	Op string `json:"op"` // take, send, end, over, told, kept, rates, list
	ID string `json:"id"`

	// take: the message as its client handed it in; in a compacted file with what came of it so far
	Key      string        `json:"key,omitempty"`
	OrderKey string        `json:"order,omitempty"` // key of the order, in an ordered class
	Class    string        `json:"class,omitempty"`
	Tenant   string        `json:"tenant,omitempty"`
	Dest     uint32        `json:"dest,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
	Body     []byte        `json:"body,omitempty"`
	// What its class said of its repeats: the effect, and of a keyed one for how long a key is remembered, and whether in its zone only.
	Effect    string        `json:"effect,omitempty"`
	KeyWindow time.Duration `json:"window,omitempty"`
	KeyInZone bool          `json:"in_zone,omitempty"`
	// Of a message that came as an event: its attributes, its data being the body, and its identity.
	Event    *cloudevents.Event `json:"event,omitempty"`
	Identity *eventIdentity     `json:"ident,omitempty"`
	Attempts []attemptRecord    `json:"tries,omitempty"`
	// Of a kept message that goes again: for which time, and how many of its attempts are those of earlier ones.
	Incarnation     int `json:"life,omitempty"`
	EarlierAttempts int `json:"before,omitempty"`

	Attempt int `json:"try,omitempty"` // end: which attempt, from 0
	// send: the new attempt; end: that it never ran
	Sent     *attemptRecord `json:"sent,omitempty"`
	NeverRan bool           `json:"never,omitempty"`
	// end: that it was recalled, and so counts as no attempt
	Recalled bool `json:"recalled,omitempty"`

	Outcome      string `json:"how,omitempty"` // over
	RetryAfterMS int64  `json:"retry_ms,omitempty"`

	// With a recorder: over: it is to be kept, when it ended, and in a compacted file whether its notice is told; end:
	// how the attempt ended.
	AwaitsRecorder bool          `json:"keep,omitempty"`
	Notified       bool          `json:"told,omitempty"`
	At             time.Duration `json:"at,omitempty"`
	AttemptOutcome string        `json:"out,omitempty"`

	Rates   map[uint32]float64 `json:"rates,omitempty"`   // rates: by destination, as the module knows them
	Outages []outage           `json:"outages,omitempty"` // and who is out, or comes back, as of At
	List    *listRecord        `json:"list,omitempty"`    // list: what discovery has told, or what that changes
}

// attemptRecord is an attempt of a message. One without an outcome may have run.
type attemptRecord struct {
	At       time.Duration `json:"at"`
	Endpoint string        `json:"endpoint"`
	Zone     int           `json:"zone,omitempty"`
	ZoneName string        `json:"in,omitempty"`    // the zone's name, where a key is remembered in its zone only
	NeverRan bool          `json:"never,omitempty"` // it surely never ran
	Recalled bool          `json:"recalled,omitempty"`
	Outcome  string        `json:"out,omitempty"` // how it ended, with a recorder
}

// Ends of a message. Those that a notice tells of carry the notice's word.
const (
	outcomeDelivered  = "delivered"
	outcomeAnswered   = "answered" // refused or failed in the answer to its client, or withdrawn
	outcomeGivenUp    = "given_up"
	outcomeHandedBack = "handed_back"
)

// storedMessage is a message as the journal holds it.
type storedMessage struct {
	record                // of op take
	outcome        string // its end, if a notice of it is still owed, or the recorder has not taken it yet
	retryAfterMS   int64
	awaitsRecorder bool          // the recorder has not taken it yet
	notified       bool          // no notice is owed
	endedAt        time.Duration // it ended
	cost           int64         // what it may take in the file
}

// settled is whether nothing more is owed on a message that is over.
func (m *storedMessage) settled() bool { return m.outcome != "" && m.notified && !m.awaitsRecorder }

func (m *storedMessage) apply(r *record) {
	switch r.Op {
	case "send":
		if r.Sent != nil {
			m.Attempts = append(m.Attempts, *r.Sent)
		}
	case "end":
		if r.Attempt >= 0 && r.Attempt < len(m.Attempts) {
			t := &m.Attempts[r.Attempt]
			t.NeverRan, t.Recalled, t.Outcome = r.NeverRan, r.Recalled, r.AttemptOutcome
		}
	case "over":
		m.outcome, m.retryAfterMS, m.awaitsRecorder, m.endedAt = r.Outcome, r.RetryAfterMS, r.AwaitsRecorder, r.At
		m.notified = r.Notified || r.Outcome == outcomeDelivered || r.Outcome == outcomeAnswered
		if !m.awaitsRecorder {
			m.Body, m.Event = nil, nil
		}
	case "told":
		m.notified = true
	case "kept":
		m.awaitsRecorder, m.Body, m.Event = false, nil, nil
	}
}

// firstPossibleRun is the first attempt that may have run.
func (m *storedMessage) firstPossibleRun() (attemptRecord, bool) {
	return m.firstPossibleRunBefore(len(m.Attempts))
}

// firstPossibleRunBefore is the first attempt before the n-th that may have run.
func (m *storedMessage) firstPossibleRunBefore(n int) (attemptRecord, bool) {
	for _, t := range m.Attempts[:min(n, len(m.Attempts))] {
		if !t.NeverRan {
			return t, true
		}
	}
	return attemptRecord{}, false
}

// attemptsMade is how many attempts count as such: those that were recalled before anything was written do not, and of one that
// went again those of its earlier lives do not.
func (m *storedMessage) attemptsMade() int {
	own := m.Attempts[min(m.EarlierAttempts, len(m.Attempts)):]
	n := len(own)
	for _, t := range own {
		if t.Recalled {
			n--
		}
	}
	return n
}

// orderKeyHash is the Brain's number for the key of the order, 0 for none. Two keys of one number go in one turn,
// which keeps both orders.
func (m *storedMessage) orderKeyHash() uint64 {
	if m.OrderKey == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, m.OrderKey)
	return max(1, h.Sum64())
}

var errJournalFull = errors.New("no room in the journal")

// journalFile is the file that is added to; in tests one that a disk fails.
type journalFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// journal keeps what was taken on. It belongs to the loop.
type journal struct {
	path           string
	file           journalFile
	budget         int64 // bytes that old and new file may hold together
	size           int64
	reserved       int64 // the sum of costs: an upper bound of a compacted file and all that follows on its messages
	buf            bytes.Buffer
	line           []byte    // of the message that is being put in
	failed         bool      // the last write failed: nothing more is written until a compaction succeeds
	lastCompaction time.Time // the last compaction
	rates          map[uint32]float64
	outages        outageSnapshot
	maxOutageBytes int // bytes of those
	endpoints      storedList
	corruptLines   int // lines that could not be read at the start; a last one without its end is a kill's, and not counted
	byID           map[string]*storedMessage
	order          []*storedMessage // in the order taken, with some that have ended
	ended          int              // of those
}

// openJournal reads what an earlier process left and begins a compacted file.
func openJournal(dir string, budget int64) (*journal, error) {
	j := &journal{path: filepath.Join(dir, journalFileName), budget: budget, maxOutageBytes: int(min(maxOutageReserve, budget/outageBudgetDivisor)), byID: map[string]*storedMessage{}}
	j.reserved = ratesReserve + listRecordOverhead + int64(j.maxOutageBytes)
	j.endpoints.maxBytes = min(maxStoredListBytes, budget/16)
	old, err := os.Open(j.path)
	if err == nil {
		err = j.replay(old)
		old.Close()
	} else if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	// On a full disk it goes on without: the old file stays as it is, and nothing new is taken or sent
	// until a compacted one can be written.
	j.compact()
	return j, nil
}

func (j *journal) replay(r io.Reader) error {
	lines := bufio.NewReaderSize(r, 1<<16)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil // a line without its end was not written whole
		}
		if err != nil {
			return err
		}
		var rec record
		if !decodeLine(line, &rec) {
			j.corruptLines++
			continue
		}
		switch m := j.byID[rec.ID]; {
		case rec.Op == "rates":
			j.rates, j.outages = rec.Rates, outageSnapshot{rec.At, rec.Outages}
		case rec.Op == "list":
			if rec.List != nil {
				j.reserved -= j.endpoints.size
				j.endpoints.apply(rec.List)
				j.reserved += j.endpoints.size
			}
		case rec.Op == "take":
			if m != nil { // an id is used again only once its message is over
				j.unindex(m)
			}
			j.index(&storedMessage{record: rec, outcome: rec.Outcome, retryAfterMS: rec.RetryAfterMS, awaitsRecorder: rec.AwaitsRecorder, notified: rec.Notified, endedAt: rec.At, cost: int64(len(line)) + followUpBytes(rec.ID)})
		case m == nil:
		default:
			if m.apply(&rec); m.settled() {
				j.unindex(m)
			}
		}
	}
}

func decodeLine(line []byte, rec *record) bool {
	if len(line) < 10 {
		return false
	}
	sum, err := strconv.ParseUint(string(line[:8]), 16, 32)
	text := line[9 : len(line)-1]
	return err == nil && uint32(sum) == crc32.ChecksumIEEE(text) && json.Unmarshal(text, rec) == nil
}

func writeLine(w io.Writer, rec *record) (int, error) {
	line, err := appendLine(nil, rec)
	if err != nil {
		return 0, err
	}
	return w.Write(line)
}

// appendLine adds a record's line. The JSON is that of encoding/json, written here by hand since several are
// written for each message.
func appendLine(b []byte, r *record) ([]byte, error) {
	begin := len(b)
	b = append(b, "00000000 "...)
	text := len(b)
	if r.Rates != nil || r.Outages != nil || r.List != nil {
		raw, err := json.Marshal(r)
		if err != nil {
			return b[:begin], err
		}
		b = append(b, raw...)
	} else {
		b = appendRecord(b, r)
	}
	sum := crc32.ChecksumIEEE(b[text:])
	const digits = "0123456789abcdef"
	for i := range 8 {
		b[begin+i] = digits[sum>>(28-4*i)&0xf]
	}
	return append(b, '\n'), nil
}

func appendRecord(b []byte, r *record) []byte {
	b = appendString(append(b, `{"op":`...), r.Op)
	b = appendString(append(b, `,"id":`...), r.ID)
	text := func(name, v string) {
		if v != "" {
			b = appendString(append(b, name...), v)
		}
	}
	number := func(name string, v int64) {
		if v != 0 {
			b = strconv.AppendInt(append(b, name...), v, 10)
		}
	}
	text(`,"key":`, r.Key)
	text(`,"order":`, r.OrderKey)
	text(`,"class":`, r.Class)
	text(`,"tenant":`, r.Tenant)
	number(`,"dest":`, int64(r.Dest))
	number(`,"deadline":`, int64(r.Deadline))
	text(`,"effect":`, r.Effect)
	number(`,"window":`, int64(r.KeyWindow))
	if r.KeyInZone {
		b = append(b, `,"in_zone":true`...)
	}
	if len(r.Body) > 0 {
		b = base64.StdEncoding.AppendEncode(append(b, `,"body":"`...), r.Body)
		b = append(b, '"')
	}
	if r.Event != nil {
		b = r.Event.AppendHead(append(b, `,"event":`...))
	}
	if r.Identity != nil {
		b = r.Identity.append(append(b, `,"ident":"`...))
		b = append(b, '"')
	}
	for i := range r.Attempts {
		if i == 0 {
			b = append(b, `,"tries":[`...)
		} else {
			b = append(b, ',')
		}
		b = appendAttempt(b, &r.Attempts[i])
	}
	if len(r.Attempts) > 0 {
		b = append(b, ']')
	}
	number(`,"life":`, int64(r.Incarnation))
	number(`,"before":`, int64(r.EarlierAttempts))
	number(`,"try":`, int64(r.Attempt))
	if r.Sent != nil {
		b = appendAttempt(append(b, `,"sent":`...), r.Sent)
	}
	if r.NeverRan {
		b = append(b, `,"never":true`...)
	}
	if r.Recalled {
		b = append(b, `,"recalled":true`...)
	}
	text(`,"how":`, r.Outcome)
	number(`,"retry_ms":`, r.RetryAfterMS)
	if r.AwaitsRecorder {
		b = append(b, `,"keep":true`...)
	}
	if r.Notified {
		b = append(b, `,"told":true`...)
	}
	number(`,"at":`, int64(r.At))
	text(`,"out":`, r.AttemptOutcome)
	return append(b, '}')
}

func appendAttempt(b []byte, t *attemptRecord) []byte {
	b = strconv.AppendInt(append(b, `{"at":`...), int64(t.At), 10)
	b = appendString(append(b, `,"endpoint":`...), t.Endpoint)
	if t.Zone != 0 {
		b = strconv.AppendInt(append(b, `,"zone":`...), int64(t.Zone), 10)
	}
	if t.ZoneName != "" {
		b = appendString(append(b, `,"in":`...), t.ZoneName)
	}
	if t.NeverRan {
		b = append(b, `,"never":true`...)
	}
	if t.Recalled {
		b = append(b, `,"recalled":true`...)
	}
	if t.Outcome != "" {
		b = appendString(append(b, `,"out":`...), t.Outcome)
	}
	return append(b, '}')
}

// appendString adds a JSON string. Names are plain ASCII but for those of a list or a settings file.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < 0x20 || c > 0x7e || c == '"' || c == '\\' {
			raw, _ := json.Marshal(s) // a string can't fail
			return append(b, raw...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func (j *journal) index(m *storedMessage) {
	j.byID[m.ID] = m
	j.order = append(j.order, m)
	j.reserved += m.cost
}

func (j *journal) unindex(m *storedMessage) {
	if j.byID[m.ID] == m {
		delete(j.byID, m.ID)
		j.reserved -= m.cost
		m.Body, m.Event = nil, nil
		if j.ended++; j.ended > len(j.order)/2+256 {
			j.order = j.pending()
		}
	}
}

// pending is the messages that have not ended, in the order taken.
func (j *journal) pending() []*storedMessage {
	kept := make([]*storedMessage, 0, len(j.byID))
	for _, m := range j.order {
		if j.byID[m.ID] == m {
			kept = append(kept, m)
		}
	}
	j.ended = 0
	return kept
}

// insertAndFlush writes down a message that is about to be taken on; without room for it, it does not.
func (j *journal) insertAndFlush(rec record) (*storedMessage, error) {
	m, err := j.insert(rec)
	if err != nil {
		return nil, err
	}
	if err := j.flush(); err != nil {
		j.unindex(m)
		return nil, err
	}
	return m, nil
}

// insert adds a message that is about to be taken on, if there is room for it; flush writes it.
func (j *journal) insert(rec record) (*storedMessage, error) {
	rec.Op = "take"
	var err error
	if j.line, err = appendLine(j.line[:0], &rec); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	m := &storedMessage{record: rec, cost: int64(len(j.line)) + followUpBytes(rec.ID)}
	fits := func(size int64) bool { return size+j.reserved+2*m.cost <= j.budget }
	if !fits(j.reserved) && !fits(j.size+int64(j.buf.Len())) {
		return nil, errJournalFull
	}
	if j.failed && time.Since(j.lastCompaction) < compactionRetryInterval {
		return nil, errJournalFull
	}
	if j.failed || !fits(j.size+int64(j.buf.Len())) {
		if err := j.compact(); err != nil {
			return nil, err
		}
	}
	j.buf.Write(j.line)
	j.index(m)
	return m, nil
}

// update adds a record on a message; flush writes it.
func (j *journal) update(m *storedMessage, rec record) {
	rec.ID = m.ID
	line, err := appendLine(j.buf.AvailableBuffer(), &rec)
	if err != nil {
		j.failed = true
	}
	j.buf.Write(line)
	if m.apply(&rec); m.settled() {
		j.unindex(m)
	}
}

// saveRates notes the rates of the busiest destinations, and who is out, in place of those noted before.
func (j *journal) saveRates(rates []brain.UsualRate, outs outageSnapshot) error {
	slices.SortFunc(rates, func(a, b brain.UsualRate) int { return cmp.Compare(b.Rate, a.Rate) })
	j.rates, j.outages = map[uint32]float64{}, outs.truncated(j.maxOutageBytes)
	for _, r := range rates[:min(len(rates), maxRates)] {
		j.rates[uint32(r.Destination)] = roundRate(r.Rate)
	}
	if _, err := writeLine(&j.buf, j.ratesRecord()); err != nil {
		j.failed = true
	}
	return j.flush()
}

func (j *journal) ratesRecord() *record {
	return &record{Op: "rates", Rates: j.rates, At: j.outages.at, Outages: j.outages.list}
}

// flush writes what was noted. After a failed write the file may lack records, so nothing more is added
// to it: the way on is a compaction, which writes the state that they led to.
func (j *journal) flush() error {
	if j.buf.Len() == 0 {
		return nil
	}
	if j.failed && time.Since(j.lastCompaction) < compactionRetryInterval {
		j.buf.Reset()
		return errJournalFull
	}
	if j.failed || j.size+int64(j.buf.Len())+j.reserved > j.budget {
		j.buf.Reset()
		return j.compact() // it holds what was noted, too
	}
	n, err := j.file.Write(j.buf.Bytes())
	j.buf.Reset()
	if err != nil {
		// What was written of it is taken back: a message among it is refused to its client now, and must not
		// come up again if the process is killed before a compaction.
		j.failed = true
		j.file.Truncate(j.size)
		return fmt.Errorf("journal: %w", err)
	}
	j.size += int64(n)
	return nil
}

// compact writes a new file of what is still owed and puts it in the old one's place. A kill in between
// leaves the old file whole, and beside it at most a new one that nobody reads.
func (j *journal) compact() error {
	err := j.rewrite()
	j.failed, j.lastCompaction = err != nil, time.Now()
	if err != nil {
		os.Remove(j.path + ".new")
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *journal) rewrite() error {
	f, err := os.OpenFile(j.path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	w := bufio.NewWriterSize(f, 1<<16)
	var size int64
	if len(j.rates) > 0 || len(j.outages.list) > 0 {
		n, err := writeLine(w, j.ratesRecord())
		size += int64(n)
		if err != nil {
			f.Close()
			return err
		}
	}
	if list := j.endpoints.record(); list != nil {
		n, err := writeLine(w, &record{Op: "list", List: list})
		size += int64(n)
		if err != nil {
			f.Close()
			return err
		}
	}
	kept := j.pending()
	for _, m := range kept {
		rec := m.record
		rec.Outcome, rec.RetryAfterMS, rec.AwaitsRecorder, rec.At = m.outcome, m.retryAfterMS, m.awaitsRecorder, m.endedAt
		rec.Notified = m.notified && m.outcome != ""
		n, err := writeLine(w, &rec)
		size += int64(n)
		if err != nil {
			f.Close()
			return err
		}
	}
	if err := w.Flush(); err != nil {
		f.Close()
		return err
	}
	if err := os.Rename(j.path+".new", j.path); err != nil {
		f.Close()
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.size, j.order = f, size, kept
	j.endpoints.unwritten = false
	j.buf.Reset()
	return nil
}

func (j *journal) close() error {
	err := j.flush()
	if j.file != nil {
		err = errors.Join(err, j.file.Close())
	}
	return err
}
