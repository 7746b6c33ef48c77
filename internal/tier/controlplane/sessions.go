package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Roles of the processes that hold sessions.
const (
	roleGateway   = "gateway"
	roleTurnStore = "turnstore"
)

const (
	// disconnectedTTL is how long a session stays active after its connection broke, so that a new call finds it active.
	disconnectedTTL = 150 * time.Millisecond
	// endedSessionTTLs is the number of its TTLs for which an ended session is still shown to operators.
	endedSessionTTLs = 50
)

// sessionKey identifies a session: a node has one process of each role.
type sessionKey struct{ node, role string }

// sessionRegistry holds the sessions of processes. The control plane's mu guards it.
type sessionRegistry struct {
	window           time.Duration // the contact window
	byKey            map[sessionKey]*session
	replacedFolders  map[string]bool // folders of turn stores whose node now has another folder: their disks are lost
	lastStoreArrival time.Time       // begin of the newest session of a turn store
	acknowledged     chan struct{}   // closed at the next acknowledgement or broken connection; nil: there is no waiter
}

// session is the session of one process, which begins with its first long poll.
type session struct {
	sessionKey
	incarnation                            string
	storeNode                              *tierv1.StoreNode // of a turn store
	address                                string
	configuration, endpoints, partitionMap uint64        // versions that the process has acknowledged
	openCalls                              int           // calls of Watch that are being held
	ttl                                    time.Duration // how long the session stays active after the answer to its last call
	lastCallEnded                          time.Time
	disconnected                           bool                    // the connection of its last call broke
	draining                               bool                    // the process has been asked to shut down
	synced                                 []*tierv1.SyncedReplica // as last reported
	disk                                   tierv1.DiskState        // of a turn store, as last reported
}

// newRegistry returns a registry without sessions.
func newRegistry(window time.Duration) sessionRegistry {
	return sessionRegistry{window: window, byKey: map[sessionKey]*session{}, replacedFolders: map[string]bool{}}
}

// beginCall begins a long poll and returns its session; nil for a caller that only observes, or whose folder has been replaced
// by another. fresh is true if the call reports a change that the partition map may depend on.
func (r *sessionRegistry) beginCall(now time.Time, req *tierv1.WatchRequest) (s *session, fresh bool) {
	if req.Role == "" || req.Node == "" || r.replacedFolders[req.Folder] {
		return nil, false
	}
	key := sessionKey{req.Node, req.Role}
	s = r.byKey[key]
	if s == nil || s.incarnation != req.Incarnation {
		if s != nil && s.storeNode != nil && s.storeNode.Folder != req.Folder {
			r.replacedFolders[s.storeNode.Folder] = true
		}
		s = &session{sessionKey: key, incarnation: req.Incarnation}
		r.byKey[key] = s
		fresh = true
	}
	if req.Role == roleTurnStore {
		if fresh {
			r.lastStoreArrival = now
		}
		fresh = s.updateStore(req) || fresh
	}
	if s.configuration != req.ConfigurationVersion {
		r.signalAcknowledged()
	}
	s.address, s.draining = req.Address, req.Draining
	s.configuration, s.endpoints, s.partitionMap = req.ConfigurationVersion, req.EndpointsVersion, req.PartitionMapVersion
	s.openCalls++
	s.ttl = r.ttlFor(req)
	return s, fresh
}

// updateStore records what a turn store reports, and returns whether that is a change that the partition map may depend on.
func (s *session) updateStore(req *tierv1.WatchRequest) (changed bool) {
	if s.storeNode == nil || s.address != req.Address || s.storeNode.Folder != req.Folder {
		s.storeNode = &tierv1.StoreNode{Folder: req.Folder, Node: req.Node, Address: req.Address, Zone: req.Zone, Region: req.Region}
	}
	disk := diskOf(req)
	same := func(a, b *tierv1.SyncedReplica) bool {
		return a.Partition == b.Partition && a.Epoch == b.Epoch && a.Folder == b.Folder
	}
	changed = req.Draining != s.draining || disk != s.disk || !slices.EqualFunc(req.Synced, s.synced, same)
	s.synced, s.disk = req.Synced, disk
	return changed
}

// ttlFor returns how long a session stays active after the answer to a call. A process that requests a shorter long poll than
// is allowed does so because answers, and so its next calls, take longer to arrive. Its TTL is longer by the difference: the
// sum of long poll and TTL, within which the end of a process is noticed, is the same for all processes of a role.
func (r *sessionRegistry) ttlFor(req *tierv1.WatchRequest) time.Duration {
	longest := r.window / longPollDivisor
	if req.Role == roleTurnStore {
		longest = r.window / turnStoreLongPollDivisor
	}
	hold := time.Duration(req.PollTimeoutMs) * time.Millisecond
	return r.window/sessionTTLDivisor + max(0, longest-hold)
}

