package work

import (
	"container/list"
	"fmt"
	"math"
	"slices"
	"time"
)

// Event is what happened: one of Submit, Ended, Allow, Command and Configure. Time alone is no event.
type Event interface{ event() }

type (
	// Submit is a new job, or one from an earlier process.
	Submit struct {
		Job
		Failures     int    // in a row, as an earlier process left it
		ParkedReason string // and why it is parked; empty: it is not
	}
	// SliceEnded says how a slice ended.
	SliceEnded struct {
		ID      ID
		Used    Cost
		More    bool          // there is more of it
		Delay   time.Duration // but not before so long
		Failure string        // it failed; empty: it did not
		Park    bool          // and is not to be tried again by itself
	}
	// SetAllowance is the part of its budget that pressure leaves to all work.
	SetAllowance struct{ Fraction float64 }
	// Command is an operator's.
	Command struct {
		Verb  Verb
		ID    ID     // of one job; 0: of those that the rest says
		Kind  string // empty: all
		Owner string // empty: all
	}
	// Configure replaces the settings. Jobs stay; what is beyond new bounds stays, too, and nothing more is taken.
	Configure struct{ Settings }
)

func (Submit) event()       {}
func (SliceEnded) event()   {}
func (SetAllowance) event() {}
func (Command) event()      {}
func (Configure) event()    {}

// Verb is what an operator wants.
type Verb int

// The verbs. Pause and Resume are of kinds and owners, not of single jobs.
const (
	Pause Verb = iota
	Resume
	Run  // now: whatever it waited for but locks and budgets, parked or not
	Drop // it ends, and is gone
)

// VerbNames are the words for them.
func VerbNames() []string { return []string{"pause", "resume", "run", "drop"} }

// Action is what is to be done: one of Start, Refuse, Over, Park and Stop.
type Action interface{ action() }

type (
	// Start has a slice of a job begun.
	Start struct{ ID ID }
	// Reject turns a job away: nothing of it is held.
	Reject struct {
		ID     ID
		Reason string
	}
	// Finished says that a job is done, or dropped: it can be forgotten.
	Finished struct {
		ID      ID
		Dropped bool
	}
	// Park says that a job waits for an operator.
	Park struct {
		ID     ID
		Reason string
	}
	// Stop has the slice that runs called off: its job was dropped.
	Stop struct{ ID ID }
)

func (Start) action()    {}
func (Reject) action()   {}
func (Finished) action() {}
func (Park) action()     {}
func (Stop) action()     {}

// state is where a job is.
type state int

const (
	ready               state = iota // in its owner's queue
	delayed                          // until a time
	running                          // a slice of it
	awaitingLock                     // it waits for a lock
	awaitingResource                 // it waits for a resource
	awaitingRetryBudget              // it waits for its kind's retry budget
	parked                           // it waits for an operator
)

type job struct {
	Job
	state        state
	seq          uint64        // the order in which jobs became ready
	readySince   time.Duration // it has been ready
	delayedUntil time.Duration // delayed
	failures     int
	lastFailure  string
	effective    Priority // its own, or that of one that waits for its lock
	holdsLock    bool     // its lock
	dropped      bool     // while it runs
	isRetry      bool     // its next start is a further try
	used         Cost
	slicesDone   int
	queue        *queue
	heapIndex    int           // in its queue's or the delayed heap
	waitElement  *list.Element // among those that wait for the same
}

// queue is the ready jobs of one owner, kind and priority.
type queue struct {
	owner       *owner
	level       *level
	jobs        indexedHeap[*job]
	virtualTime float64 // the owner's virtual time when it was put in order
	heapIndex   int     // in the level's heap; -1: the owner is in debt
}

// level is the ready jobs of one kind and priority.
type level struct {
	kind   *kind
	queues map[string]*queue
	order  indexedHeap[*queue]
}

type owner struct {
	name            string
	weight          float64
	virtualTime     float64
	budget          *buckets
	jobs            int
	active          int // ready or running
	paused          bool
	idleIndex       int      // its place among the idle; -1: it has jobs
	throttledQueues []*queue // of this owner, taken out of their levels' orders while it is in debt or paused
	used            Cost
}

type kind struct {
	name string
	Kind
	known           bool
	budget          *buckets
	running         int
	paused          bool
	windowOpensAt   time.Duration // its window, when closed
	retryBudget     retryBudget
	creditUpdatedAt time.Duration
	waiting         *list.List // jobs that wait for credit
	used            Cost
}

