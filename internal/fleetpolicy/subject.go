package fleetpolicy

import (
	"fmt"
	"strings"
)

// subject is what one limit applies to: the fields that its shape names.
type subject struct {
	destination uint32
	shape       shape
	endpoint    string
	tenant      string
	class       string
}

// shape is the set of fields that a subject names.
type shape uint8

const (
	byDestination shape = 1 << iota
	byEndpoint
	byTenant
	byClass
)

// String is the subject as operators read it; limits' keys begin with it.
func (s subject) String() string {
	var parts []string
	if s.shape&byDestination != 0 {
		parts = append(parts, fmt.Sprintf("destination %d", s.destination))
	}
	if s.shape&byEndpoint != 0 {
		parts = append(parts, "endpoint "+s.endpoint)
	}
	if s.shape&byTenant != 0 {
		parts = append(parts, "tenant "+s.tenant)
	}
	if s.shape&byClass != 0 {
		parts = append(parts, "class "+s.class)
	}
	return strings.Join(parts, ", ")
}

// subjectOf is the subject with the given shape that a call belongs to.
func (c Call) subjectOf(shape shape) subject {
	s := subject{shape: shape}
	if shape&byDestination != 0 {
		s.destination = c.Destination
	}
	if shape&byEndpoint != 0 {
		s.endpoint = c.Endpoint
	}
	if shape&byTenant != 0 {
		s.tenant = c.Tenant
	}
	if shape&byClass != 0 {
		s.class = c.Class
	}
	return s
}

// subjects are the subjects of a table, one for each limit.
func (l Limit) subjects() (all []subject, err error) {
	dims := 0
	for _, n := range []int{len(l.Destinations), len(l.Endpoints), len(l.Tenants), len(l.Classes)} {
		if n > 0 {
			dims++
		}
	}
	if dims == 0 || dims > 2 || len(l.Destinations) > 0 && len(l.Endpoints) > 0 {
		return nil, invalid("it is of destinations or endpoints, of tenants, of classes, or of pairs of two of these")
	}
	all = []subject{{}}
	each := func(n int, with func(s *subject, i int)) {
		if n == 0 {
			return
		}
		var next []subject
		for _, s := range all {
			for i := range n {
				t := s
				with(&t, i)
				next = append(next, t)
			}
		}
		all = next
	}
	if len(l.Destinations) > maxDestinations || len(l.Endpoints) > maxLimits || len(l.Tenants) > maxLimits || len(l.Classes) > maxLimits {
		return nil, invalid("it names too much")
	}
	for _, names := range [][]string{l.Endpoints, l.Tenants, l.Classes} {
		for _, n := range names {
			if n == "" || len(n) > maxTextBytes {
				return nil, invalid("a name is empty, or has over %d bytes", maxTextBytes)
			}
		}
	}
	each(len(l.Destinations), func(s *subject, i int) { s.destination, s.shape = l.Destinations[i], s.shape|byDestination })
	each(len(l.Endpoints), func(s *subject, i int) { s.endpoint, s.shape = l.Endpoints[i], s.shape|byEndpoint })
	each(len(l.Tenants), func(s *subject, i int) { s.tenant, s.shape = l.Tenants[i], s.shape|byTenant })
	each(len(l.Classes), func(s *subject, i int) { s.class, s.shape = l.Classes[i], s.shape|byClass })
	return all, nil
}
