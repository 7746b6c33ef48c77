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
	endpoints   calls.EndpointList
	discovery   *discovery
	sources     sources
	initialList Targets // the list to begin with
	watchFrom   int64   // the version after which discovery is asked first; -1: for the whole list
	server      *server

	events          chan loopEvent
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

	pendingAnswers      []pendingAnswer // of messages that this step ends, to be given once that is written down
	batches             []batch         // calls that this step begins with several messages
	eventsOfExtensions  []brain.Event   // what the features have for the module, after the news that they heard
	knownFactsAt        time.Duration   // when what the module knows was asked for last
	knownFactsCache     []knowledge.Fact
	changedObservations []brain.Observation // news of receivers in this turn
	deferredEvents      []brain.Event       // of messages that could not be written down, for the next step

	gracePeriod, shutdownTimeout time.Duration
	stopFleetWatch               context.CancelFunc // ends the words of the fleet
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
	s := &Sender{config: c, log: log, clock: newClock(), brain: brain.New(c.Settings, c.Seed), journal: j, pool: calls.NewPool(calls.Config{ConnectTimeout: c.ConnectTimeout, IdleTimeout: c.Settings.IdleConnTimeout, MaxIdle: c.maxIdleEndpointConns(), LoadFields: c.ReportFields, Delivery: c.Delivery}),
		endpoints: calls.NewEndpointList(), discovery: newDiscovery(c.Discovery), events: make(chan loopEvent, eventQueueSize),
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
		s.endpoints.IsClosed, s.endpoints.KindOf = s.closedByFleet, s.fleetKind
	}
	s.recorder = newRecorderQueue(c.Recorder, room)
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
