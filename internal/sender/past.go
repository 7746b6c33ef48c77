package sender

import (
	"context"
	"errors"
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

// knowledgeStore is the sender's own past: what it knew as it last wrote it down, told to the module as the list names who it is
// about, and written down anew now and then by a goroutine of its own.
type knowledgeStore struct {
	noopExtension
	s         *Sender
	path      string
	lastWrite time.Duration

	view     *knowledge.View
	unlisted map[knowledge.Subject]struct{} // of the snapshot, and not told yet

	writes chan []byte // room for one; what comes while that is taken waits for the next look
	done   sync.WaitGroup
	failed bool // the last write, as told
	saving sync.Mutex
}

// knowledgeDiskBytes is the bytes on the disk for snapshots: the one that stands, and the one that is written.
func (c *Config) knowledgeDiskBytes() int64 {
	if c.Knowledge == nil {
		return 0
	}
	return 2 * (c.Knowledge.MaxBytes + 512)
}

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
				s.log.Warn("what is known is not written down", "err", err)
			}
			p.failed = err != nil
		}
	}()
	return p
}

func (p *knowledgeStore) onResume(now time.Duration) []brain.Event     { return p.learntEvents(now) }
func (p *knowledgeStore) onListUpdate(now time.Duration) []brain.Event { return p.learntEvents(now) }

// learntEvents gives the module what is known of those that the list names by now, each once.
func (p *knowledgeStore) learntEvents(now time.Duration) []brain.Event {
	var events []brain.Event
	for subject := range p.unlisted {
		e, listed := p.s.newLearnt(subject)
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

// newLearnt begins what is learnt of one that the list names; false if it does not.
func (s *Sender) newLearnt(of knowledge.Subject) (e brain.Observation, listed bool) {
	e.Destination = brain.DestinationID(of.Destination)
	if of.Endpoint == "" {
		_, listed = s.endpoints.Cells[of.Destination]
		return e, listed
	}
	at := s.endpoints.ByID[of.Endpoint]
	if at == nil || at.Line.Destination != e.Destination {
		return e, false
	}
	e.Endpoint = at.Number
	return e, true
}

// applyFacts puts facts into the module's words.
func applyFacts(e *brain.Observation, facts []knowledge.Fact, now time.Duration) {
	for _, f := range facts {
		age := max(0, now-f.ObservedAt)
		switch f.Kind {
		case knowledge.Latency:
			e.Samples, e.MeanLatency, e.MedianLatency, e.MinLatency, e.Timeout, e.LatencyAge = int(f.Calls), f.Mean, f.Median, f.Min, f.Timeout, age
		case knowledge.Concurrency:
			e.Window, e.WindowAge = f.Window, age
		case knowledge.RateLimit:
			e.Limit, e.LimitAge = f.PerSecond, age
		case knowledge.RetryAfter:
			e.RetryAfter = max(0, f.Until-now)
		case knowledge.Health:
			e.Health, e.HealthFor, e.HealthAge, e.Rate = brain.Health(f.State), max(0, now-f.Since), age, f.Rate
		}
	}
}

// factsFromLearnt puts what the module knows of a route into facts of one's own.
func factsFromLearnt(k brain.Observation, endpoint string, now time.Duration) []knowledge.Fact {
	var all []knowledge.Fact
	add := func(sort knowledge.Kind, age time.Duration, v knowledge.Value) {
		all = append(all, knowledge.Fact{Subject: knowledge.Subject{Destination: uint32(k.Destination), Endpoint: endpoint}, Kind: sort,
			ObservedAt: now - max(0, age), Calls: uint32(max(0, k.Samples)), Value: v})
	}
	if k.Samples > 0 {
		add(knowledge.Latency, k.LatencyAge, knowledge.Value{Mean: k.MeanLatency, Median: k.MedianLatency, Min: k.MinLatency, Timeout: k.Timeout})
	}
	if k.Window > 0 {
		add(knowledge.Concurrency, k.WindowAge, knowledge.Value{Window: k.Window})
	}
	if k.Limit > 0 {
		add(knowledge.RateLimit, k.LimitAge, knowledge.Value{PerSecond: k.Limit})
	}
	if k.RetryAfter > 0 {
		add(knowledge.RetryAfter, 0, knowledge.Value{Until: now + k.RetryAfter})
	}
	if k.Health != brain.HealthUnknown {
		add(knowledge.Health, min(k.HealthAge, k.HealthFor), knowledge.Value{State: knowledge.State(k.Health), Since: now - max(0, k.HealthFor), Rate: k.Rate})
	}
	return all
}

// knownFacts is all that the module has seen, as facts of one's own.
func (s *Sender) knownFacts(now time.Duration) []knowledge.Fact {
	if s.knownFactsAt == now && s.knownFactsCache != nil { // several features ask in one look
		return s.knownFactsCache
	}
	s.knownFactsAt, s.knownFactsCache = now, s.factsFrom(s.brain.Observations(), now)
	return s.knownFactsCache
}

// factsFrom puts what the module knows of some routes into facts of one's own.
func (s *Sender) factsFrom(known []brain.Observation, now time.Duration) []knowledge.Fact {
	var all []knowledge.Fact
	for _, k := range known {
		id := ""
		if k.Endpoint != 0 {
			e := s.endpoints.ByNumber[k.Endpoint]
			if e == nil {
				continue
			}
			id = e.ID
		}
		all = append(all, factsFromLearnt(k, id, now)...)
	}
	return all
}

// factsToKeep is all that the module has seen, and what is left of an earlier process's knowledge of those that the list does
// not name yet.
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

// onTick writes a snapshot down when its time has come, and the one before is written.
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

// shutdown writes the last one.
func (p *knowledgeStore) shutdown() error {
	close(p.writes)
	p.done.Wait()
	now := p.s.clock.now()
	raw, _ := knowledge.Marshal(p.factsToKeep(now), now, time.Now(), int(p.s.config.Knowledge.MaxBytes))
	if raw == nil {
		return errors.New("knowledge: it can't be written")
	}
	return p.save(raw)
}

// save writes a snapshot; two at a time would write into one file.
func (p *knowledgeStore) save(raw []byte) error {
	p.saving.Lock()
	defer p.saving.Unlock()
	return knowledge.Save(p.path, raw)
}

// Snapshot writes down what is known of receivers, as the looks of a sender do that has no background work; it gives the
// bytes that it wrote, 0 where nothing is to be kept.
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