type lock struct {
	holder  *job
	waiters *list.List
}

// lowerPriorityInterval is how many starts there are to one of a lower priority than the best that has something to run.
const (
	lowerPriorityInterval = 8
	never                 = time.Duration(math.MaxInt64)
	minCharge             = 1e-6 // of a second, for a slice that used nothing: owners then take turns
)

// Scheduler decides what runs next. It is for one goroutine; times are of one clock that does not go back, and Step's wall
// time is that of the world, for windows.
type Scheduler struct {
	settings Settings
	random   func() float64

	now                 time.Duration
	wall                time.Time
	jobs                map[ID]*job
	bytes               int64
	delayed             indexedHeap[*job]
	levels              [priorities]map[string]*level
	kinds               map[string]*kind
	owners              map[string]*owner
	readyCount          int // jobs that are ready
	locks               map[string]*lock
	breakers            map[string]*breaker
	throttledOwners     map[*owner]struct{}
	idleOwners          indexedHeap[*owner] // without jobs, and ahead of the others: they are forgotten when those have caught up
	totalBudget         *buckets
	pool                [Currencies]float64
	allowance           float64
	virtualTime         float64
	runningCount        int
	starts              uint64
	lowerPriorityStarts uint64 // of them, those of a lower priority
	nextSequence        uint64
	actions             []Action
}

// New makes a scheduler without jobs. random gives numbers from 0 to under 1.
func New(set Settings, random func() float64) *Scheduler {
	s := &Scheduler{settings: set, random: random, jobs: map[ID]*job{}, kinds: map[string]*kind{}, owners: map[string]*owner{},
		locks: map[string]*lock{}, breakers: map[string]*breaker{}, throttledOwners: map[*owner]struct{}{}, allowance: 1, totalBudget: newBuckets(set.Rates, 0)}
	s.delayed = indexedHeap[*job]{less: func(a, b *job) bool {
		return a.delayedUntil < b.delayedUntil || a.delayedUntil == b.delayedUntil && a.ID < b.ID
	}, setIndex: func(j *job, at int) { j.heapIndex = at }}
	s.idleOwners = indexedHeap[*owner]{less: func(a, b *owner) bool { return a.virtualTime < b.virtualTime }, setIndex: func(o *owner, at int) { o.idleIndex = at }}
	for i := range s.levels {
		s.levels[i] = map[string]*level{}
	}
	for name := range set.Kinds { // also those that have no jobs: what they do not use is others'
		s.kind(name)
	}
	return s
}

// Step takes in what happened and says what is to be done.
func (s *Scheduler) Step(now time.Duration, wall time.Time, events ...Event) []Action {
	s.now, s.wall = max(now, s.now), wall
	s.actions = nil
	s.refillBuckets()
	for _, e := range events {
		switch e := e.(type) {
		case Submit:
			s.submit(e)
		case SliceEnded:
			s.sliceEnded(e)
		case SetAllowance:
			s.setAllowance(e.Fraction)
		case Command:
			s.command(e)
		case Configure:
			s.configure(e.Settings)
		}
	}
	s.wakeWaiting()
	for s.start() {
	}
	s.removeIdleOwners()
	return s.actions
}

// removeIdleOwners drops owners without jobs, once that changes nothing: one that used more than its part, or is in debt or paused,
// would come back without that.
func (s *Scheduler) removeIdleOwners() {
	if len(s.jobs) == 0 {
		for _, o := range s.idleOwners.items {
			s.virtualTime = max(s.virtualTime, o.virtualTime)
		}
	}
	for {
		o, ok := s.idleOwners.top()
		if !ok || o.virtualTime > s.virtualTime || o.paused || !o.budget.solvent() {
			return
		}
		s.idleOwners.remove(0)
		delete(s.owners, o.name)
		delete(s.throttledOwners, o)
	}
}

