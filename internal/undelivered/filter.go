package undelivered

import (
	"fmt"
	"net/url"
	"strconv"
)

// Filter selects entries; an empty or zero field selects all.
type Filter struct {
	Member      string
	Reason      Reason
	Class       string
	Destination *uint32
	Since       int64 // ended at or after; Unix nanoseconds
	Until       int64 // ended before
	After       Key   // only entries after this one, in the order of their ends
	Limit       int   // maximum number of entries; 0: no limit
}

func (f *Filter) matches(e *Entry) bool {
	return (f.Member == "" || f.Member == e.Member) && (f.Reason == "" || f.Reason == e.Reason) && (f.Class == "" || f.Class == e.Class) &&
		(f.Destination == nil || *f.Destination == e.Destination)
}

// index returns the narrowest index for the filter: its bucket, and the prefix of the keys there.
func (f *Filter) index() (bucket, prefix []byte) {
	switch {
	case f.Member != "" && f.Reason != "":
		return bucketPairs, indexKey(f.Member, string(f.Reason))
	case f.Member != "":
		return bucketMembers, indexKey(f.Member)
	case f.Destination != nil:
		return bucketDestinations, indexKey(fmt.Sprint(*f.Destination))
	case f.Class != "":
		return bucketClasses, indexKey(f.Class)
	case f.Reason != "":
		return bucketReasons, indexKey(string(f.Reason))
	}
	return bucketEntries, nil
}

// query encodes a filter as URL parameters, which parseFilter decodes.
func (f Filter) query() url.Values {
	q := url.Values{}
	set := func(name, v string) {
		if v != "" {
			q.Set(name, v)
		}
	}
	set("member", f.Member)
	set("reason", string(f.Reason))
	set("class", f.Class)
	if f.Destination != nil {
		set("destination", strconv.FormatUint(uint64(*f.Destination), 10))
	}
	for name, v := range map[string]int64{"since": f.Since, "until": f.Until, "most": int64(f.Limit)} {
		if v != 0 {
			set(name, strconv.FormatInt(v, 10))
		}
	}
	if f.After != (Key{}) {
		set("after", f.After.String())
	}
	return q
}

func parseFilter(q url.Values) (Filter, error) {
	f := Filter{Member: q.Get("member"), Class: q.Get("class")}
	var err error
	if v := q.Get("reason"); v != "" {
		if f.Reason, err = ParseReason(v); err != nil {
			return f, err
		}
	}
	if v := q.Get("destination"); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return f, fmt.Errorf("destination: %w", err)
		}
		d := uint32(n)
		f.Destination = &d
	}
	most := int64(0)
	for name, into := range map[string]*int64{"since": &f.Since, "until": &f.Until, "most": &most} {
		if v := q.Get(name); v != "" {
			if *into, err = strconv.ParseInt(v, 10, 64); err != nil {
				return f, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	f.Limit = int(most)
	if v := q.Get("after"); v != "" {
		if f.After, err = ParseKey(v); err != nil {
			return f, err
		}
	}
	return f, nil
}
