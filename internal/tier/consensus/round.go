package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// waiter is a put, or a confirm where there are no sets.
type waiter struct {
	token    uint64
	sets     map[string][]byte
	sequence uint64
}

// round is a write on its way to all backups: one at a time, with all that waited when it began.
type round struct {
	waiters []waiter
	need    map[string]bool // folders of backups
}

func (m *machine) put(e put) {
	m.enqueue(e.epoch, waiter{token: e.token, sets: e.sets})
}

func (m *machine) confirm(e confirm) { m.enqueue(e.epoch, waiter{token: e.token}) }

func (m *machine) enqueue(epoch uint64, w waiter) {
	r := m.primary
	if r == nil || epoch < r.first || epoch > r.record.Epoch {
		m.out.outcomes = append(m.out.outcomes, outcome{w.token, 0, ErrNotPrimary})
		return
	}
	r.queue = append(r.queue, w)
	m.startRound()
}

// startRound writes what waits, here and at all backups at once.
func (m *machine) startRound() {
	r := m.primary
	if r == nil || r.round != nil || m.proposal != nil || len(r.queue) == 0 || m.promised != r.record.Epoch {
		return // after a promise of its own for a higher epoch only a record of that epoch or above lets it write again
	}
	q := &tierv1.WriteRequest{Epoch: r.record.Epoch, Base: m.sequence, Sequence: m.sequence, From: m.Folder}
	rd := &round{waiters: r.queue, need: make(map[string]bool)}
	r.queue, r.round = nil, rd
	for i := range rd.waiters {
		w := &rd.waiters[i]
		if w.sets == nil {
			continue
		}
		q.Sequence++
		w.sequence = q.Sequence
		for k, v := range w.sets {
			q.Entries = append(q.Entries, &tierv1.Entry{Key: k, Value: v, Sequence: q.Sequence})
		}
	}
	if q.Sequence > q.Base {
		m.apply(q)
		m.store(encodeMessage(kindWrite, q), true)
	}
	for _, b := range r.record.Backups {
		rd.need[b] = true
	}
	for _, b := range r.record.Backups {
		m.sendWrite(r.record, b, q)
	}
	if len(rd.need) == 0 {
		m.commit()
	}
}

func (m *machine) sendWrite(record *tierv1.Record, folder string, q *tierv1.WriteRequest) {
	i := slices.IndexFunc(record.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return
	}
	began := m.now
	rd := m.primary.round
	m.call(record.Members[i].Address, q, true, func(body proto.Message) {
		a, _ := body.(*tierv1.WriteReply)
		r := m.primary
		if r == nil || r.record != record {
			return
		}
		switch {
		case a == nil:
			r.lost[folder] = true
		case a.Taken:
			r.confirmed[folder] = max(r.confirmed[folder], began)
			if r.round == rd && rd != nil {
				delete(rd.need, folder)
				if len(rd.need) == 0 {
					m.commit()
				}
			}
		case a.Behind:
			m.sendWrite(record, folder, m.whole(record.Epoch))
		default: // it has promised another, or it is another folder
			m.highest = max(m.highest, a.Highest)
			r.renew = r.renew || a.Highest > record.Epoch
			r.lost[folder] = r.lost[folder] || a.Highest < record.Epoch
		}
	})
}

// commit ends the round: all copies hold the data.
func (m *machine) commit() {
	r := m.primary
	r.visible = m.data
	if rd := r.round; rd != nil {
		for _, w := range rd.waiters {
			m.out.outcomes = append(m.out.outcomes, outcome{w.token, w.sequence, nil})
		}
		r.round = nil
		m.out.changed = true
	}
	m.startRound()
}
