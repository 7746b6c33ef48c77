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
	// After SIGTERM the sender goes on as ever for the grace period: clients come for a while yet, and what is delivered now does
	// not wait for the next process. Then no call begins, and it waits for those in flight until the shutdown timeout, which counts
	// from SIGTERM too. The platform kills what is left at 3.7 s.
	defaultGracePeriod     = 2200 * time.Millisecond
	defaultShutdownTimeout = 3200 * time.Millisecond

	eventQueueSize      = 1024                   // events on their way to the loop
	maxEventsPerTurn    = 256                    // events that one turn takes in
	tickInterval        = time.Second            // between the loop's ticks
	endpointsPerTick    = 1000                   // listed endpoints for each tick between two looks at their rates
	firstListTimeout    = 300 * time.Millisecond // the endpoint list is waited for so long at the start
	journalDiskFraction = 0.9                    // of the disk's limit: the rest is for what the file system adds
)

// Sender is one message sender. The loop owns its fields; the exceptions are Reload, PeerKeys and Background, for any goroutine.
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
	initialList Targets // the endpoint list to begin with
	watchFrom   int64   // the version after which discovery is asked first; -1: for the whole list
	server      *server
	extensions  []extension // features that take part in each turn

	events        chan loopEvent // what other goroutines have for the loop
	timer         *time.Timer    // the module's
	watchRequests chan struct{}  // has discovery asked for the list
	listRequested bool           // that has been done once
	stopping      bool           // nothing is decided any more: what comes in is only written down

	// Messages that are accepted or on their way to that, until they have ended and none of their calls is in flight.
	messages map[brain.MessageID]*message
	byID     map[string]*message
	lastID   brain.MessageID
	pending  int // messages that have not ended
	inFlight int // calls

	notices         chan []notice  // to postNotices
	pendingNotices  []notice       // those that the platform has not acknowledged, the oldest first
	noticesInFlight bool           // postNotices has a batch of them
	eventDedup      *eventDedup    // nil where no events are accepted
	recorder        *recorderQueue // nil without a recorder

	// Of the turn under way.
	pendingAnswers      []pendingAnswer     // for clients whose messages the turn ends, to be given once that is written
	batches             []batch             // calls that the turn begins with several messages
	eventsOfExtensions  []brain.Event       // what the extensions have for the module
	changedObservations []brain.Observation // of receivers, as the module reports them
	deferredEvents      []brain.Event       // for the module's next step: endpoints that drain, messages that could not be written

	knownFactsAt    time.Duration // when knownFactsCache was worked out
	knownFactsCache []knowledge.Fact

	gracePeriod, shutdownTimeout time.Duration
	stopFleetWatch               context.CancelFunc // ends the wait for changes of the fleet's policy
	signalPolicyChange           func()             // has the fleet's policy looked at again; it never waits
}

// New opens the journal and whatever the configuration turns on; nothing is sent and nobody is listened to before Run. It may
// add classes to c.Settings: those by which messages of the journal go on (see classOf). Its errors are those of the
// configuration, of files that can't be read, and of addresses that can't be listened on; a journal that can't be written is
// no error, as nothing is accepted until it can.
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
	for _, m := range j.pending() { // the module gets all classes as it is made
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
		s.endpoints.IsClosed, s.endpoints.KindOf = s.closedByFleet, s.fleetKind
	}
	s.recorder = newRecorderQueue(c.Recorder, journalBytes)
	if s.extensions, err = s.newExtensions(); err != nil {
		return nil, err
	}
	s.server = newServer(c, s.clock, log, func(ctx context.Context, sub submission) bool { return s.post(ctx, sub) })
	return s, nil
}

// Reload takes over what a newly read configuration may change while the sender runs: the address of discovery. The rest, the
// settings above all, is read at the start only. Any goroutine may call it.
func (s *Sender) Reload(c *Config) {
	s.log.Info("configuration read again", "discovery", c.Discovery, "moved", s.discovery.move(c.Discovery))
}

// Run takes up what the journal holds, then listens, and serves until ctx ends and for the grace period after it. It returns when
// all goroutines that act for messages have been told to end; what is not done by then stays in the journal for the next process.
// Its error says that it could not listen, that accepting clients failed, or that an extension or the journal could not be closed.
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

// startWorkers starts the goroutines that the loop hands work to and hears from; all end with ctx.
func (s *Sender) startWorkers(ctx context.Context) {
	s.sources.follow(ctx, s.post)
	go s.discovery.postNotices(ctx, s.notices, func(n []notice) { s.post(ctx, noticesDelivered{n}) })
	if s.recorder == nil {
		return
	}
	warn := func(err error) { s.log.Warn("undelivered messages wait in the journal", "err", err) }
	go s.recorder.run(ctx, warn, func() { s.post(ctx, recorderDone{}) })
}

// loop takes events in, one turn after the other, until the sender may be shut down. It is the only goroutine that touches the
// sender's state. served is how the server ended; an error of that ends the loop. See the package comment for the shutdown.
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
			go func() { // it ends when every request that has come is answered
				s.server.shutdown()
				close(answered)
			}()
		case <-timeout:
			return nil
		case <-answered:
			answered, allAnswered = nil, true
		case err := <-served:
			if err != nil {
				return fmt.Errorf("clients: %w", err)
			}
			served = nil
		}
		if allAnswered && s.inFlight == 0 && len(s.pendingNotices) == 0 {
			return nil
		}
	}
}

// tick is the loop's housekeeping, once every tickInterval; ticks is how many there were.
func (s *Sender) tick(ticks int) {
	s.pool.CloseExpired()
	// All rates are walked, so the less often the more there are. Once it is stopping nothing is served as usual.
	if s.stopping || ticks%(1+len(s.endpoints.ByID)/endpointsPerTick) != 0 {
		return
	}
	now := s.clock.now()
	s.journal.saveRates(s.brain.UsualRates(), s.currentOutages(now)) // what fails here fails again with the next message
	for _, x := range s.extensions {
		x.onTick(now)
	}
	s.knownFactsCache = nil
}
