package controlplane

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/routing"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

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
	if err != nil { // also where its base is not the current one: it never becomes valid
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	// What was begun is ended even if the caller has gone: its next try finds out.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), begun.Add(operatorWriteTimeout))
	defer cancel()
	order := configurationChange{revision: table.Revision, baseRevision: base, digest: digestOf(body)}
	version, a, ok := plane.applyChange(ctx, order, body)
	if !ok {
		return plane.redirectToPrimary(r)
	}
	if a.status == http.StatusOK {
		plane.awaitAcknowledgements(version, begun)
	}
	return a
}

// applyChange decides on an order and carries it out. It gives the answer, and the version of the configuration that
// gateways are to acknowledge before a 200; ok is false where this process is not the primary.
func (plane *ControlPlane) applyChange(ctx context.Context, order configurationChange, body []byte) (version uint64, a response, ok bool) {
	verdict, v, err := plane.decideAndWriteChange(ctx, order, body)
	if err == nil && verdict != decisionAccept {
		// A primary that was deposed must neither refuse what has been taken by its successor, nor acknowledge what its
		// successor does not have. The view was read before the round trip begins, and all that was acknowledged is in it.
		if plane.barrier.wait(ctx, v.epoch) != nil {
			err = errUnconfirmed
		}
	}
	switch {
	case errors.Is(err, errNotPrimary):
		return 0, response{}, false
	case err != nil:
		return 0, unavailableResponse(err.Error()), true
	}
	current := strconv.FormatInt(v.changes.current, 10)
	switch verdict {
	case decisionAccept, decisionAlreadyAccepted:
		if order.revision == v.changes.current {
			version = v.configuration.Version
		}
		return version, revisionResponse(order), true
	case decisionConflict:
		return 0, errorResponse(http.StatusPreconditionFailed, "the current revision is "+current), true
	case decisionNotNewer:
		return 0, errorResponse(http.StatusBadRequest, "revision is not above the current one, "+current), true
	case decisionStateTooLarge:
		return 0, errorResponse(http.StatusRequestEntityTooLarge, errStateTooLarge.Error()), true
	default:
		return 0, unavailableResponse("older than the orders that are remembered; the current revision is " + current), true
	}
}

// configurationSizeLimit is the largest body of a configuration, in bytes, that this process takes.
func (plane *ControlPlane) configurationSizeLimit() int64 {
	ofMemory := int64(plane.Settings.MemoryMB) << 20 / configurationMemoryDivisor
	return min(max(minConfigurationLimit, ofMemory), maxConfigurationLimit)
}

// decideAndWriteChange decides on an order, and writes it if it is the next, in one step with the decision. It gives the view that
// was decided on; with verdictTake, which says that it was written, the view that has it.
func (plane *ControlPlane) decideAndWriteChange(ctx context.Context, order configurationChange, body []byte) (decision, *view, error) {
	decide := func(v *view) decision { return v.changes.decide(order) }
	write := func(ctx context.Context, v *view) (decision, *view, error) {
		return plane.writeConfiguration(ctx, v, order, body)
	}
	return decideAndWrite(ctx, plane, decisionAccept, decide, write)
}

func revisionResponse(order configurationChange) response {
	return okResponse(map[string]int64{"revision": order.revision})
}

// writeConfiguration writes a configuration together with the record of its order, shows it, and gives a view that has it; or else
// verdictTooLarge with the view as it was. The caller has the right to write.
func (plane *ControlPlane) writeConfiguration(ctx context.Context, before *view, order configurationChange, body []byte) (decision, *view, error) {
	orders, sets := before.changes.accept(order)
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
	after.compressedConfiguration, after.changes = compressConfiguration(after.configuration), orders
	plane.updateView(before.epoch, func(v *view) {
		v.configuration, v.compressedConfiguration, v.changes = after.configuration, after.compressedConfiguration, after.changes
	})
	plane.Log.Info().Str("event", "configuration").Int64("revision", order.revision).Uint64("version", version).Msg("")
	return decisionAccept, &after, nil
}

// awaitAcknowledgements waits until all gateways whose sessions stand have acknowledged a version, or the time for that is over.
func (plane *ControlPlane) awaitAcknowledgements(version uint64, begun time.Time) {
	limit := min(plane.Settings.ConfigApply/acknowledgementWaitDivisor, replaceTimeout-time.Since(begun))
	if limit <= 0 {
		return
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		plane.mu.Lock()
		behind := plane.sessions.countBehind(time.Now(), version)
		acked := plane.sessions.acknowledgedChannel()
		plane.mu.Unlock()
		if behind == 0 {
			return
		}
		again := time.NewTimer(50 * time.Millisecond) // a session may have lapsed
		select {
		case <-acked:
		case <-again.C:
		case <-end.C:
			again.Stop()
			plane.Log.Info().Str("event", "gateways_behind").Uint64("version", version).Int("lacking", behind).Msg("")
			return
		}
		again.Stop()
	}
}

// confirmedView gives a view that a round trip to all backups, begun after the call, has confirmed; or else the answer.
func (plane *ControlPlane) confirmedView(r *http.Request) (*view, response) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorWriteTimeout)
	defer cancel()
	v, ok := plane.primary()
	if !ok {
		return nil, plane.redirectToPrimary(r)
	}
	if err := plane.barrier.wait(ctx, v.epoch); err != nil {
		return nil, unavailableResponse("the backups do not confirm it")
	}
	now, ok := plane.primary()
	if !ok || now.epoch != v.epoch {
		return nil, plane.redirectToPrimary(r)
	}
	return now, response{}
}

func (plane *ControlPlane) describeConfiguration(r *http.Request) response {
	v, a := plane.confirmedView(r)
	switch {
	case v == nil:
		return a
	case v.configuration == nil:
		return errorResponse(http.StatusNotFound, "there is no configuration")
	default:
		return response{status: http.StatusOK, body: v.configuration.Body}
	}
}
