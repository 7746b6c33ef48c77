package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/controlplane"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/simulation/virtualtime"
)

// Applications run next to operators and clients: they acquire locks, draw numbers, put and read keys, and watch keys during the faults
// of generated scripts, on the real consensus. Their observations are checked against the rules of the operators' page.

const (
	applicationCount    = 3
	applicationCallTime = time.Second
	minApplicationIdle  = 5 * time.Millisecond
	maxApplicationIdle  = 250 * time.Millisecond
)

// applicationChecker checks the observations of all applications.
type applicationChecker struct {
	mu         sync.Mutex
	broken     []string
	answered   map[string]int
	ownedUntil map[string]time.Duration // by owner: until when it may consider the single lock its own
	fences     []observedValue
	numbers    []observedValue
	putValues  map[string]bool   // by key and value: a put was sent
	rejected   map[string]bool   // by key and value: the put was rejected
	revisionOf map[string]uint64 // by key and value: the observed revision
	valueAt    map[uint64]string // key and value, by revision of the single group
	putAcks    map[string][]observedValue
}

// observedValue is a value with its receiver and the time of its receipt.
type observedValue struct {
	by    string
	value uint64
	at    time.Duration
}

func newApplicationChecker() *applicationChecker {
	return &applicationChecker{answered: map[string]int{}, ownedUntil: map[string]time.Duration{}, putValues: map[string]bool{}, rejected: map[string]bool{},
		revisionOf: map[string]uint64{}, valueAt: map[uint64]string{}, putAcks: map[string][]observedValue{}}
}

func (c *applicationChecker) reportBroken(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// granted checks a grant of the lock to an owner, by a call that began at the time sent. The owner considers the lock its own until the
// time until.
func (c *applicationChecker) granted(owner string, fence uint64, sent, now, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered["lock"]++
	for other, end := range c.ownedUntil {
		if other != owner && now < end && now < until {
			c.reportBroken("ONE at %v: %s and %s own the lock", now, owner, other)
		}
	}
	for _, seen := range c.fences {
		if seen.by != owner && (seen.value == fence || seen.at < sent && seen.value > fence) {
			c.reportBroken("ONE at %v: fence %d of %s after %d of %s", now, fence, owner, seen.value, seen.by)
		}
	}
	c.fences = append(c.fences, observedValue{owner, fence, now})
	c.ownedUntil[owner] = until
}

func (c *applicationChecker) setOwned(owner string, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownedUntil[owner] = until
}

func (c *applicationChecker) number(value uint64, sent, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered["number"]++
	for _, seen := range c.numbers {
		if seen.value == value || seen.at < sent && seen.value > value {
			c.reportBroken("ORDER at %v: number %d after %d", now, value, seen.value)
		}
	}
	c.numbers = append(c.numbers, observedValue{"", value, now})
}

// checkValue checks a value of a key at a revision. The caller holds mu.
func (c *applicationChecker) checkValue(key, value string, revision uint64, now time.Duration) {
	id := key + "=" + value
	switch {
	case !c.putValues[id]:
		c.reportBroken("MIXED at %v: %s was never put", now, id)
	case c.rejected[id]:
		c.reportBroken("REFUSED at %v: %s was rejected", now, id)
	case c.revisionOf[id] != 0 && c.revisionOf[id] != revision:
		c.reportBroken("MIXED at %v: %s at revisions %d and %d", now, id, c.revisionOf[id], revision)
	case c.valueAt[revision] != "" && c.valueAt[revision] != id:
		c.reportBroken("ORDER at %v: revision %d of %s and of %s", now, revision, c.valueAt[revision], id)
	}
	c.revisionOf[id], c.valueAt[revision] = revision, id
}

func (c *applicationChecker) putSent(key, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.putValues[key+"="+value] = true
}

func (c *applicationChecker) putEnded(key, value string, status int, revision uint64, sent, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case http.StatusOK:
		c.answered["put"]++
		for _, seen := range c.putAcks[key] {
			if seen.at < sent && seen.value > revision {
				c.reportBroken("ORDER at %v: %s put at %d after %d", now, key, revision, seen.value)
			}
		}
		c.checkValue(key, value, revision, now)
		c.putAcks[key] = append(c.putAcks[key], observedValue{"", revision, now})
	case http.StatusPreconditionFailed:
		c.answered["conflict"]++
		if id := key + "=" + value; c.revisionOf[id] != 0 {
			c.reportBroken("REFUSED at %v: %s was visible and then rejected", now, id)
		}
		c.rejected[key+"="+value] = true
	}
}

