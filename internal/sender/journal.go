package sender

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// The journal's file, in the state folder, and its bounds.
const (
	journalFileName = "messages.journal"
	// maxNameBytes bounds ids, keys and endpoint names, or what is written of a message would have no bound.
	maxNameBytes = 128
	// compactionRetryInterval is the pause between compactions while they fail.
	compactionRetryInterval = 200 * time.Millisecond
	// maxRates bounds a record of rates, and ratesReserve the bytes that it takes.
	maxRates     = 100
	ratesReserve = 32 * maxRates
	// maxOutageReserve is the bytes that outages may take beside the rates, and outageBudgetDivisor the part of the journal's
	// budget that they may take at most.
	maxOutageReserve    = 4 << 10
	outageBudgetDivisor = 32
)

// journalFile is the file that is appended to; tests put one in place that fails.
type journalFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// journal keeps accepted messages, the usual rates, the outages and the endpoint list over a kill of the process. It belongs
// to the loop. It is one file of lines, each a checksum and a JSON record (appendLine), so that a process that is killed leaves
// at most a torn last line. Records are buffered and written by flush, which does not sync: a power failure may lose the last of
// them.
//
// While it is failed nothing is written until a compaction succeeds, which is tried every compactionRetryInterval.
type journal struct {
	path           string
	file           journalFile
	budget         int64        // bytes that the old and the new file may take together
	size           int64        // of the file
	reserved       int64        // upper bound of a compacted file and all that may follow on its messages
	buf            bytes.Buffer // records that are not written yet
	line           []byte       // of the message that is being inserted; reused
	failed         bool         // the last write failed: nothing more is written until a compaction succeeds
	lastCompaction time.Time    // when the last one was tried
	corruptLines   int          // lines of the earlier process's file that could not be read, but for a torn last one

	rates          map[uint32]float64 // usual calls a second, by destination
	outages        outageSnapshot
	maxOutageBytes int
	endpoints      storedList

	byID  map[string]*storedMessage // messages that are not finished
	order []*storedMessage          // in the order in which they were accepted, with some that are finished
	ended int                       // how many of those
}

// openJournal reads what an earlier process left in dir and begins a compacted file. budget is the bytes that the old and the
// new file may take together. Its error is a file that can't be read; one that can't be written leaves the journal failed.
func openJournal(dir string, budget int64) (*journal, error) {
	j := &journal{
		path: filepath.Join(dir, journalFileName), budget: budget,
		maxOutageBytes: int(min(maxOutageReserve, budget/outageBudgetDivisor)), byID: map[string]*storedMessage{},
	}
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

// index adds a message to those that are held.
func (j *journal) index(m *storedMessage) {
	j.byID[m.ID] = m
	j.order = append(j.order, m)
	j.reserved += m.cost
}

// unindex forgets a message that is settled, or was not accepted after all.
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

// pending is the messages that are not settled, in the order in which they were accepted.
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

// insertAndFlush writes a message down at once; without room for it nothing is kept.
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

// insert buffers a message that is about to be accepted; flush writes it. Room is reserved for all that may follow on it, so
// that its end can always be written. The error is errJournalFull, or that of a compaction.
func (j *journal) insert(rec record) (*storedMessage, error) {
	rec.Op = opAccept
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

// update buffers a record on a message and applies it; flush writes it.
func (j *journal) update(m *storedMessage, rec record) {
	rec.ID = m.ID
	line, err := appendLine(j.buf.AvailableBuffer(), &rec)
	if err != nil {
		j.failed = true
	}
	j.buf.Write(line)
	if m.apply(&rec); m.finished() {
		j.unindex(m)
	}
}

// flush writes the buffer. After a failed write the file may lack records, so nothing more is appended to it: the way on is a
// compaction, which writes the state that the records led to.
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

// close writes the buffer and closes the file.
func (j *journal) close() error {
	err := j.flush()
	if j.file != nil {
		err = errors.Join(err, j.file.Close())
	}
	return err
}
