package consensus

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// digest returns a key that distinguishes states of a replica. Times are included relative to now.
func (x *explorer) digest(l *replicaState, s *subject) string {
	var b strings.Builder
	m := s.replica
	viewID := func(r *tierv1.View) int {
		if r == nil {
			return 0
		}
		return x.body(r).n
	}
	state := func(d *durableState) {
		fmt.Fprint(&b, d.Folder, d.preparedEpoch, d.preparedFor, viewID(d.accepted), viewID(d.chosen), d.sequence, d.stateEpoch, ";")
		for _, k := range slices.Sorted(maps.Keys(d.entries)) {
			fmt.Fprint(&b, k, d.entries[k].Sequence, ",")
		}
	}
	state(&m.durableState)
	var disk durableState
	for _, r := range l.records {
		if err := disk.replay(r); err != nil {
			panic(err)
		}
	}
	b.WriteByte('|')
	state(&disk)
	fmt.Fprint(&b, "|", l.site, l.newestEpoch, m.lastCallID, m.highestEpoch, m.primaryHint, m.primarySeen, m.now-m.preparedAt, "|")
	for _, a := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[a]
		fmt.Fprint(&b, a, p.member.GetFolder(), m.now-p.firstSeen, m.now-p.answeredAt, p.roundTrip, p.hasReplied, p.inContact, p.heartbeatPending, p.reportsMembership, ",")
	}
	if p := m.proposal; p != nil {
		fmt.Fprint(&b, "|p", p.phase, p.epoch, viewID(p.predecessor), viewID(p.target), p.openCalls, m.now-p.deadline, m.now-p.graceUntil,
			p.add.GetFolder(), p.remove.GetFolder(), p.replaceBackups, p.prepareSentTo, p.transfers, p.failedTransfers, p.acceptedBy, p.unanswered, p.retried)
		for _, f := range slices.Sorted(maps.Keys(p.confirmedAt)) {
			fmt.Fprint(&b, f, m.now-p.confirmedAt[f], ",")
		}
		for _, f := range slices.Sorted(maps.Keys(p.prepared)) {
			fmt.Fprint(&b, f, x.body(p.prepared[f]).n, ",")
		}
	}
	if r := m.primary; r != nil {
		fmt.Fprint(&b, "|r", r.firstEpoch, viewID(r.view), m.now-r.since, r.failedBackups, r.needsHigherEpoch, m.now-r.heartbeatAt, r.proposeAt, m.now-r.growAt, l.visible)
		for _, f := range slices.Sorted(maps.Keys(r.confirmedAt)) {
			fmt.Fprint(&b, f, m.now-r.confirmedAt[f], ",")
		}
		for _, w := range r.queue {
			fmt.Fprint(&b, "q", w.token)
		}
		if r.batch != nil {
			fmt.Fprint(&b, "n", r.batch.unacknowledged)
			for _, w := range r.batch.operations {
				fmt.Fprint(&b, "w", w.token, w.sequence)
			}
		}
	}
	// The effect of a reply depends on whether the proposal or batch that made the call is still in progress.
	for _, id := range slices.Sorted(maps.Keys(m.pendingCalls)) {
		current := false
		switch q := s.requests[id].(type) {
		case *tierv1.PrepareRequest:
			current = m.proposal != nil && m.proposal.epoch == q.Epoch
		case *tierv1.AcceptRequest:
			current = m.proposal != nil && m.proposal.epoch == q.View.Epoch
		case *tierv1.WriteRequest:
			current = m.proposal != nil && m.proposal.epoch == q.Epoch || m.primary != nil && m.primary.view.Epoch == q.Epoch
			fmt.Fprint(&b, q.Sequence, q.Snapshot)
		}
		fmt.Fprint(&b, "c", id, current)
	}
	return b.String()
}

func (w *systemState) key() string {
	b := make([]byte, 0, 96)
	for i, l := range w.replicas {
		if l != nil {
			b = binary.AppendUvarint(b, uint64(l.n))
			b = append(b, byte(w.incarnations[i]))
		}
	}
	l := w.left
	b = append(b, byte(l.takeovers), byte(l.ticks), byte(l.timeouts), byte(l.duplicates), byte(l.restarts), byte(l.wipes), byte(l.writes), byte(l.confirms), byte(l.swaps))
	for i := range maxOperations {
		b = binary.AppendUvarint(b, w.acknowledged[i])
		b = binary.AppendUvarint(b, w.acknowledgedUnder[i])
		b = append(b, w.began[i])
		if w.rejected[i] {
			b = append(b, 'r')
		}
	}
	for _, i := range w.net {
		b = binary.AppendUvarint(b, uint64(i.n))
	}
	return string(b)
}
