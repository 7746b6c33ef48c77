package fleet

import (
	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// Admit decides, when a call is about to be written, whether it may be begun, and takes the units of limits that the call uses. If the call may
// be begun, the caller must call written as soon as the call is written, or will not be written, and finished, if it is not nil, when the call
// has ended, with whether it was written. If the call may not be begun, why is the reason in words for operators.
func (n *Node) Admit(c fleetpolicy.Call) (written func(), finished func(wasWritten bool), why string) {
	written, why = n.gate.Admit(c)
	if why != "" {
		return nil, nil, why
	}
	v := n.gate.current()
	uses := v.Usages(c)
	if len(uses) == 0 {
		return written, nil, ""
	}
	if ok, exhausted := n.quotas.allowances.Take(uses, n.cfg.Now()); !ok {
		written()
		return nil, nil, "no unit of the fleet's limit is here: " + exhausted
	}
	return written, func(wasWritten bool) {
		if wasWritten {
			n.quotas.allowances.Release(uses, n.cfg.Now())
		} else {
			n.quotas.allowances.Undo(uses, n.cfg.Now())
		}
	}, ""
}

// AddBacklog adds a number of messages, which may be negative, to the backlog of messages that wait to be sent as the given call.
func (n *Node) AddBacklog(c fleetpolicy.Call, messages int64) {
	v := n.gate.current()
	if v == nil {
		return
	}
	for _, u := range v.Usages(c) {
		n.quotas.allowances.AddWaiting(u.Key, messages*u.Units, u.Units)
	}
}

// SetBacklog replaces the backlog of all calls.
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
