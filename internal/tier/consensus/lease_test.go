package consensus

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A process that was paused between a round trip and its reply must notice that its lease has expired: it serves no read under the lease,
// no confirm and no health figure that depends on the earlier round trip.
func TestLease_PausedNodeServesNothing(t *testing.T) {
	s := newManualNode(t, wal.NewMemory(), "a", "b", "c")
	n := s.node
	n.published.primary, n.published.epoch, n.published.leaseStart = true, 7, s.now
	n.published.health.Tolerates = 1
	s.now += n.timing.lease - time.Millisecond
	_, ok := n.Primary()
	assert.Assert(t, ok)
	assert.Equal(t, n.Health().Tolerates, 1)
	assert.Equal(t, n.Health().Lease, time.Millisecond)

	answers := make(chan error, 1)
	go func() { answers <- n.Confirm(context.Background(), 7) }()
	<-n.wake // the confirm waits for its round trip
	n.mu.Lock()
	c := n.outcomes[n.token]
	n.mu.Unlock()
	s.now += 20 * time.Second
	c <- outcome{token: n.token}
	assert.ErrorIs(t, <-answers, ErrNotPrimary)
	_, ok = n.Primary()
	assert.Assert(t, !ok)
	assert.Equal(t, n.Health().Tolerates, ToleranceUnknown)
	assert.Equal(t, n.Health().Lease, time.Duration(0))
}

// The lease of a primary without backups does not expire: its full duration is returned.
func TestLease_WithoutBackups(t *testing.T) {
	v := publishedState{primary: true, withoutBackups: true}
	assert.Equal(t, v.lease(time.Hour, time.Second), time.Second)
	v.withoutBackups = false
	assert.Equal(t, v.lease(time.Hour, time.Second), time.Duration(0))
	v.leaseStart = time.Hour - 300*time.Millisecond
	assert.Equal(t, v.lease(time.Hour, time.Second), 700*time.Millisecond)
	v.primary = false
	assert.Equal(t, v.lease(time.Hour, time.Second), time.Duration(0))
}

// newPrimary returns a primary of the members b and c, with b as its backup.
func newPrimary(t *testing.T) *replica {
	t.Helper()
	members := []*tierv1.Member{{Folder: "fa", Address: "a"}, {Folder: "fb", Address: "b"}, {Folder: "fc", Address: "c"}}
	d := durableState{identity: identity{Folder: "fa"}, preparedEpoch: 1 << epochBits, preparedFor: "fa", stateEpoch: 1 << epochBits}
	m := newReplica(d, replicaConfig{self: members[0], seeds: []string{"a", "b", "c"}, toleratedLosses: 1, timing: newTiming(3*time.Second, 0), jitterSeed: 1})
	m.actions = new(actions)
	m.now = time.Second
	m.becomePrimary(&proposal{epoch: 1 << epochBits, confirmedAt: map[string]time.Duration{"fb": m.now},
		target: &tierv1.View{Epoch: 1 << epochBits, Primary: "fa", Backups: []string{"fb"}, Members: members}})
	for _, v := range members[1:] {
		m.recordReply(v, m.now)
		m.peers[v.Address].reportsMembership = true
	}
	return m
}

// heartbeatTo returns the ID of the heartbeat in flight to an address.
func heartbeatTo(calls []outgoingCall, address string) (id uint64) {
	for _, c := range calls {
		if _, ok := c.body.(*tierv1.HeartbeatRequest); ok && c.address == address {
			id = c.id
		}
	}
	return id
}

