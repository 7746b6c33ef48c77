package session

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// watch makes one held call, and reports whether the session goes on there.
func (client *Client) watch(ctx context.Context, at string) bool {
	hold := client.hold()
	if stands, _ := client.Stands(); !stands {
		// Its answer renews the lease, but may bring all views anew, and is waited for as long as others.
		hold = client.config.Settings.ContactWindow / pausePart
	}
	request := client.request(hold)
	patience := client.patience()
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var renewed atomic.Bool // the call was ended as there is a change to report
	if client.config.Synced != nil {
		copies, changed := client.config.Synced()
		request.Synced = copies
		if client.config.Disk != nil { // after the channel was taken: a change from now on closes it
			request.Disk = client.config.Disk()
		}
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-changed: // report it at once
				renewed.Store(true)
				cancel()
			case <-done:
			}
		}()
	}
	reply, err := client.config.Dial(at).Watch(ctx, request)
	if err != nil {
		if renewed.Load() && ctx.Err() != nil {
			return true
		}
		client.markLost(err.Error())
		return false
	}
	// The primary's lease was looked at after the call was sent and before it was answered. How old an answer can be is
	// bounded by this only, also where a process was paused on the way.
	if time.Since(begun) > patience {
		client.markLost("answered too late")
		return false
	}
	if !reply.IsPrimary {
		client.mu.Lock()
		if reply.PrimaryHint != "" {
			client.hint = reply.PrimaryHint
		}
		client.mu.Unlock()
		client.markLost("no longer primary")
		return false
	}
	client.observeRoundTrip(reply, time.Since(begun), hold)
	if client.apply(at, reply) {
		client.renewLease(begun)
	}
	return true
}

// observeRoundTrip takes how long a call took that might be held for so long. One that brings something was answered before.
func (client *Client) observeRoundTrip(reply *tierv1.WatchReply, took, hold time.Duration) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if reply.Configuration != nil || reply.Endpoints != nil || reply.PartitionMap != nil || reply.Members != nil || reply.Ejections != nil {
		client.roundTrip.bound(took)
		return
	}
	client.roundTrip.observe(took - hold)
}

// request is the next held call: who asks, and the versions that it acknowledges.
func (client *Client) request(hold time.Duration) *tierv1.WatchRequest {
	client.mu.Lock()
	request := proto.Clone(&client.applied).(*tierv1.WatchRequest)
	request.Draining = client.leaving
	client.mu.Unlock()
	settings := &client.config.Settings
	request.Node, request.Zone, request.Region = settings.Node, settings.Zone, settings.Region
	request.Role, request.Folder, request.Address = client.config.Role, client.config.Folder, client.config.Address
	request.Incarnation, request.EmptyDisk = client.life, client.config.Empty
	request.PollTimeoutMs = uint32(hold.Milliseconds())
	request.AcceptsPackedEndpoints = true
	request.AcceptsEjections = client.config.Ejections != nil
	return request
}

// views are the parts of a reply that are newer than what was taken; nil: nothing new.
type views struct {
	configuration *tierv1.Configuration
	endpoints     *tierv1.Endpoints
	partitionMap  *tierv1.PartitionMap
	ejections     *tierv1.Ejections
}

// apply takes a reply of the primary. What is new in it is acknowledged, by the next call, once it has been taken in. It tells
// whether all of it came undamaged.
func (client *Client) apply(at string, reply *tierv1.WatchReply) (whole bool) {
	whole = true
	client.mu.Lock()
	client.noteReply(at, reply)
	newer := client.newer(reply)
	client.mu.Unlock()
	if len(newer.configuration.GetPacked()) > 0 {
		var err error
		if newer.configuration, err = unpack(newer.configuration); err != nil { // it is not acknowledged, and comes again
			client.config.Log.Error().Str("event", "configuration_damaged").Err(err).Msg("")
			whole = false
		}
	}
	if len(newer.endpoints.GetPacked()) > 0 {
		var err error
		if newer.endpoints, err = unpackEndpoints(newer.endpoints); err != nil { // as with a configuration
			client.config.Log.Error().Str("event", "endpoints_damaged").Err(err).Msg("")
			whole = false
		}
	}
	client.deliver(newer)
	client.mu.Lock()
	client.acknowledge(newer)
	client.mu.Unlock()
	return whole
}

