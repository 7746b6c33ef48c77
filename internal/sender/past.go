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
	Every time.Duration // a snapshot is written so often
	Bytes int64         // and takes so many at most
}

const (
	knowledgeName = "knowledge"
	maxSubjects   = 1 << 17 // of which anything is known
)

// past is the sender's own past: what it knew as it last wrote it down, told to the module as the list names who it is
// about, and written down anew now and then by a goroutine of its own.
type past struct {
	noPart
	s     *Sender
	path  string
	wrote time.Duration

	view *knowledge.View
	left map[knowledge.Subject]struct{} // of the snapshot, and not told yet

	writing chan []byte // room for one; what comes while that is taken waits for the next look
	done    sync.WaitGroup
	failed  bool // the last write, as told
	saving  sync.Mutex
}

// knowledgeRoom is the bytes on the disk for snapshots: the one that stands, and the one that is written.
func (c *Config) knowledgeRoom() int64 {
	if c.Knowledge == nil {
		return 0
	}
	return 2 * (c.Knowledge.Bytes + 512)
}

func newPast(s *Sender) *past {
	p := &past{s: s, path: filepath.Join(s.c.State, knowledgeName), view: knowledge.NewView(maxSubjects),
		left: map[knowledge.Subject]struct{}{}, writing: make(chan []byte, 1)}
	os.Remove(p.path + ".new") // of a process that was killed as it wrote
	now := s.clock.now()
	facts, skipped, err := knowledge.Load(p.path, now, time.Now())
	if err != nil { // it starts as one that knows nothing
		s.log.Warn("what an earlier process knew is left aside", "err", err)
	}
	for _, f := range facts {
		if p.view.Add(f, now) {
			p.left[f.Subject] = struct{}{}
		}
	}
	if len(facts) > 0 {
		s.log.Info("what an earlier process knew is read", "receivers", len(p.left), "facts", len(facts), "skipped", skipped)
	}
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		for raw := range p.writing {
			err := p.save(raw)
			if err != nil && !p.failed {
				s.log.Warn("what is known is not written down", "err", err)
			}
			p.failed = err != nil
		}
	}()
	return p
}

func (p *past) resumed(now time.Duration) []brain.Event { return p.tell(now) }
func (p *past) listed(now time.Duration) []brain.Event  { return p.tell(now) }

// tell gives the module what is known of those that the list names by now, each once.
func (p *past) tell(now time.Duration) []brain.Event {
	var events []brain.Event
	for subject := range p.left {
		e, listed := p.s.learntOf(subject)
		if !listed {
			continue
		}
		e.Local = true
		delete(p.left, subject)
		learn(&e, p.view.Of(subject), now)
		events = append(events, e)
	}
	return events
}

// learntOf begins what is learnt of one that the list names; false if it does not.
func (s *Sender) learntOf(of knowledge.Subject) (e brain.Observation, listed bool) {
	e.Destination = brain.DestinationID(of.Destination)
	if of.Endpoint == "" {
		_, listed = s.list.Cells[of.Destination]
		return e, listed
	}
	at := s.list.ByID[of.Endpoint]
	if at == nil || at.Line.Destination != e.Destination {
		return e, false
	}
	e.Endpoint = at.Number
	return e, true
}

// learn puts facts into the module's words.
func learn(e *brain.Observation, facts []knowledge.Fact, now time.Duration) {
	for _, f := range facts {
		age := max(0, now-f.At)
		switch f.Sort {
		case knowledge.Pace:
			e.Samples, e.MeanLatency, e.MedianLatency, e.MinLatency, e.Timeout, e.LatencyAge = int(f.Calls), f.Mean, f.Median, f.Quickest, f.Bound, age
		case knowledge.Bears:
			e.Window, e.WindowAge = f.Window, age
		case knowledge.Limit:
			e.Limit, e.LimitAge = f.PerSecond, age
		case knowledge.Wait:
			e.RetryAfter = max(0, f.Until-now)
		case knowledge.Health:
			e.Health, e.HealthFor, e.HealthAge, e.Rate = brain.Health(f.State), max(0, now-f.Since), age, f.Rate
		}
	}
}

