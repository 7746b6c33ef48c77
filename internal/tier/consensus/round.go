package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
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

// put queues a write.
func (machine *machine) put(e put) {
	machine.enqueue(e.epoch, waiter{token: e.token, sets: e.sets})
}

// confirm queues a round trip to all backups without a write.
func (machine *machine) confirm(e confirm) { machine.enqueue(e.epoch, waiter{token: e.token}) }

// enqueue queues a waiter, or ends it where this process has not been primary under the epoch without a break.
func (machine *machine) enqueue(epoch uint64, waiter waiter) {
	primary := machine.primary
	if primary == nil || epoch < primary.first || epoch > primary.record.Epoch {
		machine.out.outcomes = append(machine.out.outcomes, outcome{waiter.token, 0, ErrNotPrimary})
		return
	}
	primary.queue = append(primary.queue, waiter)
	machine.startRound()
}

// startRound writes what waits, here and at all backups at once.
func (machine *machine) startRound() {
	primary := machine.primary
	if primary == nil || primary.round != nil || machine.proposal != nil || len(primary.queue) == 0 || machine.promised != primary.record.Epoch {
		return // after a promise of its own for a higher epoch only a record of that epoch or above lets it write again
	}
	request := &tierv1.WriteRequest{Epoch: primary.record.Epoch, PreviousSequence: machine.sequence, Sequence: machine.sequence, From: machine.Folder}
	round := &round{need: make(map[string]bool)}
	round.waiters, primary.queue = machine.gather(request, primary.queue)
	if len(round.waiters) == 0 {
		return // all were refused
	}
	primary.round = round
	if request.Sequence > request.PreviousSequence {
		machine.store(encodeMessage(kindWrite, request), true)
	}
	for _, folder := range primary.record.Backups {
		round.need[folder] = true
	}
	for _, folder := range primary.record.Backups {
		machine.sendWrite(primary.record, folder, request)
	}
	if len(round.need) == 0 {
		machine.commit()
	}
}

// gather applies what waits to this copy, and adds it to the write of a round. It gives those who are in the round, and the
// rest, which waits for the next one as the write would become too large. A put that would make the state too large is
// refused: it is in neither.
func (machine *machine) gather(request *tierv1.WriteRequest, queue []waiter) (begun, rest []waiter) {
	size := 0
	for i, waiter := range queue {
		if waiter.sets == nil {
			begun = append(begun, waiter)
			continue
		}
		if err := machine.admit(waiter.sets); err != nil {
			machine.out.outcomes = append(machine.out.outcomes, outcome{waiter.token, 0, err})
			continue
		}
		added := setsSize(waiter.sets)
		if size > 0 && size+added > machine.stateLimit {
			return begun, queue[i:]
		}
		size += added
		waiter.sequence = request.Sequence + 1
		one := &tierv1.WriteRequest{Epoch: request.Epoch, Sequence: waiter.sequence}
		for key, value := range waiter.sets {
			one.Entries = append(one.Entries, &tierv1.Entry{Key: key, Value: value, Sequence: waiter.sequence})
		}
		machine.apply(one)
		request.Sequence = waiter.sequence
		request.Entries = append(request.Entries, one.Entries...)
		begun = append(begun, waiter)
	}
	return begun, nil
}

// sendWrite sends a write to a backup of the record, and the whole state where its copy is behind.
func (machine *machine) sendWrite(record *tierv1.View, folder string, request *tierv1.WriteRequest) {
	i := slices.IndexFunc(record.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return
	}
	began := machine.now
	round := machine.primary.round
	machine.call(record.Members[i].Address, request, true, func(body proto.Message) {
		reply, _ := body.(*tierv1.WriteReply)
		primary := machine.primary
		if primary == nil || primary.record != record {
			return
		}
		switch {
		case reply == nil:
			primary.lost[folder] = true
		case reply.Acknowledged:
			primary.confirmed[folder] = max(primary.confirmed[folder], began)
			if primary.round == round && round != nil {
				delete(round.need, folder)
				if len(round.need) == 0 {
					machine.commit()
				}
			}
		case reply.Behind:
			machine.sendWrite(record, folder, machine.whole(record.Epoch))
		default: // it has promised another, or it is another folder
			machine.highest = max(machine.highest, reply.HighestPromised)
			primary.renew = primary.renew || reply.HighestPromised > record.Epoch
			primary.lost[folder] = primary.lost[folder] || reply.HighestPromised < record.Epoch
		}
	})
}

// commit ends the round: all copies hold the data.
func (machine *machine) commit() {
	primary := machine.primary
	primary.visible = machine.data
	if round := primary.round; round != nil {
		for _, waiter := range round.waiters {
			machine.out.outcomes = append(machine.out.outcomes, outcome{waiter.token, waiter.sequence, nil})
		}
		primary.round = nil
		machine.out.changed = true
	}
	machine.startRound()
}