// diskOf returns the state of a turn store's disk. A process of a version without the field disk lists its own folder among the
// synced replicas while its disk is not sound.
func diskOf(req *tierv1.WatchRequest) tierv1.DiskState {
	if req.Disk != tierv1.DiskState_DISK_UNSPECIFIED {
		return req.Disk
	}
	if slices.ContainsFunc(req.Synced, func(replica *tierv1.SyncedReplica) bool { return replica.Folder == req.Folder }) {
		return tierv1.DiskState_DISK_FAILING
	}
	return tierv1.DiskState_DISK_UNSPECIFIED
}

// diskUsable reports whether the state of its disk allows a turn store to have replicas. An unknown state, of a later version,
// does not.
func diskUsable(disk tierv1.DiskState) bool {
	return disk == tierv1.DiskState_DISK_SOUND || disk == tierv1.DiskState_DISK_UNSPECIFIED
}

// endCall ends a long poll, which was answered or, if broken is true, lost its connection.
func (r *sessionRegistry) endCall(now time.Time, s *session, broken bool) {
	s.openCalls--
	s.lastCallEnded, s.disconnected = now, broken
	if broken {
		r.signalAcknowledged()
	}
}

// active reports whether a session is active, so that changes can be sent to its process.
func (r *sessionRegistry) active(now time.Time, s *session) bool {
	ttl := s.ttl
	if s.disconnected {
		ttl = min(ttl, disconnectedTTL)
	}
	return s.openCalls > 0 || now.Sub(s.lastCallEnded) < ttl
}

// storeAlive reports whether a turn store is alive. A turn store that restarts within the TTL stays alive all the time, unless
// it was draining.
func (r *sessionRegistry) storeAlive(now time.Time, s *session) bool {
	if s.draining {
		return r.active(now, s)
	}
	return s.openCalls > 0 || now.Sub(s.lastCallEnded) < s.ttl
}

// storeNodes returns the turn stores that are alive and whose disks are sound, those that are draining, by folder, and the
// replicas that were reported synced. A turn store whose disk is not sound counts as lost, and as alive again as soon as it
// reports that its disk is sound. Sessions that ended long ago are deleted.
func (r *sessionRegistry) storeNodes(now time.Time) (alive map[string]*tierv1.StoreNode, draining map[string]bool, reports []Report) {
	alive, draining = map[string]*tierv1.StoreNode{}, map[string]bool{}
	for key, s := range r.byKey {
		if s.openCalls == 0 && now.Sub(s.lastCallEnded) > endedSessionTTLs*s.ttl {
			delete(r.byKey, key)
			continue
		}
		if key.role != roleTurnStore || !r.storeAlive(now, s) {
			continue
		}
		if s.draining {
			draining[s.storeNode.Folder] = true
		}
		if !diskUsable(s.disk) {
			continue
		}
		alive[s.storeNode.Folder] = s.storeNode
		for _, replica := range s.synced {
			reports = append(reports, Report{s.storeNode.Folder, replica})
		}
	}
	return alive, draining, reports
}

// storeSession returns the newest session of a turn store, nil if none is known.
func (r *sessionRegistry) storeSession(store *tierv1.StoreNode) *session {
	s := r.byKey[sessionKey{store.Node, roleTurnStore}]
	if s == nil || s.storeNode.Folder != store.Folder {
		return nil
	}
	return s
}

// countBehind counts the gateways that are active and have not acknowledged a version of the configuration.
func (r *sessionRegistry) countBehind(now time.Time, version uint64) int {
	n := 0
	for key, s := range r.byKey {
		if key.role == roleGateway && s.configuration < version && r.active(now, s) {
			n++
		}
	}
	return n
}

// acknowledgedChannel returns a channel that is closed at the next acknowledgement or broken connection.
func (r *sessionRegistry) acknowledgedChannel() <-chan struct{} {
	if r.acknowledged == nil {
		r.acknowledged = make(chan struct{})
	}
	return r.acknowledged
}

// signalAcknowledged wakes the waiters of acknowledgedChannel.
func (r *sessionRegistry) signalAcknowledged() {
	if r.acknowledged != nil {
		close(r.acknowledged)
		r.acknowledged = nil
	}
}

// connectedGateways returns the names of the gateways whose calls are being held and that are not draining, sorted.
func (r *sessionRegistry) connectedGateways() (names []string) {
	for key, s := range r.byKey {
		if key.role == roleGateway && s.openCalls > 0 && !s.draining {
			names = append(names, key.node)
		}
	}
	slices.Sort(names)
	return names
}
