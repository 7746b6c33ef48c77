package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// pendingOperation is a put, or a confirm if it has no sets.
type pendingOperation struct {
	token    uint64
	sets     map[string][]byte
	sequence uint64
}

// writeBatch is a write in flight to all backups, with all operations that were queued when it began. At most one is in flight.
type writeBatch struct {
	operations     []pendingOperation
	unacknowledged map[string]bool // folders of backups
}

// handlePut queues a write.
func (r *replica) handlePut(e putRequest) {
	r.enqueue(e.epoch, pendingOperation{token: e.token, sets: e.sets})
}

// handleConfirm queues a round trip to all backups without a write.
func (r *replica) handleConfirm(e confirmRequest) {
	r.enqueue(e.epoch, pendingOperation{token: e.token})
}

// enqueue queues an operation, or fails it with ErrNotPrimary unless this replica has been primary continuously since the epoch of the
// operation.
func (r *replica) enqueue(epoch uint64, operation pendingOperation) {
	primary := r.primary
	if primary == nil || epoch < primary.firstEpoch || epoch > primary.view.Epoch {
		r.actions.outcomes = append(r.actions.outcomes, outcome{operation.token, 0, ErrNotPrimary})
		return
	}
	primary.queue = append(primary.queue, operation)
	r.startBatch()
}

// startBatch writes the queued operations locally and at all backups at the same time.
func (r *replica) startBatch() {
	primary := r.primary
	if primary == nil || primary.batch != nil || r.proposal != nil || len(primary.queue) == 0 || r.preparedEpoch != primary.view.Epoch {
		return // after the primary has prepared a higher epoch itself, it may write again only under a view of that epoch or above
	}
	request := &tierv1.WriteRequest{Epoch: primary.view.Epoch, PreviousSequence: r.sequence, Sequence: r.sequence, From: r.Folder}
	batch := &writeBatch{unacknowledged: make(map[string]bool)}
	batch.operations, primary.queue = r.fillBatch(request, primary.queue)
	if len(batch.operations) == 0 {
		return // all were rejected
	}
	primary.batch = batch
	if request.Sequence > request.PreviousSequence {
		r.persist(encodeMessage(kindWrite, request), true)
	}
	for _, folder := range primary.view.Backups {
		batch.unacknowledged[folder] = true
	}
	for _, folder := range primary.view.Backups {
		r.sendWrite(primary.view, folder, request)
	}
	if len(batch.unacknowledged) == 0 { // no backups: the outcome leaves only after the local record is synced (Node.perform)
		r.commit()
	}
}

// fillBatch applies queued operations to this state, and adds them to the write of a batch. It returns the operations in the batch, and
// the rest, which waits for the next batch because the write would become too large. A put that would make the state too large is rejected
// and is in neither.
func (r *replica) fillBatch(request *tierv1.WriteRequest, queue []pendingOperation) (batched, rest []pendingOperation) {
	size := 0
	for i, operation := range queue {
		if operation.sets == nil {
			batched = append(batched, operation)
			continue
		}
		if err := r.checkStateLimit(operation.sets); err != nil {
			r.actions.outcomes = append(r.actions.outcomes, outcome{operation.token, 0, err})
			continue
		}
		added := writeSize(operation.sets)
		if size > 0 && size+added > r.stateLimit {
			return batched, queue[i:]
		}
		size += added
		operation.sequence = request.Sequence + 1
		write := &tierv1.WriteRequest{Epoch: request.Epoch, Sequence: operation.sequence}
		for key, value := range operation.sets {
			write.Entries = append(write.Entries, &tierv1.Entry{Key: key, Value: value, Sequence: operation.sequence})
		}
		r.apply(write)
		request.Sequence = operation.sequence
		request.Entries = append(request.Entries, write.Entries...)
		batched = append(batched, operation)
	}
	return batched, nil
}

// sendWrite sends a write to a backup of the view, and a snapshot if its state is behind.
func (r *replica) sendWrite(view *tierv1.View, folder string, request *tierv1.WriteRequest) {
	i := slices.IndexFunc(view.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return
	}
	began := r.now
	batch := r.primary.batch
	r.call(view.Members[i].Address, request, true, func(body proto.Message) {
		reply, _ := body.(*tierv1.WriteReply)
		primary := r.primary
		if primary == nil || primary.view != view {
			return
		}
		switch {
		case reply == nil:
			primary.failedBackups[folder] = true
		case reply.Acknowledged:
			primary.confirmedAt[folder] = max(primary.confirmedAt[folder], began)
			if primary.batch == batch && batch != nil {
				delete(batch.unacknowledged, folder)
				if len(batch.unacknowledged) == 0 {
					r.commit()
				}
			}
		case reply.Behind:
			r.sendWrite(view, folder, r.snapshotWrite(view.Epoch))
		default: // the backup has prepared for another proposer, or another folder replied
			r.highestEpoch = max(r.highestEpoch, reply.HighestPrepared)
			primary.needsHigherEpoch = primary.needsHigherEpoch || reply.HighestPrepared > view.Epoch
			primary.failedBackups[folder] = primary.failedBackups[folder] || reply.HighestPrepared < view.Epoch
		}
	})
}

// commit ends the batch: all replicas have the entries.
func (r *replica) commit() {
	primary := r.primary
	primary.committed = r.entries
	if batch := primary.batch; batch != nil {
		for _, operation := range batch.operations {
			r.actions.outcomes = append(r.actions.outcomes, outcome{operation.token, operation.sequence, nil})
		}
		primary.batch = nil
		r.actions.changed = true
	}
	r.startBatch()
}
