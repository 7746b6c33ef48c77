package upstream

import "bytes"

const maxEventBytes = 1 << 20 // bytes of one event

// Event is one event of a stream with its blank line, or some bytes of a body of another type. Its slices hold until the
// next Next.
type Event struct {
	Raw      []byte // as it came, to be passed on
	ID       string // empty: it has none
	Data     []byte // its data lines, joined by line feeds
	HasData  bool
	Versions string // of the weights, where they change with this event
}

// eventSplitter cuts a stream into its events.
type eventSplitter struct {
	buf    []byte
	begin  int // of the first byte not handed out
	seen   int // bytes from there on that hold no end of an event
	lastID string
	joined []byte
}

// next is the next whole event, if it has come. Ids must rise; false in sound says that they don't.
func (events *eventSplitter) next() (p Event, ok, sound bool) {
	for {
		rest := events.buf[events.begin+events.seen:]
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			return Event{}, false, len(events.buf)-events.begin <= maxEventBytes
		}
		events.seen += i + 1
		if i > 0 && !(i == 1 && rest[0] == '\r') {
			continue
		}
		raw := events.buf[events.begin : events.begin+events.seen]
		events.begin += events.seen
		events.seen = 0
		p = events.parse(raw)
		if p.ID != "" {
			if events.lastID != "" && !IDIncreases(events.lastID, p.ID) {
				return p, true, false
			}
			events.lastID = p.ID
		}
		return p, true, len(raw) <= maxEventBytes
	}
}

// compact makes room for more. What was handed out no longer holds.
func (events *eventSplitter) compact() {
	events.buf = events.buf[:copy(events.buf, events.buf[events.begin:])]
	events.begin = 0
}

// unfinished reports whether bytes are left that make no whole event.
func (events *eventSplitter) unfinished() bool { return events.begin < len(events.buf) }

// parse reads the lines of one event.
func (events *eventSplitter) parse(raw []byte) Event {
	p := Event{Raw: raw}
	for rest := raw; len(rest) > 0; {
		i := bytes.IndexByte(rest, '\n')
		line := bytes.TrimSuffix(rest[:i], []byte{'\r'})
		rest = rest[i+1:]
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "id":
			p.ID = string(value)
		case "versions":
			p.Versions = string(value)
		case "data":
			switch {
			case !p.HasData:
				p.Data, p.HasData = value, true
				events.joined = events.joined[:0]
			case len(events.joined) == 0:
				events.joined = append(append(append(events.joined, p.Data...), '\n'), value...)
				p.Data = events.joined
			default:
				events.joined = append(append(events.joined, '\n'), value...)
				p.Data = events.joined
			}
		}
	}
	return p
}

// IDIncreases reports whether an id comes after another: by number where both are numbers, else it is only another one.
func IDIncreases(last, id string) bool {
	a, ok := parseDigits(last, 1<<53)
	b, too := parseDigits(id, 1<<53)
	if ok && too {
		return b > a
	}
	return id != last
}
