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
	defaultGracePeriod     = 2200 * time.Millisecond
	defaultShutdownTimeout = 3200 * time.Millisecond

	eventQueueSize      = 1024 // events on their way to the loop
	maxEventsPerTurn    = 256  // taken in by one step
	tickInterval        = time.Second
	endpointsPerTick    = 1000                   // endpoints listed, for each second between two looks at their rates
	firstListTimeout    = 300 * time.Millisecond // the list is waited for at the start
	journalDiskFraction = 0.9                    // of the disk's limit: the rest is for what the file system adds
)

// Sender is one real sender.
type Sender struct {
	config      *Config
	log         *slog.Logger
	clock       clock
	brain       *brain.Brain
	journal     *journal
	pool        *calls.Pool
	endpoints   calls.List
	discovery   *discovery
	sources     sources
	initialList Targets // the list to begin with
	watchFrom   int64   // the version after which discovery is asked first; -1: for the whole list
	server      *server

	events          chan any
	watchRequests   chan struct{}
	listRequested   bool // discovery's list has been asked for
	notices         chan []notice
	pendingNotices  []notice // to be told
	noticesInFlight bool     // a batch of them is out
	messages        map[brain.MessageID]*message
	byID            map[string]*message
	eventDedup      *eventDedup    // nil where no events are taken in
	recorder        *recorderQueue // nil without a recorder
	extensions      []extension    // features that take part in each turn
	lastID          brain.MessageID
	pending         int // messages taken on that have not ended
	inFlight        int // calls out
	timer           *time.Timer
	stopping        bool // no more steps: what comes in is only written down

	pendingAnswers  []pendingAnswer // of messages that this step ends, to be given once that is written down
	batches         []batch         // calls that this step begins with several messages
	extensionEvents []brain.Event   // what the features have for the module, after the news that they heard
	knownFactsAt    time.Duration   // when what the module knows was asked for last
	knownFactsCache []knowledge.Fact
	newlyLearnt     []brain.Observation // news of receivers in this turn
	deferredEvents  []brain.Event       // of messages that could not be written down, for the next step

	gracePeriod, shutdownTimeout time.Duration
	stopFleetWatch               context.CancelFunc // ends the words of the fleet
	signalPolicyChange           func()             // has the fleet's policy looked at again; it never waits
}

// pendingAnswer is an answer to a client that waits.
type pendingAnswer struct {
	client chan response
	answer response
}

type (
	listUpdate struct {
		from membership.Source
		Targets
	}
	listFailure      struct{ err error }
	noticesDelivered struct{ notices []notice }
	extensionEvent   interface{ isExtensionEvent() } // of a feature's own
)

// New opens the journal; Run does the rest.
func New(c *Config, log *slog.Logger) (*Sender, error) {
	if err := c.CheckRules(); err != nil {
		return nil, err
	}
	room, err := c.journalDiskBytes()
	if err != nil {
		return nil, err
	}
	j, err := openJournal(c.StateDir, room)
	if err != nil {
		return nil, err
	}
	c.Settings.ReportsChanges = c.Peers != nil || c.Fleet != nil
	for _, m := range j.pending() { // the module is told all classes at its begin
		if m.outcome == "" {
			c.classOf(m)
		}
	}
	s := &Sender{config: c, log: log, clock: newClock(), brain: brain.New(c.Settings, c.Seed), journal: j, pool: calls.NewPool(calls.Config{ConnectTimeout: c.ConnectTimeout, Idle: c.Settings.IdleConnTimeout, Most: c.maxIdleEndpointConns(), Fields: c.ReportFields, Delivery: c.Delivery}),
		endpoints: calls.NewList(), discovery: newDiscovery(c.Discovery), events: make(chan any, eventQueueSize),
		watchRequests: make(chan struct{}, 1), notices: make(chan []notice, 1), messages: map[brain.MessageID]*message{},
		byID: map[string]*message{}, timer: time.NewTimer(time.Hour), gracePeriod: defaultGracePeriod, shutdownTimeout: defaultShutdownTimeout}
	if j.failed {
		log.Warn("the journal can't be written: nothing is taken on until it can", "folder", c.StateDir)
	}
	if j.corruptLines > 0 {
		log.Warn("the journal has lines that can't be read: all others count", "file", j.path, "lines", j.corruptLines, "messages", len(j.byID))
	}
	if s.eventDedup, err = openEventDedup(c, s.clock.now()); err != nil {
		return nil, err
	}
	s.initialList, s.watchFrom = j.endpoints.startingPoint(c.Known, c.Discovery)
	j.initList(c.Discovery, s.initialList, s.watchFrom)
	s.sources = newSources(s)
	if c.Fleet != nil {
		s.endpoints.Closed, s.endpoints.Kind = s.closedByFleet, s.fleetKind
	}
	s.recorder = newRecorderQueue(c.Recorder, room)
	if s.extensions, err = s.newExtensions(); err != nil {
		return nil, err
	}
	s.server = newServer(c, s.clock, log, func(ctx context.Context, sub submission) bool { return s.post(ctx, sub) })
	return s, nil
}

