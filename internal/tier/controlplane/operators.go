package controlplane

import (
	"net/http"
	"strings"
	"time"
)

// Time-outs. Operators move on to another process when they have heard nothing for one second: all that is done before a
// response fits into these.
const (
	// primaryProbeTimeout is for asking another process whether it is the primary, before a caller is sent to it.
	primaryProbeTimeout = 200 * time.Millisecond
	// redirectTimeout is for holding a caller until there is a primary to send it to.
	redirectTimeout = 900 * time.Millisecond
	// operatorWriteTimeout is for waiting for the right to write and for the write, or for a read barrier.
	operatorWriteTimeout = 450 * time.Millisecond
	// replaceTimeout is for all of Configuration.Replace, with the wait for the gateways' acknowledgements.
	replaceTimeout = 600 * time.Millisecond
)

// Divisors of durations of the settings.
const (
	// primaryProbeDivisor divides the contact window: the interval of probes while a caller is held.
	primaryProbeDivisor = 60
	// takeoverDivisor divides the contact window: a takeover lasts no longer.
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
	// maxConfigurationLimit is the greatest limit of a configuration, whatever the memory: two thirds of
	// consensus.StateLimit. The last third is for what the primary writes beside it, so that a configuration never keeps the
	// partition map from being written: change records (maxChangeHistoryBytes) and the map (some hundred bytes for each turn
	// store).
	maxConfigurationLimit = 32 << 20
)

// Operators returns the handler of the API of operators and applications, which listens on listen_addresses.control_plane.
// docs/design/hardening/1-answers.md tells which response a call gets from which process.
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
	case serve == nil: // true at each process in any state: it needs no primary
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
