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
		Fails  int    // in a row, as an earlier process left it
		Parked string // and why it is parked; empty: it is not
	}
	// Ended says how a slice ended.
	Ended struct {
		ID    ID
		Used  Cost
		More  bool          // there is more of it
		After time.Duration // but not before so long
		Err   string        // it failed; empty: it did not
		Park  bool          // and is not to be tried again by itself
	}
	// Allow is the part of its budget that pressure leaves to all work.
	Allow struct{ Part float64 }
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

func (Submit) event()    {}
func (Ended) event()     {}
func (Allow) event()     {}
func (Command) event()   {}
func (Configure) event() {}

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
	// Refuse turns a job away: nothing of it is held.
	Refuse struct {
		ID  ID
		Why string
	}
	// Over says that a job is done, or dropped: it can be forgotten.
	Over struct {
		ID      ID
		Dropped bool
	}
	// Park says that a job waits for an operator.
	Park struct {
		ID  ID
		Why string
	}
	// Stop has the slice that runs called off: its job was dropped.
	Stop struct{ ID ID }
)

func (Start) action()  {}
func (Refuse) action() {}
func (Over) action()   {}
func (Park) action()   {}
func (Stop) action()   {}

// state is where a job is.
type state int

const (
	ready    state = iota // in its owner's queue
	delayed               // until a time
	running               // a slice of it
	locked                // it waits for a lock
	broken                // it waits for a resource
	credited              // it waits for its kind's retry budget
	parked                // it waits for an operator
)

type job struct {
	Job
	state   state
	seq     uint64        // the order in which jobs became ready
	since   time.Duration // it has been ready
	until   time.Duration // delayed
	fails   int
	err     string
	lent    Priority // its own, or that of one that waits for its lock
	holds   bool     // its lock
	dropped bool     // while it runs
	retry   bool     // its next start is a further try
	used    Cost
	slices  int
	queue   *queue
	at      int           // in its queue's or the delayed heap
	place   *list.Element // among those that wait for the same
}

// queue is the ready jobs of one owner, kind and priority.
type queue struct {
	owner *owner
	level *level
	jobs  ordered[*job]
	key   float64 // the owner's virtual time when it was put in order
	at    int     // in the level's heap; -1: the owner is in debt
}

// level is the ready jobs of one kind and priority.
type level struct {
	kind   *kind
	queues map[string]*queue
	order  ordered[*queue]
}

type owner struct {
	name    string
	weight  float64
	virtual float64
	budget  *buckets
	jobs    int
	active  int // ready or running
	paused  bool
	rests   int      // its place among the idle; -1: it has jobs
	debtors []*queue // of this owner, taken out of their levels' orders while it is in debt or paused
	used    Cost
}

type kind struct {
	name string
	Kind
	known   bool
	budget  *buckets
	running int
	paused  bool
	opens   time.Duration // its window, when closed
	credit  retryBudget
	earned  time.Duration
	waiting *list.List // jobs that wait for credit
	used    Cost
}

type lock struct {
	holder  *job
	waiters *list.List
}

// lowerEvery is how many starts there are to one of a lower priority than the best that has something to run.
const (
	lowerEvery  = 8
	never       = time.Duration(math.MaxInt64)
	leastCharge = 1e-6 // of a second, for a slice that used nothing: owners then take turns
)

// Scheduler decides what runs next. It is for one goroutine; times are of one clock that does not go back, and Step's wall
// time is that of the world, for windows.
type Scheduler struct {
	set    Settings
	random func() float64

	now     time.Duration
	wall    time.Time
	jobs    map[ID]*job
	bytes   int64
	delayed ordered[*job]
	levels  [priorities]map[string]*level
	kinds   map[string]*kind
	owners  map[string]*owner
	waiting int // jobs that are ready
	locks   map[string]*lock
	breaks  map[string]*breaker
	indebt  map[*owner]struct{}
	idle    ordered[*owner] // without jobs, and ahead of the others: they are forgotten when those have caught up
	all     *buckets
	pool    [Currencies]float64
	allow   float64
	virtual float64
	running int
	starts  uint64
	lowers  uint64 // of them, those of a lower priority
	seq     uint64
	acts    []Action
}

