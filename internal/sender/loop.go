package sender

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/membership"
)

const (
	// After SIGTERM the sender goes on as ever for graceTime: clients come for a while yet, and what is
	// delivered now does not wait for the next process. Then no call is begun, and it waits for those that
	// are out until leaveTime. The platform kills what is left at 3.7 s.
	graceTime = 2200 * time.Millisecond
	leaveTime = 3200 * time.Millisecond

	eventRoom   = 1024 // events on their way to the loop
	batchMost   = 256  // taken in by one step
	idleLook    = time.Second
	ratesAtOnce = 1000                   // endpoints listed, for each second between two looks at their rates
	firstList   = 300 * time.Millisecond // the list is waited for at the start
	journalPart = 0.9                    // of the disk's limit: the rest is for what the file system adds
)

// Sender is one real sender.
type Sender struct {
	c       *Config
	log     *slog.Logger
	clock   clock
	brain   *brain.Brain
	journal *journal
	pool    *calls.Pool
	list    calls.List
	disc    *discovery
	sources sources
	first   Targets // the list to begin with
	askFrom int64   // the version after which discovery is asked first; -1: for the whole list
	server  *server

	events    chan any
	asked     chan struct{}
	listAsked bool // discovery's list has been asked for
	notices   chan []notice
	owed      []notice // to be told
	telling   bool     // a batch of them is out
	messages  map[brain.MessageID]*message
	byID      map[string]*message
	ends      *eventBooks    // nil where no events are taken in
	records   *recorderBooks // nil without a recorder
	parts     []participant  // features that take part in each turn
	last      brain.MessageID
	held      int // messages taken on that have not ended
	out       int // calls out
	alarm     *time.Timer
	quitting  bool // no more steps: what comes in is only written down

	answers   []owedAnswer  // of messages that this step ends, to be given once that is written down
	batches   []sendBatch   // calls that this step begins with several messages
	learnt    []brain.Event // what the features have for the module, after the news that they heard
	knownAt   time.Duration // when what the module knows was asked for last
	knownAll  []knowledge.Fact
	fresh     []brain.Observation // news of receivers in this turn
	withdrawn []brain.Event       // of messages that could not be written down, for the next step

	grace, leaveAfter time.Duration
	fleetStop         context.CancelFunc // ends the words of the fleet
	fleetNews         func()             // has the fleet's policy looked at again; it never waits
}

// owedAnswer is an answer to a client that waits.
type owedAnswer struct {
	to   chan answerLine
	line answerLine
}

type (
	listEvent struct {
		from membership.Source
		Targets
	}
	failedEvent struct{ err error }
	toldEvent   struct{ notices []notice }
	partEvent   interface{ partEvent() } // of a feature's own
)

// New opens the journal; Run does the rest.
func New(c *Config, log *slog.Logger) (*Sender, error) {
	if err := c.CheckRules(); err != nil {
		return nil, err
	}
	room, err := c.journalRoom()
	if err != nil {
		return nil, err
	}
	j, err := openJournal(c.State, room)
	if err != nil {
		return nil, err
	}
	c.Settings.ReportsChanges = c.Peers != nil || c.Fleet != nil
	for _, m := range j.held() { // the module is told all classes at its begin
		if m.how == "" {
			c.classOf(m)
		}
	}
	s := &Sender{c: c, log: log, clock: newClock(), brain: brain.New(c.Settings, c.Seed), journal: j, pool: calls.NewPool(calls.Config{ConnectTimeout: c.ConnectTimeout, Idle: c.Settings.IdleConnTimeout, Most: c.idleCalls(), Fields: c.Fields, Delivery: c.Delivery}),
		list: calls.NewList(), disc: newDiscovery(c.Discovery), events: make(chan any, eventRoom),
		asked: make(chan struct{}, 1), notices: make(chan []notice, 1), messages: map[brain.MessageID]*message{},
		byID: map[string]*message{}, alarm: time.NewTimer(time.Hour), grace: graceTime, leaveAfter: leaveTime}
	if j.failed {
		log.Warn("the journal can't be written: nothing is taken on until it can", "folder", c.State)
	}
	if j.spoilt > 0 {
		log.Warn("the journal has lines that can't be read: all others count", "file", j.path, "lines", j.spoilt, "messages", len(j.byID))
	}
	if s.ends, err = openEvents(c, s.clock.now()); err != nil {
		return nil, err
	}
	s.first, s.askFrom = j.list.atStart(c.Known, c.Discovery)
	j.beginList(c.Discovery, s.first, s.askFrom)
	s.sources = newSources(s)
	if c.Fleet != nil {
		s.list.Closed, s.list.Kind = s.shutByFleet, s.kindByFleet
	}
	s.records = newRecorder(c.Recorder, room)
	if s.parts, err = s.takeParts(); err != nil {
		return nil, err
	}
	s.server = newServer(c, s.clock, log, func(ctx context.Context, sub submission) bool { return s.post(ctx, sub) })
	return s, nil
}

