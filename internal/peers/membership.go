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

// memberMeta is what a member tells of itself with its membership.
type memberMeta struct {
	Exchange    string `json:"x"`
	Incarnation uint64 `json:"l"`
	Leaving     bool   `json:"b,omitempty"` // the membership does not say afterwards whether one left or died
}

// joinMembership starts the membership at the configured address; exchange is where this sender's facts are to be had.
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
	m.GossipInterval = gossipInterval // it is sent only when there is something to tell
	m.Events = (*eventDelegate)(n)
	m.Conflict = (*eventDelegate)(n)
	m.DeadNodeReclaimTime = time.Millisecond // one that died may come back under its name at another address, at once
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

// Address is where the membership listens.
func (n *Node) Address() string { return n.members.LocalNode().Address() }

// errNoKeys is that keys are to be changed where there are none.
var errNoKeys = configError("membership is in clear; keys are changed only where there are some")

// SetKeys changes the keys of the membership while it runs. Those that are new are added first, so that all members know them
// before one is sent with; the first is what is sent with, and those that are not among keys are removed. Without keys from
// the start it fails.
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

// eventDelegate is the Node as it hears of members (memberlist.EventDelegate, ConflictDelegate).
type eventDelegate Node

// NotifyJoin records that a member has come.
func (e *eventDelegate) NotifyJoin(m *memberlist.Node) { e.recordChange(m, stateAlive) }

// NotifyUpdate records that a member tells something else of itself.
func (e *eventDelegate) NotifyUpdate(m *memberlist.Node) { e.recordChange(m, stateAlive) }

// NotifyLeave records that a member has left or died.
func (e *eventDelegate) NotifyLeave(m *memberlist.Node) {
	e.recordChange(m, stateDead)
}

// NotifyConflict logs that two members have one name: the one that was there first stays, and both hear of it.
func (e *eventDelegate) NotifyConflict(existing, other *memberlist.Node) {
	e.log.Error("peers: two senders have one name: the later one is refused", "name", existing.Name, "at", existing.Address(), "refused", other.Address())
}

// recordChange records the state of a member and wakes the choice of those to follow.
func (e *eventDelegate) recordChange(m *memberlist.Node, state string) {
	if m.Name == e.config.Name {
		return
	}
	var meta memberMeta
	if err := json.Unmarshal(m.Meta, &meta); err != nil || CheckLoopback(meta.Exchange) != nil {
		meta.Exchange = "" // it is there, and tells nothing that can be followed
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
	e.log.Info("peers: a member changed its state", "peer", m.Name, "state", state, "address", m.Address())
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxMembers is how many are remembered with those that have gone.
const maxMembers = 1024

// forgetDeparted drops the members that are not alive.
func (e *eventDelegate) forgetDeparted() {
	for name, f := range e.peers {
		if f.State != stateAlive && !f.following {
			delete(e.peers, name)
			delete(e.progress, name)
		}
	}
}

// metaDelegate gives the membership what this member tells of itself (memberlist.Delegate). Nothing else travels by it.
type metaDelegate struct {
	mu sync.Mutex
	memberMeta
}

// set changes what this member tells.
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
	if err != nil || len(raw) > limit { // neither can be: it holds an address and two figures
		return nil
	}
	return raw
}

// NotifyMsg takes no messages: facts go by gRPC.
func (*metaDelegate) NotifyMsg([]byte) {}

// GetBroadcasts has none.
func (*metaDelegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is empty.
func (*metaDelegate) LocalState(bool) []byte { return nil }

// MergeRemoteState takes none.
func (*metaDelegate) MergeRemoteState([]byte, bool) {}

// logWriter passes on the membership's own log lines; those that tell of an error are warnings here.
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
