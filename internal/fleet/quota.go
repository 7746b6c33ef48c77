package fleet

import (
	"fmt"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// quotaNode is a sender's part in the fleet's limits: a worker that requests units from their owners, and one that grants units of the limits
// that this sender owns. Calls take units from allowances in their own goroutines.
type quotaNode struct {
	node       *Node
	self       lease.HolderID
	terms      quota.Terms
	allowances *quota.Allowances
	routes     peers.RouteTable
	client     *quotaClientActor
	server     *quotaServerActor
	health     *healthNode

	// State from which the allowances were set last; used only by the replica's worker.
	policyVersion uint64
	rank          int
	healthState   *pb.HealthState
	published     bool

	mu       sync.Mutex
	changed  map[string]struct{} // keys of limits whose share changed since RateLimits was called
	onChange func()
}

const (
	clientInboxSize = 4096 // of the quota client; events of one limit are merged
	serverInboxSize = 4096 // of the quota server
	pruneInterval   = time.Second

	// The names of the workers, as commands show them.
	quotaClientWorker = "limits, asking"
	quotaServerWorker = "limits, lending"
)

func newQuotaNode(n *Node) (*quotaNode, error) {
	routes, err := peers.NewRouteTable(n.cfg.Reach)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	q := &quotaNode{node: n, self: lease.HolderID{Name: n.cfg.Name, Incarnation: n.incarnation}, routes: routes, changed: map[string]struct{}{},
		terms: quota.Terms{Duration: n.cfg.quotaDuration(), MaxDrift: n.cfg.quotaDrift()}}
	q.allowances = quota.NewAllowances(q.terms.MaxDrift, func(key string) { q.client.Inbox.Offer(quota.UnitsWanted{Key: key}) })
	client := quota.NewClient(q.self, q.terms, q.allowances)
	if n.cfg.GrantDuration != nil {
		client.OverrideGrantDuration(n.cfg.GrantDuration)
	}
	server := quota.NewServer(q.self, q.terms)
	if n.cfg.Today == nil {
		n.cfg.Today = func() int64 { return time.Now().UTC().Unix() / int64(24*time.Hour/time.Second) }
	}
	if n.cfg.QuotaGrace != nil {
		server.OverrideGracePeriod(n.cfg.QuotaGrace)
	}
	q.client = &quotaClientActor{Name: quotaClientWorker, Inbox: worker.NewRingBuffer(quotaClientWorker, clientInboxSize, worker.MergeByKey, clientEventKey),
		Stepper: &quotaClient{node: q, Client: client}, Execute: q.executeClient}
	q.server = &quotaServerActor{Name: quotaServerWorker, Inbox: worker.NewRingBuffer[quotaServerEvent](quotaServerWorker, serverInboxSize, worker.DropOldest, nil),
		Stepper: &quotaServer{node: q, Server: server}, Execute: q.executeServer}
	q.health = newHealthNode(q)
	return q, nil
}

func (q *quotaNode) start() {
	q.node.group.Start(q.server, worker.StopWorker)
	q.node.group.Start(q.client, worker.StopWorker)
	q.node.group.Start(q.health.worker, worker.StopWorker)
}

// setView replaces the limits. It must be called before any call is checked against the view.
func (q *quotaNode) setView(v *fleetpolicy.View) {
	if q.published && v.Version == q.policyVersion && v.Rank == q.rank && v.Health == q.healthState {
		return
	}
	q.policyVersion, q.rank, q.healthState, q.published = v.Version, v.Rank, v.Health, true
	hasReserve := func(l quota.Limit) bool { return v.Rank >= 0 && int64(v.Rank) < l.ReserveCount }
	q.allowances.SetLimits(v.Limits(), hasReserve, q.node.cfg.Now())
	q.client.Inbox.Offer(quota.LimitsChanged{})
}

// notifyView makes the workers read the view that was published.
func (q *quotaNode) notifyView() {
	q.server.Inbox.Offer(viewPublished{})
	q.client.Inbox.Offer(quota.Wake{})
	q.health.worker.Inbox.Offer(viewPublished{})
}

// viewPublished makes a worker read the view that was published.
type viewPublished struct{}

func (viewPublished) quotaServerEvent() {}
func (viewPublished) healthEvent()      {}
