package sender

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/membership"
)

const (
	// By the protocol a change counts as received 6 s after discovery had it and could be reached. A watch whose connection is dead
	// looks like one without changes until its answer is overdue, so both times are short: docs/design/ends.md has the sum. A watch
	// that is renewed in time is no new call to discovery.
	longPollWait       = 2 * time.Second        // a watch call waits so long for changes
	answerTimeout      = 2 * time.Second        // and an answer takes no longer than this besides: discovery gives up at 2 s itself
	overloadThreshold  = time.Second            // a call that is rejected after so long was worked on in vain: discovery is overloaded
	firstNoticeTimeout = 150 * time.Millisecond // notices are answered at once, or the connection is dead
	noticeTimeout      = 500 * time.Millisecond // on a new one: it has to come up
	minBackoff         = 100 * time.Millisecond // the first pause after a failure; doubles up to maxBackoff
	maxBackoff         = 2 * time.Second
	maxNoticesPerCall  = 256     // in one call
	maxListBytes       = 8 << 20 // of an answer of discovery's
)

// Target is an endpoint as a source lists it.
type Target = membership.Target

// Targets is discovery's answer: the whole endpoint list, or what has changed since a version.
type Targets = membership.Update

// discovery speaks with the platform: the endpoint list and its changes, and notices. Its address may change while calls are
// under way. mu guards current.
type discovery struct {
	mu      sync.Mutex
	current *registry
	dial    func(ctx context.Context, network, addr string) (net.Conn, error) // in tests in virtual time another one
}

// registry is one address of discovery and the connections to it. moved ends when discovery has moved away: with it end the
// calls there and the backoffs after failures of the old address.
type registry struct {
	addr     string
	client   *http.Client // for the list
	notices  *http.Client // has no connection in common with that, as only the watch finds out that one is dead
	moved    context.Context
	endCalls context.CancelFunc
}

// newDiscovery speaks with discovery at an address; nothing is connected before the first call.
func newDiscovery(addr string) *discovery {
	d := &discovery{dial: (&net.Dialer{}).DialContext}
	d.current = d.newRegistry(addr)
	return d
}

// newRegistry is the registry at an address, to which no connection is open yet.
func (d *discovery) newRegistry(addr string) *registry {
	client := func(kept int) *http.Client {
		return &http.Client{
			Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: kept, ResponseHeaderTimeout: longPollWait + answerTimeout,
				DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) { return d.dial(ctx, network, addr) }},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			}}
	}
	o := &registry{addr: addr, client: client(2), notices: client(1)}
	o.moved, o.endCalls = context.WithCancel(context.Background())
	return o
}

// registry is the current address.
func (d *discovery) registry() *registry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// move leaves the address for another one: the watch begins anew there with the whole list, and notices under way are sent
// again there. It reports whether the address is another.
func (d *discovery) move(addr string) bool {
	d.mu.Lock()
	old := d.current
	if old.addr == addr {
		d.mu.Unlock()
		return false
	}
	d.current = d.newRegistry(addr)
	d.mu.Unlock()
	old.endCalls()
	old.closeIdle()
	return true
}

// closeIdle closes the connections that no call uses.
func (o *registry) closeIdle() {
	o.client.CloseIdleConnections()
	o.notices.CloseIdleConnections()
}

// within gives a call its context: it ends with ctx, after the limit, or when discovery moves. done releases it.
func (o *registry) within(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	stop := context.AfterFunc(o.moved, cancel)
	return ctx, func() {
		stop()
		cancel()
		if o.moved.Err() != nil {
			o.closeIdle() // the connection of a call that was just over
		}
	}
}

// backoff waits after the n-th failure in a row, a little less or more each time, but not once discovery has moved; false if
// ctx ended.
func (o *registry) backoff(ctx context.Context, n int) bool {
	d := min(minBackoff<<min(n-1, 10), maxBackoff)
	t := time.NewTimer(d/2 + rand.N(d/2+1))
	defer t.Stop()
	select {
	case <-t.C:
	case <-o.moved.Done():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// fetchList asks for the whole list, or after a version for what is newer, waiting so long for it. after is -1 for the whole
// list. The error is errOverloaded, wrapped, where the call was refused after overloadThreshold.
func (o *registry) fetchList(ctx context.Context, after int64, wait time.Duration) (Targets, error) {
	var t Targets
	url, limit := "http://"+o.addr+"/api/targets", answerTimeout
	if after >= 0 {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", after, wait.Milliseconds())
		limit += wait
	}
	ctx, done := o.within(ctx, limit)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return t, err
	}
	began := time.Now()
	resp, err := o.client.Do(req)
	if err != nil {
		return t, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
		return t, &listStatusError{resp.Status, time.Since(began).Round(time.Millisecond)}
	}
	if t, err = decodeTargets(io.LimitReader(resp.Body, maxListBytes)); err != nil {
		return t, fmt.Errorf("discovery's list: %w", err)
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)) // its end, so that the connection serves again
	return t, nil
}

// watch follows the list at one registry from a version on, -1 for none, until a call fails; then it returns the version of
// the last update. The next call goes out as soon as an answer is passed on: a gap would end the watch. The first call waits
// for nothing, so that one that is never answered is found out the sooner.
func (o *registry) watch(ctx context.Context, version int64, onUpdate func(Targets)) (int64, error) {
	for wait := time.Duration(0); ; wait = longPollWait {
		t, err := o.fetchList(ctx, version, wait)
		if err != nil {
			return version, err
		}
		if t.Version < version && !t.Full {
			version = -1 // its numbers have begun anew, and these changes are not all that there are
		} else {
			version = t.Version
		}
		onUpdate(t) // also what comes while discovery moves: it has been sent
		if o.moved.Err() != nil {
			return version, o.moved.Err()
		}
	}
}

// follow watches when the module asks for it (watchRequests), until ctx ends. After a failure it goes on from the version of
// the last update: the answer has what came since, or the whole list if that is too old. To ask for the whole list would cost
// discovery, which is one for all senders and has just failed, several times as much. The module decides when. A move is no
// failure: the watch goes on at the new address at once, from the whole list, as versions are each registry's own and the old
// one may not have sent all that it had to.
func (d *discovery) follow(ctx context.Context, version int64, requests <-chan struct{}, onUpdate func(Targets), onFailure func(error)) {
	var last *registry // that sent the last update
	for {
		select {
		case <-requests:
		case <-ctx.Done():
			return
		}
		for moved := true; moved; {
			o := d.registry()
			var err error
			version, err = o.watch(ctx, version, func(t Targets) {
				t.VersionsReset, t.Origin, last = last != nil && last != o, o.addr, o
				onUpdate(t)
			})
			if ctx.Err() != nil {
				return
			}
			if moved = o.moved.Err() != nil; moved {
				version = -1
			} else {
				onFailure(err)
			}
		}
	}
}
