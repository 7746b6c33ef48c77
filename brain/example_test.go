package brain_test

import (
	"fmt"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// A sender passes in its list of endpoints and a message, and carries out the actions that Step returns.
func ExampleBrain() {
	b := brain.New(brain.Settings{
		Senders: 1, Slots: 8, MaxPending: 100, MaxAttempts: 6, StepInterval: 5 * time.Millisecond,
		Kinds: []brain.Kind{{MaxBatch: 1}},
		Classes: []brain.Class{{LatencyTarget: time.Second, Deadline: 10 * time.Second, Idempotency: brain.NonIdempotent,
			Value: 1, LateValue: 0.5}},
	}, 42)
	actions := b.Step(0, []brain.Event{
		brain.EndpointUpdate{Complete: true, Endpoints: []brain.Endpoint{{ID: 7, Destination: 3, Ready: true}}},
		brain.Message{ID: 1, Destination: 3, Deadline: 10 * time.Second},
	})
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			fmt.Println("call endpoint", a.Endpoint, "with message", a.Message, "for at most", a.Timeout)
		case brain.SetTimer:
			// call Step again at a.At with a brain.TimerFired, if there was no other event by then
		}
	}
	b.Step(90*time.Millisecond, []brain.Event{brain.AttemptResult{Message: 1, Endpoint: 7, Outcome: brain.Served,
		Elapsed: 90 * time.Millisecond, Final: true}})
	// Output: call endpoint 7 with message 1 for at most 10s
}
