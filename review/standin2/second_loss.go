package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case second-loss: of four storage machines the operator has two emptied and takes them away; one may be lost. One of the two that are
// left freezes and wakes again. While it stands still, and turns are answered all the same, the other loses its disk: the two losses overlap,
// and one disk is lost. From recovery_time_s after both are back, turns must be served again, and none that was answered whole may be
// refused with 404 or 410.
//
// Trials: ONLY=freeze and ONLY=disk leave one of the two losses out.
const (
	lossTurnPause    = 50 * time.Millisecond // between the starts of two turns
	lossBefore       = 3 * time.Second       // of traffic before the freeze
	lossFreeze       = 3200 * time.Millisecond
	lossAnswered     = 20                      // turns answered whole since the store has stood still for lossLeast, before the disk is lost
	lossLeast        = 1500 * time.Millisecond // from the freeze on; the tier drops the frozen copy in this time
	lossMost         = 2900 * time.Millisecond // the disk is lost by then in any case
	lossDown         = 1 * time.Second         // of the machine whose disk is lost
	recoveryTime     = 12 * time.Second
	lossObserved     = 14 * time.Second // after that
	lossShare        = 0.25             // of the requests, by the rule
	retireSeconds    = 8                // duration_s of an order
	retireWait       = 20 * time.Second // for it to be completed
	lossContinuation = 3                // every third turn goes on from one that was answered whole
)

func init() { cases["second-loss"] = secondLoss }

// lossTraffic is the traffic of the case.
type lossTraffic struct {
	lab     *lab
	running sync.WaitGroup

	mu       sync.Mutex
	answered []answeredTurn
	since    time.Time // turns that are sent later than this are judged; zero: none yet
	sent     int
	served   int
	broken   []string
}

// answeredTurn is a turn that was answered whole.
type answeredTurn struct {
	program, id string
	ended       time.Time
}

// run sends turns until the given time.
func (t *lossTraffic) run(until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		t.running.Go(func() { t.turn(n) })
		time.Sleep(lossTurnPause)
	}
}

// turn sends one turn, and records its answer.
func (t *lossTraffic) turn(n int) {
	next := turn{program: "q" + newAttempt(), session: "s", input: fmt.Sprintf("asks %d\n", n), budget: 100_000, maxTokens: 20}
	var from answeredTurn
	t.mu.Lock()
	judged := !t.since.IsZero() && time.Now().After(t.since)
	if len(t.answered) > 0 && n%lossContinuation == 0 {
		from = t.answered[rand.N(len(t.answered))]
		next.program, next.previous = from.program, from.id
	}
	t.mu.Unlock()
	age := time.Since(from.ended)
	a := t.lab.send(context.Background(), t.lab.frontend(n%2), next)
	whole := a.status == http.StatusOK && a.complete
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole {
		t.answered = append(t.answered, answeredTurn{next.program, a.id, a.ended})
	}
	if from.id != "" && age < turnRetention && (a.status == http.StatusNotFound || a.status == http.StatusGone) {
		t.broken = append(t.broken, fmt.Sprintf("LOST: turn %s names %s, answered whole %.1f s before: %d", a.id, from.id, age.Seconds(), a.status))
	}
	if judged {
		t.sent++
		if whole {
			t.served++
		}
	}
}

// answeredSince counts the turns that were answered whole after a time.
func (t *lossTraffic) answeredSince(since time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, turn := range t.answered {
		if turn.ended.After(since) {
			n++
		}
	}
	return n
}

