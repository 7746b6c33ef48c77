// Package reference is the Brain as it was when each step looked at all that it knew: slow, and the measure of
// what the books by what is due may not change. Tests hold the two against each other, action for action.
package reference

import "saffronyard.example/saffronyard/brain"

// The types are the Brain's own, so that both can be fed the same events.
type (
	Settings      = brain.Settings
	Kind          = brain.Kind
	Effect        = brain.Effect
	Class         = brain.Class
	Tenant        = brain.Tenant
	Event         = brain.Event
	Message       = brain.Message
	Outcome       = brain.Outcome
	AttemptEnd    = brain.AttemptEnd
	Earlier       = brain.Earlier
	Withdrawn     = brain.Withdrawn
	ListNews      = brain.ListNews
	Endpoint      = brain.Endpoint
	Alarm         = brain.Alarm
	Action        = brain.Action
	Send          = brain.Send
	Refuse        = brain.Refuse
	Fail          = brain.Fail
	Cancel        = brain.Cancel
	CloseIdle     = brain.CloseIdle
	SetAlarm      = brain.SetAlarm
	WatchList     = brain.WatchList
	Log           = brain.Log
	MessageID     = brain.MessageID
	EndpointID    = brain.EndpointID
	DestinationID = brain.DestinationID
)

const (
	Safe          = brain.Safe
	Keyed         = brain.Keyed
	Unsafe        = brain.Unsafe
	Served        = brain.Served
	Errored       = brain.Errored
	Refused       = brain.Refused
	TimedOut      = brain.TimedOut
	ConnectFailed = brain.ConnectFailed
	Broken        = brain.Broken
	Cancelled     = brain.Cancelled
	NotSent       = brain.NotSent
)
