package sender

import (
	"fmt"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// setWaiting records whether a message waits to be sent, for the fleet's rate limits, which are shared by backlog.
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

// limitedCall is what rate limits go by of a message that waits.
func limitedCall(r record) fleetpolicy.Call {
	c := policyCall(r)
	c.Class, c.Bytes = r.Class, int64(len(r.Body))
	return c
}

// fleetKind is the kind that the fleet's policy gives a destination that is listed as of another.
func (s *Sender) fleetKind(destination uint32, listed string) string {
	if v, _ := s.config.Fleet.View(); v != nil {
		return v.Policy.Kind(destination, listed)
	}
	return listed
}

// recheckPolicy has a message looked at whose call has ended while the policy was changed against it: it was passed over then,
// and would be sent again and again if the fleet was against it as it was about to be written.
func (s *Sender) recheckPolicy(m *message, e callResult) {
	if s.config.Fleet == nil || m.ended || e.Outcome == brain.Served || e.Final {
		return
	}
	if why, _ := s.policyObjection(m.storedMessage.record); why != "" {
		s.signalPolicyChange()
	}
}

// policyCall is what the policy judges of a message.
func policyCall(r record) fleetpolicy.Call {
	return fleetpolicy.Call{Destination: r.Dest, Tenant: r.Tenant}
}

// policyObjection says why a message can't go for longer than a change takes to come into force; "" if nothing is against it.
// suspended is that its destination is closed to it by policy.
func (s *Sender) policyObjection(r record) (why string, suspended bool) {
	v, acts := s.config.Fleet.View()
	if !acts {
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

// closedByFleet reports whether nothing is sent to a destination just now.
func (s *Sender) closedByFleet(destination uint32) bool {
	v, acts := s.config.Fleet.View()
	return !acts || !v.IsOpen(destination) || v.Suspended.HasDestination(destination)
}

// applyPolicy applies the policy to a message that is submitted: it may go to another destination, or be given up sooner. why
// is why it is rejected, "" if it is not; its client may submit it again, as it was not sent.
func (s *Sender) applyPolicy(r *record) (why string) {
	if s.config.Fleet == nil {
		return ""
	}
	v, acts := s.config.Fleet.View()
	if !acts {
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

// admission is what a call asks of the fleet before its first byte; nil where there is no fleet.
func (s *Sender) admission(m *message, endpoint string) func() (func(), func(bool), bool) {
	if s.config.Fleet == nil {
		return nil
	}
	c := limitedCall(m.storedMessage.record) // the loop may drop the message meanwhile
	c.Endpoint = endpoint
	return func() (func(), func(bool), bool) {
		left, over, why := s.config.Fleet.Admit(c)
		return left, over, why == ""
	}
}
