// Package control plane is the application of the control role, on top of the replicated control state: the operator's API,
// sessions and their pushes, the turn store map, the platform's list, and orders to retire a machine.
//
// What is published to sessions is a view. It is made only of what has been written through to all backups: at the start
// of an epoch, and after a write without a clear outcome, the state is written through before anything of it is shown.
package controlplane

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"dockshift.example/dockshift/internal/tier/routing"
	"dockshift.example/dockshift/internal/tier/settings"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
)

// Parts of the contact window.
const (
	tickPart   = 12 // the primary looks at lapsed sessions so often
	lapsePart  = 10 // a session stands for so long after its call was answered
	holdPart   = 6  // a call is held no longer
	gracePart  = 4  // after a takeover, no turn store is called dead for so long
	writePart  = 3  // a write of the primary's own takes no longer
	settlePart = 10 // the first turn store map is made when no turn store has come for so long
)

// retryPause is from a failed write of the primary's own to the next.
const retryPause = 100 * time.Millisecond

// Config is what a Control plane is made of.
type Config struct {
	Settings settings.Settings
	Store    Store
	Cloud    *http.Client // for calls to the platform
	Log      *log.Logger
}

// Control plane is the application of the control role.
type ControlPlane struct {
	Config
	spread  Spread
	writer  chan struct{} // held by whoever writes to the store
	kick    chan struct{} // wakes the loop that tends the turn store map
	polled  chan struct{} // wakes the one that asks for the platform's list
	confirm confirmer

	mu       sync.Mutex
	view     *view
	news     chan struct{} // closed at the next change of view
	sessions registry
	gateway  struct{ endpoints, members uint64 } // of versions within the epoch
}

// view is what sessions are shown. It is never changed, only replaced.
type view struct {
	epoch      uint64
	ready      bool // this process is the primary, and the state is written through
	since      time.Time
	routing    *tierv1.Configuration
	packed     *tierv1.Configuration // the same as sessions get it, made once for all
	revision   int64
	turnStores *tierv1.PartitionMap
	endpoints  *tierv1.Endpoints
	members    *tierv1.Members
}

// New makes a Control plane that Run begins.
func New(c Config) *ControlPlane {
	if c.Cloud == nil {
		c.Cloud = http.DefaultClient
	}
	if c.Log == nil {
		c.Log = &log.Logger{Level: log.PanicLevel}
	}
	k := &ControlPlane{Config: c, spread: spreadOf(c.Settings), writer: make(chan struct{}, 1), kick: make(chan struct{}, 1),
		polled: make(chan struct{}, 1), view: &view{}, news: make(chan struct{})}
	k.sessions = newRegistry(c.Settings.ContactWindow / lapsePart)
	k.confirm.store = c.Store
	k.confirm.limit = c.Settings.ContactWindow / writePart
	return k
}

func (k *ControlPlane) window(part int) time.Duration {
	return k.Settings.ContactWindow / time.Duration(part)
}

// snapshot gives the view and a channel that is closed when it has changed.
func (k *ControlPlane) snapshot() (*view, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view, k.news
}

// change replaces the view of an epoch by a changed copy, and wakes all who wait for it. It does nothing in another epoch.
func (k *ControlPlane) change(epoch uint64, f func(*view)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.epoch != epoch {
		return false
	}
	k.replace(f)
	return true
}

func (k *ControlPlane) replace(f func(*view)) {
	next := *k.view
	f(&next)
	k.view = &next
	close(k.news)
	k.news = make(chan struct{})
}

