package zone

import (
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// Grant lists the names and types that one key may change. A name is exact, or, with the prefix "*.", stands for all names below the
// rest. No types mean all types.
type Grant struct {
	Names []string
	Types []uint16
}

func (g *Grant) name(name string) bool {
	return slices.ContainsFunc(g.Names, func(n string) bool {
		if rest, ok := strings.CutPrefix(n, "*."); ok {
			rest = Name(rest)
			return name != rest && Within(rest, name)
		}
		return Name(n) == name
	})
}

func (g *Grant) kind(t uint16) bool { return len(g.Types) == 0 || slices.Contains(g.Types, t) }

// Allows returns a *Refusal if an update (RFC 2136 3.3) has a record that the key may not change. Deleting all records of a name needs a
// grant for each type there.
func (g *Grant) Allows(z *Zone, updates []dns.RR) error {
	for _, rr := range updates {
		h := rr.Header()
		name := Name(h.Name)
		if !g.name(name) {
			return refuse(dns.RcodeRefused, "the key may not change %s", name)
		}
		if h.Rrtype != dns.TypeANY {
			if !g.kind(h.Rrtype) {
				return refuse(dns.RcodeRefused, "the key may not change %s of %s", dns.Type(h.Rrtype), name)
			}
			continue
		}
		for _, s := range z.node(name) {
			if !g.kind(s.kind()) {
				return refuse(dns.RcodeRefused, "the key may not change %s of %s, and the update deletes all types there", dns.Type(s.kind()), name)
			}
		}
	}
	return nil
}

// Replays remembers the signatures of accepted messages for as long as a replay would pass the time check (RFC 8945 5.2.3: the time of
// signing is within the fudge of now). It is not safe for concurrent use.
type Replays struct {
	MaxEntries int

	until map[string]time.Duration
	next  time.Duration // no entry expires before
}

// Seen records a message by its key and signature until a time on the same clock as now. repeat reports that the message is a replay;
// full reports that there is no room to record it, so that it must not be accepted.
func (r *Replays) Seen(key, mac string, now, until time.Duration) (repeat, full bool) {
	if r.until == nil {
		r.until = map[string]time.Duration{}
	}
	id := Name(key) + "\x00" + mac
	if u, ok := r.until[id]; ok && u >= now {
		return true, false
	}
	if len(r.until) >= r.MaxEntries && now >= r.next {
		r.next = time.Duration(1<<63 - 1)
		for k, u := range r.until {
			if u < now {
				delete(r.until, k)
			} else {
				r.next = min(r.next, u+1)
			}
		}
	}
	if len(r.until) >= r.MaxEntries {
		return false, true
	}
	r.until[id] = until
	r.next = min(r.next, until+1)
	return false, false
}
