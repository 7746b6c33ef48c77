package clearing

import (
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// brokenLapse is how long a session stands after its connection broke, so that a new call finds it standing.
const brokenLapse = 150 * time.Millisecond

// keptLapses is how many lapses a session that ended is still told of to operators.
const keptLapses = 50

type place struct{ node, role string }

// registry knows the sessions of processes. It is guarded by the Clearing's lock.
type registry struct {
	lapse   time.Duration
	of      map[place]*session
	former  map[string]bool // folders whose place was taken by another: their disks are gone for ever
	arrived time.Time       // of the newest session of a vault
	acked   chan struct{}   // closed at the next acknowledgement, if somebody waits
}

// session is one process's, from its first held call on.
type session struct {
	place
	life                       string
	keeper                     *tierv1.Keeper // of a vault
	address                    string
	catalog, endpoints, vaults uint64 // acknowledged
	held                       int    // calls
	seen, ended                time.Time
	broken, leaving            bool
	synced                     []*tierv1.SyncedCopy // reported last
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
		if s != nil && s.keeper != nil && s.keeper.Folder != req.Folder {
			r.former[s.keeper.Folder] = true
		}
		s = &session{place: at, life: req.Life}
		r.of[at] = s
		fresh = true
	}
	if req.Role == roleVault {
		if fresh {
			r.arrived = now
		}
		if s.keeper == nil || s.address != req.Address || s.keeper.Folder != req.Folder {
			s.keeper = &tierv1.Keeper{Folder: req.Folder, Node: req.Node, Address: req.Address, Zone: req.Zone, Region: req.Region}
		}
		fresh = fresh || req.Leaving != s.leaving || len(req.Synced) != len(s.synced)
		for i := 0; !fresh && i < len(req.Synced); i++ {
			a, b := req.Synced[i], s.synced[i]
			fresh = a.Partition != b.Partition || a.Epoch != b.Epoch || a.Folder != b.Folder
		}
		s.synced = req.Synced
	}
	if s.catalog != req.Catalog && r.acked != nil {
		close(r.acked)
		r.acked = nil
	}
	s.address, s.leaving = req.Address, req.Leaving
	s.catalog, s.endpoints, s.vaults = req.Catalog, req.Endpoints, req.Vaults
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

// alive tells whether a vault is. One that restarts within the lapse has never been away, unless it had told that it leaves.
func (r *registry) alive(now time.Time, s *session) bool {
	if s.leaving {
		return r.stands(now, s)
	}
	return s.held > 0 || now.Sub(s.ended) < r.lapse
}

// keepers gives the vaults that are alive, those of them that are leaving, and the copies that they reported whole.
func (r *registry) keepers(now time.Time) (alive map[string]*tierv1.Keeper, leaving map[string]bool, reports []Report) {
	alive, leaving = map[string]*tierv1.Keeper{}, map[string]bool{}
	for at, s := range r.of {
		if s.held == 0 && now.Sub(s.ended) > keptLapses*r.lapse {
			delete(r.of, at)
			continue
		}
		if at.role != roleVault || !r.alive(now, s) {
			continue
		}
		alive[s.keeper.Folder] = s.keeper
		if s.leaving {
			leaving[s.keeper.Folder] = true
		}
		for _, c := range s.synced {
			reports = append(reports, Report{s.keeper.Folder, c})
		}
	}
	return alive, leaving, reports
}

// lacking counts the counters that stand and have not acknowledged a version of the configuration.
func (r *registry) lacking(now time.Time, version uint64) int {
	n := 0
	for at, s := range r.of {
		if at.role == roleCounter && s.catalog < version && r.stands(now, s) {
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
