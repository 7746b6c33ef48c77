package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/routing"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// acknowledgementCheckInterval is how often the wait for acknowledgements looks for sessions that have expired.
const acknowledgementCheckInterval = 50 * time.Millisecond

// replaceConfiguration serves Configuration.Replace.
func (plane *ControlPlane) replaceConfiguration(w http.ResponseWriter, r *http.Request) response {
	body, err := readBody(w, r, plane.configurationSizeLimit())
	begun := time.Now()
	if _, ok := plane.primary(); !ok {
		return plane.redirectToPrimary(r)
	}
	if err != nil {
		return bodyErrorResponse(err)
	}
	base, err := strconv.ParseInt(strings.TrimSpace(r.Header.Get("X-Base-Revision")), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "X-Base-Revision is no number")
	}
	table, err := routing.Parse(body)
	if err != nil { // rejected whatever its base is: an invalid body never becomes valid
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	// The write is completed even if the caller disconnects: the caller's next attempt gets its result.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), begun.Add(operatorWriteTimeout))
	defer cancel()
	change := configurationChange{revision: table.Revision, baseRevision: base, digest: digestOf(body)}
	version, result, ok := plane.applyChange(ctx, change, body)
	if !ok {
		return plane.redirectToPrimary(r)
	}
	if result.status == http.StatusOK {
		plane.awaitAcknowledgements(version, begun)
	}
	return result
}

// configurationSizeLimit returns the largest body of a configuration, in bytes, that this process accepts.
func (plane *ControlPlane) configurationSizeLimit() int64 {
	byMemory := int64(plane.Settings.MemoryMB) << 20 / configurationMemoryDivisor
	return min(max(minConfigurationLimit, byMemory), maxConfigurationLimit)
}

// applyChange decides on a change and writes it. It returns the response, and the version of the configuration that gateways
// are to acknowledge before a 200 is sent; ok is false if this process is not the primary.
func (plane *ControlPlane) applyChange(ctx context.Context, change configurationChange, body []byte) (version uint64, result response, ok bool) {
	decided, state, err := plane.decideAndWriteChange(ctx, change, body)
	if err == nil && decided != decisionAccept {
		// A primary that was deposed must neither reject what its successor has accepted, nor acknowledge what its successor
		// does not have. The state was read before the round trip begins, and contains everything that was acknowledged.
		if plane.barrier.wait(ctx, state.epoch) != nil {
			err = errUnconfirmed
		}
	}
	switch {
	case errors.Is(err, errNotPrimary):
		return 0, response{}, false
	case err != nil:
		return 0, unavailableResponse(err.Error()), true
	}
	if (decided == decisionAccept || decided == decisionAlreadyAccepted) && change.revision == state.changes.current {
		version = state.configuration.Version
	}
	return version, decided.toResponse(change, state.changes.current), true
}

// toResponse returns the response to a change. current is the revision in force when the change was decided on.
func (d decision) toResponse(change configurationChange, current int64) response {
	switch d {
	case decisionAccept, decisionAlreadyAccepted:
		return okResponse(revisionBody{Revision: change.revision})
	case decisionConflict:
		return errorResponse(http.StatusPreconditionFailed, fmt.Sprintf("the current revision is %d", current))
	case decisionNotNewer:
		return errorResponse(http.StatusBadRequest, fmt.Sprintf("revision is not above the current one, %d", current))
	case decisionStateTooLarge:
		return errorResponse(http.StatusRequestEntityTooLarge, errStateTooLarge.Error())
	default: // decisionTooOld: it is no longer known whether the change was accepted
		return unavailableResponse(fmt.Sprintf("older than the orders that are remembered; the current revision is %d", current))
	}
}

// revisionBody is the body of the response to a change that was accepted.
type revisionBody struct {
	Revision int64 `json:"revision"`
}

