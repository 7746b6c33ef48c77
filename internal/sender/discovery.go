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
	// The protocol counts a change as received once discovery has had it and been reachable for 6 s. A watch on a dead connection
	// looks like one without changes until its answer is overdue, so both times are short: docs/design/ends.md has the calculation.
	// Discovery does not count the renewal of a watch in time as a new call.
	longPollWait       = 2 * time.Second        // how long a watch call waits for changes
	answerTimeout      = 2 * time.Second        // limit for an answer, in addition to that wait: discovery itself gives up at 2 s
	overloadThreshold  = time.Second            // a rejection that takes this long has cost discovery work: discovery is overloaded
	firstNoticeTimeout = 150 * time.Millisecond // for the first try: a live connection answers notices at once
	noticeTimeout      = 500 * time.Millisecond // for further tries: they also have to open a connection
	minBackoff         = 100 * time.Millisecond // pause after the first failure; doubles up to maxBackoff
	maxBackoff         = 2 * time.Second
	maxNoticesPerCall  = 256
	maxListBytes       = 8 << 20 // of an answer from discovery
)

// Target is an endpoint as a source lists it.
type Target = membership.Target

// Targets is discovery's answer: the whole endpoint list, or what has changed since a version.
type Targets = membership.Update

// discovery is the client of the platform's discovery service, for the endpoint list, its changes, and notices. Its address may change
// while calls are in flight. mu guards current.
type discovery struct {
	mu      sync.Mutex
	current *registry
	dial    func(ctx context.Context, network, addr string) (net.Conn, error) // replaced in tests in virtual time
}

// registry is one address of discovery and the connections to it. moved is cancelled when discovery has moved to another address,
// which ends the calls to this one and the backoffs after its failures.
type registry struct {
	addr     string
	client   *http.Client // for the list
	notices  *http.Client // shares no connection with client, as only the watch detects a dead one
	moved    context.Context
	endCalls context.CancelFunc
}

// newDiscovery is the client of discovery at an address; nothing is connected before the first call.
func newDiscovery(addr string) *discovery {
	d := &discovery{dial: (&net.Dialer{}).DialContext}
	d.current = d.newRegistry(addr)
	return d
}

// newRegistry is the registry at an address, to which no connection is open yet.
func (d *discovery) newRegistry(addr string) *registry {
	client := func(maxIdle int) *http.Client {
		return &http.Client{
			Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxIdle, ResponseHeaderTimeout: longPollWait + answerTimeout,
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

// move switches to another address: the watch starts over there with the full list, and notices in flight are sent again there. It
// reports whether the address has changed.
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

// closeIdle closes the idle connections.
func (o *registry) closeIdle() {
	o.client.CloseIdleConnections()
	o.notices.CloseIdleConnections()
}

// callContext is the context of a call: it ends with ctx, after limit, or when discovery moves. The returned function releases it.
func (o *registry) callContext(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	stop := context.AfterFunc(o.moved, cancel)
	return ctx, func() {
		stop()
		cancel()
		if o.moved.Err() != nil {
			o.closeIdle() // this call's connection may have become idle after move closed the idle ones
		}
	}
}

// backoff waits after the n-th failure in a row, with jitter, and returns early if discovery moves; false if ctx ended.
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

// fetchList requests the full list if after is -1, else the changes since that version, for which discovery waits up to wait. The
// error wraps errOverloaded if the call was rejected after overloadThreshold or more.
func (o *registry) fetchList(ctx context.Context, after int64, wait time.Duration) (Targets, error) {
	var t Targets
	url, limit := "http://"+o.addr+"/api/targets", answerTimeout
	if after >= 0 {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", after, wait.Milliseconds())
		limit += wait
	}
	ctx, done := o.callContext(ctx, limit)
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
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)) // read to the end, so that the connection can be reused
	return t, nil
}

// watch follows the list at one registry from a version on (-1: from none) until a call fails, and returns the version of the last
// update. It sends the next call as soon as an answer is passed on, as a gap would end the watch. The first call does not wait for
// changes, so that a missing answer is detected sooner.
func (o *registry) watch(ctx context.Context, version int64, onUpdate func(Targets)) (int64, error) {
	for wait := time.Duration(0); ; wait = longPollWait {
		t, err := o.fetchList(ctx, version, wait)
		if err != nil {
			return version, err
		}
		if t.Version < version && !t.Full {
			version = -1 // the registry has restarted its version numbers, and these changes are not the full list
		} else {
			version = t.Version
		}
		onUpdate(t) // also if discovery moves meanwhile: the registry has sent this answer
		if o.moved.Err() != nil {
			return version, o.moved.Err()
		}
	}
}

// follow starts a watch for each of the module's requests until ctx ends. After a failure the module decides when the next watch
// starts, and that watch continues from the version of the last update: the answer has the changes since, or the full list if the
// version is too old. Requesting the full list would cost discovery, which serves all senders and has just failed, several times as
// much. A move is not a failure: the watch continues at the new address at once with the full list, because versions are specific to a
// registry and the old one may not have sent all of its changes.
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