// New makes a scheduler without jobs. random gives numbers from 0 to under 1.
func New(set Settings, random func() float64) *Scheduler {
	s := &Scheduler{set: set, random: random, jobs: map[ID]*job{}, kinds: map[string]*kind{}, owners: map[string]*owner{},
		locks: map[string]*lock{}, breaks: map[string]*breaker{}, indebt: map[*owner]struct{}{}, allow: 1, all: newBuckets(set.Rates, 0)}
	s.delayed = ordered[*job]{less: func(a, b *job) bool { return a.until < b.until || a.until == b.until && a.ID < b.ID }, put: func(j *job, at int) { j.at = at }}
	s.idle = ordered[*owner]{less: func(a, b *owner) bool { return a.virtual < b.virtual }, put: func(o *owner, at int) { o.rests = at }}
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
	s.acts = nil
	s.fill()
	for _, e := range events {
		switch e := e.(type) {
		case Submit:
			s.submit(e)
		case Ended:
			s.ended(e)
		case Allow:
			s.allowed(e.Part)
		case Command:
			s.command(e)
		case Configure:
			s.configure(e.Settings)
		}
	}
	s.wake()
	for s.start() {
	}
	s.forget()
	return s.acts
}

// forget drops owners without jobs, once that changes nothing: one that used more than its part, or is in debt or paused,
// would come back without that.
func (s *Scheduler) forget() {
	if len(s.jobs) == 0 {
		for _, o := range s.idle.list {
			s.virtual = max(s.virtual, o.virtual)
		}
	}
	for {
		o, ok := s.idle.top()
		if !ok || o.virtual > s.virtual || o.paused || !o.budget.free() {
			return
		}
		s.idle.remove(0)
		delete(s.owners, o.name)
		delete(s.indebt, o)
	}
}

// fill adds to the buckets. What a kind does not use goes to the pool, as far as that has room for a second of all of it.
func (s *Scheduler) fill() {
	for i := range s.all {
		s.all[i].fill(s.now, s.allow)
	}
	for _, k := range s.kinds {
		for i := range k.budget {
			if spilt := k.budget[i].fill(s.now, s.allow); spilt > 0 && s.allow == 1 {
				s.pool[i] = min(s.pool[i]+spilt, s.set.Rates[i].PerSecond)
			}
		}
		if d := s.now - k.earned; d > 0 {
			k.credit.credit = min(k.credit.credit+float64(d)/float64(earnBack), max(k.Retry.Credit, 1))
			k.earned = s.now
		}
	}
	for o := range s.indebt {
		for i := range o.budget {
			o.budget[i].fill(s.now, 1)
		}
	}
}

// allowed books pressure. Under any, what was lent is back at once.
func (s *Scheduler) allowed(part float64) {
	s.allow = min(max(part, 0), 1)
	if s.allow < 1 {
		s.pool = [Currencies]float64{}
	}
}

func (s *Scheduler) configure(set Settings) {
	for i := range s.all {
		level := s.all[i].level
		s.all[i] = bucket{rate: set.Rates[i], level: min(level, set.Rates[i].Burst), at: s.now}
	}
	s.set = set
	for name := range set.Kinds {
		s.kind(name)
	}
	for _, k := range s.kinds {
		s.setKind(k)
	}
	for _, o := range s.owners {
		o.weight = s.weight(o.name)
		for i := range o.budget {
			o.budget[i] = bucket{rate: set.Owners[i], level: min(o.budget[i].level, set.Owners[i].Burst), at: s.now}
		}
	}
}

func (s *Scheduler) weight(name string) float64 {
	if w := s.set.Weights[name]; w > 0 {
		return w
	}
	return 1
}

func (s *Scheduler) setKind(k *kind) {
	k.Kind, k.known = s.set.Kinds[k.name]
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
	k.opens = 0
}

func (s *Scheduler) kind(name string) *kind {
	k := s.kinds[name]
	if k == nil {
		k = &kind{name: name, waiting: list.New(), earned: s.now}
		s.setKind(k)
		k.credit.credit = max(k.Retry.Credit, 1)
		s.kinds[name] = k
	}
	return k
}

func (s *Scheduler) owner(name string) *owner {
	o := s.owners[name]
	if o == nil {
		o = &owner{name: name, weight: s.weight(name), virtual: s.virtual, budget: newBuckets(s.set.Owners, s.now), rests: -1}
		s.owners[name] = o
	}
	return o
}

// Room says why jobs can't be taken on; empty if they can.
func (s *Scheduler) Room(jobs ...Job) string {
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
		l := &s.set.Limits
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
		s.acts = append(s.acts, Refuse{e.ID, "its number is taken"})
		return
	}
	if why := s.Room(e.Job); why != "" {
		s.acts = append(s.acts, Refuse{e.ID, why})
		return
	}
	j := &job{Job: e.Job, fails: e.Fails, err: e.Parked, lent: e.Priority, at: -1}
	s.jobs[j.ID] = j
	s.bytes += j.Size
	o := s.owner(j.Owner)
	if o.jobs++; o.rests >= 0 {
		s.idle.remove(o.rests)
	}
	if e.Parked != "" {
		j.state = parked
		return
	}
	s.later(j, j.Earliest)
}

