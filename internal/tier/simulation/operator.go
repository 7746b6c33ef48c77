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
	operatorIdleMin = 200 * time.Millisecond
	operatorIdleMax = 1500 * time.Millisecond
	hurriedIdleMin  = 20 * time.Millisecond
	hurriedIdleMax  = 120 * time.Millisecond
	answerLimit     = time.Second      // of one call
	orderLimit      = 10 * time.Second // of an order, over all its calls
	retireLimit     = 20 * time.Second
	retryMin        = 20 * time.Millisecond
	retryMax        = 300 * time.Millisecond
)

// orderPath is where operators order a configuration.
const orderPath = "/saffronyard/Configuration.Replace"

// operator orders and reads, at one control-plane process after the other until an answer is clear.
type operator struct {
	world   *world
	name    string
	process *process
	random  *rand.Rand
	next    int
	known   int64 // revision, as read or ordered last
	last    *order
}

func newOperator(w *world, name, ip string) *operator {
	m := w.outside(name, ip)
	p := &process{machine: m, ctx: w.ctx, cancel: func() {}}
	p.link = &link{w.network, p}
	return &operator{world: w, name: name, process: p, random: w.random(name)}
}

func (o *operator) run() {
	for o.world.loaded() {
		o.rest()
		switch n := o.random.IntN(10); {
		case n < 4:
			o.read()
		case n < 5 && o.last != nil: // as if the answer had been lost
			o.send(o.last)
		default:
			if n < 8 {
				o.read()
			}
			o.last = o.world.checks.orders.begin(o.world.now(), o.known, o.known+1+o.random.Int64N(2))
			o.send(o.last)
		}
	}
}

// rest waits until the operator does something again.
func (o *operator) rest() {
	low, high := operatorIdleMin, operatorIdleMax
	if o.world.hurried() {
		low, high = hurriedIdleMin, hurriedIdleMax
	}
	o.world.pause(low + time.Duration(o.random.Int64N(int64(high-low))))
}

// read reads the configuration back, and tells whether an answer came.
func (o *operator) read() bool {
	checks := o.world.checks.orders
	var floor int64
	status, body := o.order(func(ctx context.Context, at string) (int, string, error) {
		floor = checks.floor()
		return o.call(ctx, http.MethodGet, at, "/saffronyard/Configuration.Describe", "", nil)
	}, orderLimit)
	switch status {
	case http.StatusOK, http.StatusNotFound:
		if status == http.StatusNotFound {
			body = ""
		}
		if revision, ok := checks.read(o.world.now(), floor, body); ok {
			o.known = revision
		}
		return true
	case 0:
	default:
		o.world.report(RuleAnswer, "a read was answered %d", status)
	}
	return false
}

// send sends an order until its answer is clear, and tells whether it was acknowledged.
func (o *operator) send(it *order) bool {
	status, _ := o.order(func(ctx context.Context, at string) (int, string, error) {
		return o.call(ctx, http.MethodPost, at, orderPath, it.body,
			http.Header{"X-Base-Revision": {strconv.FormatInt(it.base, 10)}})
	}, orderLimit)
	o.world.note("%s: %v: %d", o.name, it, status)
	if status == 0 {
		return false
	}
	o.world.checks.orders.answered(o.world.now(), it, status)
	if status == http.StatusOK {
		o.known = max(o.known, it.revision)
	}
	return status == http.StatusOK
}

// order calls one process after the other until one gives a clear answer; status 0: none in the time.
func (o *operator) order(call func(ctx context.Context, at string) (int, string, error), limit time.Duration) (status int, body string) {
	wait := retryMin
	for begun := o.world.now(); o.world.now()-begun < limit && !o.world.ending(); o.world.pause(wait) {
		core := o.world.kind(roleControlPlane)
		o.next++
		status, body, err := call(o.world.ctx, core[o.next%len(core)].ip)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusTemporaryRedirect {
			return status, body
		}
		wait = min(wait*3/2, retryMax)
	}
	return 0, ""
}

// call makes one call, and follows one redirect.
func (o *operator) call(ctx context.Context, method, ip, path, body string, header http.Header) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
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