func (c *applicationChecker) read(key, value string, revision uint64, sent, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered["read"]++
	if revision > 0 {
		c.checkValue(key, value, revision, now)
	}
	for _, seen := range c.putAcks[key] {
		if seen.at < sent && seen.value > revision {
			c.reportBroken("STALE at %v: %s read at %d after %d was acknowledged", now, key, revision, seen.value)
		}
	}
}

// watchResponse is the body of a response to a watch.
type watchResponse struct {
	Events []struct {
		Name, Value string
		ETag        uint64
	}
	ETag uint64
}

func (c *applicationChecker) watched(after uint64, status int, response watchResponse, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered["watch"]++
	if status == http.StatusGone {
		c.reportBroken("LOST at %v: a watch after %d was answered 410 Gone", now, after)
		return
	}
	for i, event := range response.Events {
		if event.ETag != after+uint64(i)+1 {
			c.reportBroken("ORDER at %v: a watch after %d returned revision %d as event %d", now, after, event.ETag, i)
		}
		c.checkValue(event.Name, event.Value, event.ETag, now)
	}
	if after > 0 && response.ETag != after+uint64(len(response.Events)) {
		c.reportBroken("ORDER at %v: a watch after %d returned %d events up to revision %d", now, after, len(response.Events), response.ETag)
	}
}

// application is one caller. Its name identifies it as the owner of its locks.
type application struct {
	*operator
	check  *applicationChecker
	random *rand.Rand
}

// callNext makes a call to the next control-plane process. Status 0 means that there was no definitive response.
func (a *application) callNext(method, path string, body, into any) (status int) {
	raw := []byte{}
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	core := a.world.machinesOfKind(roleControlPlane)
	a.next++
	ctx, cancel := context.WithTimeout(a.world.ctx, applicationCallTime)
	defer cancel()
	status, reply, err := a.call(ctx, core[a.next%len(core)].ip, operatorCall{method: method, path: "/saffronyard/" + path, body: string(raw)})
	if err != nil || status >= http.StatusInternalServerError || status == http.StatusTemporaryRedirect {
		return 0
	}
	if into != nil {
		_ = json.Unmarshal([]byte(reply), into)
	}
	return status
}

func (a *application) idle() {
	a.world.sleep(minApplicationIdle + time.Duration(a.random.Int64N(int64(maxApplicationIdle-minApplicationIdle))))
}

// run makes calls of random kinds until the load stops.
func (a *application) run() {
	revisions := map[string]uint64{}
	for n := 0; a.world.loadRunning(); n++ {
		a.idle()
		switch a.random.IntN(3) {
		case 0:
			a.ownLock()
		case 1:
			var number struct{ Value uint64 }
			sent := a.world.now()
			if a.callNext(http.MethodPost, "numbers/n", struct{}{}, &number) == http.StatusOK {
				a.check.number(number.Value, sent, a.world.now())
			}
		default:
			a.putAndRead(fmt.Sprintf("g.%d", a.random.IntN(3)), fmt.Sprintf("%s-%d", a.name, n), revisions)
		}
	}
}

// ownLock acquires the lock, renews it a few times, and releases it or lets it expire.
func (a *application) ownLock() {
	hold := 300*time.Millisecond + time.Duration(a.random.Int64N(int64(3*time.Second)))
	body := map[string]any{"holder": a.name, "hold_time_ms": hold.Milliseconds()}
	var granted struct{ Fence uint64 }
	sent := a.world.now()
	until := sent + hold.Truncate(time.Millisecond)
	if a.callNext(http.MethodPost, "Locks.Create/l", body, &granted) != http.StatusOK || a.world.now() >= until {
		return
	}
	a.check.granted(a.name, granted.Fence, sent, a.world.now(), until)
	body["fence"] = granted.Fence
	for a.random.IntN(4) > 0 && a.world.loadRunning() {
		a.world.sleep(time.Duration(a.random.Int64N(int64(hold / 2))))
		sent = a.world.now()
		if a.callNext(http.MethodPost, "Locks.Heartbeat/l", body, nil) != http.StatusOK || a.world.now() >= until {
			return
		}
		until = sent + hold.Truncate(time.Millisecond)
		a.check.setOwned(a.name, until)
	}
	if a.random.IntN(3) > 0 {
		a.check.setOwned(a.name, 0)
		a.callNext(http.MethodPost, "Locks.Delete/l", body, nil)
	}
}