// Reload takes over what a newly read configuration may change while the sender runs: where discovery is.
// The rest of it, the settings above all, is read at the start only. It may be called from any goroutine.
func (s *Sender) Reload(c *Config) {
	s.log.Info("configuration read again", "discovery", c.Discovery, "moved", s.discovery.move(c.Discovery))
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
	go s.discovery.postNotices(work, s.notices, func(n []notice) { s.post(work, noticesDelivered{n}) })

	if s.recorder != nil {
		go s.recorder.run(work, func(err error) { s.log.Warn("undelivered messages wait in the journal", "err", err) }, func() { s.post(work, recorderDone{}) })
	}
	s.log.Debug("settings", "limits", s.config.Limits, "settings", s.config.Settings)
	s.resume(work)
	l, err := listen()
	if err != nil {
		return errors.Join(fmt.Errorf("listen: %w", err), s.shutdown(stop))
	}
	served := make(chan error, 1)
	go func() { served <- s.server.serve(l) }()
	s.server.ready.Store(true)
	s.log.Info("ready", "name", s.config.Name, "listen", l.Addr().String(), "resumed", s.pending, "notices", len(s.pendingNotices))

	var grace, leave <-chan time.Time
	shut, answered := make(chan struct{}), false
	idle, looks := time.NewTicker(tickInterval), 0
	defer idle.Stop()
	done := ctx.Done()
	for {
		select {
		case e := <-s.events:
			s.turn(work, e)
		case <-s.timer.C:
			s.turn(work, brain.TimerFired{})
		case <-idle.C:
			s.pool.CloseOld()
			looks++ // all rates are walked, so the less often the more there are
			// Once it is quitting nothing is served as usual.
			if !s.stopping && looks%(1+len(s.endpoints.ByID)/endpointsPerTick) == 0 {
				now := s.clock.now()
				s.journal.saveRates(s.brain.UsualRates(), s.currentOutages(now)) // what fails here fails again with the next message
				for _, p := range s.extensions {
					p.onTick(now)
				}
				s.knownFactsCache = nil
			}
		case <-done:
			done = nil
			s.log.Info("stopping", "held", s.pending, "calls", s.inFlight)
			s.server.closing.Store(true)
			grace, leave = time.After(s.gracePeriod), time.After(s.shutdownTimeout)
		case <-grace:
			grace = nil
			s.stopping = true
			go func() { // it ends when every request that has come is answered
				s.server.shutdown()
				close(shut)
			}()
		case <-leave:
			return s.shutdown(stop)
		case <-shut:
			shut, answered = nil, true
		case err := <-served:
			if err != nil {
				return errors.Join(fmt.Errorf("clients: %w", err), s.shutdown(stop))
			}
			served = nil
		}
		if answered && s.inFlight == 0 && len(s.pendingNotices) == 0 {
			return s.shutdown(stop)
		}
	}
}