// Reload takes over what a newly read configuration may change while the sender runs: where discovery is.
// The rest of it, the settings above all, is read at the start only. It may be called from any goroutine.
func (s *Sender) Reload(c *Config) {
	s.log.Info("configuration read again", "discovery", c.Discovery, "moved", s.disc.move(c.Discovery))
}

// post hands an event to the loop; false if that has ended.
func (s *Sender) post(ctx context.Context, e any) bool {
	select {
	case s.events <- e: // there is room as a rule, and looking for that alone costs little
		return true
	default:
	}
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run takes up what the journal holds, then listens, and serves until ctx ends and for the grace after it.
// What is not done by then stays in the journal.
func (s *Sender) Run(ctx context.Context, listen func() (net.Listener, error)) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	s.sources.follow(work, s.post)
	go s.disc.tell(work, s.notices, func(n []notice) { s.post(work, toldEvent{n}) })

	if s.records != nil {
		go s.records.run(work, func(err error) { s.log.Warn("undelivered messages wait in the journal", "err", err) }, func() { s.post(work, keptEvent{}) })
	}
	s.log.Debug("settings", "limits", s.c.Limits, "settings", s.c.Settings)
	s.resume(work)
	l, err := listen()
	if err != nil {
		return errors.Join(fmt.Errorf("listen: %w", err), s.leave(stop))
	}
	served := make(chan error, 1)
	go func() { served <- s.server.serve(l) }()
	s.server.ready.Store(true)
	s.log.Info("ready", "name", s.c.Name, "listen", l.Addr().String(), "resumed", s.held, "notices", len(s.owed))

	var grace, leave <-chan time.Time
	shut, answered := make(chan struct{}), false
	idle, looks := time.NewTicker(idleLook), 0
	defer idle.Stop()
	done := ctx.Done()
	for {
		select {
		case e := <-s.events:
			s.turn(work, e)
		case <-s.alarm.C:
			s.turn(work, brain.TimerFired{})
		case <-idle.C:
			s.pool.CloseOld()
			looks++ // all rates are walked, so the less often the more there are
			// Once it is quitting nothing is served as usual.
			if !s.quitting && looks%(1+len(s.list.ByID)/ratesAtOnce) == 0 {
				now := s.clock.now()
				s.journal.keepRates(s.brain.UsualRates(), s.outages(now)) // what fails here fails again with the next message
				for _, p := range s.parts {
					p.looked(now)
				}
				s.knownAll = nil
			}
		case <-done:
			done = nil
			s.log.Info("stopping", "held", s.held, "calls", s.out)
			s.server.closing.Store(true)
			grace, leave = time.After(s.grace), time.After(s.leaveAfter)
		case <-grace:
			grace = nil
			s.quitting = true
			go func() { // it ends when every request that has come is answered
				s.server.shutdown()
				close(shut)
			}()
		case <-leave:
			return s.leave(stop)
		case <-shut:
			shut, answered = nil, true
		case err := <-served:
			if err != nil {
				return errors.Join(fmt.Errorf("clients: %w", err), s.leave(stop))
			}
			served = nil
		}
		if answered && s.out == 0 && len(s.owed) == 0 {
			return s.leave(stop)
		}
	}
}

