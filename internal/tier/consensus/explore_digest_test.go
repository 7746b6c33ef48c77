package consensus

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// digest tells states of a machine apart. Times count by how long ago.
func (x *explorer) digest(l *lane, s *subject) string {
	var b strings.Builder
	m := s.m
	record := func(r *tierv1.View) int {
		if r == nil {
			return 0
		}
		return x.body(r).n
	}
	state := func(d *durable) {
		fmt.Fprint(&b, d.Folder, d.promised, d.promisedTo, record(d.accepted), record(d.chosen), d.sequence, d.copyEpoch, ";")
		for _, k := range slices.Sorted(maps.Keys(d.data)) {
			fmt.Fprint(&b, k, d.data[k].Sequence, ",")
		}
	}
	state(&m.durable)
	var disk durable
	for _, r := range l.records {
		if err := disk.replay(r); err != nil {
			panic(err)
		}
	}
	b.WriteByte('|')
	state(&disk)
	fmt.Fprint(&b, "|", l.site, l.led, m.nextID, m.highest, m.hint, m.observed, m.now-m.granted, "|")
	for _, a := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[a]
		fmt.Fprint(&b, a, p.member.GetFolder(), m.now-p.first, m.now-p.answered, p.trip, p.replied, p.met, p.asking, p.voter, ",")
	}
	if p := m.proposal; p != nil {
		fmt.Fprint(&b, "|p", p.phase, p.epoch, record(p.base), record(p.target), p.open, m.now-p.deadline, m.now-p.grace,
			p.in.GetFolder(), p.out.GetFolder(), p.drop, p.asked, p.copies, p.bad, p.accepted, p.silent, p.repeated)
		for _, f := range slices.Sorted(maps.Keys(p.confirmed)) {
			fmt.Fprint(&b, f, m.now-p.confirmed[f], ",")
		}
		for _, f := range slices.Sorted(maps.Keys(p.replies)) {
			fmt.Fprint(&b, f, x.body(p.replies[f]).n, ",")
		}
	}
	if r := m.primary; r != nil {
		fmt.Fprint(&b, "|r", r.first, record(r.record), m.now-r.began, r.lost, r.renew, m.now-r.next, r.retryAt, m.now-r.moreAt, l.shown)
		for _, f := range slices.Sorted(maps.Keys(r.confirmed)) {
			fmt.Fprint(&b, f, m.now-r.confirmed[f], ",")
		}
		for _, w := range r.queue {
			fmt.Fprint(&b, "q", w.token)
		}
		if r.round != nil {
			fmt.Fprint(&b, "n", r.round.need)
			for _, w := range r.round.waiters {
				fmt.Fprint(&b, "w", w.token, w.sequence)
			}
		}
	}
	// What an answer will mean depends on whether the proposal or round that asked is still the one.
	for _, id := range slices.Sorted(maps.Keys(m.pending)) {
		current := false
		switch q := s.asked[id].(type) {
		case *tierv1.PrepareRequest:
			current = m.proposal != nil && m.proposal.epoch == q.Epoch
		case *tierv1.AcceptRequest:
			current = m.proposal != nil && m.proposal.epoch == q.View.Epoch
		case *tierv1.WriteRequest:
			current = m.proposal != nil && m.proposal.epoch == q.Epoch || m.primary != nil && m.primary.record.Epoch == q.Epoch
			fmt.Fprint(&b, q.Sequence, q.Snapshot)
		}
		fmt.Fprint(&b, "c", id, current)
	}
	return b.String()
}

func (w *systemState) key() string {
	b := make([]byte, 0, 96)
	for i, l := range w.lanes {
		if l != nil {
			b = binary.AppendUvarint(b, uint64(l.n))
			b = append(b, byte(w.lives[i]))
		}
	}
	l := w.left
	b = append(b, byte(l.takes), byte(l.ticks), byte(l.timeouts), byte(l.doubles), byte(l.restarts), byte(l.wipes), byte(l.writes), byte(l.confirms), byte(l.swaps))
	for i := range maxOperations {
		b = binary.AppendUvarint(b, w.acked[i])
		b = binary.AppendUvarint(b, w.under[i])
		b = append(b, w.began[i])
		if w.refused[i] {
			b = append(b, 'r')
		}
	}
	for _, i := range w.net {
		b = binary.AppendUvarint(b, uint64(i.n))
	}
	return string(b)
}