// shutdown ends the process's work: what is out is cut off and stays written down as such. What has come by then still counts: a
// message that was answered just now is not another's to repeat.
func (s *Sender) shutdown(stop context.CancelFunc) error {
	s.stopping = true
	for more := true; more; {
		select {
		case e := <-s.events:
			s.handle(e)
		default:
			more = false
		}
	}
	s.flush()
	stop()
	s.server.close()
	s.log.Info("stopped", "held", s.pending, "calls", s.inFlight, "notices", len(s.pendingNotices))
	var errs []error
	for _, p := range s.extensions {
		errs = append(errs, p.shutdown())
	}
	return errors.Join(append(errs, s.journal.close())...)
}

// resume hands the Brain what an earlier process left, before any client is heard. The list in the
// configuration may be older than what that process had been told, and an endpoint on it may have drained
// since: nothing is sent until discovery has answered once, or has had its time.
func (s *Sender) resume(ctx context.Context) {
	s.step(ctx, s.initialListEvents())
	var events []brain.Event
	// Among many senders the module asks at a time of its own, which is not waited for.
	for first, over := !s.listRequested, time.After(firstListTimeout); !first; {
		select {
		case e := <-s.events:
			if ev := s.handle(e); ev != nil {
				events = append(events, ev)
			}
			switch e := e.(type) { // others are heard, and do not stand for it; the names' word was in before
			case listUpdate:
				first = e.from == membership.Discovery
			case listFailure:
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
	events = append(events, s.restoredOutages(now)...)
	for _, m := range s.journal.pending() {
		if m.outcome != "" {
			if !m.notified {
				s.pendingNotices = append(s.pendingNotices, m.notice())
			}
			if m.awaitsRecorder && s.recorder != nil {
				s.recorder.cost += m.cost
				s.recorder.waiting = append(s.recorder.waiting, m)
			} else if m.awaitsRecorder && m.Incarnation == 0 { // the recorder was turned off
				s.journal.update(m, record{Op: "kept"})
			}
			continue
		}
		if s.eventDedup.wasDelivered(now, m) {
			s.journal.update(m, record{Op: "over", Outcome: outcomeDelivered})
			continue
		}
		first, may := m.firstPossibleRun()
		class := s.config.classOf(m)
		events = append(events, brain.Message{ID: s.register(m, nil, class), Class: class,
			Tenant: indexOf(s.config.Tenants, m.Tenant, -1), Destination: brain.DestinationID(m.Dest), OrderingKey: m.orderKeyHash(), Deadline: m.Deadline,
			PriorAttempts: m.attemptsMade(), MayHaveRun: may, FirstRunAt: first.At, FirstRunZone: s.config.zoneOf(first), Resumed: true})
	}
	events, s.extensionEvents = append(events, s.extensionEvents...), s.extensionEvents[:0]
	for _, p := range s.extensions {
		events = append(events, p.onResume(now)...)
	}
	s.step(ctx, events)
}

// register gives a message its number.
func (s *Sender) register(st *storedMessage, answer chan response, class int) brain.MessageID {
	s.lastID++
	m := &message{storedMessage: st, number: s.lastID, class: class, earlierAttempts: len(st.Attempts), reply: answer}
	s.messages[m.number], s.byID[st.ID] = m, m
	s.eventDedup.register(m)
	s.pending++
	s.setWaiting(m, true)
	return m.number
}

// turn takes in an event and all others that wait, and lets the Brain decide once.
func (s *Sender) turn(ctx context.Context, first any) {
	var events []brain.Event
	for e, n := first, 0; e != nil && n < maxEventsPerTurn; n++ {
		if ev := s.handle(e); ev != nil {
			events = append(events, ev)
		}
		events, s.extensionEvents = append(events, s.extensionEvents...), s.extensionEvents[:0]
		select {
		case e = <-s.events:
		default:
			e = nil
		}
	}
	if s.stopping {
		s.flush()
		s.sendNotices()
		s.endTurn(ctx)
		return
	}
	s.step(ctx, events)
}

// handle books one event and translates it for the Brain; nil if that need not know.
func (s *Sender) handle(e any) brain.Event {
	switch e := e.(type) {
	case brain.TimerFired:
		return e
	case submission:
		return s.submit(e)
	case callResult:
		return s.handleCallResult(e)
	case listUpdate:
		s.log.Debug("list", "version", e.Version, "full", e.Full, "lines", len(e.Servers))
		news := s.applyListUpdate(e)
		for _, p := range s.extensions {
			s.extensionEvents = append(s.extensionEvents, p.onListUpdate(s.clock.now())...)
		}
		return news
	case listFailure:
		s.log.Warn("discovery failed", "err", e.err)
		return brain.EndpointUpdate{Failed: true, Overloaded: errors.Is(e.err, errOverloaded)}
	case extensionEvent:
		for _, p := range s.extensions {
			s.extensionEvents = append(s.extensionEvents, p.handle(e, s.clock.now())...)
		}
	case recorderDone:
		s.recorderFinished()
	case noticesDelivered:
		s.noticesInFlight = false
		s.pendingNotices = s.pendingNotices[len(e.notices):]
		for _, n := range e.notices {
			if m := s.journal.byID[n.Message]; m != nil && m.outcome != "" && !m.notified {
				s.journal.update(m, record{Op: "told"})
			}
		}
	}
	return nil
}

// flush writes the journal. What fails here fails again at the next message, which is refused.
func (s *Sender) flush() bool {
	// How an event ended is written before the journal forgets it: between the two it is held, and known as over.
	for _, p := range s.extensions {
		if err := p.beforeFlush(); err != nil {
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
	if len(s.deferredEvents) > 0 {
		events, s.deferredEvents = append(s.deferredEvents, events...), nil
	}
	actions := s.brain.Step(now, events)
	s.recall(actions) // before the disk, which may be slow: these do not wait
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			if m, e := s.messages[a.Message], s.endpoints.ByNumber[a.Endpoint]; m != nil && e != nil {
				sent := &attemptRecord{At: now, Endpoint: e.ID[:min(len(e.ID), maxNameBytes)], Zone: e.Zone}
				if s.config.Settings.Classes[m.class].IdempotencyKeyZonal && e.Zone < len(s.config.Zones) {
					sent.ZoneName = s.config.Zones[e.Zone]
				}
				s.journal.update(m.storedMessage, record{Op: "send", Sent: sent})
			}
		case brain.Reject:
			s.finish(a.Message, outcomeHandedBack, http.StatusServiceUnavailable, a.RetryAfter)
		case brain.Fail:
			s.finish(a.Message, outcomeGivenUp, http.StatusInternalServerError, 0)
		}
	}
	written := s.flush()
	for _, a := range s.pendingAnswers {
		a.client <- a.answer
	}
	s.pendingAnswers = s.pendingAnswers[:0]
	var unwritten []*message
	for _, e := range events {
		if e, ok := e.(brain.Message); ok {
			switch m := s.messages[e.ID]; {
			case written:
				s.acknowledge(m)
			case m != nil && m.reply != nil: // not on the disk, so not taken on
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
			s.pool.CloseIdle(s.endpoints.ByNumber[a.Endpoint], 0)
		case brain.SetTimer: // each is earlier than the one set before
			s.timer.Reset(max(0, a.At-s.clock.now()))
		case brain.WatchEndpoints:
			select {
			case s.watchRequests <- struct{}{}:
			default:
			}
			s.listRequested = true
		case brain.Log:
			s.log.Info(a.Line)
		}
	}
	s.sendBatches(ctx, written)
	for _, m := range unwritten {
		s.rejectUnwritten(m)
	}
	s.sendNotices()
	s.endTurn(ctx)
}

// endTurn lets the features know that a turn is over.
func (s *Sender) endTurn(ctx context.Context) {
	s.newlyLearnt = s.brain.ChangedObservations()
	for _, p := range s.extensions {
		p.afterTurn(ctx)
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
