package sender

import (
	"encoding/base64"
	"encoding/json"
	"hash/crc32"
	"io"
	"strconv"
)

// decodeLine decodes a line, including its line feed, into rec; false if the checksum or the JSON is wrong.
func decodeLine(line []byte, rec *record) bool {
	if len(line) < 10 {
		return false
	}
	sum, err := strconv.ParseUint(string(line[:8]), 16, 32)
	text := line[9 : len(line)-1]
	return err == nil && uint32(sum) == crc32.ChecksumIEEE(text) && json.Unmarshal(text, rec) == nil
}

// writeLine writes a record's line and returns its length in bytes.
func writeLine(w io.Writer, rec *record) (int, error) {
	line, err := appendLine(nil, rec)
	if err != nil {
		return 0, err
	}
	return w.Write(line)
}

// appendLine appends a record's line: the CRC-32 (IEEE) of its JSON as eight hexadecimal digits, a space, the JSON, a line feed.
// Records on messages are encoded without encoding/json for speed, since several are written for each message.
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

// recordEncoder appends a record's JSON as encoding/json would encode it with the tags of record, without fields of zero value.
type recordEncoder struct{ b []byte }

// text appends a string field if it is not empty. name is the field's name as JSON, with the comma before and the colon after it.
func (e *recordEncoder) text(name, v string) {
	if v != "" {
		e.b = appendString(append(e.b, name...), v)
	}
}

// number appends an integer field if it is not 0.
func (e *recordEncoder) number(name string, v int64) {
	if v != 0 {
		e.b = strconv.AppendInt(append(e.b, name...), v, 10)
	}
}

// flag appends text if v is set.
func (e *recordEncoder) flag(text string, v bool) {
	if v {
		e.b = append(e.b, text...)
	}
}

// attempts appends an array of attempts.
func (e *recordEncoder) attempts(all []attemptRecord) {
	if len(all) == 0 {
		return
	}
	e.b = append(e.b, `,"tries":[`...)
	for i := range all {
		if i > 0 {
			e.b = append(e.b, ',')
		}
		e.b = appendAttempt(e.b, &all[i])
	}
	e.b = append(e.b, ']')
}

// appendRecord appends the JSON of a record on a message: all fields except rates, outages and endpoint list.
func appendRecord(b []byte, r *record) []byte {
	e := recordEncoder{appendString(append(b, `{"op":`...), r.Op)}
	e.b = appendString(append(e.b, `,"id":`...), r.ID)
	e.text(`,"key":`, r.Key)
	e.text(`,"order":`, r.OrderKey)
	e.text(`,"class":`, r.Class)
	e.text(`,"tenant":`, r.Tenant)
	e.number(`,"dest":`, int64(r.Dest))
	e.number(`,"deadline":`, int64(r.Deadline))
	e.text(`,"effect":`, r.Effect)
	e.number(`,"window":`, int64(r.KeyWindow))
	e.flag(`,"in_zone":true`, r.KeyInZone)
	if len(r.Body) > 0 {
		e.b = base64.StdEncoding.AppendEncode(append(e.b, `,"body":"`...), r.Body)
		e.b = append(e.b, '"')
	}
	if r.Event != nil {
		e.b = r.Event.AppendHead(append(e.b, `,"event":`...))
	}
	if r.Identity != nil {
		e.b = r.Identity.append(append(e.b, `,"ident":"`...))
		e.b = append(e.b, '"')
	}
	e.attempts(r.Attempts)
	e.number(`,"life":`, int64(r.Incarnation))
	e.number(`,"before":`, int64(r.EarlierAttempts))
	e.number(`,"try":`, int64(r.Attempt))
	if r.Sent != nil {
		e.b = appendAttempt(append(e.b, `,"sent":`...), r.Sent)
	}
	e.flag(`,"never":true`, r.NeverRan)
	e.flag(`,"recalled":true`, r.Recalled)
	e.text(`,"how":`, r.Outcome)
	e.number(`,"retry_ms":`, r.RetryAfterMS)
	e.flag(`,"keep":true`, r.AwaitsRecorder)
	e.flag(`,"told":true`, r.Notified)
	e.number(`,"at":`, int64(r.At))
	e.text(`,"out":`, r.AttemptOutcome)
	return append(e.b, '}')
}

// appendAttempt appends the JSON of an attempt.
func appendAttempt(b []byte, t *attemptRecord) []byte {
	b = strconv.AppendInt(append(b, `{"at":`...), int64(t.At), 10)
	e := recordEncoder{appendString(append(b, `,"endpoint":`...), t.Endpoint)}
	e.number(`,"zone":`, int64(t.Zone))
	e.text(`,"in":`, t.ZoneName)
	e.flag(`,"never":true`, t.NeverRan)
	e.flag(`,"recalled":true`, t.Recalled)
	e.text(`,"out":`, t.Outcome)
	return append(e.b, '}')
}

// appendString appends a JSON string. Only names from an endpoint list or a settings file may be other than plain ASCII.
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
