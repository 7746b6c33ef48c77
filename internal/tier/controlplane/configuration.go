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

func (plane *ControlPlane) replaceConfiguration(w http.ResponseWriter, r *http.Request) answer {
	body, err := readBody(w, r, plane.configurationLimit())
	begun := time.Now()
	if _, ok := plane.primary(); !ok {
		return plane.redirect(r)
	}
	if err != nil {
		return refusedBody(err)
	}
	base, err := strconv.ParseInt(strings.TrimSpace(r.Header.Get("X-Base-Revision")), 10, 64)
	if err != nil {
		return refused(http.StatusBadRequest, "X-Base-Revision is no number")
	}
	table, err := routing.Parse(body)
	if err != nil { // also where its base is not the current one: it never becomes valid
		return refused(http.StatusBadRequest, err.Error())
	}
	// What was begun is ended even if the caller has gone: its next try finds out.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), begun.Add(writeLimit))
	defer cancel()
	order := configurationOrder{revision: table.Revision, base: base, digest: digestOf(body)}
	version, a, ok := plane.takeOrder(ctx, order, body)
	if !ok {
		return plane.redirect(r)
	}
	if a.status == http.StatusOK {
		plane.waitAcknowledged(version, begun)
	}
	return a
}

// Reasons for which an order was not decided on.
var (
	errNotPrimary     = errors.New("this process is not the primary")
	errWriterBusy     = errors.New("another write is under way")
	errOutcomeUnknown = errors.New("the outcome is unknown")
	errUnconfirmed    = errors.New("the backups do not confirm it")
	errStateTooLarge  = errors.New("the control state would be too large")
)

// takeOrder decides on an order and carries it out. It gives the answer, and the version of the configuration that
// gateways are to acknowledge before a 200; ok is false where this process is not the primary.
func (plane *ControlPlane) takeOrder(ctx context.Context, order configurationOrder, body []byte) (version uint64, a answer, ok bool) {
	verdict, v, err := plane.writeIfNext(ctx, order, body)
	if err == nil && verdict != verdictTake {
		// A primary that was deposed must neither refuse what has been taken by its successor, nor acknowledge what its
		// successor does not have. The view was read before the round trip begins, and all that was acknowledged is in it.
		if plane.confirm.wait(ctx, v.epoch) != nil {
			err = errUnconfirmed
		}
	}
	switch {
	case errors.Is(err, errNotPrimary):
		return 0, answer{}, false
	case err != nil:
		return 0, unavailable(err.Error()), true
	}
	current := strconv.FormatInt(v.orders.current, 10)
	switch verdict {
	case verdictTake, verdictTaken:
		if order.revision == v.orders.current {
			version = v.configuration.Version
		}
		return version, takenAnswer(order), true
	case verdictConflict:
		return 0, refused(http.StatusPreconditionFailed, "the current revision is "+current), true
	case verdictNotAbove:
		return 0, refused(http.StatusBadRequest, "revision is not above the current one, "+current), true
	case verdictTooLarge:
		return 0, refused(http.StatusRequestEntityTooLarge, errStateTooLarge.Error()), true
	default:
		return 0, unavailable("older than the orders that are remembered; the current revision is " + current), true
	}
}

// configurationLimit is the largest body of a configuration, in bytes, that this process takes.
func (plane *ControlPlane) configurationLimit() int64 {
	ofMemory := int64(plane.Settings.MemoryMB) << 20 / bodyPart
	return min(max(bodyLeast, ofMemory), bodyMost)
}

// writeIfNext decides on an order, and writes it if it is the next, in one step with the decision. It gives the view that
// was decided on; with verdictTake, which says that it was written, the view that has it.
func (plane *ControlPlane) writeIfNext(ctx context.Context, order configurationOrder, body []byte) (verdict, *view, error) {
	decide := func(v *view) verdict { return v.orders.decide(order) }
	write := func(ctx context.Context, v *view) (verdict, *view, error) {
		return plane.writeOrder(ctx, v, order, body)
	}
	return decideAndWrite(ctx, plane, verdictTake, decide, write)
}

func takenAnswer(order configurationOrder) answer {
	return accepted(map[string]int64{"revision": order.revision})
}

// writeOrder writes a configuration together with the record of its order, shows it, and gives a view that has it; or else
// verdictTooLarge with the view as it was. The caller has the right to write.
func (plane *ControlPlane) writeOrder(ctx context.Context, before *view, order configurationOrder, body []byte) (verdict, *view, error) {
	orders, sets := before.orders.take(order)
	sets[keyConfiguration] = body
	version, err := plane.put(ctx, before.epoch, sets)
	if errors.Is(err, errStateTooLarge) {
		return verdictTooLarge, before, nil
	}
	if err != nil {
		return verdictTake, nil, errOutcomeUnknown
	}
	after := *before
	after.configuration = &tierv1.Configuration{Version: version, Body: body}
	after.packed, after.orders = pack(after.configuration), orders
	plane.changeView(before.epoch, func(v *view) {
		v.configuration, v.packed, v.orders = after.configuration, after.packed, after.orders
	})
	plane.Log.Info().Str("event", "configuration").Int64("revision", order.revision).Uint64("version", version).Msg("")
	return verdictTake, &after, nil
}

// waitAcknowledged waits until all gateways whose sessions stand have acknowledged a version, or the time for that is over.
func (plane *ControlPlane) waitAcknowledged(version uint64, begun time.Time) {
	limit := min(plane.Settings.ConfigApply/applyPart, answerLimit-time.Since(begun))
	if limit <= 0 {
		return
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		plane.mu.Lock()
		behind := plane.sessions.behind(time.Now(), version)
		acked := plane.sessions.acknowledged()
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
func (plane *ControlPlane) confirmedView(r *http.Request) (*view, answer) {
	ctx, cancel := context.WithTimeout(r.Context(), writeLimit)
	defer cancel()
	v, ok := plane.primary()
	if !ok {
		return nil, plane.redirect(r)
	}
	if err := plane.confirm.wait(ctx, v.epoch); err != nil {
		return nil, unavailable("the backups do not confirm it")
	}
	now, ok := plane.primary()
	if !ok || now.epoch != v.epoch {
		return nil, plane.redirect(r)
	}
	return now, answer{}
}

func (plane *ControlPlane) describeConfiguration(r *http.Request) answer {
	v, a := plane.confirmedView(r)
	switch {
	case v == nil:
		return a
	case v.configuration == nil:
		return refused(http.StatusNotFound, "there is no configuration")
	default:
		return answer{status: http.StatusOK, body: v.configuration.Body}
	}
}