// secondLoss plays the case.
func secondLoss(l *lab, trouble bool) (verdict, error) {
	serve := func(w http.ResponseWriter, r *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range 4 {
			if !sendEvent(w, n+1, fmt.Sprintf("%s says %d", r.Header.Get("X-Attempt-Id"), n+1)) {
				panic(http.ErrAbortHandler)
			}
		}
	}
	for range 4 {
		if err := l.platform.add(serve); err != nil {
			return verdict{}, err
		}
	}
	if err := l.start(tierSize{cores: 3, stores: 4, gateways: 2}); err != nil {
		return verdict{}, err
	}
	if err := l.configure(); err != nil {
		return verdict{}, err
	}
	for _, m := range l.of("turn-store")[2:] {
		if err := l.retire(m); err != nil {
			return verdict{}, err
		}
	}
	traffic := &lossTraffic{lab: l}
	end := time.Now().Add(lossBefore + lossFreeze + lossDown + recoveryTime + lossObserved)
	traffic.running.Go(func() { traffic.run(end) })
	time.Sleep(lossBefore)
	only := os.Getenv("ONLY")
	stores := l.of("turn-store")
	frozen := time.Now()
	if trouble && only != "disk" {
		if err := stores[0].signal(syscall.SIGSTOP); err != nil {
			return verdict{}, err
		}
	}
	for {
		time.Sleep(20 * time.Millisecond)
		if still := time.Since(frozen); still > lossMost || still > lossLeast && traffic.answeredSince(frozen.Add(lossLeast)) >= lossAnswered {
			break
		}
	}
	l.note("%d turns were answered whole from %v after the freeze on", traffic.answeredSince(frozen.Add(lossLeast)), lossLeast)
	var returning sync.WaitGroup
	if trouble && only != "freeze" {
		if err := stores[1].loseDisk(); err != nil {
			return verdict{}, err
		}
		returning.Go(func() {
			time.Sleep(lossDown)
			if err := stores[1].start(); err != nil {
				l.note("%s did not start: %v", stores[1].node, err)
			}
		})
	}
	time.Sleep(time.Until(frozen.Add(lossFreeze)))
	if trouble && only != "disk" {
		if err := stores[0].signal(syscall.SIGCONT); err != nil {
			return verdict{}, err
		}
	}
	returning.Wait()
	l.note("all machines are back")
	traffic.mu.Lock()
	traffic.since = time.Now().Add(recoveryTime)
	traffic.mu.Unlock()
	traffic.running.Wait()
	l.note("from recovery_time_s after that on: %d turns sent, %d served", traffic.sent, traffic.served)
	result := verdict{checked: traffic.sent, broken: traffic.broken}
	if float64(traffic.served) < lossShare*float64(traffic.sent) {
		result.broken = append(result.broken, fmt.Sprintf("RECOVER: of %d turns sent later than recovery_time_s (%v) after the machines returned, %d were served",
			traffic.sent, recoveryTime.Seconds(), traffic.served))
	}
	return result, nil
}

// retire has a storage machine emptied, and takes it away.
func (l *lab) retire(m *machine) error {
	order := []byte(fmt.Sprintf(`{"duration_s":%d}`, retireSeconds))
	until := time.Now().Add(retireWait)
	for n, ordered := 0, false; time.Now().Before(until); n++ {
		address := l.controls()[n%len(l.controls())]
		if !ordered {
			status, _, _ := callControl(address, http.MethodPost, "/saffronyard/Retire.Create/"+m.node, order, nil, operatorsTries)
			ordered = status == http.StatusOK
			l.note("order to empty %s: %d", m.node, status)
		} else if _, answer, _ := callControl(address, http.MethodGet, "/saffronyard/Retire.Describe/"+m.node, nil, nil, operatorsTries); strings.Contains(string(answer), "completed") {
			l.note("%s is emptied and taken away", m.node)
			m.kill()
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s was not emptied", m.node)
}

// loseDisk kills the process of the machine and empties its disk, which is a folder of the case.
func (m *machine) loseDisk() error {
	m.lab.note("%s loses its disk", m.node)
	m.kill()
	folder := filepath.Join(m.lab.dir, m.node)
	if err := os.RemoveAll(folder); err != nil {
		return err
	}
	return os.Mkdir(folder, 0o700)
}
