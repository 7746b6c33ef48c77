package fleetpolicy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/quota"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// View is the policy, membership and health state that a sender applies to calls at one index of the log. It is immutable once published.
type View struct {
	Index      uint64
	Version    uint64
	Policy     *Policy
	OpenChange uint64    // id of the open change; 0: none
	Suspended  *Affected // calls that the open change suspends; nil: none
	Unfit      error     // why this sender can't apply the policy, so that it begins no call; nil: it can

	Membership *pb.MembershipState // active and proposed participants, which own limits and destinations
	Health     *pb.HealthState     // statuses that have not expired here
	Rank       int                 // of this sender among the members in order of joining; -1: it is no member
}

// Ownership is the ownership of keys under the active membership.
func (v *View) Ownership() *coordinator.Ownership {
	return coordinator.NewOwnership(v.Membership.GetParticipants())
}

// Allows reports whether a call may be begun under the view; if not, why is the reason in words for operators.
func (v *View) Allows(c Call) (ok bool, why string) {
	if v.Unfit != nil {
		return false, "the fleet's policy can't be followed here"
	}
	if v.Suspended.HasCall(c) {
		return false, "a change of the fleet's policy is about to take hold"
	}
	if s := health.StatusOf(v.Health, c.Destination, true); s != nil {
		return false, fmt.Sprintf("%s has suspended its destination", s.Author)
	}
	return v.Policy.Allows(c)
}

// HealthStatuses are the statuses that have not expired; a nil view has none.
func (v *View) HealthStatuses() []*pb.HealthStatus {
	if v == nil {
		return nil
	}
	return v.Health.GetStatuses()
}

// IsOpen reports whether calls to a destination may be begun at all: neither the policy nor an operator has stopped them.
func (v *View) IsOpen(destination uint32) bool {
	return v.Policy.IsOpen(destination) && health.StatusOf(v.Health, destination, true) == nil
}

// healthLimit is the limit that a health status sets for its destination: one probe of the whole fleet per interval while the destination is
// ejected, and the slow start's rate afterwards. ok is false if there is no status, or no rule.
func (v *View) healthLimit(destination uint32) (l quota.Limit, ok bool) {
	status := health.StatusOf(v.Health, destination, false)
	r, ruled := v.Policy.HealthRule(destination)
	if status == nil || !ruled {
		return l, false
	}
	l = quota.Limit{Key: fmt.Sprintf("destination %d, probes", destination), Units: 1, Span: r.ProbeInterval, TransitJitter: r.TransitJitter}
	if health.Kind(status.Kind) == health.KindWarmingUp {
		l = quota.Limit{Key: fmt.Sprintf("destination %d, return", destination), Units: r.InitialRate, Span: time.Second, TransitJitter: r.TransitJitter, SlowStartUnits: r.FullRate, SlowStartTime: r.SlowStart}
	}
	return l, true
}

// Limits are the limits of the policy and of health statuses, by key.
func (v *View) Limits() []quota.Limit {
	all := v.Policy.Limits()
	for _, status := range v.Health.GetStatuses() {
		if l, ok := v.healthLimit(status.Destination); ok && health.Kind(status.Kind) != health.KindSuspended {
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b quota.Limit) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// Usages are the units that a call uses of each limit that applies to it.
func (v *View) Usages(c Call) []quota.Usage {
	uses := v.Policy.Usages(c)
	if len(v.Health.GetStatuses()) > 0 {
		if l, ok := v.healthLimit(c.Destination); ok {
			uses = append(uses, quota.Usage{Key: l.Key, Units: 1})
		}
	}
	return uses
}

// RateLimits are the limits that apply to a destination alone; its calls are paced by them.
func (v *View) RateLimits(destination uint32) (all []quota.Limit) {
	if l, ok := v.Policy.RateLimit(destination); ok {
		all = append(all, l)
	}
	if l, ok := v.healthLimit(destination); ok {
		all = append(all, l)
	}
	return all
}

// View is the view of a sender with these settings at an index; the caller must fill in Membership, Health and Rank.
func (m *Machine) View(index uint64, s Settings) *View {
	v := &View{Index: index, Version: m.state.Version, Policy: m.policy, Unfit: m.policy.CheckSettings(s)}
	if o := m.state.OpenChange; o != nil {
		v.OpenChange = o.Id
		if o.FreezeIndex != 0 {
			v.Suspended = AffectedBySwitch(m.policy, m.next)
		}
	}
	return v
}
