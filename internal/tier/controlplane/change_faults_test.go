package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Durations of a run, in virtual time.
const (
	runTraffic      = 20 * time.Second        // time during which operators send
	runCallTimeout  = time.Second             // time-out of an operator's call
	runSync         = 4500 * time.Millisecond // from the return of a machine until the next may be lost
	runRecoveryTime = 8 * time.Second         // from the last fault until the final read
	runFinalWait    = 12 * time.Second        // time-out of the final read
)

var changeSeeds = flag.Int("order-seeds", 6, "runs of TestChanges_ThroughFaults")

// faultRun is one run: operators, machines that fail, and the history that the operators observe.
type faultRun struct {
	c     *cluster
	start time.Time

	mu      sync.Mutex
	history requestHistory
}

func (r *faultRun) now() time.Duration { return time.Since(r.start) }

// simulateFaults runs operators and faults drawn from a seed, and returns the history. The order of goroutines is not
// deterministic, so that a seed leads to similar histories, not to the same one.
func simulateFaults(t *testing.T, seed uint64, wrap func(Store) Store) (result requestHistory) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		random := rand.New(rand.NewPCG(seed, 1))
		c := &cluster{wrap: wrap}
		c.setUp(ctx, t, seed, 3+2*random.IntN(2))
		r := &faultRun{c: c, start: time.Now()}
		c.lossRate = random.Float64() * 0.5
		var all sync.WaitGroup
		for i := range 1 + random.IntN(8) {
			own := rand.New(rand.NewPCG(seed, uint64(i)+100))
			all.Go(func() { r.runOperator(fmt.Sprint("op", i), own) })
		}
		all.Go(func() { r.injectFaults(random) })
		all.Wait()
		r.injectFinalFault(random)
		<-time.After(runRecoveryTime)
		c.lossRate = 0
		r.readFinal(random)
		r.repeatAll(random)
		result = r.history
		c.stopAll()
		cancel()
		synctest.Wait()
	})
	return result
}

// runOperator runs one operator, which reads, changes the configuration that it read, and sometimes repeats an earlier change.
func (r *faultRun) runOperator(name string, random *rand.Rand) {
	known, revision := "", int64(0)
	for n := 0; r.now() < runTraffic; n++ {
		<-time.After(time.Duration(random.IntN(400)) * time.Millisecond)
		switch random.IntN(5) {
		case 0:
			r.repeatChange(r.anyChange(random), random, false)
		case 1:
			known, revision = r.readConfiguration(random, known, revision)
		default:
			o := &sentChange{baseBody: known, base: revision, revision: revision + 1 + random.Int64N(3), begun: r.now()}
			o.body = string(configuration(int(o.revision), fmt.Sprint(name, "-", n)))
			o.outcome = r.sendChange(o, random, 1+random.IntN(12))
			o.ended = r.now()
			r.mu.Lock()
			r.history.changes = append(r.history.changes, o)
			r.mu.Unlock()
			if o.outcome == confirmedOutcome {
				known, revision = o.body, o.revision
			} else {
				known, revision = r.readConfiguration(random, known, revision)
			}
		}
	}
}

// sendChange sends a change to random machines until it gets a final response or has no attempts left.
func (r *faultRun) sendChange(o *sentChange, random *rand.Rand, tries int) outcome {
	for range tries {
		status, _ := r.c.call(random, "POST", "Configuration.Replace", fmt.Sprint(o.base), o.body)
		switch {
		case status == http.StatusOK:
			return confirmedOutcome
		case status >= 400 && status < 500:
			return rejectedOutcome
		}
		<-time.After(time.Duration(50+random.IntN(300)) * time.Millisecond)
	}
	return unknownOutcome
}

// repeatChange repeats a change that got a final response. It must not repeat others, as their first response might still come.
func (r *faultRun) repeatChange(o *sentChange, random *rand.Rand, withoutFaults bool) {
	if o == nil {
		return
	}
	tries := 2
	if withoutFaults {
		tries = 40 // each goes to a random machine
	}
	again := repeatedChange{change: o, outcome: r.sendChange(o, random, tries), withoutFaults: withoutFaults}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.repeats = append(r.history.repeats, again)
}

func (r *faultRun) anyChange(random *rand.Rand) *sentChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history.changes) == 0 {
		return nil
	}
	o := r.history.changes[random.IntN(len(r.history.changes))]
	if o.outcome == unknownOutcome {
		return nil
	}
	return o
}

func (r *faultRun) readConfiguration(random *rand.Rand, known string, revision int64) (string, int64) {
	begun := r.now()
	status, body := r.c.call(random, "GET", "Configuration.Describe", "", "")
	switch status {
	case http.StatusNotFound:
		body = ""
	case http.StatusOK:
	default:
		return known, revision
	}
	r.mu.Lock()
	r.history.reads = append(r.history.reads, observedRead{body, begun, r.now()})
	r.mu.Unlock()
	return body, revisionOf(body)
}

