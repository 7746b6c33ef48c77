package sender

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/knowledge"
)

const (
	// After SIGTERM the sender serves normally for the grace period: clients still connect for a while, and a message delivered now
	// does not wait for the next process. Then it starts no more calls, and waits for those in flight until the shutdown timeout,
	// which is counted from SIGTERM too. The platform kills the process at 3.7 s.
	defaultGracePeriod     = 2200 * time.Millisecond
	defaultShutdownTimeout = 3200 * time.Millisecond

	eventQueueSize      = 1024                   // events queued for the loop
	maxEventsPerTurn    = 256                    // events handled in one turn
	tickInterval        = time.Second            // between the loop's ticks
	endpointsPerTick    = 1000                   // listed endpoints per additional tick between two saves of their rates
	firstListTimeout    = 300 * time.Millisecond // the longest wait for the endpoint list at the start
	journalDiskFraction = 0.9                    // of the disk limit: the rest is for the file system's overhead
)

// Sender is one message sender. The loop owns its fields; only Reload, PeerKeys and Background may be called by any goroutine.
type Sender struct {
	config      *Config
	log         *slog.Logger
	clock       clock
	brain       *brain.Brain // the decision module
	journal     *journal
	pool        *calls.Pool
	endpoints   calls.EndpointList
	discovery   *discovery
	sources     sources
	initialList Targets // the endpoint list to start with
	watchFrom   int64   // version after which the first call to discovery asks for changes; -1: for the complete list
	server      *server
	extensions  []extension // features that take part in each turn

	events        chan loopEvent // from other goroutines to the loop
	timer         *time.Timer    // the module's
	watchRequests chan struct{}  // triggers a request for the list to discovery
	listRequested bool           // the list has been requested at least once
	stopping      bool           // nothing is decided any more: events are only recorded in the journal

	// Messages that are accepted or being accepted, until they have ended and none of their calls is in flight.
	messages map[brain.MessageID]*message
	byID     map[string]*message
	lastID   brain.MessageID
	pending  int // messages that have not ended
	inFlight int // calls

	notices         chan []notice  // to postNotices
	pendingNotices  []notice       // those that the platform has not acknowledged, oldest first
	noticesInFlight bool           // postNotices is sending a batch of them
	eventDedup      *eventDedup    // nil where no events are accepted
	recorder        *recorderQueue // nil without a recorder

	// State of the current turn.
	pendingAnswers      []pendingAnswer     // for clients whose messages end in the turn, sent once the journal is written
	batches             []batch             // calls with several messages that start in the turn
	eventsOfExtensions  []brain.Event       // from the extensions for the module
	changedObservations []brain.Observation // of receivers, as the module reports them
	deferredEvents      []brain.Event       // for the module's next step: endpoints that drain, messages that could not be written

	knownFactsAt    time.Duration // the time for which knownFactsCache is valid
	knownFactsCache []knowledge.Fact

	gracePeriod, shutdownTimeout time.Duration
	stopFleetWatch               context.CancelFunc // ends the wait for changes of the fleet's policy
	signalPolicyChange           func()             // triggers a new check of the fleet's policy; never blocks
}

// New opens the journal and sets up the features that the configuration turns on; before Run nothing is sent and no client is
// served. It may add classes to c.Settings that apply to messages of the journal (see classOf). It returns errors of the
// configuration, of files that can't be read, and of addresses that can't be listened on. A journal that can't be written is no
// error, as no message is accepted until it can be written.
func New(c *Config, log *slog.Logger) (*Sender, error) {
	if err := c.CheckRules(); err != nil {
		return nil, err
	}
	journalBytes, err := c.journalDiskBytes()
	if err != nil {
		return nil, err
	}
	j, err := openJournal(c.StateDir, journalBytes)
	if err != nil {
		return nil, err
	}
	c.Settings.ReportsChanges = c.Peers != nil || c.Fleet != nil
	for _, m := range j.pending() { // the module must have all classes when it is created
		if m.outcome == "" {
			c.classOf(m)
		}
	}
	s := &Sender{
		config: c, log: log, clock: newClock(), brain: brain.New(c.Settings, c.Seed), journal: j,
		pool: calls.NewPool(calls.Config{ConnectTimeout: c.ConnectTimeout, IdleTimeout: c.Settings.IdleConnTimeout, MaxIdle: c.maxIdleEndpointConns(),
			LoadFields: c.ReportFields, Delivery: c.Delivery}),
		endpoints: calls.NewEndpointList(), discovery: newDiscovery(c.Discovery),
		events: make(chan loopEvent, eventQueueSize), timer: time.NewTimer(time.Hour), watchRequests: make(chan struct{}, 1),
		messages: map[brain.MessageID]*message{}, byID: map[string]*message{}, notices: make(chan []notice, 1),
		gracePeriod: defaultGracePeriod, shutdownTimeout: defaultShutdownTimeout,
	}
	if j.failed {
		log.Warn("the journal can't be written; no message is accepted until it can", "folder", c.StateDir)
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
		s.endpoints.IsClosed, s.endpoints.KindOf = s.closedByFleet, s.fleetKind
	}
	s.recorder = newRecorderQueue(c.Recorder, journalBytes)
	if s.extensions, err = s.newExtensions(); err != nil {
		return nil, err
	}
	s.server = newServer(c, s.clock, log, func(ctx context.Context, sub submission) bool { return s.post(ctx, sub) })
	return s, nil
}

