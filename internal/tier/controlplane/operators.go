package controlplane

import (
	"net/http"
	"strings"
	"time"
)

// Operators call with a silence of one second in mind, after which they move on: all that is done before an answer
// fits into these.
const (
	primaryProbeTimeout        = 200 * time.Millisecond // asking the supposed primary whether it is there, before a caller is sent to it
	redirectTimeout            = 900 * time.Millisecond // holding a caller until there is a primary to send it to
	operatorWriteTimeout       = 450 * time.Millisecond // waiting for the right to write, and the write
	replaceTimeout             = 600 * time.Millisecond // with the wait for the sessions
	primaryProbeDivisor        = 60                     // of the contact window: while a caller is held, the supposed primary is asked so often
	takeoverDivisor            = 2                      // of the contact window: a takeover is over in it
	acknowledgementWaitDivisor = 3                      // of the time in which a configuration must be applied, for the wait for the sessions
	maxRequestBody             = 64 << 10               // of a body that is no configuration
	configurationMemoryDivisor = 16                     // of the memory, for a configuration
	minConfigurationLimit      = 4 << 20                // bytes, whatever the memory
	// maxConfigurationLimit bounds a configuration, in bytes, whatever the memory: two thirds of consensus.StateLimit. The last third
	// is for what the primary writes beside it, so that a configuration never keeps the turn store map from being
	// written: records of orders (at most orderHistoryBytes) and the map (some hundred bytes for each turn store).
	maxConfigurationLimit = 32 << 20
)

// Operators is the handler of the control_plane address. docs/design/hardening/1-answers.md tells which answer a call
// gets from which process.
func (plane *ControlPlane) Operators() http.Handler { return http.HandlerFunc(plane.dispatch) }

func (plane *ControlPlane) dispatch(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/saffronyard/")
	call, argument, _ := strings.Cut(path, "/")
	var method string
	var serve func() response
	switch {
	case !ok:
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
	case serve == nil: // holds for each process in any state, so that it needs no primary
		errorResponse(http.StatusNotFound, "no such call").write(w)
	case r.Method != method:
		w.Header().Set("Allow", method)
		errorResponse(http.StatusMethodNotAllowed, "the method is "+method).write(w)
	default:
		plane.withholdUnlessPrimary(serve()).write(w)
	}
}
