package coordination

import "time"

const (
	// maxClockDrift is the fraction by which the clock of an owner may run slower than that of this process: forty times the
	// maximum rate at which NTP slews a clock.
	maxClockDrift = 0.02
	// maxRemovedLocks bounds the locks that one step checks for expiry.
	maxRemovedLocks = 16
)

// lock is a lock that is held until expiresAt, or was held until then.
type lock struct {
	owner      string
	fence      uint64        // the newest of this hold
	firstFence uint64        // the oldest of this hold
	hold       time.Duration // the longest granted in this hold, as recorded
	expiresAt  time.Duration
}

// holdEnd returns the time at which a hold that is granted or extended now has certainly expired at its owner.
func (m *Machine) holdEnd(hold time.Duration) time.Duration {
	return m.now + hold + time.Duration(float64(hold)*maxClockDrift)
}

// current returns a lock if it is held now, else nil.
func (m *Machine) current(id string) *lock {
	if l := m.locks[id]; l != nil && m.now < l.expiresAt {
		return l
	}
	return nil
}

// acquire grants a lock that no other owner holds, with a new fence.
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

// renew extends a hold. It writes only if the hold becomes longer than recorded, because a Machine that is loaded later measures
// the recorded hold time from its loading.
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

// release ends a hold if the call has its newest fence.
func (m *Machine) release(call ReleaseLock) Result {
	if l := m.locks[call.ID]; l != nil && l.owner == call.Owner && l.fence == call.Fence {
		delete(m.locks, call.ID)
		m.write(lockKey(call.ID), nil)
	}
	return LockReleased{}
}

// removeExpiredLocks removes the records of some expired locks, so that a Machine that is loaded later does not count them as held.
func (m *Machine) removeExpiredLocks() {
	examined := 0
	for id, l := range m.locks {
		if examined++; examined > maxRemovedLocks {
			return
		}
		if m.now >= l.expiresAt {
			delete(m.locks, id)
			m.write(lockKey(id), nil)
		}
	}
}
