package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/settings"
	"saffronyard.example/saffronyard/internal/wire"
)

// instance is one hosted sender.
type instance struct {
	number         uint16
	brain          *brain.Brain
	remainingField int // index in a load report of the remaining fraction of the rate limit, -1 if absent
	limitField     int // index in a load report of the rate limit, -1 if absent
	classes        int // number of classes in its settings
	events         []brain.Event
	inBatch        bool // it has events in this batch
}

// host runs the instances. It is used by one goroutine.
type host struct {
	instances map[uint16]*instance
	order     []*instance // in the order of their first event in the batch
	pages     map[uint32][]wire.Endpoint
	reply     wire.Reply
}

func newHost() *host {
	return &host{instances: map[uint16]*instance{}, pages: map[uint32][]wire.Endpoint{}}
}

// milliseconds converts a duration to the wire's unit.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// serveBatch reads one batch, steps the instances that have events in it, and writes the reply. It returns false when the
// input has ended.
func (h *host) serveBatch(r io.Reader, w io.Writer) (bool, error) {
	batch, err := wire.ReadBatch(r)
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	h.order = h.order[:0]
	for i := range batch.Events {
		e := &batch.Events[i]
		if err := h.record(e); err != nil {
			return false, &wire.RecordError{Index: e.Index, Offset: e.Offset, Code: int(e.Code), Err: err}
		}
	}
	now := settings.DurationFromMs(batch.Clock)
	for _, in := range h.order {
		if h.instances[in.number] == in {
			h.step(in, now)
		}
		in.events, in.inBatch = in.events[:0], false
	}
	return true, h.reply.Flush(w)
}

// record processes one record: it stores a page, starts or removes an instance, or queues an event for its instance.
func (h *host) record(e *wire.Event) error {
	switch e.Code {
	case wire.CodeEndpointPage:
		h.pages[e.Page] = e.Endpoints
		return nil
	case wire.CodeHello:
		in, err := newInstance(e)
		if err != nil {
			return err
		}
		h.instances[e.Instance] = in
		in.inBatch = true
		h.order = append(h.order, in)
		return nil
	}
	in := h.instances[e.Instance]
	if in == nil {
		return &fieldError{"instance", e.Instance, "is not running"}
	}
	if e.Code == wire.CodeExit {
		delete(h.instances, e.Instance)
		return nil
	}
	ev, err := h.translate(in, e)
	if err != nil {
		return err
	}
	if !in.inBatch {
		in.inBatch = true
		h.order = append(h.order, in)
	}
	if ev != nil {
		in.events = append(in.events, ev)
	}
	return nil
}

// step runs the decision module and writes its actions; a panic in it becomes an internal_error.
func (h *host) step(in *instance, now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.InternalError(in.number, fmt.Sprint("panic in the decision module: ", p))
		}
	}()
	for _, a := range in.brain.Step(now, in.events) {
		switch a := a.(type) {
		case brain.Send:
			h.reply.Send(in.number, uint64(a.Message), milliseconds(a.Timeout), uint32(a.Endpoint))
		case brain.Reject:
			h.reply.Reject(in.number, uint64(a.Message), milliseconds(a.RetryAfter))
		case brain.Fail:
			h.reply.Fail(in.number, uint64(a.Message))
		case brain.Cancel:
			h.reply.Cancel(in.number, uint64(a.Message), uint8(a.Attempt))
		case brain.CloseIdleConns:
			h.reply.CloseIdleConns(in.number, uint32(a.Endpoint))
		case brain.SetTimer:
			h.reply.SetTimer(in.number, milliseconds(a.At), 0)
		case brain.WatchEndpoints:
			h.reply.WatchEndpoints(in.number)
		case brain.Log:
			h.reply.Log(in.number, a.Line)
		}
	}
}

// newInstance starts an instance with the settings of a hello.
func newInstance(e *wire.Event) (*instance, error) {
	env, err := wire.ParseSettings(e.Settings)
	if err != nil {
		return nil, err
	}
	s := settings.Translate(env)
	in := &instance{number: e.Instance, remainingField: -1, limitField: -1, classes: len(s.Classes)}
	for i, name := range env.List("telemetry.fields") {
		switch name {
		case "x0":
			in.remainingField = i
		case "x1":
			in.limitField = i
		}
	}
	if err := env.Err(); err != nil {
		return nil, err
	}
	in.brain = brain.New(s, e.Seed)
	return in, nil
}
