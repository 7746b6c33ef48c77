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

// The journal's file, in the state folder, and its limits.
const (
	journalFileName = "messages.journal"
	// maxNameBytes limits ids, keys and endpoint names, so that the records on a message have a bounded size.
	maxNameBytes = 128
	// compactionRetryInterval is the pause between compactions while they fail.
	compactionRetryInterval = 200 * time.Millisecond
	// maxRates is the maximum number of rates in a record, and ratesReserve the space reserved for that record in bytes.
	maxRates     = 100
	ratesReserve = 32 * maxRates
	// Outages may take maxOutageReserve bytes besides the rates, and at most the journal's budget divided by
	// outageBudgetDivisor.
	maxOutageReserve    = 4 << 10
	outageBudgetDivisor = 32
)

// journalFile is the file that records are appended to; tests replace it by one that fails.
type journalFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// journal preserves accepted messages, the usual rates, the outages and the endpoint list if the process is killed. Only the loop
// uses it. Each line of its file is a checksum and a JSON record (appendLine), so that a process that is killed leaves at most a
// torn last line. Records are buffered and written by flush, which does not call fsync: a power failure may lose the last records.
//
// After a failed write nothing is written until a compaction succeeds, which is tried at most once every compactionRetryInterval.
type journal struct {
	path           string
	file           journalFile
	budget         int64        // bytes that the old and the new file may take together
	size           int64        // of the file in bytes
	reserved       int64        // upper bound of a compacted file and all further records on its messages
	buf            bytes.Buffer // records that are not written yet
	line           []byte       // encoded record of the message that is being inserted; reused
	failed         bool         // the last write failed: nothing more is written until a compaction succeeds
	lastCompaction time.Time    // when a compaction was last tried
	corruptLines   int          // unreadable lines of the earlier process's file, except a torn last line

	rates          map[uint32]float64 // usual calls a second, by destination
	outages        outageSnapshot
	maxOutageBytes int
	endpoints      storedList

	byID  map[string]*storedMessage // messages that are not finished
	order []*storedMessage          // in the order in which they were accepted, including some that are finished
	ended int                       // finished messages in order
}

// openJournal reads the journal that an earlier process left in dir and starts a compacted file. budget is the bytes that the old
// and the new file may take together. It returns an error if the file can't be read; if no file can be written, the journal is
// returned in the failed state.
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
	// A failed compaction, on a full disk for example, is no error here: the old file stays unchanged, and no message is
	// accepted or sent until a compacted file can be written.
	j.compact()
	return j, nil
}

// index adds a message to the pending ones.
func (j *journal) index(m *storedMessage) {
	j.byID[m.ID] = m
	j.order = append(j.order, m)
	j.reserved += m.cost
}

// unindex removes a message that is finished or was not accepted after all.
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

// pending returns the messages that are not finished, in the order in which they were accepted.
func (j *journal) pending() []*storedMessage {
	unfinished := make([]*storedMessage, 0, len(j.byID))
	for _, m := range j.order {
		if j.byID[m.ID] == m {
			unfinished = append(unfinished, m)
		}
	}
	j.ended = 0
	return unfinished
}

// insertAndFlush inserts a message and writes it at once; a message that can't be written is not kept.
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

// insert buffers the record of a message that is about to be accepted; flush writes it. Space is reserved for all further records
// on the message, so that its end can always be written. The error is errJournalFull, or that of a compaction.
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

// flush writes the buffer. After a failed write the file may lack records, so nothing more is appended to it until a compaction
// has written the complete state.
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
		return j.compact() // the new file includes the effect of the buffered records
	}
	n, err := j.file.Write(j.buf.Bytes())
	j.buf.Reset()
	if err != nil {
		// Remove what was written partially: the messages in it are now rejected, and must not reappear if the
		// process is killed before a compaction.
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