// refillBuckets adds to the buckets. What a kind does not use goes to the pool, as far as that has room for a second of all of it.
func (s *Scheduler) refillBuckets() {
	for i := range s.totalBudget {
		s.totalBudget[i].fill(s.now, s.allowance)
	}
	for _, k := range s.kinds {
		for i := range k.budget {
			if spilt := k.budget[i].fill(s.now, s.allowance); spilt > 0 && s.allowance == 1 {
				s.pool[i] = min(s.pool[i]+spilt, s.settings.Rates[i].PerSecond)
			}
		}
		if d := s.now - k.creditUpdatedAt; d > 0 {
			k.retryBudget.credit = min(k.retryBudget.credit+float64(d)/float64(creditInterval), max(k.Retry.Credit, 1))
			k.creditUpdatedAt = s.now
		}
	}
	for o := range s.throttledOwners {
		for i := range o.budget {
			o.budget[i].fill(s.now, 1)
		}
	}
}

// setAllowance books pressure. Under any, what was lent is back at once.
func (s *Scheduler) setAllowance(part float64) {
	s.allowance = min(max(part, 0), 1)
	if s.allowance < 1 {
		s.pool = [Currencies]float64{}
	}
}

func (s *Scheduler) configure(set Settings) {
	for i := range s.totalBudget {
		level := s.totalBudget[i].level
		s.totalBudget[i] = bucket{rate: set.Rates[i], level: min(level, set.Rates[i].Burst), updatedAt: s.now}
	}
	s.settings = set
	for name := range set.Kinds {
		s.kind(name)
	}
	for _, k := range s.kinds {
		s.setKind(k)
	}
	for _, o := range s.owners {
		o.weight = s.weight(o.name)
		for i := range o.budget {
			o.budget[i] = bucket{rate: set.Owners[i], level: min(o.budget[i].level, set.Owners[i].Burst), updatedAt: s.now}
		}
	}
}

func (s *Scheduler) weight(name string) float64 {
	if w := s.settings.Weights[name]; w > 0 {
		return w
	}
	return 1
}

func (s *Scheduler) setKind(k *kind) {
	k.Kind, k.known = s.settings.Kinds[k.name]
	if k.Retry == (Retry{}) {
		k.Retry = DefaultRetry()
	}
	old := k.budget
	k.budget = newBuckets(k.Rates, s.now)
	if old != nil {
		for i := range k.budget {
			k.budget[i].level = min(old[i].level, k.Rates[i].Burst)
		}
	}
	k.windowOpensAt = 0
}

func (s *Scheduler) kind(name string) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{name: name, waiting: list.New(), creditUpdatedAt: s.now}
		s.setKind(k)
		k.retryBudget.credit = max(k.Retry.Credit, 1)
		s.kinds[name] = k
	}
	return k
}

func (s *Scheduler) owner(name string) *owner {
	o := s.owners[name]
	if o == nil {
		o = &owner{name: name, weight: s.weight(name), virtualTime: s.virtualTime, budget: newBuckets(s.settings.Owners, s.now), idleIndex: -1}
		s.owners[name] = o
	}
	return o
}

// CheckCapacity says why jobs can't be taken on; empty if they can.
func (s *Scheduler) CheckCapacity(jobs ...Job) string {
	n, size := len(s.jobs), s.bytes
	by := map[string]int{}
	for i := range jobs {
		j := &jobs[i]
		n++
		size += j.Size
		by[j.Owner]++
		held := 0
		if o := s.owners[j.Owner]; o != nil {
			held = o.jobs
		}
		l := &s.settings.Limits
		switch {
		case j.Priority < 0 || j.Priority >= priorities:
			return j.Priority.String()
		case l.Depth > 0 && j.Depth > l.Depth:
			return fmt.Sprintf("jobs make jobs %d deep; %d is the most", j.Depth, l.Depth)
		case l.Jobs > 0 && n > l.Jobs:
			return fmt.Sprintf("%d jobs are held; there is no room for more", l.Jobs)
		case l.Bytes > 0 && size > l.Bytes:
			return fmt.Sprintf("jobs hold %d bytes; there is no room for more", s.bytes)
		case l.OwnerJobs > 0 && held+by[j.Owner] > l.OwnerJobs:
			return fmt.Sprintf("%s has %d jobs; one owner may have %d", j.Owner, held, l.OwnerJobs)
		}
	}
	return ""
}

func (s *Scheduler) submit(e Submit) {
	if s.jobs[e.ID] != nil || e.ID == 0 {
		s.actions = append(s.actions, Reject{e.ID, "its number is taken"})
		return
	}
	if why := s.CheckCapacity(e.Job); why != "" {
		s.actions = append(s.actions, Reject{e.ID, why})
		return
	}
	j := &job{Job: e.Job, failures: e.Failures, lastFailure: e.ParkedReason, effective: e.Priority, heapIndex: -1}
	s.jobs[j.ID] = j
	s.bytes += j.Size
	o := s.owner(j.Owner)
	if o.jobs++; o.idleIndex >= 0 {
		s.idleOwners.remove(o.idleIndex)
	}
	if e.ParkedReason != "" {
		j.state = parked
		return
	}
	s.readyAt(j, j.Earliest)
}