// facts puts what the module knows of a route into facts of one's own.
func facts(k brain.Observation, endpoint string, now time.Duration) []knowledge.Fact {
	var all []knowledge.Fact
	add := func(sort knowledge.Sort, age time.Duration, v knowledge.Value) {
		all = append(all, knowledge.Fact{Subject: knowledge.Subject{Destination: uint32(k.Destination), Endpoint: endpoint}, Sort: sort,
			At: now - max(0, age), Calls: uint32(max(0, k.Samples)), Value: v})
	}
	if k.Samples > 0 {
		add(knowledge.Pace, k.LatencyAge, knowledge.Value{Mean: k.MeanLatency, Median: k.MedianLatency, Quickest: k.MinLatency, Bound: k.Timeout})
	}
	if k.Window > 0 {
		add(knowledge.Bears, k.WindowAge, knowledge.Value{Window: k.Window})
	}
	if k.Limit > 0 {
		add(knowledge.Limit, k.LimitAge, knowledge.Value{PerSecond: k.Limit})
	}
	if k.RetryAfter > 0 {
		add(knowledge.Wait, 0, knowledge.Value{Until: now + k.RetryAfter})
	}
	if k.Health != brain.HealthUnknown {
		add(knowledge.Health, min(k.HealthAge, k.HealthFor), knowledge.Value{State: knowledge.State(k.Health), Since: now - max(0, k.HealthFor), Rate: k.Rate})
	}
	return all
}

// knownNow is all that the module has seen, as facts of one's own.
func (s *Sender) knownNow(now time.Duration) []knowledge.Fact {
	if s.knownAt == now && s.knownAll != nil { // several features ask in one look
		return s.knownAll
	}
	s.knownAt, s.knownAll = now, s.factsOf(s.brain.Observations(), now)
	return s.knownAll
}

// factsOf puts what the module knows of some routes into facts of one's own.
func (s *Sender) factsOf(known []brain.Observation, now time.Duration) []knowledge.Fact {
	var all []knowledge.Fact
	for _, k := range known {
		id := ""
		if k.Endpoint != 0 {
			e := s.list.ByNumber[k.Endpoint]
			if e == nil {
				continue
			}
			id = e.ID
		}
		all = append(all, facts(k, id, now)...)
	}
	return all
}

// known is all that the module has seen, and what is left of an earlier process's knowledge of those that the list does
// not name yet.
func (p *past) known(now time.Duration) []knowledge.Fact {
	var all []knowledge.Fact
	all = append(all, p.s.knownNow(now)...)
	if len(p.left) > 0 {
		p.view.Forget(now)
		for subject := range p.left {
			all = append(all, p.view.Of(subject)...)
		}
	}
	return all
}

// looked writes a snapshot down when its time has come, and the one before is written.
func (p *past) looked(now time.Duration) {
	if p.s.c.Background || now-p.wrote < p.s.c.Knowledge.Every || len(p.writing) > 0 {
		return
	}
	p.wrote = now
	raw, _ := knowledge.Marshal(p.known(now), now, time.Now(), int(p.s.c.Knowledge.Bytes))
	if raw != nil {
		p.writing <- raw // there is room
	}
}

// leaving writes the last one.
func (p *past) leaving() error {
	close(p.writing)
	p.done.Wait()
	now := p.s.clock.now()
	raw, _ := knowledge.Marshal(p.known(now), now, time.Now(), int(p.s.c.Knowledge.Bytes))
	if raw == nil {
		return errors.New("knowledge: it can't be written")
	}
	return p.save(raw)
}

// save writes a snapshot; two at a time would write into one file.
func (p *past) save(raw []byte) error {
	p.saving.Lock()
	defer p.saving.Unlock()
	return knowledge.Save(p.path, raw)
}

// Snapshot writes down what is known of receivers, as the looks of a sender do that has no background work; it gives the
// bytes that it wrote, 0 where nothing is to be kept.
func (b *Background) Snapshot(ctx context.Context) (n int, err error) {
	p, ok := partOf[*past](b.s)
	if !ok {
		return 0, nil
	}
	var raw []byte
	err = b.within(ctx, func(_ *backgroundPart, now time.Duration) []brain.Event {
		p.wrote = now
		raw, _ = knowledge.Marshal(p.known(now), now, time.Now(), int(b.s.c.Knowledge.Bytes))
		return nil
	})
	if err != nil || raw == nil {
		return 0, err
	}
	return len(raw), p.save(raw)
}
