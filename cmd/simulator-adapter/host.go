package main

import (
	"fmt"
	"io"
	"math"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/settings"
	"saffronyard.example/saffronyard/internal/wire"
)

// instance is one hosted sender.
type instance struct {
	number                     uint16
	brain                      *brain.Brain
	remainingField, limitField int // places of the two report values, -1 if absent
	events                     []brain.Event
	classes                    int
	inBatch                    bool // has events in this batch
}

type host struct {
	instances map[uint16]*instance
	order     []*instance // in order of first event in the batch
	pages     map[uint32][]wire.Endpoint
	reply     wire.Reply
}

func newHost() *host {
	return &host{instances: map[uint16]*instance{}, pages: map[uint32][]wire.Endpoint{}}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// serveBatch handles one batch; it reports false when the input has ended.
func (h *host) serveBatch(r io.Reader, w io.Writer) (bool, error) {
	batch, err := wire.ReadBatch(r)
	if err == io.EOF {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	h.order = h.order[:0]
	for i := range batch.Events {
		e := &batch.Events[i]
		if err := h.record(e); err != nil {
			return false, fmt.Errorf("record %d at offset %d (code %d): %v", e.Index, e.Offset, e.Code, err)
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

// record books one record with its instance.
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
		return fmt.Errorf("instance %d is not running", e.Instance)
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

// translate translates one record; nil for those that the module has no use for.
func (h *host) translate(in *instance, e *wire.Event) (brain.Event, error) {
	switch e.Code {
	case wire.CodeEndpointUpdate:
		if e.Scope > 3 {
			return nil, fmt.Errorf("scope %d is unknown", e.Scope)
		}
		if e.Scope == 3 {
			return brain.EndpointUpdate{Failed: true, Overloaded: true}, nil // it bears no mark of why, so the dearer is taken for it
		}
		nodes, ok := h.pages[e.Page]
		if !ok {
			return nil, fmt.Errorf("catalog %d was never sent", e.Page)
		}
		news := brain.EndpointUpdate{Complete: e.Scope != 0}
		for _, n := range nodes {
			news.Endpoints = append(news.Endpoints, brain.Endpoint{ID: brain.EndpointID(n.ID),
				Destination: brain.DestinationID(n.Destination), Kind: int(n.Kind), Zone: int(n.Zone),
				Ready: n.Availability == 1, Rating: float64(n.Rating)})
		}
		return news, nil
	case wire.CodeMessage:
		if int(e.Class) >= in.classes {
			return nil, fmt.Errorf("class %d is not among the settings", e.Class)
		}
		if e.Destination < 0 || e.Destination > math.MaxUint16 {
			return nil, fmt.Errorf("destination %g is out of bounds", e.Destination)
		}
		return brain.Message{ID: brain.MessageID(e.Message), Class: int(e.Class), Tenant: int(e.Tenant),
			Destination: brain.DestinationID(e.Destination), OrderingKey: e.OrderingKey, Deadline: settings.DurationFromMs(e.Deadline)}, nil
	case wire.CodeAttemptResult:
		outcome, ok := outcomes[e.Outcome]
		if !ok {
			return nil, fmt.Errorf("result %d is unknown", e.Outcome)
		}
		end := brain.AttemptResult{Message: brain.MessageID(e.Message), Attempt: int(e.Attempt),
			Endpoint: brain.EndpointID(e.Endpoint), Outcome: outcome, Elapsed: settings.DurationFromMs(e.Elapsed), Final: e.Final}
		if outcome == brain.Rejected {
			end.RetryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
		}
		if in.remainingField >= 0 && in.remainingField < len(e.LoadReport) {
			end.LimitReported, end.Remaining = true, float64(e.LoadReport[in.remainingField])
		}
		if in.limitField >= 0 && in.limitField < len(e.LoadReport) {
			end.Limit = float64(e.LoadReport[in.limitField])
		}
		return end, nil
	case wire.CodeWithdrawn:
		return brain.Withdrawn{Message: brain.MessageID(e.Message)}, nil
	case wire.CodeTimerFired:
		return brain.TimerFired{}, nil
	}
	return nil, nil
}

var outcomes = map[uint8]brain.Outcome{10: brain.Served, 20: brain.Errored, 30: brain.Rejected, 40: brain.TimedOut,
	50: brain.ConnectFailed, 60: brain.ConnectionLost, 70: brain.Cancelled, 80: brain.NotSent}

// step runs the module and writes its actions; a panic in it becomes an internal_error.
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
