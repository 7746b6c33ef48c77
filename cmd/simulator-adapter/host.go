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
	number      uint16
	brain       *brain.Brain
	left, limit int // places of the two report values, -1 if absent
	events      []brain.Event
	classes     int
	seen        bool // has events in this batch
}

type host struct {
	instances map[uint16]*instance
	order     []*instance // in order of first event in the batch
	pages     map[uint32][]wire.Node
	reply     wire.Reply
}

func newHost() *host {
	return &host{instances: map[uint16]*instance{}, pages: map[uint32][]wire.Node{}}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// round handles one batch; it reports false when the input has ended.
func (h *host) round(r io.Reader, w io.Writer) (bool, error) {
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
		if err := h.take(e); err != nil {
			return false, fmt.Errorf("record %d at offset %d (code %d): %v", e.Index, e.Offset, e.Code, err)
		}
	}
	now := settings.Span(batch.Clock)
	for _, in := range h.order {
		if h.instances[in.number] == in {
			h.step(in, now)
		}
		in.events, in.seen = in.events[:0], false
	}
	return true, h.reply.Flush(w)
}

// take books one record with its instance.
func (h *host) take(e *wire.Event) error {
	switch e.Code {
	case wire.CodeCatalog:
		h.pages[e.Page] = e.Nodes
		return nil
	case wire.CodeHello:
		in, err := newInstance(e)
		if err != nil {
			return err
		}
		h.instances[e.Instance] = in
		in.seen = true
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
	ev, err := h.event(in, e)
	if err != nil {
		return err
	}
	if !in.seen {
		in.seen = true
		h.order = append(h.order, in)
	}
	if ev != nil {
		in.events = append(in.events, ev)
	}
	return nil
}

// event translates one record; nil for those that the module has no use for.
func (h *host) event(in *instance, e *wire.Event) (brain.Event, error) {
	switch e.Code {
	case wire.CodeDirectory:
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
			news.Endpoints = append(news.Endpoints, brain.Endpoint{ID: brain.EndpointID(n.Endpoint),
				Destination: brain.DestinationID(n.Cell), Kind: int(n.Kind), Zone: int(n.Zone),
				Ready: n.Availability == 1, Rating: float64(n.Rating)})
		}
		return news, nil
	case wire.CodeSubmit:
		if int(e.Priority) >= in.classes {
			return nil, fmt.Errorf("class %d is not among the settings", e.Priority)
		}
		if e.FarEnd < 0 || e.FarEnd > math.MaxUint16 {
			return nil, fmt.Errorf("destination %g is out of bounds", e.FarEnd)
		}
		return brain.Message{ID: brain.MessageID(e.Call), Class: int(e.Priority), Tenant: int(e.Billing),
			Destination: brain.DestinationID(e.FarEnd), OrderingKey: e.Object, Deadline: settings.Span(e.Expires)}, nil
	case wire.CodeEnd:
		outcome, ok := outcomes[e.Result]
		if !ok {
			return nil, fmt.Errorf("result %d is unknown", e.Result)
		}
		end := brain.AttemptResult{Message: brain.MessageID(e.Call), Attempt: int(e.Try),
			Endpoint: brain.EndpointID(e.Endpoint), Outcome: outcome, Elapsed: settings.Span(e.Elapsed), Final: e.NoMore}
		if outcome == brain.Rejected {
			end.RetryAfter = time.Duration(e.WaitMs) * time.Millisecond
		}
		if in.left >= 0 && in.left < len(e.Report) {
			end.LimitReported, end.Remaining = true, float64(e.Report[in.left])
		}
		if in.limit >= 0 && in.limit < len(e.Report) {
			end.Limit = float64(e.Report[in.limit])
		}
		return end, nil
	case wire.CodeGone:
		return brain.Withdrawn{Message: brain.MessageID(e.Call)}, nil
	case wire.CodeAlarm:
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
			h.reply.Send(in.number, uint64(a.Message), millis(a.Timeout), uint32(a.Endpoint))
		case brain.Reject:
			h.reply.Decline(in.number, uint64(a.Message), millis(a.RetryAfter))
		case brain.Fail:
			h.reply.FinishError(in.number, uint64(a.Message))
		case brain.Cancel:
			h.reply.Cancel(in.number, uint64(a.Message), uint8(a.Attempt))
		case brain.CloseIdleConns:
			h.reply.Close(in.number, uint32(a.Endpoint))
		case brain.SetTimer:
			h.reply.WakeMe(in.number, millis(a.At), 0)
		case brain.WatchEndpoints:
			h.reply.StreamChanges(in.number)
		case brain.Log:
			h.reply.WriteLog(in.number, a.Line)
		}
	}
}

func newInstance(e *wire.Event) (*instance, error) {
	env, err := wire.ParseEnv(e.Env)
	if err != nil {
		return nil, err
	}
	s := settings.Translate(env)
	in := &instance{number: e.Instance, left: -1, limit: -1, classes: len(s.Classes)}
	for i, name := range env.List("telemetry.fields") {
		switch name {
		case "x0":
			in.left = i
		case "x1":
			in.limit = i
		}
	}
	if err := env.Err(); err != nil {
		return nil, err
	}
	in.brain = brain.New(s, e.Nonce)
	return in, nil
}
