package controlplane

import (
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// brokenLapse is how long a session stands after its connection broke, so that a new call finds it standing.
const brokenLapse = 150 * time.Millisecond

// keptLapses is how many lapses a session that ended is still told of to operators.
const keptLapses = 50

type place struct{ node, role string }

// registry knows the sessions of processes. It is guarded by the control plane's lock.
type registry struct {
	lapse   time.Duration
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
	configuration, endpoints, partitionMap uint64 // acknowledged
	held                                   int    // calls
	seen, ended                            time.Time
	broken, leaving                        bool
	synced                                 []*tierv1.SyncedCopy // reported last
}

func newRegistry(lapse time.Duration) registry {
	return registry{lapse: lapse, of: map[place]*session{}, former: map[string]bool{}}
}

// enter begins a held call. It gives nil for a caller that only looks, or whose folder has been replaced by another.
func (r *registry) enter(now time.Time, req *tierv1.WatchRequest) (s *session, fresh bool) {
	if req.Role == "" || req.Node == "" || r.former[req.Folder] {
		return nil, false
	}
	at := place{req.Node, req.Role}
	s = r.of[at]
	if s == nil || s.life != req.Life {
		if s != nil && s.storeNode != nil && s.storeNode.Folder != req.Folder {
			r.former[s.storeNode.Folder] = true
		}
		s = &session{place: at, life: req.Life}
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
		fresh = fresh || req.Leaving != s.leaving || len(req.Synced) != len(s.synced)
		for i := 0; !fresh && i < len(req.Synced); i++ {
			a, b := req.Synced[i], s.synced[i]
			fresh = a.Partition != b.Partition || a.Epoch != b.Epoch || a.Folder != b.Folder
		}
		s.synced = req.Synced
	}
	if s.configuration != req.Configuration && r.acked != nil {
		close(r.acked)
		r.acked = nil
	}
	s.address, s.leaving = req.Address, req.Leaving
	s.configuration, s.endpoints, s.partitionMap = req.Configuration, req.Endpoints, req.PartitionMap
	s.held++
	s.seen = now
	return s, fresh
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
	lapse := r.lapse
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
	return s.held > 0 || now.Sub(s.ended) < r.lapse
}

// storeNodes gives the turn stores that are alive, those of them that are leaving, and the copies that they reported whole.
func (r *registry) storeNodes(now time.Time) (alive map[string]*tierv1.StoreNode, leaving map[string]bool, reports []Report) {
	alive, leaving = map[string]*tierv1.StoreNode{}, map[string]bool{}
	for at, s := range r.of {
		if s.held == 0 && now.Sub(s.ended) > keptLapses*r.lapse {
			delete(r.of, at)
			continue
		}
		if at.role != roleTurnStore || !r.alive(now, s) {
			continue
		}
		alive[s.storeNode.Folder] = s.storeNode
		if s.leaving {
			leaving[s.storeNode.Folder] = true
		}
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
