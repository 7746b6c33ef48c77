package main

import (
	"fmt"
	"math"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/settings"
	"saffronyard.example/saffronyard/internal/wire"
)

// Scopes of an endpoint update on the wire.
const (
	scopeChange = 0 // any other scope below scopeFailed is the complete list
	scopeFailed = 3
)

// availabilityReady is the availability of an endpoint that is ready.
const availabilityReady = 1

// outcomes translates the results on the wire.
var outcomes = map[uint8]brain.Outcome{
	10: brain.Served,
	20: brain.Errored,
	30: brain.Rejected,
	40: brain.TimedOut,
	50: brain.ConnectFailed,
	60: brain.ConnectionLost,
	70: brain.Cancelled,
	80: brain.NotSent,
}

// fieldError reports an invalid value of a field of a record. Its field name is the one in the documentation of the wire protocol.
type fieldError struct {
	field  string
	value  any
	reason string
}

// Error implements error.
func (e *fieldError) Error() string { return fmt.Sprintf("%s %v %s", e.field, e.value, e.reason) }

// translate translates one record. It returns nil for a record that the decision module does not need.
func (h *host) translate(in *instance, e *wire.Event) (brain.Event, error) {
	switch e.Code {
	case wire.CodeEndpointUpdate:
		return h.endpointUpdate(e)
	case wire.CodeMessage:
		return in.message(e)
	case wire.CodeAttemptResult:
		return in.attemptResult(e)
	case wire.CodeWithdrawn:
		return brain.Withdrawn{Message: brain.MessageID(e.Message)}, nil
	case wire.CodeTimerFired:
		return brain.TimerFired{}, nil
	}
	return nil, nil
}

func (h *host) endpointUpdate(e *wire.Event) (brain.Event, error) {
	if e.Scope > scopeFailed {
		return nil, &fieldError{"scope", e.Scope, "is unknown"}
	}
	if e.Scope == scopeFailed {
		// The wire protocol does not contain the cause of the failure, so the more costly cause is assumed.
		return brain.EndpointUpdate{Failed: true, Overloaded: true}, nil
	}
	page, ok := h.pages[e.Page]
	if !ok {
		return nil, &fieldError{"catalog", e.Page, "was never sent"}
	}
	update := brain.EndpointUpdate{Complete: e.Scope != scopeChange}
	for _, endpoint := range page {
		update.Endpoints = append(update.Endpoints, brain.Endpoint{
			ID:          brain.EndpointID(endpoint.ID),
			Destination: brain.DestinationID(endpoint.Destination),
			Kind:        int(endpoint.Kind),
			Zone:        int(endpoint.Zone),
			Ready:       endpoint.Availability == availabilityReady,
			Rating:      float64(endpoint.Rating),
		})
	}
	return update, nil
}

func (in *instance) message(e *wire.Event) (brain.Event, error) {
	if int(e.Class) >= in.classes {
		return nil, &fieldError{"class", e.Class, "is not among the settings"}
	}
	if e.Destination < 0 || e.Destination > math.MaxUint16 {
		return nil, &fieldError{"destination", e.Destination, "is out of bounds"}
	}
	return brain.Message{
		ID:          brain.MessageID(e.Message),
		Class:       int(e.Class),
		Tenant:      int(e.Tenant),
		Destination: brain.DestinationID(e.Destination),
		OrderingKey: e.OrderingKey,
		Deadline:    settings.DurationFromMs(e.Deadline),
	}, nil
}

func (in *instance) attemptResult(e *wire.Event) (brain.Event, error) {
	outcome, ok := outcomes[e.Outcome]
	if !ok {
		return nil, &fieldError{"result", e.Outcome, "is unknown"}
	}
	result := brain.AttemptResult{
		Message:  brain.MessageID(e.Message),
		Attempt:  int(e.Attempt),
		Endpoint: brain.EndpointID(e.Endpoint),
		Outcome:  outcome,
		Elapsed:  settings.DurationFromMs(e.Elapsed),
		Final:    e.Final,
	}
	if outcome == brain.Rejected {
		result.RetryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
	}
	if in.remainingField >= 0 && in.remainingField < len(e.LoadReport) {
		result.LimitReported, result.Remaining = true, float64(e.LoadReport[in.remainingField])
	}
	if in.limitField >= 0 && in.limitField < len(e.LoadReport) {
		result.Limit = float64(e.LoadReport[in.limitField])
	}
	return result, nil
}
