package sender

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
)

// Knowledge configures the snapshots that preserve what this sender knows of receivers when its process ends.
type Knowledge struct {
	Interval time.Duration // between two snapshots
	MaxBytes int64         // of a snapshot, at most
}

const (
	knowledgeFileName = "knowledge"
	maxSubjects       = 1 << 17 // receivers and routes of which facts are kept
)

// knowledgeStore keeps what the sender knows of receivers in a snapshot file. The facts of an earlier process go to the module once
// the list names their receivers; a separate goroutine writes a new snapshot at intervals.
type knowledgeStore struct {
	noopExtension
	s         *Sender
	path      string
	lastWrite time.Duration

	view     *knowledge.View
	unlisted map[knowledge.Subject]struct{} // subjects of the snapshot that the module was not given yet

	writes chan []byte // room for one snapshot; while it is taken, the next one waits for a later tick
	done   sync.WaitGroup
	failed bool // the last write failed, and that was logged
	saving sync.Mutex
}

// knowledgeDiskBytes is the bytes on the disk for snapshots: the current one and the one being written.
func (c *Config) knowledgeDiskBytes() int64 {
	if c.Knowledge == nil {
		return 0
	}
	return 2 * (c.Knowledge.MaxBytes + 512)
}

// newKnowledgeStore reads the snapshot of an earlier process; if there is none that can be read, the store starts empty.
func newKnowledgeStore(s *Sender) *knowledgeStore {
	p := &knowledgeStore{s: s, path: filepath.Join(s.config.StateDir, knowledgeFileName), view: knowledge.NewView(maxSubjects),
		unlisted: map[knowledge.Subject]struct{}{}, writes: make(chan []byte, 1)}
	os.Remove(p.path + ".new") // left by a process that was killed while writing
	now := s.clock.now()
	facts, skipped, err := knowledge.Load(p.path, now, time.Now())
	if err != nil { // the store starts empty
		s.log.Warn("what an earlier process knew is left aside", "err", err)
	}
	for _, f := range facts {
		if p.view.Add(f, now) {
			p.unlisted[f.Subject] = struct{}{}
		}
	}
	if len(facts) > 0 {
		s.log.Info("knowledge of an earlier process is read", "receivers", len(p.unlisted), "facts", len(facts), "skipped", skipped)
	}
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		for raw := range p.writes {
			err := p.save(raw)
			if err != nil && !p.failed {
				s.log.Warn("the snapshot of knowledge could not be written", "err", err)
			}
			p.failed = err != nil
		}
	}()
	return p
}

// onResume gives the module what is known of receivers that are listed.
func (p *knowledgeStore) onResume(now time.Duration) []brain.Event { return p.observationEvents(now) }

// onListUpdate gives the module what is known of receivers that are listed now.
func (p *knowledgeStore) onListUpdate(now time.Duration) []brain.Event {
	return p.observationEvents(now)
}

// observationEvents gives the module the facts of the snapshot on receivers that the list names by now, each once.
func (p *knowledgeStore) observationEvents(now time.Duration) []brain.Event {
	var events []brain.Event
	for subject := range p.unlisted {
		e, listed := p.s.newObservation(subject)
		if !listed {
			continue
		}
		e.Local = true
		delete(p.unlisted, subject)
		applyFacts(&e, p.view.FactsOf(subject), now)
		events = append(events, e)
	}
	return events
}

// factsToKeep is the facts that the module has observed, and the snapshot's facts on receivers that the list does not name yet.
func (p *knowledgeStore) factsToKeep(now time.Duration) []knowledge.Fact {
	var all []knowledge.Fact
	all = append(all, p.s.knownFacts(now)...)
	if len(p.unlisted) > 0 {
		p.view.Forget(now)
		for subject := range p.unlisted {
			all = append(all, p.view.FactsOf(subject)...)
		}
	}
	return all
}

// onTick hands a snapshot to the writer once it is due and the writer has taken the one before. With background work it does nothing:
// Background.Snapshot writes the snapshots then.
func (p *knowledgeStore) onTick(now time.Duration) {
	if p.s.config.Background || now-p.lastWrite < p.s.config.Knowledge.Interval || len(p.writes) > 0 {
		return
	}
	p.lastWrite = now
	raw, _ := knowledge.Marshal(p.factsToKeep(now), now, time.Now(), int(p.s.config.Knowledge.MaxBytes))
	if raw != nil {
		p.writes <- raw // does not block: the channel is empty
	}
}

// shutdown writes the last snapshot.
func (p *knowledgeStore) shutdown() error {
	close(p.writes)
	p.done.Wait()
	now := p.s.clock.now()
	raw, _ := knowledge.Marshal(p.factsToKeep(now), now, time.Now(), int(p.s.config.Knowledge.MaxBytes))
	if raw == nil {
		return errSnapshotNotEncoded
	}
	return p.save(raw)
}

// save writes a snapshot. The lock keeps two writes from using the same file at once.
func (p *knowledgeStore) save(raw []byte) error {
	p.saving.Lock()
	defer p.saving.Unlock()
	return knowledge.Save(p.path, raw)
}

// Snapshot writes a snapshot of what is known of receivers, as onTick does for a sender without background work. It returns the bytes
// written, 0 if there is nothing to write.
func (b *Background) Snapshot(ctx context.Context) (n int, err error) {
	p, ok := extensionOf[*knowledgeStore](b.s)
	if !ok {
		return 0, nil
	}
	var raw []byte
	err = b.runInLoop(ctx, func(_ *backgroundExtension, now time.Duration) []brain.Event {
		p.lastWrite = now
		raw, _ = knowledge.Marshal(p.factsToKeep(now), now, time.Now(), int(b.s.config.Knowledge.MaxBytes))
		return nil
	})
	if err != nil || raw == nil {
		return 0, err
	}
	return len(raw), p.save(raw)
}