// primary gives the view if this process may show it now.
func (k *ControlPlane) primary() (*view, bool) {
	epoch, ok := k.Store.Primary()
	v, _ := k.snapshot()
	return v, ok && v.ready && v.epoch == epoch
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lock takes the right to write to the store, or fails with ctx.
func (k *ControlPlane) lock(ctx context.Context) error {
	select {
	case k.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *ControlPlane) unlock() { <-k.writer }

// put writes under the writer's right. When the outcome is unknown, nothing more is shown until all is written through.
func (k *ControlPlane) put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sequence, err := k.Store.Put(ctx, epoch, sets)
	if err != nil {
		k.change(epoch, func(v *view) { v.ready = false })
		wake(k.kick)
		k.Log.Warn().Str("event", "write_unclear").Uint64("epoch", epoch).Str("error", err.Error()).Msg("")
	}
	return sequence, err
}

// Run does the primary's work, in each epoch in which this process is it, until ctx ends.
func (k *ControlPlane) Run(ctx context.Context) {
	var polling sync.WaitGroup
	polling.Go(func() { k.poll(ctx) })
	defer polling.Wait()
	var tender tender
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := k.Store.Changed()
		pause := k.window(tickPart)
		kick := k.kick
		if epoch, ok := k.Store.Primary(); ok {
			if !k.serve(ctx, epoch, &tender) { // a failed write is a change, too: it must not wake the next at once
				changed, kick, pause = nil, nil, retryPause
			}
		} else {
			k.standDown()
			pause = k.window(writePart)
		}
		timer.Reset(max(pause, retryPause))
		select {
		case <-ctx.Done():
			k.standDown()
			return
		case <-changed:
		case <-kick:
		case <-timer.C:
		}
	}
}

// standDown ends what sessions are shown: this process is not the primary, or out of touch.
func (k *ControlPlane) standDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.ready {
		k.replace(func(v *view) { v.ready = false })
		k.Log.Info().Str("event", "stood_down").Uint64("epoch", k.view.epoch).Msg("")
	}
}

// serve brings view and turn store map up to date, and tells whether that went well.
func (k *ControlPlane) serve(ctx context.Context, epoch uint64, t *tender) bool {
	v, _ := k.snapshot()
	if v.epoch != epoch || !v.ready {
		if err := k.settle(ctx, epoch); err != nil {
			k.Log.Warn().Str("event", "settle_failed").Uint64("epoch", epoch).Str("error", err.Error()).Msg("")
			return false
		}
		*t = tender{}
		wake(k.polled)
	}
	k.gather(epoch)
	return k.tend(ctx, epoch, t)
}

// settle writes the whole state through to all backups and shows it.
func (k *ControlPlane) settle(ctx context.Context, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, k.window(writePart))
	defer cancel()
	if err := k.lock(ctx); err != nil {
		return err
	}
	defer k.unlock()
	mark := binary.BigEndian.AppendUint64(nil, epoch)
	if _, err := k.Store.Put(ctx, epoch, map[string][]byte{keySettled: mark}); err != nil {
		return err
	}
	next := view{epoch: epoch, ready: true, since: time.Now()}
	body, sequence := k.Store.Get(keyConfiguration)
	if body != nil {
		c, err := routing.Parse(body)
		if err != nil {
			return errorx.Decorate(err, "configuration in the control state")
		}
		next.routing, next.revision = &tierv1.Configuration{Version: sequence, Body: body}, c.Revision
		next.packed = pack(next.routing)
	}
	if b, sequence := k.Store.Get(keyPartitionMap); b != nil {
		m := &tierv1.PartitionMap{}
		if err := proto.Unmarshal(b, m); err != nil {
			return errorx.Decorate(err, "turn store map in the control state")
		}
		m.Version = sequence
		next.turnStores = m
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.epoch == epoch { // back in touch in the same epoch
		next.endpoints, next.members = k.view.endpoints, k.view.members
	} else {
		k.gateway.endpoints, k.gateway.members = 0, 0
	}
	k.replace(func(v *view) { *v = next })
	k.Log.Info().Str("event", "primary").Uint64("epoch", epoch).Int64("revision", next.revision).Msg("")
	return nil
}

// version numbers what is not part of the state: it rises within an epoch and from one to the next.
func version(epoch uint64, gateway *uint64) uint64 {
	*gateway++
	return epoch<<24 | *gateway
}

// gather shows the members of the core where they have changed.
func (k *ControlPlane) gather(epoch uint64) {
	list := k.Store.Members()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.epoch != epoch || len(list) == 0 {
		return
	}
	if m := k.view.members; m != nil && len(m.List) == len(list) {
		same := true
		for i := range list {
			same = same && proto.Equal(list[i], m.List[i])
		}
		if same {
			return
		}
	}
	k.replace(func(v *view) {
		v.members = &tierv1.Members{Version: version(epoch, &k.gateway.members), List: list}
	})
}
