package upstream

import (
	"bytes"
)

const (
	maxEventBytes = 1 << 20 // bytes of one event
	maxEventID    = 1 << 53 // larger ids are not compared as numbers
)

// Event is one event of an event stream, or some bytes of a body of another type, for which only Raw is set. Its slices are valid
// until the next call of Stream.Next.
type Event struct {
	Raw      []byte // as received, with the blank line, to be forwarded
	ID       string // empty: it has none
	Data     []byte // its data lines, joined by line feeds
	HasData  bool
	Versions string // of the model weights, if they change with this event
}

// eventSplitter splits a text/event-stream into its events (WHATWG HTML, 9.2.6).
type eventSplitter struct {
	buf    []byte
	begin  int // index of the first byte that was not returned yet
	seen   int // bytes from begin on that were searched for the end of an event
	lastID string
	joined []byte
}

// next returns the next complete event. ok is false if none is buffered; valid is false if ids do not increase or an event is too
// large.
func (splitter *eventSplitter) next() (event Event, ok, valid bool) {
	for {
		rest := splitter.buf[splitter.begin+splitter.seen:]
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			return Event{}, false, len(splitter.buf)-splitter.begin <= maxEventBytes
		}
		splitter.seen += i + 1
		if i > 0 && !(i == 1 && rest[0] == '\r') {
			continue
		}
		raw := splitter.buf[splitter.begin : splitter.begin+splitter.seen]
		splitter.begin += splitter.seen
		splitter.seen = 0
		event = splitter.parse(raw)
		if event.ID != "" {
			if splitter.lastID != "" && !IDIncreases(splitter.lastID, event.ID) {
				return event, true, false
			}
			splitter.lastID = event.ID
		}
		return event, true, len(raw) <= maxEventBytes
	}
}

// compact discards the events that were returned; their slices are no longer valid.
func (splitter *eventSplitter) compact() {
	splitter.buf = splitter.buf[:copy(splitter.buf, splitter.buf[splitter.begin:])]
	splitter.begin = 0
}

// unfinished reports whether bytes are left that are not a complete event.
func (splitter *eventSplitter) unfinished() bool { return splitter.begin < len(splitter.buf) }

// parse parses the lines of one event.
func (splitter *eventSplitter) parse(raw []byte) Event {
	event := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		i := bytes.IndexByte(rest, '\n')
		line := bytes.TrimSuffix(rest[:i], []byte{'\r'})
		rest = rest[i+1:]
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "id":
			event.ID = string(value)
		case "versions":
			event.Versions = string(value)
		case "data":
			switch {
			case !event.HasData:
				event.Data, event.HasData = value, true
				splitter.joined = splitter.joined[:0]
			case len(splitter.joined) == 0:
				splitter.joined = append(append(append(splitter.joined, event.Data...), '\n'), value...)
				event.Data = splitter.joined
			default:
				splitter.joined = append(append(splitter.joined, '\n'), value...)
				event.Data = splitter.joined
			}
		}
	}
	return event
}

// IDIncreases reports whether id may follow last: it must be greater if both are numbers, and otherwise only differ from last.
func IDIncreases(last, id string) bool {
	lastNumber, lastOK := parseDigits(last, maxEventID)
	number, ok := parseDigits(id, maxEventID)
	if lastOK && ok {
		return number > lastNumber
	}
	return id != last
}