// readyAt has a job become ready at a time.
func (s *Scheduler) readyAt(j *job, at time.Duration) {
	if at > s.now {
		j.state, j.delayedUntil = delayed, at
		s.delayed.add(j)
		return
	}
	s.ready(j)
}

// ready puts a job into its owner's queue.
func (s *Scheduler) ready(j *job) {
	j.state = ready
	s.nextSequence++
	j.seq, j.readySince = s.nextSequence, s.now
	s.enqueue(j)
}

func (s *Scheduler) enqueue(j *job) {
	l := s.levels[j.effective][j.Kind]
	if l == nil {
		l = &level{kind: s.kind(j.Kind), queues: map[string]*queue{}}
		l.order = indexedHeap[*queue]{less: func(a, b *queue) bool {
			return a.virtualTime < b.virtualTime || a.virtualTime == b.virtualTime && a.owner.name < b.owner.name
		}, setIndex: func(q *queue, at int) { q.heapIndex = at }}
		s.levels[j.effective][j.Kind] = l
	}
	q := l.queues[j.Owner]
	if q == nil {
		q = &queue{owner: s.owner(j.Owner), level: l, heapIndex: -1}
		q.jobs = indexedHeap[*job]{less: lessLaxity, setIndex: func(j *job, at int) { j.heapIndex = at }}
		l.queues[j.Owner] = q
	}
	o := q.owner
	if o.active == 0 { // it was idle: it has no claim to what it did not use
		o.virtualTime = max(o.virtualTime, s.virtualTime)
	}
	o.active++
	s.readyCount++
	j.queue = q
	q.jobs.add(j)
	if q.jobs.Len() == 1 {
		s.orderQueue(q)
	}
}

// orderQueue puts a queue among those of its level, or aside where its owner may not start anything.
func (s *Scheduler) orderQueue(q *queue) {
	if q.owner.paused || !q.owner.budget.solvent() {
		q.owner.throttledQueues = append(q.owner.throttledQueues, q)
		s.throttledOwners[q.owner] = struct{}{}
		return
	}
	q.virtualTime = q.owner.virtualTime
	q.level.order.add(q)
}

// lessLaxity is the order within a queue: what has the least time to spare, then what came first.
func lessLaxity(a, b *job) bool {
	x, y := a.laxity(), b.laxity()
	return x < y || x == y && a.seq < b.seq
}

// laxity is when it must have begun; the order of two never changes as time passes.
func (j *job) laxity() time.Duration {
	if j.Deadline == 0 {
		return never
	}
	return j.Deadline - j.Remaining
}

// dequeue takes a ready job out of all that it stands in.
func (s *Scheduler) dequeue(j *job) {
	q := j.queue
	q.jobs.remove(j.heapIndex)
	q.owner.active--
	s.readyCount--
	j.queue = nil
	if q.jobs.Len() > 0 {
		return
	}
	if q.heapIndex >= 0 {
		q.level.order.remove(q.heapIndex)
	} else {
		q.owner.throttledQueues = slices.DeleteFunc(q.owner.throttledQueues, func(x *queue) bool { return x == q })
	}
	delete(q.level.queues, q.owner.name)
	if len(q.level.queues) == 0 {
		delete(s.levels[j.effective], j.Kind)
	}
}

// wakeWaiting makes ready what has waited for its time, its credit, or its resource.
func (s *Scheduler) wakeWaiting() {
	for {
		j, ok := s.delayed.top()
		if !ok || j.delayedUntil > s.now {
			break
		}
		s.delayed.remove(0)
		s.ready(j)
	}
	for _, k := range s.kinds {
		for e := k.waiting.Front(); e != nil && k.retryBudget.credit >= 1; e = k.waiting.Front() {
			k.retryBudget.credit--
			if j, ok := k.waiting.Remove(e).(*job); ok {
				j.waitElement = nil
				s.ready(j)
			}
		}
	}
	for _, b := range s.breakers {
		if b.open && b.trial == 0 && s.now >= b.until && len(b.waiting) > 0 { // one tries
			j := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.trial = j.ID
			s.ready(j)
		}
	}
	for o := range s.throttledOwners {
		if o.paused || !o.budget.solvent() {
			continue
		}
		delete(s.throttledOwners, o)
		back := o.throttledQueues
		o.throttledQueues = nil
		for _, q := range back {
			s.orderQueue(q)
		}
	}
}

