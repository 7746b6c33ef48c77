package controlplane

import (
	"bytes"
	"compress/gzip"
	"context"
	"slices"
	"strings"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Roles of those who hold sessions.
const (
	roleGateway   = "gateway"
	roleTurnStore = "turnstore"
)

// Sessions is the service that gateways, turn stores and the command line call.
func (k *ControlPlane) Sessions() tierv1.ControlPlane { return &sessions{k} }

type sessions struct{ k *ControlPlane }

// Watch answers at once where there is news for the caller, else when its time is over.
func (s *sessions) Watch(ctx context.Context, req *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	k := s.k
	if _, ok := k.Store.Primary(); !ok {
		return k.elsewhere(), nil
	}
	k.mu.Lock()
	me, fresh := k.sessions.enter(time.Now(), req)
	k.mu.Unlock()
	if me != nil {
		if fresh && req.Role == roleTurnStore {
			wake(k.kick)
		}
		defer func() {
			broken := ctx.Err() != nil
			k.mu.Lock()
			k.sessions.leave(time.Now(), me, broken)
			k.mu.Unlock()
			if broken && req.Role == roleTurnStore && req.Leaving {
				wake(k.kick)
			}
		}()
	}
	hold := time.NewTimer(min(time.Duration(req.HoldMs)*time.Millisecond, k.window(holdPart)))
	defer hold.Stop()
	confirmed := req.Configuration != 0
	over := false
	for {
		v, changed := k.snapshot()
		epoch, ok := k.Store.Primary()
		if !ok {
			return k.elsewhere(), nil
		}
		if v.ready && v.epoch == epoch {
			if !confirmed { // the first of a life: it has nothing to compare with
				if err := k.confirm.wait(ctx, epoch); err != nil {
					return k.elsewhere(), nil
				}
				confirmed = true
				continue
			}
			if n, some := v.newsFor(req); some || over || req.HoldMs == 0 {
				n.Hint = k.Store.Hint()
				return n, nil
			}
		} else if over || req.HoldMs == 0 {
			return k.elsewhere(), nil
		}
		select {
		case <-changed:
		case <-hold.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// elsewhere is the answer of one that is not the primary, or can't be sure of it.
func (k *ControlPlane) elsewhere() *tierv1.WatchReply {
	return &tierv1.WatchReply{Hint: k.Store.Hint()}
}

func (v *view) newsFor(req *tierv1.WatchRequest) (n *tierv1.WatchReply, some bool) {
	n = &tierv1.WatchReply{Primary: true, Epoch: v.epoch}
	if v.routing != nil && v.routing.Version > req.Configuration {
		n.Configuration, some = v.packed, true
	}
	if v.endpoints != nil && v.endpoints.Version > req.Endpoints {
		n.Endpoints, some = v.endpoints, true
	}
	if v.turnStores != nil && v.turnStores.Version > req.PartitionMap {
		n.PartitionMap, some = v.turnStores, true
	}
	if v.members != nil && v.members.Version > req.Members {
		n.Members, some = v.members, true
	}
	return n, some
}

// Status tells operators what this process is and knows.
func (s *sessions) Status(context.Context, *tierv1.StatusRequest) (*tierv1.StatusReply, error) {
	k := s.k
	v, primary := k.primary()
	r := &tierv1.StatusReply{Self: k.Store.Self(), Primary: primary, Record: k.Store.Record()}
	r.Highest = r.Record.GetEpoch()
	for _, key := range []string{keyConfiguration, keyPartitionMap, keySettled} {
		_, sequence := k.Store.Get(key)
		r.Sequence = max(r.Sequence, sequence)
	}
	if !primary {
		return r, nil
	}
	r.PartitionMap, r.Configuration, r.Endpoints, r.Revision = v.turnStores, v.routing.GetVersion(), v.endpoints.GetVersion(), v.revision
	now := time.Now()
	k.mu.Lock()
	for _, one := range k.sessions.of {
		t := &tierv1.Session{Node: one.node, Role: one.role, Address: one.address, Configuration: one.routing,
			Endpoints: one.endpoints, PartitionMap: one.turnStores}
		if one.held == 0 {
			t.SilentMs = now.Sub(one.ended).Milliseconds()
		}
		r.Sessions = append(r.Sessions, t)
	}
	k.mu.Unlock()
	slices.SortFunc(r.Sessions, func(a, b *tierv1.Session) int {
		return strings.Compare(a.Role+" "+a.Node, b.Role+" "+b.Node)
	})
	return r, nil
}

// pack gives a configuration as sessions get it. Routes are much alike, and all sessions take it at each change.
func pack(c *tierv1.Configuration) *tierv1.Configuration {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err == nil {
		if _, err = w.Write(c.Body); err == nil {
			err = w.Close()
		}
	}
	if err != nil || b.Len() >= len(c.Body) {
		return c
	}
	return &tierv1.Configuration{Version: c.Version, Packed: b.Bytes()}
}
