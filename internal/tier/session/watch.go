package session

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// watch makes one long poll, and reports whether the session continues with this primary.
func (client *Client) watch(ctx context.Context, at string) bool {
	pollTimeout := client.longPoll()
	if active, _ := client.Active(); !active {
		// The first answer renews the lease, but may contain all updates: the poll time-out is short, while the time-out of
		// the call is the same as that of other calls.
		pollTimeout = client.config.Settings.ContactWindow / searchPauseDivisor
	}
	request := client.request(pollTimeout)
	timeout := client.callTimeout()
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reportNow atomic.Bool // the call was cancelled because there is a change to report
	if client.config.Synced != nil {
		replicas, changed := client.config.Synced()
		request.Synced = replicas
		if client.config.Disk != nil { // read after Synced: a later change closes the channel
			request.Disk = client.config.Disk()
		}
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-changed:
				reportNow.Store(true)
				cancel()
			case <-done:
			}
		}()
	}
	reply, err := client.config.Dial(at).Watch(ctx, request)
	if err != nil {
		if reportNow.Load() && ctx.Err() != nil {
			return true
		}
		client.markInactive(err.Error())
		return false
	}
	// The primary checked its lease after the call was sent and before it was answered. Only the following check bounds the age
	// of an answer even if a process was paused meanwhile.
	if time.Since(begun) > timeout {
		client.markInactive("answered too late")
		return false
	}
	if !reply.IsPrimary {
		client.mu.Lock()
		if reply.PrimaryHint != "" {
			client.hint = reply.PrimaryHint
		}
		client.mu.Unlock()
		client.markInactive("no longer primary")
		return false
	}
	client.observeRoundTrip(reply, time.Since(begun), pollTimeout)
	if client.apply(at, reply) {
		client.renewLease(begun)
	}
	return true
}

// observeRoundTrip updates the round-trip estimate after a call that took the time took, with the time-out pollTimeout. A call
// that returns an update was answered before the poll time-out.
func (client *Client) observeRoundTrip(reply *tierv1.WatchReply, took, pollTimeout time.Duration) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if reply.Configuration != nil || reply.Endpoints != nil || reply.PartitionMap != nil || reply.Members != nil || reply.Ejections != nil {
		client.roundTrip.bound(took)
		return
	}
	client.roundTrip.observe(took - pollTimeout)
}

// request returns the request of the next long poll: the identity of this process, and the versions that it acknowledges.
func (client *Client) request(pollTimeout time.Duration) *tierv1.WatchRequest {
	client.mu.Lock()
	request := proto.Clone(&client.applied).(*tierv1.WatchRequest)
	request.Draining = client.draining
	client.mu.Unlock()
	settings := &client.config.Settings
	request.Node, request.Zone, request.Region = settings.Node, settings.Zone, settings.Region
	request.Role, request.Folder, request.Address = client.config.Role, client.config.Folder, client.config.Address
	request.Incarnation, request.EmptyDisk = client.incarnation, client.config.EmptyFolder
	request.PollTimeoutMs = uint32(pollTimeout.Milliseconds())
	request.AcceptsPackedEndpoints = true
	request.AcceptsEjections = client.config.Ejections != nil
	return request
}
