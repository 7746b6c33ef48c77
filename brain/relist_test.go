package brain

import (
	"testing"
	"time"
)

// A destination whose endpoints are routes apart leaves the list, is forgotten, and is listed again while its endpoint is
// still remembered: its routes are apart as before, and a lull that would fold one with a shared route does it no harm.
func TestARouteApartThatIsListedAgainStaysApart(t *testing.T) {
	s := settings()
	s.HibernateAfter = 5 * time.Minute
	r := newRig(t, s)
	r.b = New(s, 7)
	line := Endpoint{ID: 1, Destination: 4, Kind: 1, Ready: true}
	r.step(EndpointUpdate{Endpoints: []Endpoint{line}})
	gone := line
	gone.Ready = false
	r.step(EndpointUpdate{Endpoints: []Endpoint{gone}})
	r.now += time.Second
	r.step(TimerFired{})
	if r.b.destinations[4] != nil {
		t.Fatal("a destination without endpoints and messages is remembered")
	}
	if r.b.endpoints[1] == nil {
		t.Fatal("its endpoint is not")
	}
	r.step(EndpointUpdate{Endpoints: []Endpoint{line}})
	if d := r.b.destinations[4]; !d.hasEndpointRoutes || d.sharedRoute != nil {
		t.Errorf("its routes are no longer apart")
	}
	for range 20 {
		r.now += time.Minute
		r.step(TimerFired{})
	}
	if r.b.destinations[4] == nil {
		t.Error("it was folded")
	}
}
