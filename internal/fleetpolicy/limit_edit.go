package fleetpolicy

import (
	"slices"

	"github.com/pelletier/go-toml/v2"

	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// WithLimit is a document in which a limit replaces those of the same kind of a destination by itself; if remove is set, it has none. Comments of the
// document are lost.
func WithLimit(raw []byte, destination uint32, l Limit, none bool) ([]byte, error) {
	d := &Document{}
	if err := tomlfile.Decode("the version in force", raw, d); err != nil {
		return nil, err
	}
	l.Destinations, l.Endpoints, l.Tenants, l.Classes = []uint32{destination}, nil, nil, nil
	var sort quota.Kind
	if !none {
		q, err := l.quota()
		if err != nil {
			return nil, err
		}
		sort = q.Kind
	}
	var keep []Limit
	for _, was := range d.Limits {
		q, err := was.quota()
		if err != nil {
			return nil, err
		}
		if len(was.Tenants)+len(was.Classes) == 0 && (none || q.Kind == sort) {
			was.Destinations = slices.DeleteFunc(slices.Clone(was.Destinations), func(o uint32) bool { return o == destination })
			if len(was.Destinations) == 0 && len(was.Endpoints) == 0 {
				continue
			}
		}
		keep = append(keep, was)
	}
	if d.Limits = keep; !none {
		d.Limits = append(d.Limits, l)
	}
	return toml.Marshal(d)
}
