package sender

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// compact writes a new file of what is still needed and renames it over the old one. A kill in between leaves the old file
// whole, and beside it at most a new one that nobody reads.
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
		n, err := writeLine(w, &record{Op: opList, List: list})
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
