package fleet

import (
	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// Admit asks at the moment of writing whether a call may be begun, and takes what it uses of limits. left is to be called when it is
// written, or will not be; over, if it is not nil, when it has ended, with whether it was written.
func (n *Node) Admit(c fleetpolicy.Call) (left func(), over func(written bool), why string) {
	left, why = n.gate.Admit(c)
	if why != "" {
		return nil, nil, why
	}
	v := n.gate.current()
	uses := v.Usages(c)
	if len(uses) == 0 {
		return left, nil, ""
	}
	if ok, lacks := n.quotas.allowances.Take(uses, n.cfg.Now()); !ok {
		left()
		return nil, nil, "no unit of the fleet's limit is here: " + lacks
	}
	return left, func(written bool) {
		if written {
			n.quotas.allowances.Release(uses, n.cfg.Now())
		} else {
			n.quotas.allowances.Undo(uses, n.cfg.Now())
		}
	}, ""
}

// AddBacklog notes that so many messages more, or fewer, wait to be sent that are under a policy's limits.
func (n *Node) AddBacklog(c fleetpolicy.Call, messages int64) {
	v := n.gate.current()
	if v == nil {
		return
	}
	for _, u := range v.Usages(c) {
		n.quotas.allowances.AddWaiting(u.Key, messages*u.Units, u.Units)
	}
}

// SetBacklog puts what waits in place of all that was noted.
func (n *Node) SetBacklog(waiting map[fleetpolicy.Call]int64) {
	v := n.gate.current()
	if v == nil {
		return
	}
	by := map[string]int64{}
	for c, messages := range waiting {
		for _, u := range v.Usages(c) {
			by[u.Key] += messages * u.Units
		}
	}
	n.quotas.allowances.SetWaiting(by)
}