// mayStart reports whether a kind may start a slice.
func (s *Scheduler) mayStart(k *kind) bool {
	if k.paused || k.Running > 0 && k.running >= k.Running {
		return false
	}
	if k.Window != nil {
		open, next := k.Window.Open(s.wall)
		if !open {
			k.windowOpensAt = s.now + next.Sub(s.wall)
			return false
		}
	}
	for i := range k.budget {
		if b := &k.budget[i]; b.bounded() && b.level <= 0 && s.pool[i] <= 0 {
			return false
		}
	}
	return true
}

// start begins one slice, if any may; it reports whether to look again.
func (s *Scheduler) start() bool {
	if s.settings.Limits.Running > 0 && s.runningCount >= s.settings.Limits.Running || !s.totalBudget.solvent() {
		return false
	}
	j := s.nextJob()
	if j == nil {
		return false
	}
	s.dequeue(j)
	if j.Lock != "" && !j.holdsLock {
		l := s.locks[j.Lock]
		if l == nil {
			l = &lock{waiters: list.New()}
			s.locks[j.Lock] = l
		}
		if l.holder != nil {
			j.state = awaitingLock
			j.waitElement = l.waiters.PushBack(j)
			s.inheritPriority(l.holder, j.effective)
			return true
		}
		l.holder, j.holdsLock = j, true
	}
	if j.Resource != "" {
		b := s.breakers[j.Resource]
		if b == nil {
			b = &breaker{}
			s.breakers[j.Resource] = b
		}
		if !b.admit(s.now, j.ID) {
			j.state = awaitingResource
			b.waiting = append(b.waiting, j)
			return true
		}
	}
	k, o := s.kind(j.Kind), s.owner(j.Owner)
	j.state = running
	s.runningCount++
	k.running++
	o.active++
	s.starts++
	s.virtualTime = max(s.virtualTime, o.virtualTime)
	s.charge(j, k, o, j.SliceCost, Cost{})
	s.actions = append(s.actions, Start{j.ID})
	return true
}

// nextJob is the job that goes next: by priority, fairness and time to spare. Every so often it is one of a lower priority, each
// of those that have any in turn: within a priority the turns are those of fairness always.
func (s *Scheduler) nextJob() *job {
	var best *queue
	var lower [priorities]*queue
	n := 0
	for p := range s.levels {
		q := s.nextQueue(p)
		switch {
		case q == nil:
		case best == nil:
			best = q
			if s.starts%lowerPriorityInterval != lowerPriorityInterval-1 {
				j, _ := q.jobs.top()
				return j
			}
		default:
			lower[n] = q
			n++
		}
	}
	if best == nil {
		return nil
	}
	if n > 0 {
		best = lower[s.lowerPriorityStarts%uint64(n)]
		s.lowerPriorityStarts++
	}
	j, _ := best.jobs.top()
	return j
}

// nextQueue is the queue whose turn it is in a priority; nil if nothing there may run.
func (s *Scheduler) nextQueue(p int) *queue {
	var best *queue
	for _, l := range s.levels[p] {
		if !s.mayStart(l.kind) {
			continue
		}
		if q := s.frontQueue(l); q != nil && (best == nil || q.virtualTime < best.virtualTime || q.virtualTime == best.virtualTime && q.name() < best.name()) {
			best = q
		}
	}
	return best
}

func (q *queue) name() string { return q.owner.name + "\x00" + q.level.kind.name }

// frontQueue is the queue of the owner that is furthest behind. Virtual times grow while a queue waits: it is put in order again
// when that shows at the top.
func (s *Scheduler) frontQueue(l *level) *queue {
	for {
		q, ok := l.order.top()
		if !ok {
			return nil
		}
		if q.owner.paused || !q.owner.budget.solvent() {
			l.order.remove(0)
			s.orderQueue(q)
			continue
		}
		if q.virtualTime != q.owner.virtualTime {
			q.virtualTime = q.owner.virtualTime
			l.order.fix(0)
			continue
		}
		return q
	}
}

