package sender

import (
	"bufio"
	"io"
)

// replay reads the file of an earlier process. Lines that can't be decoded, for example because of a wrong checksum, are counted and
// skipped; a last line without a line feed was torn by a kill and is not counted.
func (j *journal) replay(r io.Reader) error {
	lines := bufio.NewReaderSize(r, 1<<16)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil // a line without a line feed was not completely written
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
		case rec.Op == opRates:
			j.rates, j.outages = rec.Rates, outageSnapshot{rec.At, rec.Outages}
		case rec.Op == opList:
			if rec.List != nil {
				j.reserved -= j.endpoints.size
				j.endpoints.apply(rec.List)
				j.reserved += j.endpoints.size
			}
		case rec.Op == opAccept:
			if m != nil { // an id is reused only once its message has ended
				j.unindex(m)
			}
			j.index(&storedMessage{
				record: rec, outcome: rec.Outcome, retryAfterMS: rec.RetryAfterMS, awaitsRecorder: rec.AwaitsRecorder,
				notified: rec.Notified, endedAt: rec.At, cost: int64(len(line)) + followUpBytes(rec.ID),
			})
		case m == nil:
		default:
			if m.apply(&rec); m.finished() {
				j.unindex(m)
			}
		}
	}
}
