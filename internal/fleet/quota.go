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

// quotaNode is a sender's part in the fleet's limits: two duties, one that asks for units and one that lends those of the limits that
// the roster puts this sender in charge of. Calls take units from the till, in their own goroutines.
type quotaNode struct {
	node       *Node
	me         lease.HolderID
	terms      quota.Terms
	allowances *quota.Allowances
	reach      peers.RouteTable
	client     *worker.Worker[any, any]
	server     *worker.Worker[any, any]

	health *healthNode

	policyVersion uint64 // of the policy that the till goes by; the copy's duty alone has it
	rank          int
	published     bool

	healthState *pb.HealthState

	mu       sync.Mutex
	changed  map[string]struct{} // limits of which this sender may use another share, and nobody has heard so
	onChange func()
}

const (
	clientInboxSize = 4096 // events that wait for the asker: those of one limit are one
	serverInboxSize = 4096 // questions that wait for the lender
	pruneInterval   = time.Second
)

// Events of the two, besides those of package quota.
type (
	viewPublished  struct{}
	grantRequested struct {
		request *pb.QuotaRequest
		answer  chan grantResult
	}
	grantResult struct {
		reply *pb.QuotaReply
		err   error
	}
	reportRequested struct{ done chan []quota.Report }
	quotaDrawn      struct {
		quota.Draw
		units int64
	}
)

func newQuotaNode(n *Node) (*quotaNode, error) {
	reach, err := peers.NewRouteTable(n.cfg.Reach)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &quotaNode{node: n, me: lease.HolderID{Name: n.cfg.Name, Incarnation: n.incarnation}, terms: quota.Terms{Duration: n.cfg.quotaDuration(), MaxDrift: n.cfg.quotaDrift()}, reach: reach, changed: map[string]struct{}{}}
	l.allowances = quota.NewAllowances(l.terms.MaxDrift, func(key string) { l.client.Inbox.Offer(quota.UnitsWanted{Key: key}) })
	asker := quota.NewClient(l.me, l.terms, l.allowances)
	if n.cfg.GrantDuration != nil {
		asker.OverrideGrantDuration(n.cfg.GrantDuration)
	}
	l.client = &worker.Worker[any, any]{Name: "limits, asking", Inbox: worker.NewRingBuffer[any]("limits, asking", clientInboxSize, worker.MergeByKey, clientEventKey), Stepper: &quotaClient{node: l, Client: asker}, Execute: l.executeClient}
	lender := quota.NewServer(l.me, l.terms)
	if n.cfg.Today == nil {
		n.cfg.Today = func() int64 { return time.Now().UTC().Unix() / int64(24*time.Hour/time.Second) }
	}
	if n.cfg.QuotaGrace != nil {
		lender.OverrideGracePeriod(n.cfg.QuotaGrace)
	}
	l.server = &worker.Worker[any, any]{Name: "limits, lending", Inbox: worker.NewRingBuffer[any]("limits, lending", serverInboxSize, worker.DropOldest, nil), Stepper: &quotaServer{node: l, Server: lender}, Execute: l.executeServer}
	l.health = newHealthNode(l)
	return l, nil
}

func (l *quotaNode) start() {
	l.node.group.Start(l.server, worker.StopWorker)
	l.node.group.Start(l.client, worker.StopWorker)
	l.node.group.Start(l.health.worker, worker.StopWorker)
}

// setView takes over what is limited, before any call goes by it.
func (l *quotaNode) setView(v *fleetpolicy.View) {
	if l.published && v.Version == l.policyVersion && v.Rank == l.rank && v.Health == l.healthState {
		return
	}
	l.policyVersion, l.rank, l.healthState, l.published = v.Version, v.Rank, v.Health, true
	l.allowances.SetLimits(v.Limits(), func(q quota.Limit) bool { return v.Rank >= 0 && int64(v.Rank) < q.ReserveCount }, l.node.cfg.Now())
	l.client.Inbox.Offer(quota.LimitsChanged{})
}

// notifyView has both look at what is published.
func (l *quotaNode) notifyView() {
	l.server.Inbox.Offer(viewPublished{})
	l.client.Inbox.Offer(viewPublished{})
	l.health.worker.Inbox.Offer(viewPublished{})
}
