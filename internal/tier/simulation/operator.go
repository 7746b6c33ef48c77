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
	changeTimeout       = 10 * time.Second // of a change, over all its calls
	retireTimeout       = 20 * time.Second
	minRetryDelay       = 20 * time.Millisecond
	maxRetryDelay       = 300 * time.Millisecond
)

// Paths of the operators' service.
const (
	replacePath  = "/saffronyard/Configuration.Replace"
	describePath = "/saffronyard/Configuration.Describe"
	retirePath   = "/saffronyard/Retire.Create/"   // and the node
	retiredPath  = "/saffronyard/Retire.Describe/" // and the node
)

// operatorCall is one call of an operator.
type operatorCall struct {
	method, path, body string
	header             http.Header
}

// operator changes and reads the configuration. It calls one control-plane process after the other until a response is definitive.
type operator struct {
	world         *world
	name          string
	process       *process
	random        *rand.Rand
	next          int
	knownRevision int64 // the last one that was read or acknowledged
	last          *configurationChange
}

// newOperator returns an operator on a machine of its own.
func newOperator(w *world, name, ip string) *operator {
	m := w.addOutsideMachine(name, ip)
	p := &process{machine: m, ctx: w.ctx, cancel: func() {}}
	p.link = &link{w.network, p}
	return &operator{world: w, name: name, process: p, random: w.randomFor(name)}
}

// run changes and reads the configuration until the load stops.
func (o *operator) run() {
	for o.world.loadRunning() {
		o.idle()
		switch n := o.random.IntN(10); {
		case n < 4:
			o.read()
		case n < 5 && o.last != nil: // as if the response had been lost
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

// idle waits for a random time between two actions of the operator.
func (o *operator) idle() {
	low, high := minOperatorIdle, maxOperatorIdle
	if o.world.operatorsBusy() {
		low, high = minBusyOperatorIdle, maxBusyOperatorIdle
	}
	o.world.sleep(low + time.Duration(o.random.Int64N(int64(high-low))))
}

// read reads the configuration back, and reports whether there was a valid response.
func (o *operator) read() bool {
	checks := o.world.checks.configuration
	var floor int64
	status, body := o.callUntilDefinitive(func(ctx context.Context, ip string) (int, string, error) {
		floor = checks.floor()
		return o.call(ctx, ip, operatorCall{method: http.MethodGet, path: describePath})
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

// send sends a change until its response is definitive, and reports whether it was acknowledged.
func (o *operator) send(change *configurationChange) bool {
	status, _ := o.callUntilDefinitive(func(ctx context.Context, ip string) (int, string, error) {
		return o.call(ctx, ip, operatorCall{method: http.MethodPost, path: replacePath, body: change.body,
			header: http.Header{"X-Base-Revision": {strconv.FormatInt(change.base, 10)}}})
	}, changeTimeout)
	o.world.trace("%s: %v: %d", o.name, change, status)
	if status == 0 {
		return false
	}
	o.world.checks.configuration.recordResponse(o.world.now(), change, status)
	if status == http.StatusOK {
		o.knownRevision = max(o.knownRevision, change.revision)
	}
	return status == http.StatusOK
}

// callUntilDefinitive calls one process after the other until a response is definitive: neither a server error nor a redirect. Status 0
// means that none was received within the limit.
func (o *operator) callUntilDefinitive(call func(ctx context.Context, ip string) (int, string, error), limit time.Duration) (status int, body string) {
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

// call makes one call to the control-plane process at an address, and follows one redirect.
func (o *operator) call(ctx context.Context, ip string, call operatorCall) (status int, reply string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := "http://" + ip + ":" + operatorsPort + call.path
	for range 2 {
		r, err := http.NewRequestWithContext(ctx, call.method, target, newBody([]byte(call.body)))
		if err != nil {
			return 0, "", err
		}
		for key, values := range call.header {
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
		status, reply = response.StatusCode, string(text)
		if status != http.StatusTemporaryRedirect {
			break
		}
		location, err := url.Parse(response.Header.Get("Location"))
		if err != nil {
			return 0, "", err
		}
		target = location.String()
	}
	return status, reply, nil
}

func newBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
