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

// cluster simulates senders in virtual time, with the real module, the real merge of facts and the real change log, and no sockets. A
// tenth of the receivers is out of service for a while. The network of one sender may be broken, so that all its calls fail.
type cluster struct {
	senders, receivers int
	rate               float64 // messages a second of each sender
	exchanges          bool    // the senders exchange facts
	broken             bool    // the last sender's network is broken
	seconds            int

	brains       []*brain.Brain
	extensions   []*peersExtension
	changeLogs   []*knowledge.ChangeLog
	versionsSeen [][]uint64 // versions of the change logs, by receiving and by sending sender
	queue        queue
	lastSeq      int

	calls, failed, served int // of the senders with a working network
	facts                 int // sent between the senders
}

const (
	tick           = 20 * time.Millisecond
	servedCallTime = 40 * time.Millisecond // of a call that is served
	failedCallTime = 5 * time.Millisecond  // of a call that fails
	exchangeDelay  = 50 * time.Millisecond // of facts between two senders
	outageStart    = 5 * time.Second
	outageEnd      = 20 * time.Second
	start          = time.Hour
)

type queued struct {
	at      time.Duration
	seq     int
	target  int
	content any // a brain.Event, or facts
}

type queue []queued

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(queued)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (c *cluster) schedule(at time.Duration, to int, e any) {
	c.lastSeq++
	heap.Push(&c.queue, queued{at, c.lastSeq, to, e})
}

func (c *cluster) isOut(receiver int, now time.Duration) bool {
	return receiver%10 == 0 && now >= start+outageStart && now < start+outageEnd
}

func (c *cluster) simulate(t testing.TB, s *Sender, seed uint64) {
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
		for len(c.queue) > 0 && c.queue[0].at <= now {
			q := heap.Pop(&c.queue).(queued)
			if facts, ok := q.content.([]knowledge.Fact); ok {
				events[q.target] = append(events[q.target], c.extensions[q.target].handle(peerFacts{facts}, now)...)
			} else {
				events[q.target] = append(events[q.target], q.content.(brain.Event))
			}
		}
		for i, b := range c.brains {
			for rng.Float64() < c.rate*tick.Seconds() {
				id++
				events[i] = append(events[i], brain.Message{ID: id, Class: 2, Destination: brain.DestinationID(rng.IntN(c.receivers)), Deadline: now + 10*time.Second})
			}
			connected := !c.broken || i < c.senders-1
			for _, a := range b.Step(now, append(events[i], brain.TimerFired{})) {
				call, ok := a.(brain.Send)
				if !ok {
					continue
				}
				end := brain.AttemptResult{Message: call.Message, Attempt: tries[call.Message], Endpoint: call.Endpoint, Outcome: brain.Served, Final: true, Elapsed: servedCallTime}
				tries[call.Message]++
				if !connected || c.isOut(int(call.Endpoint)-1, now) {
					end.Outcome, end.Final, end.Elapsed = brain.ConnectFailed, false, failedCallTime
				}
				c.schedule(now+end.Elapsed, i, end)
				if connected {
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

// publish sends the other senders the facts that one sender has observed since its last publish.
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
		c.schedule(now+exchangeDelay, to, news)
	}
}

// Senders that exchange facts make fewer failing calls while receivers are out of service, and deliver at least 99.5% as many
// messages. A sender whose own network is broken considers every receiver out of service; its facts must not measurably reduce what
// the others deliver.
func TestCluster_InVirtualTime(t *testing.T) {
	t.Parallel()
	s := newTestSender(t, st.NewPlatform(t), nil)
	for _, senders := range []int{3, 12} {
		simulate := func(exchange, broken bool) *cluster {
			c := &cluster{senders: senders, receivers: 60, rate: 40, exchanges: exchange, broken: broken, seconds: 30}
			c.simulate(t, s, 1)
			return c
		}
		separate, exchanging, withBroken := simulate(false, false), simulate(true, false), simulate(true, true)
		t.Logf("%d senders: without exchange %d of %d calls fail, with exchange %d of %d; %d facts sent", senders, separate.failed, separate.calls, exchanging.failed, exchanging.calls, exchanging.facts)
		if exchanging.failed*4 > separate.failed*3 {
			t.Errorf("%d senders: with exchange %d calls fail, without %d", senders, exchanging.failed, separate.failed)
		}
		if exchanging.served*1000 < separate.served*995 {
			t.Errorf("%d senders: with exchange %d calls are served, without %d", senders, exchanging.served, separate.served)
		}
		// What the other senders serve when no network is broken.
		expected := float64(exchanging.served) * float64(senders-1) / float64(senders)
		t.Logf("%d senders: with one broken network the others serve %.4f of what they serve without", senders, float64(withBroken.served)/expected)
		if float64(withBroken.served) < expected*0.98 {
			t.Errorf("%d senders: with one broken network the others serve %d calls, without %.0f", senders, withBroken.served, expected)
		}
	}
}

// BenchmarkCluster reports, for each size, the ratio of failed calls with exchange to those without, and the facts sent per second for
// each pair of senders.
func BenchmarkCluster(b *testing.B) {
	platform := st.NewPlatform(b)
	for _, size := range [][2]int{{3, 500}, {30, 500}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				var runs [2]cluster
				for i := range runs {
					runs[i] = cluster{senders: size[0], receivers: size[1], rate: 60, exchanges: i == 1, seconds: 30}
					runs[i].simulate(b, newTestSender(b, platform, nil), 1)
				}
				b.ReportMetric(float64(runs[1].failed)/float64(runs[0].failed), "failed-ratio")
				b.ReportMetric(float64(runs[1].facts)/float64(size[0]*size[0]*30), "facts/s/pair")
			}
		})
	}
}