// putAndRead puts a key, up to three times while there is no definitive response, and reads it.
func (a *application) putAndRead(key, value string, revisions map[string]uint64) {
	body := map[string]any{"value": value}
	if a.random.IntN(2) == 0 {
		body["enabled"] = revisions[key]
	}
	a.check.putSent(key, value)
	firstSent := a.world.now() // a retry returns the revision of the first put
	for range 3 {
		var written struct{ ETag uint64 }
		if status := a.callNext(http.MethodPost, "Cells.Replace/"+key, body, &written); status != 0 {
			a.check.putEnded(key, value, status, written.ETag, firstSent, a.world.now())
			break
		}
		a.idle()
	}
	var found struct {
		Value string
		ETag  uint64
	}
	sent := a.world.now()
	if status := a.callNext(http.MethodGet, "Cells.Describe/"+key, nil, &found); status != 0 {
		revisions[key] = found.ETag
		a.check.read(key, found.Value, found.ETag, sent, a.world.now())
	}
}

// runWatch watches the group of keys until the load stops.
func (a *application) runWatch() {
	after := uint64(0)
	for a.world.loadRunning() {
		var response watchResponse
		status := a.callNext(http.MethodGet, fmt.Sprintf("watch/g.?after=%d&wait_time_ms=500", after), nil, &response)
		if status == http.StatusOK || status == http.StatusGone {
			a.check.watched(after, status, response, a.world.now())
			after = max(after, response.ETag)
		}
		a.idle()
	}
}

// playApplications plays a script with applications, and returns the violations that were found.
func playApplications(t *testing.T, script Script, options Options) (broken []string, check *applicationChecker) {
	t.Helper()
	check = newApplicationChecker()
	withSettings := options.Hooks.Settings
	options.Hooks.Settings = func(s *settings.Settings) {
		s.HistoryRetention = time.Minute
		if withSettings != nil {
			withSettings(s)
		}
	}
	err := virtualtime.Run(func() {
		w := newWorld(script, options)
		for i := range applicationCount + 1 {
			name := fmt.Sprint("application-", i+1)
			a := &application{operator: newOperator(w, name, fmt.Sprint(outsideNet, 40+i)), check: check, random: w.randomFor(name)}
			run := a.run
			if i == applicationCount {
				run = a.runWatch
			}
			w.load.Go(func() {
				w.sleep(time.Second) // until the machines are started
				run()
			})
		}
		w.play()
		if v := w.result().Violation; v != nil {
			check.reportBroken("%v", v)
		}
	})
	assert.NilError(t, err)
	check.mu.Lock()
	defer check.mu.Unlock()
	return check.broken, check
}

// The guarantees to applications hold during the faults of generated scripts, and so do all rules of the simulation.
func TestApplications_GeneratedFaults(t *testing.T) {
	seeds := uint64(24)
	if testing.Short() || raceDetector {
		seeds = 4
	}
	total := map[string]int{}
	for seed := range seeds {
		broken, check := playApplications(t, Generate(9000+seed), Options{})
		for _, rule := range broken {
			t.Errorf("seed %d: %s", 9000+seed, rule)
		}
		for what, n := range check.answered {
			total[what] += n
		}
	}
	for _, what := range []string{"lock", "number", "put", "conflict", "read", "watch"} {
		if total[what] < 20 {
			t.Errorf("%s: answered only %d times", what, total[what])
		}
	}
	t.Logf("answered: %v", total)
}

// unconfirmedStore is a control state that confirms reads without a round trip, and whose lease never expires.
type unconfirmedStore struct {
	controlplane.Store
	mu    sync.Mutex
	epoch uint64 // in which this process was the primary last
}

func (s *unconfirmedStore) Primary() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch, primary := s.Store.Primary(); primary {
		s.epoch = epoch
	}
	return s.epoch, s.epoch != 0
}

func (s *unconfirmedStore) Confirm(context.Context, uint64) error { return nil }

// The checker finds a primary that continues to serve calls after it was deposed.
func TestApplications_InjectedFault_UnconfirmedReads(t *testing.T) {
	if testing.Short() || raceDetector {
		t.Skip("many seeds: played without -short and -race")
	}
	hooks := Hooks{Store: func(inner controlplane.Store) controlplane.Store { return &unconfirmedStore{Store: inner} }}
	for seed := range uint64(40) {
		options := Options{Hooks: hooks, Ignore: Rules()}
		if broken, _ := playApplications(t, Generate(seed), options); len(broken) > 0 {
			t.Logf("found after %d seeds: %s", seed+1, broken[0])
			return
		}
	}
	t.Error("not found in 40 seeds")
}