// later has a job become ready at a time.
func (s *Scheduler) later(j *job, at time.Duration) {
	if at > s.now {
		j.state, j.until = delayed, at
		s.delayed.add(j)
		return
	}
	s.ready(j)
}

// ready puts a job into its owner's queue.
func (s *Scheduler) ready(j *job) {
	j.state = ready
	s.seq++
	j.seq, j.since = s.seq, s.now
	s.enqueue(j)
}

func (s *Scheduler) enqueue(j *job) {
	l := s.levels[j.lent][j.Kind]
	if l == nil {
		l = &level{kind: s.kind(j.Kind), queues: map[string]*queue{}}
		l.order = ordered[*queue]{less: func(a, b *queue) bool {
			return a.key < b.key || a.key == b.key && a.owner.name < b.owner.name
		}, put: func(q *queue, at int) { q.at = at }}
		s.levels[j.lent][j.Kind] = l
	}
	q := l.queues[j.Owner]
	if q == nil {
		q = &queue{owner: s.owner(j.Owner), level: l, at: -1}
		q.jobs = ordered[*job]{less: before, put: func(j *job, at int) { j.at = at }}
		l.queues[j.Owner] = q
	}
	o := q.owner
	if o.active == 0 { // it was idle: it has no claim to what it did not use
		o.virtual = max(o.virtual, s.virtual)
	}
	o.active++
	s.waiting++
	j.queue = q
	q.jobs.add(j)
	if q.jobs.Len() == 1 {
		s.order(q)
	}
}

// order puts a queue among those of its level, or aside where its owner may not start anything.
func (s *Scheduler) order(q *queue) {
	if q.owner.paused || !q.owner.budget.free() {
		q.owner.debtors = append(q.owner.debtors, q)
		s.indebt[q.owner] = struct{}{}
		return
	}
	q.key = q.owner.virtual
	q.level.order.add(q)
}

// before is the order within a queue: what has the least time to spare, then what came first.
func before(a, b *job) bool {
	x, y := a.laxity(), b.laxity()
	return x < y || x == y && a.seq < b.seq
}

// laxity is when it must have begun; the order of two never changes as time passes.
func (j *job) laxity() time.Duration {
	if j.Deadline == 0 {
		return never
	}
	return j.Deadline - j.Left
}

// dequeue takes a ready job out of all that it stands in.
func (s *Scheduler) dequeue(j *job) {
	q := j.queue
	q.jobs.remove(j.at)
	q.owner.active--
	s.waiting--
	j.queue = nil
	if q.jobs.Len() > 0 {
		return
	}
	if q.at >= 0 {
		q.level.order.remove(q.at)
	} else {
		q.owner.debtors = slices.DeleteFunc(q.owner.debtors, func(x *queue) bool { return x == q })
	}
	delete(q.level.queues, q.owner.name)
	if len(q.level.queues) == 0 {
		delete(s.levels[j.lent], j.Kind)
	}
}

// wake makes ready what has waited for its time, its credit, or its resource.
func (s *Scheduler) wake() {
	for {
		j, ok := s.delayed.top()
		if !ok || j.until > s.now {
			break
		}
		s.delayed.remove(0)
		s.ready(j)
	}
	for _, k := range s.kinds {
		for e := k.waiting.Front(); e != nil && k.credit.credit >= 1; e = k.waiting.Front() {
			k.credit.credit--
			if j, ok := k.waiting.Remove(e).(*job); ok {
				j.place = nil
				s.ready(j)
			}
		}
	}
	for _, b := range s.breaks {
		if b.open && b.trying == 0 && s.now >= b.until && len(b.waiting) > 0 { // one tries
			j := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.trying = j.ID
			s.ready(j)
		}
	}
	for o := range s.indebt {
		if o.paused || !o.budget.free() {
			continue
		}
		delete(s.indebt, o)
		back := o.debtors
		o.debtors = nil
		for _, q := range back {
			s.order(q)
		}
	}
}

