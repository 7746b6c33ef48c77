package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// pendingOperation is a put, or a confirm where there are no sets.
type pendingOperation struct {
	token    uint64
	sets     map[string][]byte
	sequence uint64
}

// writeBatch is a write on its way to all backups: one at a time, with all that waited when it began.
type writeBatch struct {
	operations     []pendingOperation
	unacknowledged map[string]bool // folders of backups
}

// handlePut queues a write.
func (machine *replica) handlePut(e putRequest) {
	machine.enqueue(e.epoch, pendingOperation{token: e.token, sets: e.sets})
}

// handleConfirm queues a round trip to all backups without a write.
func (machine *replica) handleConfirm(e confirmRequest) {
	machine.enqueue(e.epoch, pendingOperation{token: e.token})
}

// enqueue queues a waiter, or ends it where this process has not been primary under the epoch without a break.
func (machine *replica) enqueue(epoch uint64, waiter pendingOperation) {
	primary := machine.primary
	if primary == nil || epoch < primary.firstEpoch || epoch > primary.view.Epoch {
		machine.actions.outcomes = append(machine.actions.outcomes, outcome{waiter.token, 0, ErrNotPrimary})
		return
	}
	primary.queue = append(primary.queue, waiter)
	machine.startBatch()
}

// startBatch writes what waits, here and at all backups at once.
func (machine *replica) startBatch() {
	primary := machine.primary
	if primary == nil || primary.batch != nil || machine.proposal != nil || len(primary.queue) == 0 || machine.preparedEpoch != primary.view.Epoch {
		return // after a promise of its own for a higher epoch only a record of that epoch or above lets it write again
	}
	request := &tierv1.WriteRequest{Epoch: primary.view.Epoch, PreviousSequence: machine.sequence, Sequence: machine.sequence, From: machine.Folder}
	round := &writeBatch{unacknowledged: make(map[string]bool)}
	round.operations, primary.queue = machine.fillBatch(request, primary.queue)
	if len(round.operations) == 0 {
		return // all were refused
	}
	primary.batch = round
	if request.Sequence > request.PreviousSequence {
		machine.persist(encodeMessage(kindWrite, request), true)
	}
	for _, folder := range primary.view.Backups {
		round.unacknowledged[folder] = true
	}
	for _, folder := range primary.view.Backups {
		machine.sendWrite(primary.view, folder, request)
	}
	if len(round.unacknowledged) == 0 {
		machine.commit()
	}
}

// fillBatch applies what waits to this copy, and adds it to the write of a round. It gives those who are in the round, and the
// rest, which waits for the next one as the write would become too large. A put that would make the state too large is
// refused: it is in neither.
func (machine *replica) fillBatch(request *tierv1.WriteRequest, queue []pendingOperation) (begun, rest []pendingOperation) {
	size := 0
	for i, waiter := range queue {
		if waiter.sets == nil {
			begun = append(begun, waiter)
			continue
		}
		if err := machine.checkStateLimit(waiter.sets); err != nil {
			machine.actions.outcomes = append(machine.actions.outcomes, outcome{waiter.token, 0, err})
			continue
		}
		added := writeSize(waiter.sets)
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
func (machine *replica) sendWrite(record *tierv1.View, folder string, request *tierv1.WriteRequest) {
	i := slices.IndexFunc(record.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return
	}
	began := machine.now
	round := machine.primary.batch
	machine.call(record.Members[i].Address, request, true, func(body proto.Message) {
		reply, _ := body.(*tierv1.WriteReply)
		primary := machine.primary
		if primary == nil || primary.view != record {
			return
		}
		switch {
		case reply == nil:
			primary.failedBackups[folder] = true
		case reply.Acknowledged:
			primary.confirmedAt[folder] = max(primary.confirmedAt[folder], began)
			if primary.batch == round && round != nil {
				delete(round.unacknowledged, folder)
				if len(round.unacknowledged) == 0 {
					machine.commit()
				}
			}
		case reply.Behind:
			machine.sendWrite(record, folder, machine.snapshotWrite(record.Epoch))
		default: // it has promised another, or it is another folder
			machine.highestEpoch = max(machine.highestEpoch, reply.HighestPrepared)
			primary.needsHigherEpoch = primary.needsHigherEpoch || reply.HighestPrepared > record.Epoch
			primary.failedBackups[folder] = primary.failedBackups[folder] || reply.HighestPrepared < record.Epoch
		}
	})
}

// commit ends the round: all copies hold the data.
func (machine *replica) commit() {
	primary := machine.primary
	primary.committed = machine.entries
	if round := primary.batch; round != nil {
		for _, waiter := range round.operations {
			machine.actions.outcomes = append(machine.actions.outcomes, outcome{waiter.token, waiter.sequence, nil})
		}
		primary.batch = nil
		machine.actions.changed = true
	}
	machine.startBatch()
}
