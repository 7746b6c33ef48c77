package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// disconnectedTTL is how long a session stands after its connection broke, so that a new call finds it standing.
const disconnectedTTL = 150 * time.Millisecond

// endedSessionTTLs is how many lapses a session that ended is still told of to operators.
const endedSessionTTLs = 50

// Roles of those who hold sessions.
const (
	roleGateway   = "gateway"
	roleTurnStore = "turnstore"
)

type sessionKey struct{ node, role string }

// sessionRegistry knows the sessions of processes. It is guarded by the control plane's lock.
type sessionRegistry struct {
	window             time.Duration // the contact window
	sessions           map[sessionKey]*session
	replacedFolders    map[string]bool // folders whose place was taken by another: their disks are gone for ever
	lastStoreArrival   time.Time       // of the newest session of a turn store
	acknowledgedSignal chan struct{}   // closed at the next acknowledgement, if somebody waits
}

// session is one process's, from its first held call on.
type session struct {
	sessionKey
	incarnation                            string
	storeNode                              *tierv1.StoreNode // of a turn store
	address                                string
	configuration, endpoints, partitionMap uint64        // acknowledged
	openCalls                              int           // calls
	ttl                                    time.Duration // how long it stands after its last call was answered
	seen, lastCallEnded                    time.Time
	disconnected, draining                 bool
	synced                                 []*tierv1.SyncedReplica // reported last
	disk                                   tierv1.DiskState        // of a turn store, as told last
}

func newRegistry(window time.Duration) sessionRegistry {
	return sessionRegistry{window: window, sessions: map[sessionKey]*session{}, replacedFolders: map[string]bool{}}
}

// beginCall begins a held call. It gives nil for a caller that only looks, or whose folder has been replaced by another.
func (r *sessionRegistry) beginCall(now time.Time, req *tierv1.WatchRequest) (s *session, fresh bool) {
	if req.Role == "" || req.Node == "" || r.replacedFolders[req.Folder] {
		return nil, false
	}
	at := sessionKey{req.Node, req.Role}
	s = r.sessions[at]
	if s == nil || s.incarnation != req.Incarnation {
		if s != nil && s.storeNode != nil && s.storeNode.Folder != req.Folder {
			r.replacedFolders[s.storeNode.Folder] = true
		}
		s = &session{sessionKey: at, incarnation: req.Incarnation}
		r.sessions[at] = s
		fresh = true
	}
	if req.Role == roleTurnStore {
		if fresh {
			r.lastStoreArrival = now
		}
		if s.storeNode == nil || s.address != req.Address || s.storeNode.Folder != req.Folder {
			s.storeNode = &tierv1.StoreNode{Folder: req.Folder, Node: req.Node, Address: req.Address, Zone: req.Zone, Region: req.Region}
		}
		disk := diskOf(req)
		fresh = fresh || req.Draining != s.draining || disk != s.disk || len(req.Synced) != len(s.synced)
		for i := 0; !fresh && i < len(req.Synced); i++ {
			a, b := req.Synced[i], s.synced[i]
			fresh = a.Partition != b.Partition || a.Epoch != b.Epoch || a.Folder != b.Folder
		}
		s.synced, s.disk = req.Synced, disk
	}
	if s.configuration != req.ConfigurationVersion && r.acknowledgedSignal != nil {
		close(r.acknowledgedSignal)
		r.acknowledgedSignal = nil
	}
	s.address, s.draining = req.Address, req.Draining
	s.configuration, s.endpoints, s.partitionMap = req.ConfigurationVersion, req.EndpointsVersion, req.PartitionMapVersion
	s.openCalls++
	s.seen, s.ttl = now, r.ttlFor(req)
	return s, fresh
}

// ttlFor is how long a session stands after the answer to a call. A process that has its calls held for less than it may
// does so as answers, and so its next calls, take longer: hold and lapse have the same sum in any case, which is by when the
// end of a process is noticed.
func (r *sessionRegistry) ttlFor(req *tierv1.WatchRequest) time.Duration {
	longest := r.window / longPollDivisor
	if req.Role == roleTurnStore {
		longest = r.window / turnStoreLongPollDivisor
	}
	hold := time.Duration(req.PollTimeoutMs) * time.Millisecond
	return r.window/sessionTTLDivisor + max(0, longest-hold)
}