// charge takes what was used, less what was charged before; the kind's debt is paid from the pool as far as there is any.
func (s *Scheduler) charge(j *job, k *kind, o *owner, used, before Cost) {
	var d Cost
	for i := range d {
		d[i] = max(0, used[i]) - max(0, before[i])
	}
	s.totalBudget.take(d)
	for i := range o.budget { // those of owners who are not in debt are filled only here
		o.budget[i].fill(s.now, 1)
	}
	o.budget.take(d)
	k.budget.take(d)
	for i := range k.budget {
		if b := &k.budget[i]; b.bounded() && b.level < 0 && s.pool[i] > 0 {
			n := min(s.pool[i], -b.level)
			s.pool[i] -= n
			b.level += n
		}
	}
	was, is := s.settings.Rates.dominantShare(before), s.settings.Rates.dominantShare(used)
	if before == (Cost{}) {
		is += minCharge
	}
	o.virtualTime += (is - was) / o.weight
	if !o.budget.solvent() {
		s.throttledOwners[o] = struct{}{}
	}
}

// inheritPriority gives the one that holds a lock the priority of one that waits for it.
func (s *Scheduler) inheritPriority(j *job, p Priority) {
	if p >= j.effective {
		return
	}
	if j.state == ready {
		s.dequeue(j)
		j.effective = p
		s.enqueue(j) // in its turn: it has been ready since it was
		return
	}
	j.effective = p
}

func (s *Scheduler) sliceEnded(e SliceEnded) {
	j := s.jobs[e.ID]
	if j == nil || j.state != running {
		return
	}
	k, o := s.kind(j.Kind), s.owner(j.Owner)
	s.runningCount--
	k.running--
	o.active--
	s.charge(j, k, o, e.Used, j.SliceCost)
	j.used.Add(e.Used)
	k.used.Add(e.Used)
	o.used.Add(e.Used)
	j.slicesDone++
	failed := e.Failure != ""
	if j.Resource != "" {
		if b := s.breakers[j.Resource]; b != nil {
			b.recordResult(s.now, j.ID, failed, &s.settings.Breaker)
			if !b.open { // all that waited may try
				back := b.waiting
				b.waiting = nil
				for _, w := range back {
					s.ready(w)
				}
				if b.failures == 0 {
					delete(s.breakers, j.Resource)
				}
			}
		}
	}
	switch {
	case j.dropped:
		s.finish(j, true)
	case failed:
		j.failures++
		j.lastFailure = e.Failure
		if e.Park || k.Retry.MaxFailures > 0 && j.failures >= k.Retry.MaxFailures {
			s.park(j, e.Failure)
			return
		}
		j.isRetry = true
		s.scheduleRetry(j, k)
	case e.More:
		k.retryBudget.recordSuccess(&k.Retry, j.isRetry)
		j.failures, j.lastFailure, j.isRetry = 0, "", false
		s.readyAt(j, s.now+max(0, e.Delay))
	default:
		k.retryBudget.recordSuccess(&k.Retry, j.isRetry)
		s.finish(j, false)
	}
}

// scheduleRetry has a failed job wait for its pause, and then for its kind's credit.
func (s *Scheduler) scheduleRetry(j *job, k *kind) {
	pause := k.Retry.backoff(j.failures, s.random())
	if k.retryBudget.credit >= 1 {
		k.retryBudget.credit--
		s.readyAt(j, s.now+pause)
		return
	}
	j.state = awaitingRetryBudget
	j.waitElement = k.waiting.PushBack(j)
}

func (s *Scheduler) park(j *job, why string) {
	s.unlock(j)
	j.state, j.lastFailure = parked, why
	s.actions = append(s.actions, Park{j.ID, why})
}

// unlock lets go of a job's lock; the first of the best priority that waits for it is ready.
func (s *Scheduler) unlock(j *job) {
	j.effective = j.Priority
	if !j.holdsLock {
		return
	}
	j.holdsLock = false
	l := s.locks[j.Lock]
	l.holder = nil
	var next *list.Element
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if next == nil || e.Value.(*job).effective < next.Value.(*job).effective {
			next = e
		}
	}
	if next == nil {
		delete(s.locks, j.Lock)
		return
	}
	w, _ := l.waiters.Remove(next).(*job)
	w.waitElement = nil
	l.holder, w.holdsLock = w, true
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if o, ok := e.Value.(*job); ok {
			w.effective = min(w.effective, o.effective)
		}
	}
	s.ready(w)
}

