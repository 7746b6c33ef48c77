package simulation

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"saffronyard.example/saffronyard/internal/tier/consensus"
	"saffronyard.example/saffronyard/internal/tier/controlplane"
	"saffronyard.example/saffronyard/internal/tier/session"
	"saffronyard.example/saffronyard/internal/tier/turnstore"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Ports of the roles.
const (
	internalPort  = 7000
	turnStorePort = internalPort + 1
	operatorsPort = "8144"
	outsidePort   = "80"
)

const (
	dataFolder  = "/data"
	memoryBytes = 64 << 20 // of the facts of a turn store
)

func (p *process) dialControlPlane(address string) tierv1.ControlPlane {
	return tierv1.NewControlPlaneProtobufClient("http://"+address, p.link)
}

func (p *process) dialElection(address string) tierv1.Election {
	return tierv1.NewElectionProtobufClient("http://"+address, p.link)
}

func (p *process) dialTurnStore(address string) tierv1.TurnStore {
	return tierv1.NewTurnStoreProtobufClient("http://"+address, p.link)
}

// controlPlaneRole is a process of the control plane, assembled as package process does it.
type controlPlaneRole struct {
	hooks Hooks
	node  *consensus.Node
}

// start implements role.
func (c *controlPlaneRole) start(p *process) error {
	m := p.machine
	s := m.settings
	node, err := consensus.Open(consensus.Config{
		Self:  &tierv1.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, Address: s.Internal(0)},
		Seeds: s.SeedInternal(), Bootstrap: s.Bootstrap, Losses: s.Losses(), Dir: dataFolder, FS: c.hooks.wrapFiles(m.name, p.files()),
		ContactWindow: s.ContactWindow, Heartbeat: s.Heartbeat, Dial: p.dialElection, Log: p.log})
	if err != nil {
		return err
	}
	c.node = node
	plane := controlplane.New(controlplane.Config{Settings: s, Store: c.hooks.wrapStore(node), Cloud: &http.Client{Transport: p.link}, Log: p.log})
	internal := http.NewServeMux()
	internal.Handle(tierv1.ElectionPathPrefix, node.Handler())
	internal.Handle(tierv1.ControlPlanePathPrefix, tierv1.NewControlPlaneServer(plane.Sessions()))
	p.handlers[strconv.Itoa(internalPort)] = internal
	p.handlers[operatorsPort] = plane.Operators()
	go plane.Run(p.ctx)
	go func() {
		if err := node.Run(p.ctx); err != nil {
			m.world.trace("%s: ended: %v", m.name, err)
		}
		p.cancel()
	}()
	return nil
}

// leave implements role: the control plane hands nothing over.
func (c *controlPlaneRole) leave(context.Context) {}

// turnStoreRole is a process that stores turns, assembled as package process does it.
type turnStoreRole struct {
	hooks   Hooks
	store   *turnstore.TurnStore
	session *session.Client
}

func (v *turnStoreRole) start(p *process) error {
	m := p.machine
	s := m.settings
	store, err := turnstore.Open(turnstore.Config{Node: s.Node, Dir: dataFolder, FS: v.hooks.wrapFiles(m.name, p.files()), Dial: p.dialTurnStore,
		MemoryBytes: memoryBytes, Log: p.log, ReleaseGracePeriod: turnstore.ReleaseGracePeriod(s.ContactWindow)})
	if err != nil {
		return err
	}
	v.store = store
	p.handlers[strconv.Itoa(turnStorePort)] = tierv1.NewTurnStoreServer(v.hooks.wrapServer(store))
	v.session = session.New(session.Config{Settings: s, Role: string(roleTurnStore), Folder: store.Folder(), Address: s.Internal(1),
		EmptyFolder: store.WasEmpty(), Dial: p.dialControlPlane, Synced: v.hooks.wrapSynced(store), Disk: store.DiskState, Log: p.log,
		PartitionMap: func(t *tierv1.PartitionMap) {
			if !p.ended() {
				m.world.checks.views.recordPartitionMap(m.name, p, t)
			}
			if v.hooks.OnPartitionMap != nil {
				v.hooks.OnPartitionMap(store, t)
			}
			store.ApplyPartitionMap(t)
		}})
	go v.session.Run(p.ctx)
	go func() {
		if err := store.Run(p.ctx); err != nil {
			m.world.trace("%s: ended: %v", m.name, err)
		}
		p.cancel()
		_ = store.Close()
	}()
	return nil
}

// leave hands the partitions over, with a time-out of half of the grace period.
func (v *turnStoreRole) leave(ctx context.Context) {
	v.session.Drain()
	ctx, cancel := context.WithTimeout(ctx, gracePeriod/2)
	defer cancel()
	v.store.AwaitHandover(ctx)
}

// outsideRole serves one handler until the end of the play.
type outsideRole struct{ handler http.Handler }

func (o outsideRole) start(p *process) error {
	p.handlers[outsidePort] = o.handler
	return nil
}

func (outsideRole) leave(context.Context) {}

// request returns a client's request in the form in which a server receives it.
func request(ctx context.Context, r *http.Request, body []byte) *http.Request {
	out := r.Clone(ctx)
	out.Body = http.NoBody
	if len(body) > 0 {
		out.Body = newBody(body)
	}
	out.ContentLength = int64(len(body))
	out.RequestURI = r.URL.RequestURI()
	out.Host = r.URL.Host
	if r.Host != "" {
		out.Host = r.Host
	}
	return out
}

// hostPort returns the address of a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
