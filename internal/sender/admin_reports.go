package sender

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/peers"
)

// KnownFact is a fact in the form in which operators see it.
type KnownFact struct {
	Receiver uint32  `json:"receiver"`
	Endpoint string  `json:"endpoint,omitempty"`
	Kind     string  `json:"sort"`
	Says     string  `json:"says"`
	Source   string  `json:"source"` // self, earlier, or a peer's name
	AgeMS    int64   `json:"age_ms"`
	Trust    float64 `json:"trust"` // 1 for a fresh fact, 0 for one that has expired
	Calls    uint32  `json:"calls"`
}

// PeersReport lists the known members of the cluster and counts the facts that they share.
type PeersReport struct {
	Name          string         `json:"name"`
	Cluster       string         `json:"cluster"`
	Address       string         `json:"address"` // of the membership protocol
	OwnFacts      int            `json:"tells"`   // number of facts that this sender has observed itself
	Members       []peers.Member `json:"members"`
	FactsBySource map[string]int `json:"heard"` // stored facts by the name of their source
	NowMS         int64          `json:"now_ms"`
}

// peersReport is the answer to GET /peers.
func (s *Sender) peersReport(now time.Duration) PeersReport {
	r := PeersReport{Name: s.config.Name, FactsBySource: map[string]int{}, NowMS: now.Milliseconds(), OwnFacts: len(s.knownFacts(now))}
	s.knownFactsCache = nil
	if p, ok := extensionOf[*peersExtension](s); ok {
		r.Cluster, r.Address, r.Members = s.config.Peers.Cluster, p.node.Address(), p.node.Members()
		for _, f := range append(p.view.Facts(), p.reports.All()...) {
			r.FactsBySource[f.Source.Name]++
		}
	}
	return r
}

// knowledgeReport is the answer to GET /knowledge, with all facts or those of one receiver: the facts observed by this process, those
// received from peers, and those left by an earlier process.
func (s *Sender) knowledgeReport(now time.Duration, all bool, receiver uint32) []KnownFact {
	list := []KnownFact{}
	add := func(facts []knowledge.Fact, source string) {
		for _, f := range facts {
			if !all && f.Destination != receiver {
				continue
			}
			from := source
			if from == "" {
				from = f.Source.Name
			}
			list = append(list, KnownFact{Receiver: f.Destination, Endpoint: f.Endpoint, Kind: f.Kind.String(), Says: describe(&f, now), Source: from,
				AgeMS: (now - f.ObservedAt).Milliseconds(), Trust: f.Trust(now), Calls: f.Calls})
		}
	}
	add(s.knownFacts(now), "self")
	s.knownFactsCache = nil
	if p, ok := extensionOf[*knowledgeStore](s); ok {
		add(p.view.Facts(), "earlier")
	}
	if p, ok := extensionOf[*peersExtension](s); ok {
		add(p.view.Facts(), "")
		add(p.reports.All(), "")
	}
	return list
}

// describe returns a fact as text for operators.
func describe(f *knowledge.Fact, now time.Duration) string {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + " ms" }
	switch f.Kind {
	case knowledge.Latency:
		return fmt.Sprintf("calls take %s in the middle, %s at the least; time-out %s", ms(f.Median), ms(f.Min), ms(f.Timeout))
	case knowledge.Concurrency:
		return fmt.Sprintf("bore %.1f calls at once", f.Window)
	case knowledge.RateLimit:
		return fmt.Sprintf("takes %.2f calls a second of all senders", f.PerSecond)
	case knowledge.RetryAfter:
		return fmt.Sprintf("asked for a wait, of which %s are left", ms(max(0, f.Until-now)))
	case knowledge.Health:
		return fmt.Sprintf("%s for %s; %.2f calls a second usually", f.State, ms(now-f.Since), f.Rate)
	}
	return "?"
}

// PendingCount is how many messages of a tenant for a destination are pending.
type PendingCount struct {
	Destination uint32 `json:"destination"`
	Tenant      string `json:"tenant"`
	Messages    int    `json:"messages"`
}

// pendingCounts is the answer to GET /held: the pending messages by destination and tenant, the attributes that a policy depends on.
func (s *Sender) pendingCounts() []PendingCount {
	counts := map[fleetpolicy.Call]int{}
	for _, m := range s.messages {
		if !m.ended {
			counts[policyCall(m.storedMessage.record)]++
		}
	}
	all := make([]PendingCount, 0, len(counts))
	for c, n := range counts {
		all = append(all, PendingCount{c.Destination, c.Tenant, n})
	}
	slices.SortFunc(all, func(a, b PendingCount) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Tenant, b.Tenant))
	})
	return all
}
