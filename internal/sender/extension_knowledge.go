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

// Knowledge is how what this sender knows of receivers outlasts its process.
type Knowledge struct {
	Interval time.Duration // a snapshot is written so often
	MaxBytes int64         // and takes so many at most
}

const (
	knowledgeFileName = "knowledge"
	maxSubjects       = 1 << 17 // of which anything is known
)

// knowledgeStore keeps what the sender knows of receivers in a snapshot file. What an earlier process knew is told to the
// module as the list names the receivers; a new snapshot is written now and then by a goroutine of its own.
type knowledgeStore struct {
	noopExtension
	s         *Sender
	path      string
	lastWrite time.Duration

	view     *knowledge.View
	unlisted map[knowledge.Subject]struct{} // of the snapshot, and not given to the module yet

	writes chan []byte // room for one; what comes while that is taken waits for the next look
	done   sync.WaitGroup
	failed bool // the last write did, and that is logged
	saving sync.Mutex
}

// knowledgeDiskBytes is the bytes on the disk for snapshots: the one that stands, and the one that is written.
func (c *Config) knowledgeDiskBytes() int64 {
	if c.Knowledge == nil {
		return 0
	}
	return 2 * (c.Knowledge.MaxBytes + 512)
}

// newKnowledgeStore reads the snapshot of an earlier process; without one that can be read, it starts as one that knows
// nothing.
func newKnowledgeStore(s *Sender) *knowledgeStore {
	p := &knowledgeStore{s: s, path: filepath.Join(s.config.StateDir, knowledgeFileName), view: knowledge.NewView(maxSubjects),
		unlisted: map[knowledge.Subject]struct{}{}, writes: make(chan []byte, 1)}
	os.Remove(p.path + ".new") // of a process that was killed as it wrote
	now := s.clock.now()
	facts, skipped, err := knowledge.Load(p.path, now, time.Now())
	if err != nil { // it starts as one that knows nothing
		s.log.Warn("what an earlier process knew is left aside", "err", err)
	}
	for _, f := range facts {
		if p.view.Add(f, now) {
			p.unlisted[f.Subject] = struct{}{}
		}
	}
	if len(facts) > 0 {
		s.log.Info("what an earlier process knew is read", "receivers", len(p.unlisted), "facts", len(facts), "skipped", skipped)
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

// observationEvents gives the module what is known of receivers that the list names by now, each once.
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

// factsToKeep is all that the module has observed, and what is left of an earlier process's knowledge of receivers that the
// list does not name yet.
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

// onTick hands a snapshot to the writer once it is due and the one before is written.
func (p *knowledgeStore) onTick(now time.Duration) {
	if p.s.config.Background || now-p.lastWrite < p.s.config.Knowledge.Interval || len(p.writes) > 0 {
		return
	}
	p.lastWrite = now
	raw, _ := knowledge.Marshal(p.factsToKeep(now), now, time.Now(), int(p.s.config.Knowledge.MaxBytes))
	if raw != nil {
		p.writes <- raw // there is room
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

// save writes a snapshot; two at a time would write into one file.
func (p *knowledgeStore) save(raw []byte) error {
	p.saving.Lock()
	defer p.saving.Unlock()
	return knowledge.Save(p.path, raw)
}

// Snapshot writes down what is known of receivers, as onTick does for a sender without background work. It gives the bytes
// that it wrote, 0 where nothing is to be kept.
func (b *Background) Snapshot(ctx context.Context) (n int, err error) {
	p, ok := extensionOf[*knowledgeStore](b.s)
	if !ok {
		return 0, nil
	}
	var raw []byte
	err = b.within(ctx, func(_ *backgroundExtension, now time.Duration) []brain.Event {
		p.lastWrite = now
		raw, _ = knowledge.Marshal(p.factsToKeep(now), now, time.Now(), int(b.s.config.Knowledge.MaxBytes))
		return nil
	})
	if err != nil || raw == nil {
		return 0, err
	}
	return len(raw), p.save(raw)
}
