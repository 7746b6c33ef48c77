package coordination

import "time"

const (
	// maxClockDrift is by how much the clock of an owner may run slower than this one's, as a fraction: forty times what NTP
	// steers a clock by at most.
	maxClockDrift = 0.02
	// maxRemovedLocks bounds the expired locks that one step looks at.
	maxRemovedLocks = 16
)

// lock is one that is held, or was held until expiresAt.
type lock struct {
	owner      string
	fence      uint64        // the newest of this hold
	firstFence uint64        // the oldest of this hold
	hold       time.Duration // the longest granted in this hold, as recorded
	expiresAt  time.Duration
}

// holdEnd is when a hold that begins or is extended now is over for sure at its owner.
func (m *Machine) holdEnd(hold time.Duration) time.Duration {
	return m.now + hold + time.Duration(float64(hold)*maxClockDrift)
}

// current is a lock that is held at this moment, or nil.
func (m *Machine) current(id string) *lock {
	if l := m.locks[id]; l != nil && m.now < l.expiresAt {
		return l
	}
	return nil
}

// acquire grants a lock that nobody else holds, with a new fence.
func (m *Machine) acquire(call AcquireLock) Result {
	before := m.current(call.ID)
	if before != nil && before.owner != call.Owner {
		return LockUnavailable{}
	}
	m.lastFence++
	next := &lock{owner: call.Owner, fence: m.lastFence, firstFence: m.lastFence, hold: call.Hold, expiresAt: m.holdEnd(call.Hold)}
	if before != nil {
		next.firstFence = before.firstFence
		next.hold = max(next.hold, before.hold)
		next.expiresAt = max(next.expiresAt, before.expiresAt)
	}
	m.locks[call.ID] = next
	m.write(lockKey(call.ID), encodeLock(next))
	m.write(fenceKey, encodeCounter(m.lastFence))
	return LockGranted{next.fence}
}

// renew extends a hold. It writes only where the hold gets longer than recorded, as whoever loads the records counts the recorded
// time from then on.
func (m *Machine) renew(call RenewLock) Result {
	l := m.current(call.ID)
	if l == nil || l.owner != call.Owner || call.Fence < l.firstFence || call.Fence > l.fence {
		return LockLost{}
	}
	l.expiresAt = max(l.expiresAt, m.holdEnd(call.Hold))
	if call.Hold > l.hold {
		l.hold = call.Hold
		m.write(lockKey(call.ID), encodeLock(l))
	}
	return LockRenewed{}
}

// release ends a hold under its newest fence.
func (m *Machine) release(call ReleaseLock) Result {
	if l := m.locks[call.ID]; l != nil && l.owner == call.Owner && l.fence == call.Fence {
		delete(m.locks, call.ID)
		m.write(lockKey(call.ID), nil)
	}
	return LockReleased{}
}

// removeExpiredLocks removes the records of some locks whose hold is over, so that a Machine that is loaded does not hold them back.
func (m *Machine) removeExpiredLocks() {
	looked := 0
	for id, l := range m.locks {
		if looked++; looked > maxRemovedLocks {
			return
		}
		if m.now >= l.expiresAt {
			delete(m.locks, id)
			m.write(lockKey(id), nil)
		}
	}
}
