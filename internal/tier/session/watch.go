package session

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// watch makes one long poll, and returns whether the session goes on with this primary.
func (client *Client) watch(ctx context.Context, at string) bool {
	hold := client.longPoll()
	if stands, _ := client.Active(); !stands {
		// The answer renews the lease, but may bring all anew: it is waited for as long as others.
		hold = client.config.Settings.ContactWindow / searchPauseDivisor
	}
	request := client.request(hold)
	patience := client.callTimeout()
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var reportNow atomic.Bool // the call was cancelled as there is a change to report
	if client.config.Synced != nil {
		replicas, changed := client.config.Synced()
		request.Synced = replicas
		if client.config.Disk != nil { // after Synced: a change from here on closes the channel
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
	// The primary checked its lease after the call was sent and before it was answered. Only this bounds how old an answer
	// can be, also where a process was paused on the way.
	if time.Since(begun) > patience {
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
	client.observeRoundTrip(reply, time.Since(begun), hold)
	if client.apply(at, reply) {
		client.renewLease(begun)
	}
	return true
}

// observeRoundTrip takes how long a call took that might be held for hold. One that brings an update was answered before the
// end of that.
func (client *Client) observeRoundTrip(reply *tierv1.WatchReply, took, hold time.Duration) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if reply.Configuration != nil || reply.Endpoints != nil || reply.PartitionMap != nil || reply.Members != nil || reply.Ejections != nil {
		client.roundTrip.bound(took)
		return
	}
	client.roundTrip.observe(took - hold)
}

// request returns the next long poll: who asks, and the versions that it acknowledges.
func (client *Client) request(hold time.Duration) *tierv1.WatchRequest {
	client.mu.Lock()
	request := proto.Clone(&client.applied).(*tierv1.WatchRequest)
	request.Draining = client.draining
	client.mu.Unlock()
	settings := &client.config.Settings
	request.Node, request.Zone, request.Region = settings.Node, settings.Zone, settings.Region
	request.Role, request.Folder, request.Address = client.config.Role, client.config.Folder, client.config.Address
	request.Incarnation, request.EmptyDisk = client.incarnation, client.config.EmptyFolder
	request.PollTimeoutMs = uint32(hold.Milliseconds())
	request.AcceptsPackedEndpoints = true
	request.AcceptsEjections = client.config.Ejections != nil
	return request
}
