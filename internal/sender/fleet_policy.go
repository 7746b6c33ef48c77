package sender

import (
	"fmt"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// setWaiting records whether a message waits to be sent, for the fleet's rate limits, which are divided by backlog.
func (s *Sender) setWaiting(m *message, waiting bool) {
	if s.config.Fleet == nil || m.waiting == waiting {
		return
	}
	m.waiting = waiting
	n := int64(1)
	if !waiting {
		n = -1
	}
	s.config.Fleet.AddBacklog(limitedCall(m.storedMessage.record), n)
}

// limitedCall is the attributes of a waiting message that rate limits depend on.
func limitedCall(r record) fleetpolicy.Call {
	c := policyCall(r)
	c.Class, c.Bytes = r.Class, int64(len(r.Body))
	return c
}

// fleetKind is the kind that the fleet's policy gives a destination, or else the listed one.
func (s *Sender) fleetKind(destination uint32, listed string) string {
	if v, _ := s.config.Fleet.View(); v != nil {
		return v.Policy.Kind(destination, listed)
	}
	return listed
}

// recheckPolicy starts a check of the policy if a message whose call has ended is not allowed any more. The check after the policy
// change skipped the message, as it was in flight; without a further check, a message that the fleet rejects right before the write
// would be sent again and again.
func (s *Sender) recheckPolicy(m *message, e callResult) {
	if s.config.Fleet == nil || m.ended || e.Outcome == brain.Served || e.Final {
		return
	}
	if why, _ := s.whyDisallowed(m.storedMessage.record); why != "" {
		s.signalPolicyChange()
	}
}

// policyCall is the attributes of a message that the policy depends on.
func policyCall(r record) fleetpolicy.Call {
	return fleetpolicy.Call{Destination: r.Dest, Tenant: r.Tenant}
}

// whyDisallowed gives the reason if a message may not be sent, else "". It ignores suspensions that last only until a change has come
// into force. suspended reports that the destination is open and the policy rejects the message for another reason, a suspended tenant.
func (s *Sender) whyDisallowed(r record) (why string, suspended bool) {
	v, mayCall := s.config.Fleet.View()
	if !mayCall {
		return "this sender is cut off from the fleet", false
	}
	if ok, why := v.Policy.Allows(policyCall(r)); !ok {
		return why, v.Policy.IsOpen(r.Dest)
	}
	if !v.IsOpen(r.Dest) {
		return "its destination is suspended", false
	}
	return "", false
}

// closedByFleet reports whether the fleet allows no calls to a destination at present.
func (s *Sender) closedByFleet(destination uint32) bool {
	v, mayCall := s.config.Fleet.View()
	return !mayCall || !v.IsOpen(destination) || v.Suspended.HasDestination(destination)
}

// applyPolicy applies the policy to a message that is submitted, which may change its destination or shorten its deadline. why is the
// reason if it is rejected, "" if it is not; its client may submit a rejected message again, as it was not sent.
func (s *Sender) applyPolicy(r *record) (why string) {
	if s.config.Fleet == nil {
		return ""
	}
	v, mayCall := s.config.Fleet.View()
	if !mayCall {
		return "this sender is cut off from the fleet"
	}
	if to := v.Policy.MovedTo(r.Dest); to != r.Dest {
		if _, known := s.endpoints.Destinations[to]; !known {
			return fmt.Sprintf("the fleet's policy has moved its destination to %d, which no list names", to)
		}
		r.Dest = to
	}
	if ok, why := v.Policy.Allows(policyCall(*r)); !ok {
		return why
	}
	if !v.IsOpen(r.Dest) {
		return "its destination is suspended"
	}
	if most := v.Policy.MaxDeadline(r.Class); most > 0 {
		r.Deadline = min(r.Deadline, s.clock.now()+most)
	}
	return ""
}

// admission is the function by which a call asks for the fleet's admission before its first byte; nil without a fleet.
func (s *Sender) admission(m *message, endpoint string) func() (func(), func(bool), bool) {
	if s.config.Fleet == nil {
		return nil
	}
	c := limitedCall(m.storedMessage.record) // the loop may drop the message meanwhile
	c.Endpoint = endpoint
	return func() (func(), func(bool), bool) {
		sent, ended, why := s.config.Fleet.Admit(c)
		return sent, ended, why == ""
	}
}
