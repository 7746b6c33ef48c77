package controlplane

import (
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// view is what sessions are shown. It is never changed, only replaced.
type view struct {
	epoch                   uint64
	ready                   bool // this process is the primary, and the state is written through
	since                   time.Time
	configuration           *tierv1.Configuration
	compressedConfiguration *tierv1.Configuration // the same as sessions get it, made once for all
	changes                 changeHistory         // the newest orders that were taken, the one in force last
	partitionMap            *tierv1.PartitionMap
	endpoints               *tierv1.Endpoints
	compressedEndpoints     *compressedEndpoints // of endpoints, as sessions get them
	members                 *tierv1.Members
	ejections               *tierv1.Ejections
}

// currentView gives the view and a channel that is closed when it has changed.
func (plane *ControlPlane) currentView() (*view, <-chan struct{}) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	return plane.view, plane.viewChanged
}

// updateView replaces the view of an epoch by a changed copy, and wakes all who wait for it. It does nothing in another epoch.
func (plane *ControlPlane) updateView(epoch uint64, f func(*view)) bool {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.epoch != epoch {
		return false
	}
	plane.replaceView(f)
	return true
}

func (plane *ControlPlane) replaceView(f func(*view)) {
	next := *plane.view
	f(&next)
	plane.view = &next
	close(plane.viewChanged)
	plane.viewChanged = make(chan struct{})
}

// primary gives the view if this process may show it now.
func (plane *ControlPlane) primary() (*view, bool) {
	epoch, ok := plane.Store.Primary()
	v, _ := plane.currentView()
	return v, ok && v.ready && v.epoch == epoch
}

// nextVersion numbers what is not part of the state: it rises within an epoch and from one to the next.
func nextVersion(epoch uint64, counter *uint64) uint64 {
	*counter++
	return epoch<<24 | *counter
}

// publishMembers shows the members of the core where they have changed.
func (plane *ControlPlane) publishMembers(epoch uint64) {
	list := plane.Store.Members()
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.epoch != epoch || len(list) == 0 {
		return
	}
	if m := plane.view.members; m != nil && len(m.List) == len(list) {
		same := true
		for i := range list {
			same = same && proto.Equal(list[i], m.List[i])
		}
		if same {
			return
		}
	}
	plane.replaceView(func(v *view) {
		v.members = &tierv1.Members{Version: nextVersion(epoch, &plane.versions.members), List: list}
	})
}

// setEndpoints replaces the list of a view that nobody has been shown yet.
func (v *view) setEndpoints(list *tierv1.Endpoints) {
	v.endpoints = list
	v.compressedEndpoints = &compressedEndpoints{full: list}
}