// noteReply notes that the session stands, and the members that the primary names. The caller holds mu.
func (client *Client) noteReply(at string, reply *tierv1.WatchReply) {
	if !client.stands {
		client.config.Log.Info().Str("event", "session").Str("primary", at).Uint64("epoch", reply.Epoch).Msg("")
	}
	client.stands, client.lastReply, client.hint = true, time.Now(), at
	if members := reply.Members; members != nil && members.Version > client.applied.MembersVersion {
		client.applied.MembersVersion = members.Version
		client.members = client.members[:0]
		for _, member := range members.List {
			client.members = append(client.members, member.Address)
		}
	}
}

// newer gives the views of a reply that have not been taken. The caller holds mu.
func (client *Client) newer(reply *tierv1.WatchReply) (newer views) {
	if v := reply.Configuration; v != nil && v.Version > client.applied.ConfigurationVersion {
		newer.configuration = v
	}
	if v := reply.Endpoints; v != nil && v.Version > client.applied.EndpointsVersion {
		newer.endpoints = v
	}
	if v := reply.PartitionMap; v != nil && v.Version > client.applied.PartitionMapVersion {
		newer.partitionMap = v
	}
	if v := reply.Ejections; v != nil && v.Version > client.applied.EjectionsVersion {
		newer.ejections = v
	}
	return newer
}

// deliver hands newer views to those who use them.
func (client *Client) deliver(newer views) {
	if newer.configuration != nil && client.config.Configuration != nil {
		client.config.Configuration(newer.configuration)
	}
	if newer.endpoints != nil && client.config.Endpoints != nil {
		client.config.Endpoints(newer.endpoints)
	}
	if newer.partitionMap != nil && client.config.PartitionMap != nil {
		client.config.PartitionMap(newer.partitionMap)
	}
	if newer.ejections != nil && client.config.Ejections != nil {
		client.config.Ejections(newer.ejections)
	}
}

// acknowledge notes views as taken. The caller holds mu.
func (client *Client) acknowledge(taken views) {
	if taken.configuration != nil {
		client.applied.ConfigurationVersion = taken.configuration.Version
	}
	if taken.endpoints != nil {
		client.applied.EndpointsVersion = taken.endpoints.Version
	}
	if taken.partitionMap != nil {
		client.applied.PartitionMapVersion = taken.partitionMap.Version
	}
	if taken.ejections != nil {
		client.applied.EjectionsVersion = taken.ejections.Version
	}
}

// maxUnpacked is the largest size, in bytes, of what came packed.
const maxUnpacked = 64 << 20

// unpack gives a configuration as the operator sent it; nil with an error.
func unpack(c *tierv1.Configuration) (*tierv1.Configuration, error) {
	body, err := decompress(c.Packed)
	if err != nil {
		return nil, errorx.Decorate(err, "configuration of version %d", c.Version)
	}
	return &tierv1.Configuration{Version: c.Version, Body: body}, nil
}

// unpackEndpoints gives a list of endpoints with its entries; nil with an error.
func unpackEndpoints(e *tierv1.Endpoints) (*tierv1.Endpoints, error) {
	body, err := decompress(e.Packed)
	if err != nil {
		return nil, errorx.Decorate(err, "endpoints of version %d", e.Version)
	}
	whole := &tierv1.Endpoints{}
	if err := proto.Unmarshal(body, whole); err != nil {
		return nil, errorx.Decorate(err, "endpoints of version %d", e.Version)
	}
	whole.Version = e.Version
	return whole, nil
}

// decompress gives what was packed, up to maxUnpacked bytes.
func decompress(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err == nil && len(body) > maxUnpacked {
		err = errorx.IllegalFormat.New("it has more than %d bytes", maxUnpacked)
	}
	return body, err
}