// may reports whether a kind may start a slice.
func (s *Scheduler) may(k *kind) bool {
	if k.paused || k.Running > 0 && k.running >= k.Running {
		return false
	}
	if k.Window != nil {
		open, next := k.Window.Open(s.wall)
		if !open {
			k.opens = s.now + next.Sub(s.wall)
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
	if s.set.Limits.Running > 0 && s.running >= s.set.Limits.Running || !s.all.free() {
		return false
	}
	j := s.next()
	if j == nil {
		return false
	}
	s.dequeue(j)
	if j.Lock != "" && !j.holds {
		l := s.locks[j.Lock]
		if l == nil {
			l = &lock{waiters: list.New()}
			s.locks[j.Lock] = l
		}
		if l.holder != nil {
			j.state = locked
			j.place = l.waiters.PushBack(j)
			s.lend(l.holder, j.lent)
			return true
		}
		l.holder, j.holds = j, true
	}
	if j.Resource != "" {
		b := s.breaks[j.Resource]
		if b == nil {
			b = &breaker{}
			s.breaks[j.Resource] = b
		}
		if !b.passes(s.now, j.ID) {
			j.state = broken
			b.waiting = append(b.waiting, j)
			return true
		}
	}
	k, o := s.kind(j.Kind), s.owner(j.Owner)
	j.state = running
	s.running++
	k.running++
	o.active++
	s.starts++
	s.virtual = max(s.virtual, o.virtual)
	s.charge(j, k, o, j.Slice, Cost{})
	s.acts = append(s.acts, Start{j.ID})
	return true
}

// next is the job that goes next: by priority, fairness and time to spare. Every so often it is one of a lower priority, each
// of those that have any in turn: within a priority the turns are those of fairness always.
func (s *Scheduler) next() *job {
	var best *queue
	var lower [priorities]*queue
	n := 0
	for p := range s.levels {
		q := s.turn(p)
		switch {
		case q == nil:
		case best == nil:
			best = q
			if s.starts%lowerEvery != lowerEvery-1 {
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
		best = lower[s.lowers%uint64(n)]
		s.lowers++
	}
	j, _ := best.jobs.top()
	return j
}

// turn is the queue whose turn it is in a priority; nil if nothing there may run.
func (s *Scheduler) turn(p int) *queue {
	var best *queue
	for _, l := range s.levels[p] {
		if !s.may(l.kind) {
			continue
		}
		if q := s.first(l); q != nil && (best == nil || q.key < best.key || q.key == best.key && q.name() < best.name()) {
			best = q
		}
	}
	return best
}

func (q *queue) name() string { return q.owner.name + "\x00" + q.level.kind.name }

// first is the queue of the owner that is furthest behind. Virtual times grow while a queue waits: it is put in order again
// when that shows at the top.
func (s *Scheduler) first(l *level) *queue {
	for {
		q, ok := l.order.top()
		if !ok {
			return nil
		}
		if q.owner.paused || !q.owner.budget.free() {
			l.order.remove(0)
			s.order(q)
			continue
		}
		if q.key != q.owner.virtual {
			q.key = q.owner.virtual
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
	s.all.take(d)
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
	was, is := s.set.Rates.share(before), s.set.Rates.share(used)
	if before == (Cost{}) {
		is += leastCharge
	}
	o.virtual += (is - was) / o.weight
	if !o.budget.free() {
		s.indebt[o] = struct{}{}
	}
}

// lend gives the one that holds a lock the priority of one that waits for it.
func (s *Scheduler) lend(j *job, p Priority) {
	if p >= j.lent {
		return
	}
	if j.state == ready {
		s.dequeue(j)
		j.lent = p
		s.enqueue(j) // in its turn: it has been ready since it was
		return
	}
	j.lent = p
}

func (s *Scheduler) ended(e Ended) {
	j := s.jobs[e.ID]
	if j == nil || j.state != running {
		return
	}
	k, o := s.kind(j.Kind), s.owner(j.Owner)
	s.running--
	k.running--
	o.active--
	s.charge(j, k, o, e.Used, j.Slice)
	j.used.Add(e.Used)
	k.used.Add(e.Used)
	o.used.Add(e.Used)
	j.slices++
	failed := e.Err != ""
	if j.Resource != "" {
		if b := s.breaks[j.Resource]; b != nil {
			b.ended(s.now, j.ID, failed, &s.set.Breaker)
			if !b.open { // all that waited may try
				back := b.waiting
				b.waiting = nil
				for _, w := range back {
					s.ready(w)
				}
				if b.fails == 0 {
					delete(s.breaks, j.Resource)
				}
			}
		}
	}
	switch {
	case j.dropped:
		s.over(j, true)
	case failed:
		j.fails++
		j.err = e.Err
		if e.Park || k.Retry.Fails > 0 && j.fails >= k.Retry.Fails {
			s.park(j, e.Err)
			return
		}
		j.retry = true
		s.again(j, k)
	case e.More:
		k.credit.succeeded(&k.Retry, j.retry)
		j.fails, j.err, j.retry = 0, "", false
		s.later(j, s.now+max(0, e.After))
	default:
		k.credit.succeeded(&k.Retry, j.retry)
		s.over(j, false)
	}
}

// again has a failed job wait for its pause, and then for its kind's credit.
func (s *Scheduler) again(j *job, k *kind) {
	pause := k.Retry.pause(j.fails, s.random())
	if k.credit.credit >= 1 {
		k.credit.credit--
		s.later(j, s.now+pause)
		return
	}
	j.state = credited
	j.place = k.waiting.PushBack(j)
}

func (s *Scheduler) park(j *job, why string) {
	s.unlock(j)
	j.state, j.err = parked, why
	s.acts = append(s.acts, Park{j.ID, why})
}

// unlock lets go of a job's lock; the first of the best priority that waits for it is ready.
func (s *Scheduler) unlock(j *job) {
	j.lent = j.Priority
	if !j.holds {
		return
	}
	j.holds = false
	l := s.locks[j.Lock]
	l.holder = nil
	var next *list.Element
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if next == nil || e.Value.(*job).lent < next.Value.(*job).lent {
			next = e
		}
	}
	if next == nil {
		delete(s.locks, j.Lock)
		return
	}
	w, _ := l.waiters.Remove(next).(*job)
	w.place = nil
	l.holder, w.holds = w, true
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if o, ok := e.Value.(*job); ok {
			w.lent = min(w.lent, o.lent)
		}
	}
	s.ready(w)
}

// over ends a job.
func (s *Scheduler) over(j *job, dropped bool) {
	s.unlock(j)
	if j.Resource != "" {
		if b := s.breaks[j.Resource]; b != nil && b.trying == j.ID {
			b.trying = 0
		}
	}
	delete(s.jobs, j.ID)
	s.bytes -= j.Size
	o := s.owner(j.Owner)
	if o.jobs--; o.jobs == 0 {
		s.idle.add(o)
	}
	s.acts = append(s.acts, Over{j.ID, dropped})
}

// out takes a job that does not run out of where it waits.
func (s *Scheduler) out(j *job) {
	switch j.state {
	case ready:
		s.dequeue(j)
	case delayed:
		s.delayed.remove(j.at)
	case locked:
		s.locks[j.Lock].waiters.Remove(j.place)
		j.place = nil
	case credited:
		s.kind(j.Kind).waiting.Remove(j.place)
		j.place = nil
	case broken:
		b := s.breaks[j.Resource]
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
				s.indebt[o] = struct{}{} // wake looks at it
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
			s.acts = append(s.acts, Stop{j.ID})
		case c.Verb == Drop:
			s.out(j)
			s.over(j, true)
		case j.state == parked, j.state == delayed, j.state == credited:
			s.out(j)
			j.fails, j.err = 0, ""
			s.ready(j)
		}
	}
}

// Next is when Step wants to be called at the latest.
func (s *Scheduler) Next() time.Duration {
	next := never
	if j, ok := s.delayed.top(); ok {
		next = j.until
	}
	sooner := func(t time.Duration) {
		if t > s.now && t < next {
			next = t
		}
	}
	for _, k := range s.kinds {
		if k.waiting.Len() > 0 && k.credit.credit < 1 {
			sooner(s.now + time.Duration((1-k.credit.credit)*float64(earnBack)) + time.Millisecond)
		}
	}
	for _, b := range s.breaks {
		if b.open && len(b.waiting) > 0 && b.trying == 0 {
			sooner(b.until)
		}
	}
	for o := range s.indebt {
		if !o.paused && len(o.debtors) > 0 {
			sooner(add(s.now, o.budget.when(1)))
		}
	}
	if s.waiting == 0 || s.set.Limits.Running > 0 && s.running >= s.set.Limits.Running {
		return next
	}
	if !s.all.free() {
		sooner(add(s.now, s.all.when(s.allow)))
		return next
	}
	for p := range s.levels {
		for _, l := range s.levels[p] {
			k := l.kind
			if k.paused || k.Running > 0 && k.running >= k.Running {
				continue
			}
			if k.opens > s.now {
				sooner(k.opens)
			} else if !k.budget.free() {
				sooner(add(s.now, k.budget.when(s.allow)))
			}
		}
	}
	return next
}

func add(t, d time.Duration) time.Duration {
	if d > never-t {
		return never
	}
	return t + d
}
