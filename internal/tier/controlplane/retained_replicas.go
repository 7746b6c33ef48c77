package controlplane

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A replica whose session has expired, or whose sync is stalled, is removed from its partition, because nothing is acknowledged
// until every backup in the map has confirmed it. The replica is retained: the map records in which epochs it received
// everything that was acknowledged, and its turn store keeps its data. Whatever was acknowledged in an epoch is synced at all
// replicas of that epoch, including those being synced, and facts are only added. So replicas whose spans of epochs follow each
// other without a gap, from the first epoch to the newest in which anything can have been acknowledged, together have
// everything that was ever acknowledged, even if the primary and all synced replicas are lost. One of them then becomes the
// primary, and serves nothing before it has exchanged all facts with the others.

// maxRetained bounds the retained replicas of a partition, and so the size of the map.
const maxRetained = 16

// acknowledgedUntil returns the newest epoch of a partition in which anything can have been acknowledged.
func acknowledgedUntil(p *tierv1.Partition) uint64 {
	if len(p.RecoverFrom) > 0 {
		return p.AcknowledgedUntil // nothing is acknowledged until the primary has recovered
	}
	return p.Epoch
}

// retainReplica records a replica that is removed: a synced one (since is 0), or one that received everything acknowledged
// since an epoch. A replica whose disk is lost has no data and is not recorded.
func (a *assignment) retainReplica(p *tierv1.Partition, folder string, since uint64) {
	until := acknowledgedUntil(p)
	if a.replaced[folder] || since > until {
		return
	}
	p.Retained = slices.DeleteFunc(p.Retained, func(r *tierv1.RetainedReplica) bool {
		if r.Folder != folder || since > r.Until+1 {
			return false
		}
		since = min(since, r.Since) // the spans overlap or follow each other
		return true
	})
	p.Retained = append(p.Retained, &tierv1.RetainedReplica{Folder: folder, Since: since, Until: until})
	if len(p.Retained) > maxRetained {
		oldest := max(0, slices.IndexFunc(p.Retained, func(r *tierv1.RetainedReplica) bool { return r.Since > 0 }))
		p.Retained = slices.Delete(p.Retained, oldest, oldest+1)
	}
}

// pruneRetained deletes retained replicas that are no longer needed: enough others are synced, or their disks are lost.
func (a *assignment) pruneRetained(p *tierv1.Partition) {
	if a.syncedReplicas(p) > a.Losses {
		p.Retained = nil
		return
	}
	p.Retained = slices.DeleteFunc(p.Retained, func(r *tierv1.RetainedReplica) bool { return a.replaced[r.Folder] })
}

// recoverPrimary gives a partition whose synced replicas are all lost a new primary, chosen from replicas that are alive and
// together have everything that was acknowledged. It returns false if there are no such replicas.
func (a *assignment) recoverPrimary(p *tierv1.Partition) bool {
	until := acknowledgedUntil(p)
	chain := a.coveringReplicas(p, until)
	if len(chain) == 0 {
		return false
	}
	if len(p.RecoverFrom) == 0 {
		a.retainReplica(p, p.Primary, 0)
	}
	if c := findBackup(p, chain[0]); c != nil {
		a.retainReplica(p, c.Folder, c.Since)
		a.removeBackup(p, c.Folder)
	}
	p.Primary, p.RecoverFrom, p.AcknowledgedUntil = chain[0], chain[1:], 0
	if len(p.RecoverFrom) > 0 {
		p.AcknowledgedUntil = until
	}
	for _, folder := range p.RecoverFrom {
		if findBackup(p, folder) == nil {
			p.Backups = append(p.Backups, &tierv1.Replica{Folder: folder})
		}
	}
	return true
}

// coveringReplicas returns the fewest replicas that are alive and whose spans cover all epochs up to until, the one with the
// oldest span first; nil if there are none.
func (a *assignment) coveringReplicas(p *tierv1.Partition, until uint64) (chain []string) {
	spans := slices.Clone(p.Retained)
	for _, c := range p.Backups {
		if !c.Synced {
			spans = append(spans, &tierv1.RetainedReplica{Folder: c.Folder, Since: c.Since, Until: until})
		}
	}
	for next := uint64(0); next <= until; {
		var best *tierv1.RetainedReplica
		for _, r := range spans {
			if a.alive(r.Folder) && r.Since <= next && r.Until >= next && (best == nil || r.Until > best.Until) {
				best = r
			}
		}
		if best == nil {
			return nil
		}
		next = best.Until + 1
		if !slices.Contains(chain, best.Folder) {
			chain = append(chain, best.Folder)
		}
	}
	return chain
}