// Reload applies from a newly read configuration what may change while the sender runs: the address of discovery. Everything else,
// including the settings, is read only at the start. Any goroutine may call it.
func (s *Sender) Reload(c *Config) {
	s.log.Info("configuration read again", "discovery", c.Discovery, "moved", s.discovery.move(c.Discovery))
}

// Run resumes the messages in the journal, then listens, and serves until ctx ends and for the grace period after it. It returns when
// all goroutines that act for messages have been signalled to end; unfinished work stays in the journal for the next process.
// It returns an error if it could not listen, if accepting clients failed, or if an extension or the journal could not be closed.
func (s *Sender) Run(ctx context.Context, listen func() (net.Listener, error)) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	s.startWorkers(work)
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
	err = s.loop(ctx, work, served)
	return errors.Join(err, s.shutdown(stop))
}

// startWorkers starts the goroutines that work for the loop and post their results to it; all end with ctx.
func (s *Sender) startWorkers(ctx context.Context) {
	s.sources.follow(ctx, s.post)
	go s.discovery.postNotices(ctx, s.notices, func(n []notice) { s.post(ctx, noticesDelivered{n}) })
	if s.recorder == nil {
		return
	}
	warn := func(err error) { s.log.Warn("undelivered messages wait in the journal", "err", err) }
	go s.recorder.run(ctx, warn, func() { s.post(ctx, recorderDone{}) })
}

// loop handles events, one turn after the other, until the sender may be shut down. No other goroutine may access the sender's state.
// served receives the server's result; an error there ends the loop. See the package comment for the shutdown.
func (s *Sender) loop(ctx, work context.Context, served <-chan error) error {
	var grace, timeout <-chan time.Time
	answered, allAnswered := make(chan struct{}), false
	ticker, ticks := time.NewTicker(tickInterval), 0
	defer ticker.Stop()
	done := ctx.Done()
	for {
		select {
		case e := <-s.events:
			s.turn(work, e)
		case <-s.timer.C:
			s.turn(work, timerFired{})
		case <-ticker.C:
			ticks++
			s.tick(ticks)
		case <-done:
			done = nil
			s.log.Info("stopping", "held", s.pending, "calls", s.inFlight)
			s.server.closing.Store(true)
			grace, timeout = time.After(s.gracePeriod), time.After(s.shutdownTimeout)
		case <-grace:
			grace = nil
			s.stopping = true
			go func() { // it ends when every request that has been received is answered
				s.server.shutdown()
				close(answered)
			}()
		case <-timeout:
			return nil
		case <-answered:
			answered, allAnswered = nil, true
		case err := <-served:
			if err != nil {
				return fmt.Errorf("accept clients: %w", err)
			}
			served = nil
		}
		if allAnswered && s.inFlight == 0 && len(s.pendingNotices) == 0 {
			return nil
		}
	}
}

// tick does the loop's periodic work, once every tickInterval; ticks is the number of ticks so far.
func (s *Sender) tick(ticks int) {
	s.pool.CloseExpired()
	// All rates are visited, so this is done less often the more endpoints there are. While the sender is stopping, the rates are not
	// the usual ones.
	if s.stopping || ticks%(1+len(s.endpoints.ByID)/endpointsPerTick) != 0 {
		return
	}
	now := s.clock.now()
	s.journal.saveRates(s.brain.UsualRates(), s.currentOutages(now)) // a failure here recurs with the next message, which is rejected
	for _, x := range s.extensions {
		x.onTick(now)
	}
	s.knownFactsCache = nil
}
