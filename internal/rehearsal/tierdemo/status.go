package tierdemo

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

const (
	lookEvery = 20 * time.Millisecond // while something is waited for
	lookTime  = 300 * time.Millisecond
)

// until looks again and again until what is waited for has come, or ctx ends.
func until(ctx context.Context, what string, met func(context.Context) bool) error {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		one, cancel := context.WithTimeout(ctx, lookTime)
		ok := met(one)
		cancel()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return errorx.TimeoutElapsed.Wrap(ctx.Err(), "waited for: %s", what)
		case <-t.C:
		}
	}
}

// primary asks the control-plane processes which of them is the primary, and gives it with its state; nil: none says so.
func (t *tier) primary(ctx context.Context) (*member, *tierv1.StatusReply) {
	for _, p := range t.controlPlanes {
		if !p.running() {
			continue
		}
		s, err := tierv1.NewControlPlaneProtobufClient("http://"+p.settings.Internal(controlPlanePort), t.client).Status(ctx, &tierv1.StatusRequest{})
		if err == nil && s.Primary {
			return p, s
		}
	}
	return nil, nil
}

// whole tells whether each partition has all of its copies, on running processes.
func (t *tier) whole(ctx context.Context) bool {
	_, s := t.primary(ctx)
	node := map[string]string{}
	for _, k := range s.GetPartitionMap().GetStoreNodes() {
		node[k.Folder] = k.Node
	}
	running := map[string]bool{}
	for _, v := range t.turnStores {
		running[v.node()] = v.running()
	}
	for _, p := range s.GetPartitionMap().GetPartitions() {
		if len(p.Backups) == 0 || !running[node[p.Primary]] {
			return false
		}
		for _, b := range p.Backups {
			if !b.Synced || !running[node[b.Folder]] {
				return false
			}
		}
	}
	return len(s.GetPartitionMap().GetPartitions()) > 0
}

// speaks tells whether a turn store is primary of a partition by the newest map; known is false where nobody shows a map.
func (t *tier) speaks(ctx context.Context, node string) (speaks, known bool) {
	_, s := t.primary(ctx)
	for _, k := range s.GetPartitionMap().GetStoreNodes() {
		for _, p := range s.PartitionMap.Partitions {
			if k.Node == node && p.Primary == k.Folder {
				return true, true
			}
		}
	}
	return false, len(s.GetPartitionMap().GetPartitions()) > 0
}

// keeps tells whether a turn store has a copy of a partition by the newest map.
func (t *tier) keeps(ctx context.Context, node string) bool {
	_, s := t.primary(ctx)
	for _, k := range s.GetPartitionMap().GetStoreNodes() {
		if k.Node != node {
			continue
		}
		for _, p := range s.PartitionMap.Partitions {
			if p.Primary == k.Folder {
				return true
			}
			for _, b := range p.Backups {
				if b.Folder == k.Folder {
					return true
				}
			}
		}
	}
	return false
}

// follows tells whether a control-plane process knows the record that the primary goes by.
func (t *tier) follows(ctx context.Context, p *member) bool {
	_, newest := t.primary(ctx)
	s, err := tierv1.NewControlPlaneProtobufClient("http://"+p.settings.Internal(controlPlanePort), t.client).Status(ctx, &tierv1.StatusRequest{})
	return err == nil && newest != nil && s.GetRecord().GetEpoch() == newest.GetRecord().GetEpoch()
}

// ready asks all gateways whether clients may come.
func (t *tier) ready(ctx context.Context) bool {
	for _, p := range t.gateways {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.Readiness+"/saffronyard/readiness", nil)
		if err != nil {
			return false
		}
		resp, err := t.client.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
