package fleetpolicy

import (
	"slices"

	"github.com/pelletier/go-toml/v2"

	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/tomlfile"
)

// WithLimit returns a document in which a limit replaces the limit of the same kind that applies to a destination alone. If remove is set,
// the document has no limit of any kind for that destination alone. Comments of the document are lost.
func WithLimit(raw []byte, destination uint32, l Limit, remove bool) ([]byte, error) {
	d := &Document{}
	if err := tomlfile.Decode("the version in force", raw, d); err != nil {
		return nil, err
	}
	l.Destinations, l.Endpoints, l.Tenants, l.Classes = []uint32{destination}, nil, nil, nil
	var kind quota.Kind
	if !remove {
		q, err := l.quota()
		if err != nil {
			return nil, err
		}
		kind = q.Kind
	}
	var limits []Limit
	for _, limit := range d.Limits {
		q, err := limit.quota()
		if err != nil {
			return nil, err
		}
		if len(limit.Tenants)+len(limit.Classes) == 0 && (remove || q.Kind == kind) {
			limit.Destinations = slices.DeleteFunc(slices.Clone(limit.Destinations), func(o uint32) bool { return o == destination })
			if len(limit.Destinations) == 0 && len(limit.Endpoints) == 0 {
				continue
			}
		}
		limits = append(limits, limit)
	}
	if d.Limits = limits; !remove {
		d.Limits = append(d.Limits, l)
	}
	return toml.Marshal(d)
}
