package calls

import (
	"sync"

	"saffronyard.example/saffronyard/brain"
)

// Endpoint is an endpoint of the list, with the idle connections to it. The exported fields and the fields before mu belong
// to the goroutine that owns the EndpointList.
type Endpoint struct {
	Number brain.EndpointID
	ID     string
	Zone   int            // index into Names.Zones
	Entry  brain.Endpoint // as last reported to the Brain

	lastListed    uint64         // EndpointList.generation of the last list that named it
	listedServing bool           // its state in the list, before the fleet's policy is applied
	kind          string         // as in the list
	format        *requestFormat // of calls to it; the owner writes it under mu and may read it without mu
	retired       bool           // it wants no more calls; reset when the list reports it as not serving
	validating    chan struct{}  // semaphore held by the call that validates the endpoint

	mu            sync.Mutex // guards the fields below, and format for other goroutines
	addr          string
	idle          []*conn // the most recently used one last
	validatedAddr string  // the address that was validated successfully
	allowedRate   float64 // calls a second that it allows; 0 if it stated none
}

// requestFormat returns the format of calls to e.
func (e *Endpoint) requestFormat() *requestFormat {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.format == nil {
		return platformFormat
	}
	return e.format
}

// isAt reports whether the endpoint still has an address.
func (e *Endpoint) isAt(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr == addr
}

// Batches returns how many events and bytes one call to the endpoint may carry; ok is false if it takes one message a
// call. Only the owner of the EndpointList may call it.
func (e *Endpoint) Batches() (events, bytes int, ok bool) {
	if e.format == nil || e.format.Form != Batched {
		return 0, 0, false
	}
	return e.format.BatchEvents, e.format.BatchBytes, true
}
