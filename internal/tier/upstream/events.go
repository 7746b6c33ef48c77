package upstream

import "bytes"

const maxEvent = 1 << 20 // bytes of one event

// Piece is one event of a stream with its blank line, or some bytes of a body of another type. Its slices hold until the
// next Next.
type Piece struct {
	Raw      []byte // as it came, to be passed on
	ID       string // empty: it has none
	Data     []byte // its data lines, joined by line feeds
	HasData  bool
	Versions string // of the weights, where they change with this event
}

// events cuts a stream into its events.
type events struct {
	buf    []byte
	begin  int // of the first byte not handed out
	seen   int // bytes from there on that hold no end of an event
	last   string
	joined []byte
}

// next is the next whole event, if it has come. Ids must rise; false in sound says that they don't.
func (events *events) next() (p Piece, ok, sound bool) {
	for {
		rest := events.buf[events.begin+events.seen:]
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			return Piece{}, false, len(events.buf)-events.begin <= maxEvent
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
			if events.last != "" && !Rises(events.last, p.ID) {
				return p, true, false
			}
			events.last = p.ID
		}
		return p, true, len(raw) <= maxEvent
	}
}

// compact makes room for more. What was handed out no longer holds.
func (events *events) compact() {
	events.buf = events.buf[:copy(events.buf, events.buf[events.begin:])]
	events.begin = 0
}

// unfinished reports whether bytes are left that make no whole event.
func (events *events) unfinished() bool { return events.begin < len(events.buf) }

// parse reads the lines of one event.
func (events *events) parse(raw []byte) Piece {
	p := Piece{Raw: raw}
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

// Rises reports whether an id comes after another: by number where both are numbers, else it is only another one.
func Rises(last, id string) bool {
	a, ok := digits(last, 1<<53)
	b, too := digits(id, 1<<53)
	if ok && too {
		return b > a
	}
	return id != last
}