// Two folders may propose the same epoch. A backup that prepared the epoch for the other proposer replies to a heartbeat with that epoch.
// The reply must not extend the lease of the primary whose proposal the backup refused.
func TestLease_NotRenewedByTiedEpoch(t *testing.T) {
	m := newPrimary(t)
	out := m.Step(m.now)
	m.propose(reconfiguration{replaceBackups: map[string]bool{"fb": true}})
	epoch, before := m.proposal.epoch, m.leaseStart()
	now := m.now + 100*time.Millisecond
	heartbeat := callResult{heartbeatTo(out.calls, "b"), &tierv1.HeartbeatReply{Self: &tierv1.Member{Folder: "fb", Address: "b"}, HighestPrepared: epoch, IsMember: true}}
	m.primary.confirmedAt["fb"] -= 50 * time.Millisecond // the heartbeat began after the last confirmation
	before -= 50 * time.Millisecond
	m.Step(now, heartbeat)
	assert.Equal(t, m.primary.confirmedAt["fb"], before)

	// Once the backup has prepared the epoch for this proposal, its replies to heartbeats extend the lease again.
	m = newPrimary(t)
	out = m.Step(m.now)
	m.propose(reconfiguration{})
	m.proposal.prepared["fb"] = &tierv1.PrepareReply{Prepared: true, Self: &tierv1.Member{Folder: "fb", Address: "b"}}
	m.primary.confirmedAt["fb"] -= 50 * time.Millisecond
	heartbeat.id = heartbeatTo(out.calls, "b")
	heartbeat.body = proto.Clone(heartbeat.body)
	heartbeat.body.(*tierv1.HeartbeatReply).HighestPrepared = m.proposal.epoch
	m.Step(m.now+100*time.Millisecond, heartbeat)
	assert.Assert(t, m.primary == nil || m.primary.confirmedAt["fb"] > before)
}

// The tolerated losses that a primary reports follow the formula at health.
func TestHealth_Tolerates(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(m *replica)
		tolerates int
		backups   int
		absent    int
	}{
		{"all are responsive", func(*replica) {}, 1, 1, 0},
		{"the backup failed a call", func(m *replica) { m.primary.failedBackups["fb"] = true }, 0, 0, 0},
		{"the backup is unresponsive", func(m *replica) { m.primary.confirmedAt["fb"] = 0; m.peers["b"].answeredAt = 0 }, 0, 0, 1},
		{"the witness is unresponsive", func(m *replica) { m.peers["c"].answeredAt = 0 }, 0, 1, 1},
		{"another folder at a member's address", func(m *replica) { m.peers["c"].member = &tierv1.Member{Folder: "new", Address: "c"} }, 0, 1, 1},
		{"a joiner does not count", func(m *replica) {
			m.peers["c"].answeredAt = 0
			m.recordReply(&tierv1.Member{Folder: "fd", Address: "d"}, m.now)
		}, 0, 1, 1},
		{"a change of members: the member that is removed is unresponsive", func(m *replica) {
			m.primary.view = proto.CloneOf(m.primary.view)
			m.primary.view.Former = m.primary.view.Members
			m.primary.view.Members = []*tierv1.Member{m.self, {Folder: "fb", Address: "b"}, {Folder: "fd", Address: "d"}}
			m.recordReply(m.primary.view.Members[2], m.now)
			m.peers["c"].answeredAt = 0
		}, 0, 1, 0},
	} {
		m := newPrimary(t)
		c.change(m)
		h := m.health()
		assert.Equal(t, h.Tolerates, c.tolerates, c.name)
		assert.Equal(t, h.Backups, c.backups, c.name)
		assert.Equal(t, len(h.Absent), c.absent, c.name)
	}
	m := newPrimary(t)
	m.primary = nil
	assert.Equal(t, m.health().Tolerates, ToleranceUnknown)
}

// A responsive member is not removed for a better spread while the other responsive members are not a majority.
func TestReconfiguration_MajorityWithoutRemovedMember(t *testing.T) {
	members := []*tierv1.Member{{Folder: "fa", Address: "a", Zone: "1"}, {Folder: "fb", Address: "b", Zone: "2"}, {Folder: "fc", Address: "c", Zone: "1"},
		{Folder: "fd", Address: "d", Zone: "3"}, {Folder: "fe", Address: "e", Zone: "4"}}
	m := newPrimary(t)
	m.toleratedLosses = 2
	m.now = 10 * time.Second
	m.primary.view = &tierv1.View{Epoch: 1 << epochBits, Primary: "fa", Backups: []string{"fb"}, Members: members}
	for _, v := range members[1:] {
		m.recordReply(v, m.now)
	}
	joiners := []*tierv1.Member{{Folder: "fj", Address: "j", Zone: "5"}}
	want, ok := m.rebalanceMembers(joiners)
	assert.Assert(t, ok && want.remove.Folder == "fc", "%v", want)
	m.peers["d"].answeredAt, m.peers["e"].answeredAt = time.Second, time.Second // a, b and c are left: three of five
	_, ok = m.rebalanceMembers(joiners)
	assert.Assert(t, !ok)
	m.recordReply(members[3], m.now)
	_, ok = m.rebalanceMembers(joiners)
	assert.Assert(t, ok)
}
