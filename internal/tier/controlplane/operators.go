package controlplane

import (
	"net/http"
	"strings"
	"time"
)

// Time-outs. Operators try another process after one second without an answer, so all work before a response must fit into
// these.
const (
	// primaryProbeTimeout is for asking another process whether it is the primary, before a caller is redirected to it.
	primaryProbeTimeout = 200 * time.Millisecond
	// redirectTimeout is for holding a call until there is a primary to redirect it to.
	redirectTimeout = 900 * time.Millisecond
	// operatorWriteTimeout is for waiting for the writer lock and for the write, or for a read barrier.
	operatorWriteTimeout = 450 * time.Millisecond
	// replaceTimeout is for all of Configuration.Replace, including the wait for the gateways' acknowledgements.
	replaceTimeout = 600 * time.Millisecond
)

// Divisors of durations of the settings.
const (
	// primaryProbeDivisor divides the contact window: the interval of probes while a call is held.
	primaryProbeDivisor = 60
	// takeoverDivisor divides the contact window: the longest duration of a takeover.
	takeoverDivisor = 2
	// acknowledgementWaitDivisor divides guarantees.config_apply_ms, the time in which a configuration must be applied: the
	// longest wait for the gateways' acknowledgements.
	acknowledgementWaitDivisor = 3
)

// Limits of bodies, in bytes.
const (
	// maxRequestBody is for all calls but Configuration.Replace.
	maxRequestBody = 64 << 10
	// configurationMemoryDivisor divides limits.memory_mb: the largest configuration that the process has the memory for.
	configurationMemoryDivisor = 16
	// minConfigurationLimit is the least limit of a configuration, whatever the memory.
	minConfigurationLimit = 4 << 20
	// maxConfigurationLimit is the greatest limit of a configuration, whatever the memory: two thirds of consensus.StateLimit.
	// The last third is for the other keys that the primary writes, change records (maxChangeHistoryBytes) and the partition
	// map (some hundred bytes for each turn store), so that a configuration never prevents the map from being written.
	maxConfigurationLimit = 32 << 20
)

// Operators returns the handler of the API of operators and applications, which listens on listen_addresses.control_plane.
// docs/design/hardening/1-answers.md lists the response to each call by the state of the process.
func (plane *ControlPlane) Operators() http.Handler { return http.HandlerFunc(plane.dispatch) }

// dispatch serves one call of the API: /saffronyard/CALL or /saffronyard/CALL/ARGUMENT.
func (plane *ControlPlane) dispatch(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/saffronyard/")
	call, argument, _ := strings.Cut(path, "/")
	var method string
	var serve func() response
	applicationMethod, parse := coordinationCall(call, argument)
	switch {
	case !ok:
	case parse != nil:
		method, serve = applicationMethod, func() response { return plane.serveCoordination(w, r, parse) }
	case call == "Configuration.Replace" && argument == "":
		method, serve = http.MethodPost, func() response { return plane.replaceConfiguration(w, r) }
	case call == "Configuration.Describe" && argument == "":
		method, serve = http.MethodGet, func() response { return plane.describeConfiguration(r) }
	case call == "Retire.Create" && argument != "":
		method, serve = http.MethodPost, func() response { return plane.createRetire(w, r, argument) }
	case call == "Retire.Describe" && argument != "":
		method, serve = http.MethodGet, func() response { return plane.describeRetire(r, argument) }
	}
	switch {
	case serve == nil: // the same at each process in any state: no primary is needed
		errorResponse(http.StatusNotFound, "no such call").write(w)
	case r.Method != method:
		w.Header().Set("Allow", method)
		errorResponse(http.StatusMethodNotAllowed, "the method is "+method).write(w)
	case parse != nil:
		serve().write(w)
	default:
		plane.withholdUnlessPrimary(serve()).write(w)
	}
}