// leave ends the process's work: what is out is cut off and stays written down as such. What has come by then still counts: a
// message that was answered just now is not another's to repeat.
func (s *Sender) leave(stop context.CancelFunc) error {
	s.quitting = true
	for more := true; more; {
		select {
		case e := <-s.events:
			s.take(e)
		default:
			more = false
		}
	}
	s.flush()
	stop()
	s.server.close()
	s.log.Info("stopped", "held", s.held, "calls", s.out, "notices", len(s.owed))
	var errs []error
	for _, p := range s.parts {
		errs = append(errs, p.leaving())
	}
	return errors.Join(append(errs, s.journal.close())...)
}

// resume hands the Brain what an earlier process left, before any client is heard. The list in the
// configuration may be older than what that process had been told, and an endpoint on it may have drained
// since: nothing is sent until discovery has answered once, or has had its time.
func (s *Sender) resume(ctx context.Context) {
	s.step(ctx, s.listsAtStart())
	var events []brain.Event
	// Among many senders the module asks at a time of its own, which is not waited for.
	for first, over := !s.listAsked, time.After(firstList); !first; {
		select {
		case e := <-s.events:
			if ev := s.take(e); ev != nil {
				events = append(events, ev)
			}
			switch e := e.(type) { // others are heard, and do not stand for it; the names' word was in before
			case listEvent:
				first = e.from == membership.Discovery
			case failedEvent:
				first = true
			}
		case <-over:
			first = true
		}
	}
	now := s.clock.now()
	for dest, rate := range s.journal.rates {
		events = append(events, brain.UsualRate{Destination: brain.DestinationID(dest), Rate: rate})
	}
	events = append(events, s.earlierOutages(now)...)
	for _, m := range s.journal.held() {
		if m.how != "" {
			if !m.told {
				s.owed = append(s.owed, m.notice())
			}
			if m.keep && s.records != nil {
				s.records.cost += m.cost
				s.records.waiting = append(s.records.waiting, m)
			} else if m.keep && m.Life == 0 { // the recorder was turned off
				s.journal.note(m, record{Op: "kept"})
			}
			continue
		}
		if s.ends.resumed(now, m) {
			s.journal.note(m, record{Op: "over", How: delivered})
			continue
		}
		first, may := m.firstRun()
		class := s.c.classOf(m)
		events = append(events, brain.Message{ID: s.hold(m, nil, class), Class: class,
			Tenant: place(s.c.Tenants, m.Tenant, -1), Destination: brain.DestinationID(m.Dest), OrderingKey: m.orderKey(), Deadline: m.Deadline,
			PriorAttempts: m.made(), MayHaveRun: may, FirstRunAt: first.At, FirstRunZone: s.c.zoneOf(first), Resumed: true})
	}
	events, s.learnt = append(events, s.learnt...), s.learnt[:0]
	for _, p := range s.parts {
		events = append(events, p.resumed(now)...)
	}
	s.step(ctx, events)
}

// hold gives a message its number.
func (s *Sender) hold(st *stored, answer chan answerLine, class int) brain.MessageID {
	s.last++
	m := &message{stored: st, number: s.last, class: class, base: len(st.Tries), answer: answer}
	s.messages[m.number], s.byID[st.ID] = m, m
	s.ends.hold(m)
	s.held++
	s.waits(m, true)
	return m.number
}

// turn takes in an event and all others that wait, and lets the Brain decide once.
func (s *Sender) turn(ctx context.Context, first any) {
	var events []brain.Event
	for e, n := first, 0; e != nil && n < batchMost; n++ {
		if ev := s.take(e); ev != nil {
			events = append(events, ev)
		}
		events, s.learnt = append(events, s.learnt...), s.learnt[:0]
		select {
		case e = <-s.events:
		default:
			e = nil
		}
	}
	if s.quitting {
		s.flush()
		s.tell()
		s.after(ctx)
		return
	}
	s.step(ctx, events)
}