// finish ends a job.
func (s *Scheduler) finish(j *job, dropped bool) {
	s.unlock(j)
	if j.Resource != "" {
		if b := s.breakers[j.Resource]; b != nil && b.trial == j.ID {
			b.trial = 0
		}
	}
	delete(s.jobs, j.ID)
	s.bytes -= j.Size
	o := s.owner(j.Owner)
	if o.jobs--; o.jobs == 0 {
		s.idleOwners.add(o)
	}
	s.actions = append(s.actions, Finished{j.ID, dropped})
}

// removeWaiting takes a job that does not run out of where it waits.
func (s *Scheduler) removeWaiting(j *job) {
	switch j.state {
	case ready:
		s.dequeue(j)
	case delayed:
		s.delayed.remove(j.heapIndex)
	case awaitingLock:
		s.locks[j.Lock].waiters.Remove(j.waitElement)
		j.waitElement = nil
	case awaitingRetryBudget:
		s.kind(j.Kind).waiting.Remove(j.waitElement)
		j.waitElement = nil
	case awaitingResource:
		b := s.breakers[j.Resource]
		b.waiting = slices.DeleteFunc(b.waiting, func(x *job) bool { return x == j })
	}
}

func (s *Scheduler) command(c Command) {
	switch c.Verb {
	case Pause, Resume:
		paused := c.Verb == Pause
		if c.Kind != "" {
			s.kind(c.Kind).paused = paused
		}
		if c.Owner != "" {
			o := s.owner(c.Owner)
			o.paused = paused
			if !paused {
				s.throttledOwners[o] = struct{}{} // wake looks at it
			}
		}
		return
	}
	var of []*job
	for _, j := range s.jobs {
		if c.ID == j.ID || c.ID == 0 && (c.Kind == "" || c.Kind == j.Kind) && (c.Owner == "" || c.Owner == j.Owner) {
			of = append(of, j)
		}
	}
	slices.SortFunc(of, func(a, b *job) int { return int(int64(a.ID) - int64(b.ID)) })
	for _, j := range of {
		switch {
		case c.Verb == Drop && j.state == running:
			j.dropped = true
			s.actions = append(s.actions, Stop{j.ID})
		case c.Verb == Drop:
			s.removeWaiting(j)
			s.finish(j, true)
		case j.state == parked, j.state == delayed, j.state == awaitingRetryBudget:
			s.removeWaiting(j)
			j.failures, j.lastFailure = 0, ""
			s.ready(j)
		}
	}
}

// Next is when Step wants to be called at the latest.
func (s *Scheduler) Next() time.Duration {
	next := never
	if j, ok := s.delayed.top(); ok {
		next = j.delayedUntil
	}
	sooner := func(t time.Duration) {
		if t > s.now && t < next {
			next = t
		}
	}
	for _, k := range s.kinds {
		if k.waiting.Len() > 0 && k.retryBudget.credit < 1 {
			sooner(s.now + time.Duration((1-k.retryBudget.credit)*float64(creditInterval)) + time.Millisecond)
		}
	}
	for _, b := range s.breakers {
		if b.open && len(b.waiting) > 0 && b.trial == 0 {
			sooner(b.until)
		}
	}
	for o := range s.throttledOwners {
		if !o.paused && len(o.throttledQueues) > 0 {
			sooner(addSaturating(s.now, o.budget.timeToSolvent(1)))
		}
	}
	if s.readyCount == 0 || s.settings.Limits.Running > 0 && s.runningCount >= s.settings.Limits.Running {
		return next
	}
	if !s.totalBudget.solvent() {
		sooner(addSaturating(s.now, s.totalBudget.timeToSolvent(s.allowance)))
		return next
	}
	for p := range s.levels {
		for _, l := range s.levels[p] {
			k := l.kind
			if k.paused || k.Running > 0 && k.running >= k.Running {
				continue
			}
			if k.windowOpensAt > s.now {
				sooner(k.windowOpensAt)
			} else if !k.budget.solvent() {
				sooner(addSaturating(s.now, k.budget.timeToSolvent(s.allowance)))
			}
		}
	}
	return next
}

func addSaturating(t, d time.Duration) time.Duration {
	if d > never-t {
		return never
	}
	return t + d
}
