package simulation

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	runPath              = "/act"
	instancesPath        = "/instances"
	endpointRunTime      = 80 * time.Millisecond
	endpointCount        = 3
	instanceListInterval = 5 * time.Second // between changes of the platform's list
)

// outsideHandler returns the handler of an address outside of the system.
func (w *world) outsideHandler(ip string) http.Handler {
	switch ip {
	case platformIP:
		return http.HandlerFunc(w.listInstances)
	case endpointIP:
		return http.HandlerFunc(w.runAttempt)
	}
	return http.NotFoundHandler()
}

// listInstances serves the platform's list of instances, in which one instance is replaced in each instanceListInterval.
func (w *world) listInstances(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path != instancesPath {
		http.NotFound(out, r)
		return
	}
	first := int(w.now() / instanceListInterval)
	out.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(out, `{"instances":[`)
	for i := range endpointCount {
		if i > 0 {
			_, _ = io.WriteString(out, ",")
		}
		fmt.Fprintf(out, `{"instance_id":"i-%d","service_name":"s","address":"%s:%s","zone":"zone-1","revision":"v1","capacity":4,"lifecycle_state":"ready"}`,
			first+i, endpointIP, outsidePort)
	}
	_, _ = io.WriteString(out, `],"next_page_token":null}`)
}

// runAttempt serves a call to an endpoint, which runs an attempt.
func (w *world) runAttempt(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(attemptHeader)
	w.checks.turns.recordRun(id)
	w.sleep(endpointRunTime)
	a := &attempt{id: id}
	_, _ = io.WriteString(out, a.output())
}