// take books one event and translates it for the Brain; nil if that need not know.
func (s *Sender) take(e any) brain.Event {
	switch e := e.(type) {
	case brain.TimerFired:
		return e
	case submission:
		return s.submitted(e)
	case callEnd:
		return s.callEnded(e)
	case listEvent:
		s.log.Debug("list", "version", e.Version, "full", e.Full, "lines", len(e.Servers))
		news := s.news(e)
		for _, p := range s.parts {
			s.learnt = append(s.learnt, p.listed(s.clock.now())...)
		}
		return news
	case failedEvent:
		s.log.Warn("discovery failed", "err", e.err)
		return brain.EndpointUpdate{Failed: true, Overloaded: errors.Is(e.err, errInVain)}
	case partEvent:
		for _, p := range s.parts {
			s.learnt = append(s.learnt, p.take(e, s.clock.now())...)
		}
	case keptEvent:
		s.kept()
	case toldEvent:
		s.telling = false
		s.owed = s.owed[len(e.notices):]
		for _, n := range e.notices {
			if m := s.journal.byID[n.Message]; m != nil && m.how != "" && !m.told {
				s.journal.note(m, record{Op: "told"})
			}
		}
	}
	return nil
}

// flush writes the journal. What fails here fails again at the next message, which is refused.
func (s *Sender) flush() bool {
	// How an event ended is written before the journal forgets it: between the two it is held, and known as over.
	for _, p := range s.parts {
		if err := p.beforeWrite(); err != nil {
			s.log.Warn("before the journal is written", "err", err)
		}
	}
	err := s.journal.flush()
	if err != nil {
		s.log.Warn("journal", "err", err)
	}
	return err == nil
}

// step lets the Brain decide, writes down what it does, and only then does it.
func (s *Sender) step(ctx context.Context, events []brain.Event) {
	now := s.clock.now()
	if len(s.withdrawn) > 0 {
		events, s.withdrawn = append(s.withdrawn, events...), nil
	}
	actions := s.brain.Step(now, events)
	s.recall(actions) // before the disk, which may be slow: these do not wait
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			if m, e := s.messages[a.Message], s.list.ByNumber[a.Endpoint]; m != nil && e != nil {
				sent := &try{At: now, Endpoint: e.ID[:min(len(e.ID), maxName)], Zone: e.Zone}
				if s.c.Settings.Classes[m.class].IdempotencyKeyZonal && e.Zone < len(s.c.Zones) {
					sent.In = s.c.Zones[e.Zone]
				}
				s.journal.note(m.stored, record{Op: "send", Sent: sent})
			}
		case brain.Reject:
			s.close(a.Message, handedBack, http.StatusServiceUnavailable, a.RetryAfter)
		case brain.Fail:
			s.close(a.Message, givenUp, http.StatusInternalServerError, 0)
		}
	}
	written := s.flush()
	for _, a := range s.answers {
		a.to <- a.line
	}
	s.answers = s.answers[:0]
	var unwritten []*message
	for _, e := range events {
		if e, ok := e.(brain.Message); ok {
			switch m := s.messages[e.ID]; {
			case written:
				s.accept(m)
			case m != nil && m.answer != nil: // not on the disk, so not taken on
				unwritten = append(unwritten, m)
			}
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			s.send(ctx, a, written)
		case brain.Cancel:
			if m := s.messages[a.Message]; m != nil {
				m.calls.cancel(a.Attempt)
			}
		case brain.CloseIdleConns:
			s.pool.CloseIdle(s.list.ByNumber[a.Endpoint], 0)
		case brain.SetTimer: // each is earlier than the one set before
			s.alarm.Reset(max(0, a.At-s.clock.now()))
		case brain.WatchEndpoints:
			select {
			case s.asked <- struct{}{}:
			default:
			}
			s.listAsked = true
		case brain.Log:
			s.log.Info(a.Line)
		}
	}
	s.sendBatches(ctx, written)
	for _, m := range unwritten {
		s.drop(m)
	}
	s.tell()
	s.after(ctx)
}

// after lets the features know that a turn is over.
func (s *Sender) after(ctx context.Context) {
	s.fresh = s.brain.ChangedObservations()
	for _, p := range s.parts {
		p.afterWrite(ctx)
	}
}

// recall takes back the leave of calls that the module would not make now.
func (s *Sender) recall(actions []brain.Action) {
	for _, a := range actions {
		if r, ok := a.(brain.Revoke); ok {
			if m := s.messages[r.Message]; m != nil && m.calls.recall(r.Attempt) {
				s.log.Debug("a call is recalled", "message", m.ID, "why", r.Reason.String())
			}
		}
	}
}
