package session

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// updates are the parts of a reply that are newer than those in force here; nil: not newer.
type updates struct {
	configuration *tierv1.Configuration
	endpoints     *tierv1.Endpoints
	partitionMap  *tierv1.PartitionMap
	ejections     *tierv1.Ejections
}

// apply records a reply of the primary and delivers its newer parts. The next call acknowledges them. It returns false if a
// part was damaged: that part is not acknowledged, so the primary sends it again.
func (client *Client) apply(at string, reply *tierv1.WatchReply) (undamaged bool) {
	undamaged = true
	client.mu.Lock()
	client.recordReply(at, reply)
	newer := client.newer(reply)
	client.mu.Unlock()
	if len(newer.configuration.GetPacked()) > 0 {
		var err error
		if newer.configuration, err = decompressConfiguration(newer.configuration); err != nil {
			client.config.Log.Error().Str("event", "configuration_damaged").Err(err).Msg("received a damaged configuration")
			undamaged = false
		}
	}
	if len(newer.endpoints.GetPacked()) > 0 {
		var err error
		if newer.endpoints, err = decompressEndpoints(newer.endpoints); err != nil {
			client.config.Log.Error().Str("event", "endpoints_damaged").Err(err).Msg("received a damaged endpoint list")
			undamaged = false
		}
	}
	client.deliver(newer)
	client.mu.Lock()
	client.acknowledge(newer)
	client.mu.Unlock()
	return undamaged
}

// recordReply records that the session is active, and the members that the reply lists. The caller holds mu.
func (client *Client) recordReply(at string, reply *tierv1.WatchReply) {
	if !client.active {
		client.config.Log.Info().Str("event", "session").Str("primary", at).Uint64("epoch", reply.Epoch).Msg("established a session with the primary")
	}
	client.active, client.lastReply, client.hint = true, time.Now(), at
	if members := reply.Members; members != nil && members.Version > client.applied.MembersVersion {
		client.applied.MembersVersion = members.Version
		client.members = client.members[:0]
		for _, member := range members.List {
			client.members = append(client.members, member.Address)
		}
	}
}

// newer returns the parts of a reply that are newer than those in force here. The caller holds mu.
func (client *Client) newer(reply *tierv1.WatchReply) (newer updates) {
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

// deliver calls the functions of Config with updates.
func (client *Client) deliver(newer updates) {
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

// acknowledge records the versions of updates as in force. The caller holds mu.
func (client *Client) acknowledge(delivered updates) {
	if delivered.configuration != nil {
		client.applied.ConfigurationVersion = delivered.configuration.Version
	}
	if delivered.endpoints != nil {
		client.applied.EndpointsVersion = delivered.endpoints.Version
	}
	if delivered.partitionMap != nil {
		client.applied.PartitionMapVersion = delivered.partitionMap.Version
	}
	if delivered.ejections != nil {
		client.applied.EjectionsVersion = delivered.ejections.Version
	}
}
