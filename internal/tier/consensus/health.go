package consensus

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// ToleranceUnknown is the value of Health.Tolerates at a node that is not primary, or whose lease has expired.
const ToleranceUnknown = -1

// Health describes the disk of a node and, at the primary, the losses that the group tolerates.
type Health struct {
	Disk      error // nil: the disk can be written
	Losses    int   // to be tolerated at the same time, as configured
	Tolerates int   // further machines or disks that may be lost now, at most Losses; ToleranceUnknown if the node is not primary

	Members, MembersWanted int      // members of the view in force; 2*Losses+1
	Backups, BackupsWanted int      // backups that replied recently; Losses, fewer with few members
	Absent                 []string // addresses of members that have not replied recently, or were replaced by another folder
	Changing               bool     // a change of members is in progress: majorities of both sets are needed

	Lease time.Duration // remaining lease without another reply of the backups; 0 if the node is not primary
}

// Health returns the newest published health, as of the last step that is on disk. During a lease it is at most a heartbeat old.
func (node *Node) Health() Health {
	now := node.now()
	node.mu.Lock()
	defer node.mu.Unlock()
	health := node.published.health
	if health.Tolerates != ToleranceUnknown && !node.published.leads(now, node.timing.lease) {
		health.Tolerates = ToleranceUnknown
	}
	health.Lease = node.published.lease(now, node.timing.lease)
	if health.Disk == nil && node.stuckWrite.isStuck() {
		health.Disk = DiskStuck.New("a write to the file of the control state has not returned for %v", writeStuckTimeout)
	}
	return health
}

// DiskError returns nil while the disk can be written, and otherwise the error that it failed with.
func (node *Node) DiskError() error { return node.Health().Disk }

// health returns the health of the view in force. B is the set of responsive backups, and live(S), for each set S of quorumSets(view), is
// the number of its responsive members, this one included:
//
//	tolerates = min(|B|, min over S of live(S) - (|S|/2 + 1)), at least 0 and at most the configured losses
//
// Any |B| of the |B|+1 replicas of the state may be lost without the loss of a write, and a majority of each set is left to choose the
// next view. A joiner without a vote and a member that never replied are not counted. A member counts as responsive until answerMaxAge has
// passed since its last reply, so a loss is reported after that time at the latest.
func (r *replica) health() Health {
	health := Health{Losses: r.toleratedLosses, Tolerates: ToleranceUnknown, MembersWanted: 2*r.toleratedLosses + 1}
	if r.primary == nil {
		return health
	}
	view := r.primary.view
	health.Members, health.Changing = len(view.Members), len(view.Former) > 0
	health.BackupsWanted, _ = r.backupCounts(len(view.Members))
	for _, folder := range view.Backups {
		if r.backupIsResponsive(folder) {
			health.Backups++
		}
	}
	health.Tolerates = min(health.Backups, r.toleratedLosses)
	for _, set := range quorumSets(view) {
		live := 0
		for _, member := range set {
			if r.isResponsive(member) {
				live++
			}
		}
		health.Tolerates = min(health.Tolerates, live-(len(set)/2+1))
	}
	health.Tolerates = max(health.Tolerates, 0)
	for _, member := range view.Members {
		if !r.isResponsive(member) {
			health.Absent = append(health.Absent, member.Address)
		}
	}
	return health
}

// answerMaxAge returns the maximum age of the last reply of a responsive member.
func (r *replica) answerMaxAge() time.Duration {
	return r.timing.callTimeout + r.timing.heartbeatInterval/2
}

// isResponsive reports whether a member replied recently, or is this one.
func (r *replica) isResponsive(member *tierv1.Member) bool {
	return member.Folder == r.Folder || member.Folder == "" && member.Address == r.self.Address || r.answeredWithin(member, r.answerMaxAge())
}

// backupIsResponsive reports whether a backup confirmed the view recently and has every acknowledged write.
func (r *replica) backupIsResponsive(folder string) bool {
	primary := r.primary
	return !primary.failedBackups[folder] && r.now-primary.confirmedAt[folder] <= r.answerMaxAge() && !r.wasReplaced(folder)
}
