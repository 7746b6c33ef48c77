package sender

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// cluster is senders in virtual time: the real module, the real merge and what is told, and no sockets. A tenth of the
// receivers is out for a while; one sender may have a line that is broken, so that all its calls fail.
type cluster struct {
	senders, receivers int
	rate               float64 // messages a second of each sender
	exchanges          bool    // they tell each other
	broken             bool    // the last sender's line is broken
	seconds            int

	brains       []*brain.Brain
	extensions   []*peersExtension
	changeLogs   []*knowledge.ChangeLog
	versionsSeen [][]uint64 // versions, by listener and teller
	agenda       queue
	n            int

	calls, failed, served int // of the senders whose line is whole
	facts                 int // told
}

const (
	tick    = 20 * time.Millisecond
	takes   = 40 * time.Millisecond // a call
	fails   = 5 * time.Millisecond  // one that fails
	travels = 50 * time.Millisecond // what is told
	outFrom = 5 * time.Second
	outTo   = 20 * time.Second
	start   = time.Hour
)

type queued struct {
	at time.Duration
	n  int
	to int
	e  any // a brain.Event, or facts
}

type queue []queued

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(queued)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (c *cluster) put(at time.Duration, to int, e any) {
	c.n++
	heap.Push(&c.agenda, queued{at, c.n, to, e})
}

func (c *cluster) out(receiver int, now time.Duration) bool {
	return receiver%10 == 0 && now >= start+outFrom && now < start+outTo
}

func (c *cluster) play(t testing.TB, s *Sender, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	list := brain.EndpointUpdate{Complete: true}
	for r := range c.receivers {
		list.Endpoints = append(list.Endpoints, brain.Endpoint{ID: brain.EndpointID(r + 1), Destination: brain.DestinationID(r), Ready: true})
		s.endpoints.Destinations[uint32(r)] = struct{}{}
	}
	settings := s.config.Settings
	settings.Senders, settings.Slots, settings.MaxPending = c.senders, 50, 100000
	for i := range c.senders {
		c.brains = append(c.brains, brain.New(settings, seed*1000+uint64(i)))
		c.extensions = append(c.extensions, &peersExtension{s: s, view: knowledge.NewView(10000), reports: knowledge.NewReports(10000), unlisted: map[knowledge.Subject]struct{}{}})
		c.changeLogs = append(c.changeLogs, knowledge.NewChangeLog())
		c.versionsSeen = append(c.versionsSeen, make([]uint64, c.senders))
		c.brains[i].Step(start, []brain.Event{list})
	}
	id, tries := brain.MessageID(0), map[brain.MessageID]int{}
	for now := start; now < start+time.Duration(c.seconds)*time.Second; now += tick {
		events := make([][]brain.Event, c.senders)
		for len(c.agenda) > 0 && c.agenda[0].at <= now {
			q := heap.Pop(&c.agenda).(queued)
			if facts, ok := q.e.([]knowledge.Fact); ok {
				events[q.to] = append(events[q.to], c.extensions[q.to].handle(peerFacts{facts}, now)...)
			} else {
				events[q.to] = append(events[q.to], q.e.(brain.Event))
			}
		}
		for i, b := range c.brains {
			for rng.Float64() < c.rate*tick.Seconds() {
				id++
				events[i] = append(events[i], brain.Message{ID: id, Class: 2, Destination: brain.DestinationID(rng.IntN(c.receivers)), Deadline: now + 10*time.Second})
			}
			line := !c.broken || i < c.senders-1
			for _, a := range b.Step(now, append(events[i], brain.TimerFired{})) {
				call, ok := a.(brain.Send)
				if !ok {
					continue
				}
				end := brain.AttemptResult{Message: call.Message, Attempt: tries[call.Message], Endpoint: call.Endpoint, Outcome: brain.Served, Final: true, Elapsed: takes}
				tries[call.Message]++
				if !line || c.out(int(call.Endpoint)-1, now) {
					end.Outcome, end.Final, end.Elapsed = brain.ConnectFailed, false, fails
				}
				c.put(now+end.Elapsed, i, end)
				if line {
					c.calls++
					if end.Outcome == brain.Served {
						c.served++
					} else {
						c.failed++
					}
				}
			}
			if c.exchanges && (now/tick+time.Duration(i))%50 == 0 { // once a second
				c.publish(i, now)
			}
		}
	}
}

// publish passes on what one sender has seen since each other was told.
func (c *cluster) publish(from int, now time.Duration) {
	var all []knowledge.Fact
	for _, k := range c.brains[from].Observations() {
		all = append(all, factsOf(k, "", now)...)
	}
	c.changeLogs[from].Update(all, now)
	for to := range c.senders {
		if to == from {
			continue
		}
		news, version := c.changeLogs[from].After(c.versionsSeen[to][from], 1<<30)
		c.versionsSeen[to][from] = version
		if len(news) == 0 {
			continue
		}
		for i := range news {
			news[i].Source = knowledge.Source{Name: fmt.Sprint("n", from), Incarnation: 1}
		}
		c.facts += len(news)
		c.put(now+travels, to, news)
	}
}

// Senders that tell each other make fewer calls that fail while receivers are out, and deliver no less; one whose own
// line is broken, and who holds every receiver to be out, costs the others nothing that can be seen.
func TestCluster_InVirtualTime(t *testing.T) {
	t.Parallel()
	s := newTest(t, st.NewPlatform(t), nil)
	for _, senders := range []int{3, 12} {
		play := func(share, broken bool) *cluster {
			c := &cluster{senders: senders, receivers: 60, rate: 40, exchanges: share, broken: broken, seconds: 30}
			c.play(t, s, 1)
			return c
		}
		alone, together, wrong := play(false, false), play(true, false), play(true, true)
		t.Logf("%d senders: alone %d of %d calls fail, together %d of %d; %d facts told", senders, alone.failed, alone.calls, together.failed, together.calls, together.facts)
		if together.failed*4 > alone.failed*3 {
			t.Errorf("%d senders: together %d calls fail, alone %d", senders, together.failed, alone.failed)
		}
		if together.served*1000 < alone.served*995 {
			t.Errorf("%d senders: together %d calls are served, alone %d", senders, together.served, alone.served)
		}
		// As many as without the one whose line is broken, from the others.
		whole := float64(together.served) * float64(senders-1) / float64(senders)
		t.Logf("%d senders: with one whose line is broken the others serve %.4f of what they serve without", senders, float64(wrong.served)/whole)
		if float64(wrong.served) < whole*0.98 {
			t.Errorf("%d senders: with one whose line is broken the others serve %d calls, without %.0f", senders, wrong.served, whole)
		}
	}
}

// BenchmarkCluster tells, for each size, the share of calls that fail together over alone, and what is told a second.
func BenchmarkCluster(b *testing.B) {
	raw := st.NewPlatform(b)
	for _, size := range [][2]int{{3, 500}, {30, 500}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				var runs [2]cluster
				for i := range runs {
					runs[i] = cluster{senders: size[0], receivers: size[1], rate: 60, exchanges: i == 1, seconds: 30}
					runs[i].play(b, newTest(b, raw, nil), 1)
				}
				b.ReportMetric(float64(runs[1].failed)/float64(runs[0].failed), "failed-ratio")
				b.ReportMetric(float64(runs[1].facts)/float64(size[0]*size[0]*30), "facts/s/pair")
			}
		})
	}
}
