package calls

import (
	"sync"

	"saffronyard.example/saffronyard/brain"
)

// Endpoint is an endpoint of the list, with the idle connections to it. The exported fields and the first group belong
// to the goroutine that owns the EndpointList.
type Endpoint struct {
	Number brain.EndpointID
	ID     string
	Zone   int            // index into Names.Zones
	Entry  brain.Endpoint // as the Brain was last told

	lastListed    uint64         // EndpointList.generation of the last list that named it
	listedServing bool           // its state in the list, whatever the fleet's policy makes of it
	kind          string         // as in the list
	format        *requestFormat // of calls to it; written by the owner under mu, and read by it without
	retired       bool           // it wants no more calls, until the list says that it is not serving
	validating    chan struct{}  // held by the call that asks the endpoint for permission

	mu            sync.Mutex // guards addr and what follows, and format for other goroutines
	addr          string
	idle          []*conn // the one that was used last at the end
	validatedAddr string  // the address that has given its permission
	allowedRate   float64 // calls a second that it allows; 0 if it told none
}

// requestFormat is the format of calls to e.
func (e *Endpoint) requestFormat() *requestFormat {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.format == nil {
		return platformFormat
	}
	return e.format
}

// isAt reports whether the endpoint is still at an address.
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
