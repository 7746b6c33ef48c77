package simulation

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// What operators do and wait for.
const (
	minOperatorIdle     = 200 * time.Millisecond
	maxOperatorIdle     = 1500 * time.Millisecond
	minBusyOperatorIdle = 20 * time.Millisecond
	maxBusyOperatorIdle = 120 * time.Millisecond
	callTimeout         = time.Second      // of one call
	changeTimeout       = 10 * time.Second // of an order, over all its calls
	retireTimeout       = 20 * time.Second
	minRetryDelay       = 20 * time.Millisecond
	maxRetryDelay       = 300 * time.Millisecond
)

// replacePath is where operators order a configuration.
const replacePath = "/saffronyard/Configuration.Replace"

// operator orders and reads, at one control-plane process after the other until an answer is clear.
type operator struct {
	world         *world
	name          string
	process       *process
	random        *rand.Rand
	next          int
	knownRevision int64 // revision, as read or ordered last
	last          *configurationChange
}

func newOperator(w *world, name, ip string) *operator {
	m := w.addOutsideMachine(name, ip)
	p := &process{machine: m, ctx: w.ctx, cancel: func() {}}
	p.link = &link{w.network, p}
	return &operator{world: w, name: name, process: p, random: w.randomFor(name)}
}

func (o *operator) run() {
	for o.world.loadRunning() {
		o.idle()
		switch n := o.random.IntN(10); {
		case n < 4:
			o.read()
		case n < 5 && o.last != nil: // as if the answer had been lost
			o.send(o.last)
		default:
			if n < 8 {
				o.read()
			}
			o.last = o.world.checks.configuration.begin(o.world.now(), o.knownRevision, o.knownRevision+1+o.random.Int64N(2))
			o.send(o.last)
		}
	}
}

// idle waits until the operator does something again.
func (o *operator) idle() {
	low, high := minOperatorIdle, maxOperatorIdle
	if o.world.operatorsBusy() {
		low, high = minBusyOperatorIdle, maxBusyOperatorIdle
	}
	o.world.sleep(low + time.Duration(o.random.Int64N(int64(high-low))))
}

// read reads the configuration back, and tells whether an answer came.
func (o *operator) read() bool {
	checks := o.world.checks.configuration
	var floor int64
	status, body := o.untilClear(func(ctx context.Context, at string) (int, string, error) {
		floor = checks.floor()
		return o.call(ctx, http.MethodGet, at, "/saffronyard/Configuration.Describe", "", nil)
	}, changeTimeout)
	switch status {
	case http.StatusOK, http.StatusNotFound:
		if status == http.StatusNotFound {
			body = ""
		}
		if revision, ok := checks.recordRead(o.world.now(), floor, body); ok {
			o.knownRevision = revision
		}
		return true
	case 0:
	default:
		o.world.reportViolation(RuleResponse, "a read was answered %d", status)
	}
	return false
}

// send sends an order until its answer is clear, and tells whether it was acknowledged.
func (o *operator) send(it *configurationChange) bool {
	status, _ := o.untilClear(func(ctx context.Context, at string) (int, string, error) {
		return o.call(ctx, http.MethodPost, at, replacePath, it.body,
			http.Header{"X-Base-Revision": {strconv.FormatInt(it.base, 10)}})
	}, changeTimeout)
	o.world.trace("%s: %v: %d", o.name, it, status)
	if status == 0 {
		return false
	}
	o.world.checks.configuration.recordResponse(o.world.now(), it, status)
	if status == http.StatusOK {
		o.knownRevision = max(o.knownRevision, it.revision)
	}
	return status == http.StatusOK
}

// untilClear calls one process after the other until one gives a clear answer; status 0: none in the time.
func (o *operator) untilClear(call func(ctx context.Context, at string) (int, string, error), limit time.Duration) (status int, body string) {
	wait := minRetryDelay
	for begun := o.world.now(); o.world.now()-begun < limit && !o.world.ending(); o.world.sleep(wait) {
		core := o.world.machinesOfKind(roleControlPlane)
		o.next++
		status, body, err := call(o.world.ctx, core[o.next%len(core)].ip)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusTemporaryRedirect {
			return status, body
		}
		wait = min(wait*3/2, maxRetryDelay)
	}
	return 0, ""
}

// call makes one call, and follows one redirect.
func (o *operator) call(ctx context.Context, method, ip, path, body string, header http.Header) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := "http://" + ip + ":" + operatorsPort + path
	for range 2 {
		r, err := http.NewRequestWithContext(ctx, method, target, newBody([]byte(body)))
		if err != nil {
			return 0, "", err
		}
		for key, values := range header {
			r.Header[key] = values
		}
		response, err := o.process.link.Do(r)
		if err != nil {
			return 0, "", err
		}
		text, err := io.ReadAll(response.Body)
		if err != nil {
			return 0, "", err
		}
		status, answer = response.StatusCode, string(text)
		if status != http.StatusTemporaryRedirect {
			break
		}
		elsewhere, err := url.Parse(response.Header.Get("Location"))
		if err != nil {
			return 0, "", err
		}
		target = elsewhere.String()
	}
	return status, answer, nil
}

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
