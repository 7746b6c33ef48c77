package sender

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"time"
)

// compact writes the current state to a new file and renames that over the old one. A kill in between leaves the old file intact
// and at most an incomplete new file, which is never read.
func (j *journal) compact() error {
	err := j.rewrite()
	j.failed, j.lastCompaction = err != nil, time.Now()
	if err != nil {
		os.Remove(j.path + ".new")
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// rewrite writes the new file, renames it over the old one and makes it the file that records are appended to.
func (j *journal) rewrite() error {
	f, err := os.OpenFile(j.path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	pending, size, err := j.writeState(f)
	if err == nil {
		err = os.Rename(j.path+".new", j.path)
	}
	if err != nil {
		f.Close()
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.size, j.order = f, size, pending
	j.endpoints.unwritten = false
	j.buf.Reset()
	return nil
}

// writeState writes the journal's state: rates and outages, the endpoint list, and the pending messages. It returns those messages and
// the total size in bytes.
func (j *journal) writeState(to io.Writer) (pending []*storedMessage, size int64, err error) {
	w := bufio.NewWriterSize(to, 1<<16)
	write := func(rec *record) error {
		n, err := writeLine(w, rec)
		size += int64(n)
		return err
	}
	if len(j.rates) > 0 || len(j.outages.list) > 0 {
		if err := write(j.ratesRecord()); err != nil {
			return nil, 0, err
		}
	}
	if list := j.endpoints.record(); list != nil {
		if err := write(&record{Op: opList, List: list}); err != nil {
			return nil, 0, err
		}
	}
	pending = j.pending()
	for _, m := range pending {
		if err := write(m.compacted()); err != nil {
			return nil, 0, err
		}
	}
	return pending, size, w.Flush()
}

// compacted returns the single record that replaces all records on a message.
func (m *storedMessage) compacted() *record {
	rec := m.record
	rec.Outcome, rec.RetryAfterMS, rec.AwaitsRecorder, rec.At = m.outcome, m.retryAfterMS, m.awaitsRecorder, m.endedAt
	rec.Notified = m.notified && m.outcome != ""
	return &rec
}
