package peers

import (
	"encoding/json"
	"fmt"
	stdlog "log"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// memberMeta is the metadata that a member publishes with its membership.
type memberMeta struct {
	Exchange    string `json:"x"`
	Incarnation uint64 `json:"l"`
	Leaving     bool   `json:"b,omitempty"` // memberlist does not report afterwards whether a member left or died
}

// joinMembership starts the membership at the configured address; exchange is the address at which this sender serves its facts.
func (n *Node) joinMembership(exchange string) error {
	at, err := netip.ParseAddrPort(n.config.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	n.meta.set(memberMeta{Exchange: exchange, Incarnation: n.config.Incarnation})
	m := memberlist.DefaultLANConfig()
	m.Name, m.Label = n.config.Name, n.config.Cluster
	m.BindAddr, m.BindPort = at.Addr().String(), int(at.Port())
	m.AdvertiseAddr, m.AdvertisePort = m.BindAddr, m.BindPort
	m.Logger = stdlog.New(logWriter{n.log}, "", 0)
	if len(n.routes) > 0 {
		t, err := newTransport(at, n.routes, m.Logger)
		if err != nil {
			return fmt.Errorf("peers: membership: %w", err)
		}
		m.Transport = t
		defer func() {
			if n.members == nil {
				t.Shutdown()
			}
		}()
		if at.Port() == 0 {
			m.BindPort = t.GetAutoBindPort()
			m.AdvertisePort = m.BindPort
		}
	}
	m.Delegate = &n.meta
	m.GossipInterval = gossipInterval // messages are sent only when there are changes
	m.Events = (*eventDelegate)(n)
	m.Conflict = (*eventDelegate)(n)
	m.DeadNodeReclaimTime = time.Millisecond // a dead member may return at once under its name at another address
	if len(n.config.Keys) > 0 {
		if n.keyring, err = memberlist.NewKeyring(n.config.Keys, n.config.Keys[0]); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		m.Keyring = n.keyring
	}
	if n.members, err = memberlist.Create(m); err != nil {
		return fmt.Errorf("peers: membership: %w", err)
	}
	return nil
}

// Address returns the address at which the membership listens.
func (n *Node) Address() string { return n.members.LocalNode().Address() }

// errNoKeys means that keys were to be changed, but the membership was started without any.
var errNoKeys = configError("membership was started without encryption, so its keys can't be changed")

// SetKeys changes the keys of the membership while it runs. It adds the new keys first, then encrypts with the first of keys, and
// removes the keys that are not in keys. To rotate a key, all members must have it before any of them sends with it. SetKeys
// fails if the membership was started without keys, or keys is empty.
func (n *Node) SetKeys(keys [][]byte) error {
	ring := n.keyring
	if ring == nil || len(keys) == 0 {
		return errNoKeys
	}
	for _, k := range keys {
		if err := ring.AddKey(k); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for _, k := range ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(o []byte) bool { return string(o) == string(k) }) {
			if err := ring.RemoveKey(k); err != nil {
				return fmt.Errorf("peers: %w", err)
			}
		}
	}
	return nil
}

// eventDelegate is a Node that receives membership events (memberlist.EventDelegate, ConflictDelegate).
type eventDelegate Node

// NotifyJoin records that a member has joined.
func (e *eventDelegate) NotifyJoin(m *memberlist.Node) { e.recordChange(m, stateAlive) }

// NotifyUpdate records that a member has changed its metadata.
func (e *eventDelegate) NotifyUpdate(m *memberlist.Node) { e.recordChange(m, stateAlive) }

// NotifyLeave records that a member has left or died.
func (e *eventDelegate) NotifyLeave(m *memberlist.Node) {
	e.recordChange(m, stateDead)
}

// NotifyConflict logs that two members have the same name. The existing one stays; both are notified.
func (e *eventDelegate) NotifyConflict(existing, other *memberlist.Node) {
	e.log.Error("peers: two senders have the same name; the later one was rejected", "name", existing.Name, "at", existing.Address(), "refused", other.Address())
}

// recordChange records the state of a member and wakes run to choose the peers to follow.
func (e *eventDelegate) recordChange(m *memberlist.Node, state string) {
	if m.Name == e.config.Name {
		return
	}
	var meta memberMeta
	if err := json.Unmarshal(m.Meta, &meta); err != nil || CheckLoopback(meta.Exchange) != nil {
		meta.Exchange = "" // the member is alive, but can't be followed
	}
	if meta.Leaving {
		state = stateLeft
	}
	e.mu.Lock()
	known := e.peers[m.Name]
	if known == nil {
		known = &peer{}
		e.peers[m.Name] = known
	}
	if known.State != state || known.Incarnation != meta.Incarnation {
		known.Since, known.retryAt, known.failures = e.now(), 0, 0
	}
	known.Member = Member{Name: m.Name, Incarnation: meta.Incarnation, Address: m.Address(), Exchange: meta.Exchange, Since: known.Since, State: state}
	if len(e.peers) > maxMembers {
		e.forgetDeparted()
	}
	e.mu.Unlock()
	e.log.Info("peers: member state changed", "peer", m.Name, "state", state, "address", m.Address())
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxMembers is the number of recorded members above which those that are not alive are dropped.
const maxMembers = 1024

// forgetDeparted drops the members that are not alive.
func (e *eventDelegate) forgetDeparted() {
	for name, p := range e.peers {
		if p.State != stateAlive && !p.following {
			delete(e.peers, name)
			delete(e.progress, name)
		}
	}
}

// metaDelegate supplies this member's metadata to the membership (memberlist.Delegate). It carries no other data.
type metaDelegate struct {
	mu sync.Mutex
	memberMeta
}

// set replaces the metadata.
func (d *metaDelegate) set(m memberMeta) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memberMeta = m
}

// NodeMeta is the JSON of memberMeta.
func (d *metaDelegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, err := json.Marshal(d.memberMeta)
	if err != nil || len(raw) > limit { // neither can happen: the metadata is an address, a number and a flag
		return nil
	}
	return raw
}

// NotifyMsg ignores messages: facts are sent over gRPC.
func (*metaDelegate) NotifyMsg([]byte) {}

// GetBroadcasts returns none.
func (*metaDelegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns none.
func (*metaDelegate) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores the state of other members.
func (*metaDelegate) MergeRemoteState([]byte, bool) {}

// logWriter forwards memberlist's log lines: errors at level Warn, all others at level Debug.
type logWriter struct{ log *slog.Logger }

// Write logs one line.
func (l logWriter) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	if strings.Contains(line, "[ERR]") {
		l.log.Warn("peers: membership", "says", line)
	} else {
		l.log.Debug("peers: membership", "says", line)
	}
	return len(p), nil
}