// diskOf gives the state of a turn store's disk. A process of a version before the field disk names its own folder among
// the synced copies while its disk is not sound.
func diskOf(req *tierv1.WatchRequest) tierv1.DiskState {
	if req.Disk != tierv1.DiskState_DISK_UNSPECIFIED {
		return req.Disk
	}
	if slices.ContainsFunc(req.Synced, func(c *tierv1.SyncedReplica) bool { return c.Folder == req.Folder }) {
		return tierv1.DiskState_DISK_FAILING
	}
	return tierv1.DiskState_DISK_UNSPECIFIED
}

// diskUsable tells whether a turn store's disk allows it to have duties. A state of a later version is none that does.
func diskUsable(disk tierv1.DiskState) bool {
	return disk == tierv1.DiskState_DISK_SOUND || disk == tierv1.DiskState_DISK_UNSPECIFIED
}

// endCall ends a held call: answered, or with its connection broken.
func (r *sessionRegistry) endCall(now time.Time, s *session, broken bool) {
	s.openCalls--
	s.lastCallEnded, s.disconnected = now, broken
	if broken && r.acknowledgedSignal != nil {
		close(r.acknowledgedSignal)
		r.acknowledgedSignal = nil
	}
}

// active tells whether a process is there to be told of changes.
func (r *sessionRegistry) active(now time.Time, s *session) bool {
	lapse := s.ttl
	if s.disconnected {
		lapse = min(lapse, disconnectedTTL)
	}
	return s.openCalls > 0 || now.Sub(s.lastCallEnded) < lapse
}

// storeAlive tells whether a turn store is. One that restarts within the lapse has never been away, unless it had told that it leaves.
func (r *sessionRegistry) storeAlive(now time.Time, s *session) bool {
	if s.draining {
		return r.active(now, s)
	}
	return s.openCalls > 0 || now.Sub(s.lastCallEnded) < s.ttl
}

// storeNodes gives the turn stores that are alive and whose disks are sound, those that are leaving, and the copies that were
// reported whole. One whose disk is not sound counts as lost, by its session's word: it is among the alive again as soon as
// it tells that its disk is sound.
func (r *sessionRegistry) storeNodes(now time.Time) (alive map[string]*tierv1.StoreNode, leaving map[string]bool, reports []Report) {
	alive, leaving = map[string]*tierv1.StoreNode{}, map[string]bool{}
	for at, s := range r.sessions {
		if s.openCalls == 0 && now.Sub(s.lastCallEnded) > endedSessionTTLs*s.ttl {
			delete(r.sessions, at)
			continue
		}
		if at.role != roleTurnStore || !r.storeAlive(now, s) {
			continue
		}
		if s.draining {
			leaving[s.storeNode.Folder] = true
		}
		if !diskUsable(s.disk) {
			continue
		}
		alive[s.storeNode.Folder] = s.storeNode
		for _, c := range s.synced {
			reports = append(reports, Report{s.storeNode.Folder, c})
		}
	}
	return alive, leaving, reports
}

// storeSession gives the newest session of a turn store, nil if none is known.
func (r *sessionRegistry) storeSession(one *tierv1.StoreNode) *session {
	s := r.sessions[sessionKey{one.Node, roleTurnStore}]
	if s == nil || s.storeNode.Folder != one.Folder {
		return nil
	}
	return s
}

// countBehind counts the gateways that stand and have not acknowledged a version of the configuration.
func (r *sessionRegistry) countBehind(now time.Time, version uint64) int {
	n := 0
	for at, s := range r.sessions {
		if at.role == roleGateway && s.configuration < version && r.active(now, s) {
			n++
		}
	}
	return n
}

// acknowledgedChannel gives a channel that is closed at the next acknowledgement or broken connection.
func (r *sessionRegistry) acknowledgedChannel() <-chan struct{} {
	if r.acknowledgedSignal == nil {
		r.acknowledgedSignal = make(chan struct{})
	}
	return r.acknowledgedSignal
}

// connectedGateways gives the names of the gateways whose calls are held, sorted.
func (r *sessionRegistry) connectedGateways() (names []string) {
	for at, session := range r.sessions {
		if at.role == roleGateway && session.openCalls > 0 && !session.draining {
			names = append(names, at.node)
		}
	}
	slices.Sort(names)
	return names
}
