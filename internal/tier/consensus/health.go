package consensus

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// ToleranceUnknown is Health.Tolerates of a node that does not lead, or whose lease has ended.
const ToleranceUnknown = -1

// Health is what a node can tell about its disk and, where it leads, about the losses that the group bears.
type Health struct {
	Disk      error // nil: the disk can be written
	Losses    int   // to be borne at the same time, as configured
	Tolerates int   // further machines or disks that may be lost right now, at most Losses; Unknown where it does not lead

	Members, MembersWanted int      // members of the record in force; 2*Losses+1
	Backups, BackupsWanted int      // backups that answered of late; Losses, fewer with few members
	Absent                 []string // addresses of members that have not answered of late, or come back as another folder
	Changing               bool     // a change of members is under way: majorities of both sets are needed

	Lease time.Duration // how much longer it leads without another answer of its backups; 0 where it does not lead
}

// Health gives the newest view, as of the last step that is on disk. Within the lease it is at most a heartbeat old.
func (node *Node) Health() Health {
	now := node.now()
	node.mu.Lock()
	defer node.mu.Unlock()
	h := node.published.health
	if h.Tolerates != ToleranceUnknown && !node.published.leads(now, node.timing.lease) {
		h.Tolerates = ToleranceUnknown
	}
	h.Lease = node.published.lease(now, node.timing.lease)
	return h
}

// lease is how much longer leads holds if no backup answers any more. Without backups it has no end, and is given as just
// confirmed.
func (v *publishedState) lease(now, fresh time.Duration) time.Duration {
	switch {
	case !v.leads(now, fresh):
		return 0
	case v.withoutBackups:
		return fresh
	}
	return v.leaseStart + fresh - now
}

// health of the machine's view. With B the backups that answer, and for each set S of conf(record) live(S) the members of it
// that answer, this one included:
//
//	tolerates = min(|B|, min over S of live(S) - (|S|/2 + 1)), at least 0 and at most losses
//
// Any |B| of the |B|+1 copies may go without the loss of a write, and a majority of each set is left to choose the next
// record. A joiner without a vote and a member without an answer count for nothing. A member counts as there until
// recently has passed since its last answer, so a loss shows that late at most.
func (machine *replica) health() Health {
	h := Health{Losses: machine.toleratedLosses, Tolerates: ToleranceUnknown, MembersWanted: 2*machine.toleratedLosses + 1}
	if machine.primary == nil {
		return h
	}
	record := machine.primary.view
	h.Members, h.Changing = len(record.Members), len(record.Former) > 0
	h.BackupsWanted, _ = machine.backupCounts(len(record.Members))
	for _, folder := range record.Backups {
		if machine.backupIsResponsive(folder) {
			h.Backups++
		}
	}
	h.Tolerates = min(h.Backups, machine.toleratedLosses)
	for _, set := range quorumSets(record) {
		live := 0
		for _, member := range set {
			if machine.isResponsive(member) {
				live++
			}
		}
		h.Tolerates = min(h.Tolerates, live-(len(set)/2+1))
	}
	h.Tolerates = max(h.Tolerates, 0)
	for _, member := range record.Members {
		if !machine.isResponsive(member) {
			h.Absent = append(h.Absent, member.Address)
		}
	}
	return h
}

// answerMaxAge is how old the last answer of a member may be that counts as there.
func (machine *replica) answerMaxAge() time.Duration {
	return machine.timing.callTimeout + machine.timing.heartbeatInterval/2
}

// isResponsive tells whether a member answered of late, or is this one.
func (machine *replica) isResponsive(member *tierv1.Member) bool {
	return member.Folder == machine.Folder || member.Folder == "" && member.Address == machine.self.Address || machine.answeredWithin(member, machine.answerMaxAge())
}

// backupIsResponsive tells whether a backup confirmed the record of late and holds what was acknowledged.
func (machine *replica) backupIsResponsive(folder string) bool {
	primary := machine.primary
	return !primary.failedBackups[folder] && machine.now-primary.confirmedAt[folder] <= machine.answerMaxAge() && !machine.wasReplaced(folder)
}
