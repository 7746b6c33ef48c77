package tierdemo

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	pollInterval = 20 * time.Millisecond // while waiting for a condition
	pollTimeout  = 300 * time.Millisecond
)

// pollUntil polls until a condition is met, or ctx ends.
func pollUntil(ctx context.Context, what string, met func(context.Context) bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		ok := met(pollCtx)
		cancel()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return errorx.TimeoutElapsed.Wrap(ctx.Err(), "wait for %s", what)
		case <-t.C:
		}
	}
}

// status asks a control-plane process for its status.
func (tier *tier) status(ctx context.Context, member *member) (*tierv1.StatusReply, error) {
	client := tierv1.NewControlPlaneProtobufClient("http://"+member.settings.Internal(controlPlanePort), tier.client)
	return client.Status(ctx, &tierv1.StatusRequest{})
}

// primary queries the control-plane processes and returns the primary with its status, or nil if there is no primary.
func (tier *tier) primary(ctx context.Context) (*member, *tierv1.StatusReply) {
	for _, member := range tier.controlPlanes {
		if !member.running() {
			continue
		}
		status, err := tier.status(ctx, member)
		if err == nil && status.Primary {
			return member, status
		}
	}
	return nil, nil
}

// hasAllReplicas reports whether each partition has all of its replicas, on running processes.
func (tier *tier) hasAllReplicas(ctx context.Context) bool {
	_, status := tier.primary(ctx)
	node := map[string]string{}
	for _, store := range status.GetPartitionMap().GetStoreNodes() {
		node[store.Folder] = store.Node
	}
	running := map[string]bool{}
	for _, store := range tier.turnStores {
		running[store.node()] = store.running()
	}
	for _, partition := range status.GetPartitionMap().GetPartitions() {
		if len(partition.Backups) == 0 || !running[node[partition.Primary]] {
			return false
		}
		for _, backup := range partition.Backups {
			if !backup.Synced || !running[node[backup.Folder]] {
				return false
			}
		}
	}
	return len(status.GetPartitionMap().GetPartitions()) > 0
}

// isPrimary reports whether a turn store is the primary of a partition in the newest map; known is false if there is no map.
func (tier *tier) isPrimary(ctx context.Context, node string) (primary, known bool) {
	_, status := tier.primary(ctx)
	for _, store := range status.GetPartitionMap().GetStoreNodes() {
		for _, partition := range status.PartitionMap.Partitions {
			if store.Node == node && partition.Primary == store.Folder {
				return true, true
			}
		}
	}
	return false, len(status.GetPartitionMap().GetPartitions()) > 0
}

// hasReplica reports whether a turn store has a replica of a partition in the newest map.
func (tier *tier) hasReplica(ctx context.Context, node string) bool {
	_, status := tier.primary(ctx)
	for _, store := range status.GetPartitionMap().GetStoreNodes() {
		if store.Node != node {
			continue
		}
		for _, partition := range status.PartitionMap.Partitions {
			if partition.Primary == store.Folder {
				return true
			}
			for _, backup := range partition.Backups {
				if backup.Folder == store.Folder {
					return true
				}
			}
		}
	}
	return false
}

// isCurrent reports whether a control-plane process has a record of the same epoch as the primary.
func (tier *tier) isCurrent(ctx context.Context, process *member) bool {
	_, newest := tier.primary(ctx)
	status, err := tier.status(ctx, process)
	return err == nil && newest != nil && status.GetRecord().GetEpoch() == newest.GetRecord().GetEpoch()
}

// ready reports whether all gateways are ready.
func (tier *tier) ready(ctx context.Context) bool {
	for _, gateway := range tier.gateways {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway.settings.Readiness+"/saffronyard/readiness", nil)
		if err != nil {
			return false
		}
		response, err := tier.client.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