func revisionOf(body string) int64 {
	var c struct{ Revision int64 }
	json.Unmarshal([]byte(body), &c)
	return c.Revision
}

func (r *faultRun) readFinal(random *rand.Rand) {
	for until := r.now() + runFinalWait; r.now() < until; {
		status, body := r.c.call(random, "GET", "Configuration.Describe", "", "")
		if status == http.StatusOK || status == http.StatusNotFound {
			if status == http.StatusOK {
				r.history.last = body
			}
			return
		}
		<-time.After(100 * time.Millisecond)
	}
	r.c.t.Error("the last configuration was not read back in time")
}

func (r *faultRun) repeatAll(random *rand.Rand) {
	for _, o := range r.history.changes {
		if o.outcome != unknownOutcome {
			r.repeatChange(o, random, true)
		}
	}
}

// call makes one call as an operator does: to a random machine, following at most two redirects. Status 0: there was no answer.
func (c *cluster) call(random *rand.Rand, method, path, base, body string) (status int, answered string) {
	m := c.machines[random.IntN(len(c.machines))]
	url := "http://" + m.ip + ":" + operatorPort + "/saffronyard/" + path
	for range 3 {
		response, err := c.ask(method, url, base, body)
		if err != nil || random.Float64() < c.lossRate {
			return 0, ""
		}
		if response.status != http.StatusTemporaryRedirect {
			return response.status, string(response.body)
		}
		url = response.location
	}
	return 0, ""
}

func (c *cluster) ask(method, url, base, body string) (response, error) {
	ctx, cancel := context.WithTimeout(c.ctx, runCallTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{}, err
	}
	if base != "" {
		q.Header.Set("X-Base-Revision", base)
	}
	reply, err := clusterTransport{c, "operator"}.RoundTrip(q)
	if err != nil {
		return response{}, err
	}
	all, err := io.ReadAll(reply.Body)
	return response{status: reply.StatusCode, body: all, location: reply.Header.Get("Location")}, errors.Join(err)
}

// injectFaults lets one machine after the other fail, most often the primary, and sometimes all at once.
func (r *faultRun) injectFaults(random *rand.Rand) {
	<-time.After(2 * time.Second)
	for r.now() < runTraffic-runSync {
		m := r.c.machines[random.IntN(len(r.c.machines))]
		if leader := r.c.leader(); leader != nil && random.IntN(10) < 7 {
			m = leader
		}
		down := time.Duration(random.IntN(2500)) * time.Millisecond
		switch random.IntN(9) {
		case 7: // a full disk
			m.disk.FailFrom(1+random.IntN(4), syscall.ENOSPC)
			<-time.After(down + time.Second)
			m.disk.Recover()
		case 8: // a disk that hangs
			release := m.disk.StallSync()
			<-time.After(down)
			release()
		case 0, 1:
			r.c.stop(m, random.IntN(2) == 0)
			<-time.After(down)
			r.c.start(m, false)
		case 2:
			r.c.stop(m, false)
			m.disk.Wipe()
			<-time.After(down)
			r.c.start(m, false)
		case 3:
			powerLoss := random.IntN(2) == 0
			for _, one := range r.c.machines {
				r.c.stop(one, powerLoss)
			}
			for _, one := range r.c.machines {
				r.c.start(one, false)
			}
		default:
			outbound, inbound := true, true
			switch random.IntN(4) {
			case 0:
				outbound = false
			case 1:
				inbound = false
			}
			r.c.partition(m, outbound, inbound, true)
			<-time.After(down + time.Second)
			r.c.partition(m, outbound, inbound, false)
		}
		<-time.After(runSync + time.Duration(random.IntN(1000))*time.Millisecond)
	}
}

// injectFinalFault ends the traffic: it kills all processes, or lets all lose power, and in half of the runs one disk is lost.
func (r *faultRun) injectFinalFault(random *rand.Rand) {
	<-time.After(time.Duration(random.IntN(300)) * time.Millisecond)
	wiped := random.IntN(2 * len(r.c.machines)) // no disk is lost in half of the runs
	powerLoss := random.IntN(2) == 0
	for i, m := range r.c.machines {
		r.c.stop(m, powerLoss)
		if i == wiped {
			m.disk.Wipe()
		}
	}
	for _, m := range r.c.machines {
		r.c.start(m, false)
	}
}

// TestChanges_ThroughFaults runs operators against the real consensus through kills, power losses, lost disks, network
// partitions and a final fault, and checks the history that they observe.
func TestChanges_ThroughFaults(t *testing.T) {
	for seed := range uint64(*changeSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := simulateFaults(t, seed, nil)
			for _, err := range h.check() {
				t.Error(err)
			}
			n := h.count()
			t.Logf("%+v", n)
			assert.Assert(t, n.confirmed > 5, "%+v", n)
		})
	}
}