// decideAndWriteChange decides on a change and, if it is accepted, writes it under the same lock. It returns the state that the
// decision was based on or, with decisionAccept, which means that the change was written, the state that contains it.
func (plane *ControlPlane) decideAndWriteChange(ctx context.Context, change configurationChange, body []byte) (decision, *publishedState, error) {
	decide := func(state *publishedState) decision { return state.changes.decide(change) }
	write := func(ctx context.Context, state *publishedState) (decision, *publishedState, error) {
		return plane.writeConfiguration(ctx, state, change, body)
	}
	return decideAndWrite(ctx, plane, decisionAccept, decide, write)
}

// writeConfiguration writes a configuration together with the record of its change, publishes it, and returns a state that
// contains it; or decisionStateTooLarge with the state before. The caller holds the writer lock.
func (plane *ControlPlane) writeConfiguration(ctx context.Context, before *publishedState, change configurationChange, body []byte) (decision, *publishedState, error) {
	changes, sets := before.changes.accept(change)
	sets[keyConfiguration] = body
	version, err := plane.write(ctx, before.epoch, sets)
	if errors.Is(err, errStateTooLarge) {
		return decisionStateTooLarge, before, nil
	}
	if err != nil {
		return decisionAccept, nil, errOutcomeUnknown
	}
	after := *before
	after.configuration = &tierv1.Configuration{Version: version, Body: body}
	after.compressedConfiguration, after.changes = compressConfiguration(after.configuration), changes
	plane.updatePublished(before.epoch, func(state *publishedState) {
		state.configuration, state.compressedConfiguration, state.changes = after.configuration, after.compressedConfiguration, after.changes
	})
	plane.Log.Info().Str("event", "configuration").Int64("revision", change.revision).Uint64("version", version).
		Msg("accepted a configuration")
	return decisionAccept, &after, nil
}

// awaitAcknowledgements waits until all gateways with an active session have acknowledged a version of the configuration, or
// the wait times out. begun is when the body of the call had been read.
func (plane *ControlPlane) awaitAcknowledgements(version uint64, begun time.Time) {
	timeout := min(plane.Settings.ConfigApply/acknowledgementWaitDivisor, replaceTimeout-time.Since(begun))
	if timeout <= 0 {
		return
	}
	end := time.NewTimer(timeout)
	defer end.Stop()
	for {
		plane.mu.Lock()
		behind := plane.sessions.countBehind(time.Now(), version)
		acknowledged := plane.sessions.acknowledgedChannel()
		plane.mu.Unlock()
		if behind == 0 {
			return
		}
		again := time.NewTimer(acknowledgementCheckInterval)
		select {
		case <-acknowledged:
		case <-again.C:
		case <-end.C:
			again.Stop()
			plane.Log.Info().Str("event", "gateways_behind").Uint64("version", version).Int("lacking", behind).
				Msg("acknowledging a configuration before all gateways have applied it")
			return
		}
		again.Stop()
	}
}

// confirmedState returns the published state after a read barrier; or nil and the response to send instead.
func (plane *ControlPlane) confirmedState(r *http.Request) (*publishedState, response) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorWriteTimeout)
	defer cancel()
	state, ok := plane.primary()
	if !ok {
		return nil, plane.redirectToPrimary(r)
	}
	if err := plane.barrier.wait(ctx, state.epoch); err != nil {
		return nil, unavailableResponse(errUnconfirmed.Error())
	}
	now, ok := plane.primary()
	if !ok || now.epoch != state.epoch {
		return nil, plane.redirectToPrimary(r)
	}
	return now, response{}
}

// describeConfiguration serves Configuration.Describe.
func (plane *ControlPlane) describeConfiguration(r *http.Request) response {
	state, instead := plane.confirmedState(r)
	switch {
	case state == nil:
		return instead
	case state.configuration == nil:
		return errorResponse(http.StatusNotFound, "there is no configuration")
	default:
		return response{status: http.StatusOK, body: state.configuration.Body}
	}
}
