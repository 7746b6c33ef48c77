package controlplane

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// publishedState is the state that is served to sessions and operators: the control state as all backups have it, and the
// primary's state that is not replicated. It is immutable: a change replaces it.
type publishedState struct {
	epoch                   uint64
	ready                   bool      // this process is the primary, and the state is replicated to all backups
	since                   time.Time // when this process became ready as the primary of the epoch
	configuration           *tierv1.Configuration
	compressedConfiguration *tierv1.Configuration // in the form sent to sessions; compressed once for all of them
	changes                 changeHistory         // of the configuration
	partitionMap            *tierv1.PartitionMap
	endpoints               *tierv1.Endpoints
	compressedEndpoints     *compressedEndpoints // in the form sent to sessions
	members                 *tierv1.Members
	ejections               *tierv1.Ejections
}

// setEndpoints sets the endpoint list of a state that is not published yet.
func (state *publishedState) setEndpoints(list *tierv1.Endpoints) {
	state.endpoints = list
	state.compressedEndpoints = &compressedEndpoints{full: list}
}

// currentState returns the published state, and a channel that is closed when it is replaced.
func (plane *ControlPlane) currentState() (*publishedState, <-chan struct{}) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	return plane.published, plane.publishedChanged
}

// primary returns the published state, and whether this process may serve it now.
func (plane *ControlPlane) primary() (*publishedState, bool) {
	epoch, ok := plane.Store.Primary()
	state, _ := plane.currentState()
	return state, ok && state.ready && state.epoch == epoch
}

// updatePublished replaces the published state of an epoch by a changed copy. In another epoch it does nothing, and returns false.
func (plane *ControlPlane) updatePublished(epoch uint64, change func(*publishedState)) bool {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.published.epoch != epoch {
		return false
	}
	plane.replacePublished(change)
	return true
}

// replacePublished replaces the published state by a changed copy, and wakes all waiters for a change. The caller holds mu.
func (plane *ControlPlane) replacePublished(change func(*publishedState)) {
	next := *plane.published
	change(&next)
	plane.published = &next
	close(plane.publishedChanged)
	plane.publishedChanged = make(chan struct{})
}

// nextVersion returns the next version of published state that is not replicated. Versions rise within an epoch, and from one
// epoch to the next.
func nextVersion(epoch uint64, counter *uint64) uint64 {
	*counter++
	return epoch<<24 | *counter
}

// publishMembers publishes the members of the control plane if they have changed.
func (plane *ControlPlane) publishMembers(epoch uint64) {
	list := plane.Store.Members()
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.published.epoch != epoch || len(list) == 0 {
		return
	}
	same := func(a, b *tierv1.Member) bool { return proto.Equal(a, b) }
	if slices.EqualFunc(plane.published.members.GetList(), list, same) {
		return
	}
	plane.replacePublished(func(state *publishedState) {
		state.members = &tierv1.Members{Version: nextVersion(epoch, &plane.versions.members), List: list}
	})
}
