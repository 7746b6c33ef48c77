package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// brokenLapse is how long a session stands after its connection broke, so that a new call finds it standing.
const brokenLapse = 150 * time.Millisecond

// keptLapses is how many lapses a session that ended is still told of to operators.
const keptLapses = 50

type place struct{ node, role string }

// registry knows the sessions of processes. It is guarded by the control plane's lock.
type registry struct {
	window  time.Duration // the contact window
	of      map[place]*session
	former  map[string]bool // folders whose place was taken by another: their disks are gone for ever
	arrived time.Time       // of the newest session of a turn store
	acked   chan struct{}   // closed at the next acknowledgement, if somebody waits
}

// session is one process's, from its first held call on.
type session struct {
	place
	life                                   string
	storeNode                              *tierv1.StoreNode // of a turn store
	address                                string
	configuration, endpoints, partitionMap uint64        // acknowledged
	held                                   int           // calls
	lapse                                  time.Duration // how long it stands after its last call was answered
	seen, ended                            time.Time
	broken, leaving                        bool
	synced                                 []*tierv1.SyncedReplica // reported last
	disk                                   tierv1.DiskState        // of a turn store, as told last
}

func newRegistry(window time.Duration) registry {
	return registry{window: window, of: map[place]*session{}, former: map[string]bool{}}
}

// enter begins a held call. It gives nil for a caller that only looks, or whose folder has been replaced by another.
func (r *registry) enter(now time.Time, req *tierv1.WatchRequest) (s *session, fresh bool) {
	if req.Role == "" || req.Node == "" || r.former[req.Folder] {
		return nil, false
	}
	at := place{req.Node, req.Role}
	s = r.of[at]
	if s == nil || s.life != req.Incarnation {
		if s != nil && s.storeNode != nil && s.storeNode.Folder != req.Folder {
			r.former[s.storeNode.Folder] = true
		}
		s = &session{place: at, life: req.Incarnation}
		r.of[at] = s
		fresh = true
	}
	if req.Role == roleTurnStore {
		if fresh {
			r.arrived = now
		}
		if s.storeNode == nil || s.address != req.Address || s.storeNode.Folder != req.Folder {
			s.storeNode = &tierv1.StoreNode{Folder: req.Folder, Node: req.Node, Address: req.Address, Zone: req.Zone, Region: req.Region}
		}
		disk := diskOf(req)
		fresh = fresh || req.Draining != s.leaving || disk != s.disk || len(req.Synced) != len(s.synced)
		for i := 0; !fresh && i < len(req.Synced); i++ {
			a, b := req.Synced[i], s.synced[i]
			fresh = a.Partition != b.Partition || a.Epoch != b.Epoch || a.Folder != b.Folder
		}
		s.synced, s.disk = req.Synced, disk
	}
	if s.configuration != req.ConfigurationVersion && r.acked != nil {
		close(r.acked)
		r.acked = nil
	}
	s.address, s.leaving = req.Address, req.Draining
	s.configuration, s.endpoints, s.partitionMap = req.ConfigurationVersion, req.EndpointsVersion, req.PartitionMapVersion
	s.held++
	s.seen, s.lapse = now, r.lapseAfter(req)
	return s, fresh
}

// lapseAfter is how long a session stands after the answer to a call. A process that has its calls held for less than it may
// does so as answers, and so its next calls, take longer: hold and lapse have the same sum in any case, which is by when the
// end of a process is noticed.
func (r *registry) lapseAfter(req *tierv1.WatchRequest) time.Duration {
	longest := r.window / holdPart
	if req.Role == roleTurnStore {
		longest = r.window / turnStoreHoldPart
	}
	hold := time.Duration(req.PollTimeoutMs) * time.Millisecond
	return r.window/lapsePart + max(0, longest-hold)
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

// usable tells whether a turn store's disk allows it to have duties. A state of a later version is none that does.
func usable(disk tierv1.DiskState) bool {
	return disk == tierv1.DiskState_DISK_SOUND || disk == tierv1.DiskState_DISK_UNSPECIFIED
}

// leave ends a held call: answered, or with its connection broken.
func (r *registry) leave(now time.Time, s *session, broken bool) {
	s.held--
	s.ended, s.broken = now, broken
	if broken && r.acked != nil {
		close(r.acked)
		r.acked = nil
	}
}

// stands tells whether a process is there to be told of changes.
func (r *registry) stands(now time.Time, s *session) bool {
	lapse := s.lapse
	if s.broken {
		lapse = min(lapse, brokenLapse)
	}
	return s.held > 0 || now.Sub(s.ended) < lapse
}

// alive tells whether a turn store is. One that restarts within the lapse has never been away, unless it had told that it leaves.
func (r *registry) alive(now time.Time, s *session) bool {
	if s.leaving {
		return r.stands(now, s)
	}
	return s.held > 0 || now.Sub(s.ended) < s.lapse
}

// storeNodes gives the turn stores that are alive and whose disks are sound, those that are leaving, and the copies that were
// reported whole. One whose disk is not sound counts as lost, by its session's word: it is among the alive again as soon as
// it tells that its disk is sound.
func (r *registry) storeNodes(now time.Time) (alive map[string]*tierv1.StoreNode, leaving map[string]bool, reports []Report) {
	alive, leaving = map[string]*tierv1.StoreNode{}, map[string]bool{}
	for at, s := range r.of {
		if s.held == 0 && now.Sub(s.ended) > keptLapses*s.lapse {
			delete(r.of, at)
			continue
		}
		if at.role != roleTurnStore || !r.alive(now, s) {
			continue
		}
		if s.leaving {
			leaving[s.storeNode.Folder] = true
		}
		if !usable(s.disk) {
			continue
		}
		alive[s.storeNode.Folder] = s.storeNode
		for _, c := range s.synced {
			reports = append(reports, Report{s.storeNode.Folder, c})
		}
	}
	return alive, leaving, reports
}

// sessionOf gives the newest session of a turn store, nil if none is known.
func (r *registry) sessionOf(one *tierv1.StoreNode) *session {
	s := r.of[place{one.Node, roleTurnStore}]
	if s == nil || s.storeNode.Folder != one.Folder {
		return nil
	}
	return s
}

// behind counts the gateways that stand and have not acknowledged a version of the configuration.
func (r *registry) behind(now time.Time, version uint64) int {
	n := 0
	for at, s := range r.of {
		if at.role == roleGateway && s.configuration < version && r.stands(now, s) {
			n++
		}
	}
	return n
}

// acknowledged gives a channel that is closed at the next acknowledgement or broken connection.
func (r *registry) acknowledged() <-chan struct{} {
	if r.acked == nil {
		r.acked = make(chan struct{})
	}
	return r.acked
}

// gateways gives the names of the gateways whose calls are held, sorted.
func (r *registry) gateways() (names []string) {
	for at, session := range r.of {
		if at.role == roleGateway && session.held > 0 && !session.leaving {
			names = append(names, at.node)
		}
	}
	slices.Sort(names)
	return names
}
