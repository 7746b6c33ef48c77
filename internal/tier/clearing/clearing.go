// Package clearing is the application of the control role, on top of the replicated control state: the operator's API,
// sessions and their pushes, the vault map, the platform's list, and orders to retire a machine.
//
// What is published to sessions is a view. It is made only of what has been written through to all backups: at the start
// of an epoch, and after a write without a clear outcome, the state is written through before anything of it is shown.
package clearing

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"dockshift.example/dockshift/internal/tier/catalog"
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
	gracePart  = 4  // after a takeover, no vault is called dead for so long
	writePart  = 3  // a write of the primary's own takes no longer
	settlePart = 10 // the first vault map is made when no vault has come for so long
)

// retryPause is from a failed write of the primary's own to the next.
const retryPause = 100 * time.Millisecond

// Config is what a Clearing is made of.
type Config struct {
	Settings settings.Settings
	Store    Store
	Cloud    *http.Client // for calls to the platform
	Log      *log.Logger
}

// Clearing is the application of the control role.
type Clearing struct {
	Config
	spread  Spread
	writer  chan struct{} // held by whoever writes to the store
	kick    chan struct{} // wakes the loop that tends the vault map
	polled  chan struct{} // wakes the one that asks for the platform's list
	confirm confirmer

	mu       sync.Mutex
	view     *view
	news     chan struct{} // closed at the next change of view
	sessions registry
	counter  struct{ endpoints, members uint64 } // of versions within the epoch
}

// view is what sessions are shown. It is never changed, only replaced.
type view struct {
	epoch     uint64
	ready     bool // this process is the primary, and the state is written through
	since     time.Time
	catalog   *tierv1.Catalog
	packed    *tierv1.Catalog // the same as sessions get it, made once for all
	revision  int64
	vaults    *tierv1.Vaults
	endpoints *tierv1.Endpoints
	members   *tierv1.Members
}

// New makes a Clearing that Run begins.
func New(c Config) *Clearing {
	if c.Cloud == nil {
		c.Cloud = http.DefaultClient
	}
	if c.Log == nil {
		c.Log = &log.Logger{Level: log.PanicLevel}
	}
	k := &Clearing{Config: c, spread: spreadOf(c.Settings), writer: make(chan struct{}, 1), kick: make(chan struct{}, 1),
		polled: make(chan struct{}, 1), view: &view{}, news: make(chan struct{})}
	k.sessions = newRegistry(c.Settings.ContactWindow / lapsePart)
	k.confirm.store = c.Store
	k.confirm.limit = c.Settings.ContactWindow / writePart
	return k
}

func (k *Clearing) window(part int) time.Duration {
	return k.Settings.ContactWindow / time.Duration(part)
}

// snapshot gives the view and a channel that is closed when it has changed.
func (k *Clearing) snapshot() (*view, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view, k.news
}

// change replaces the view of an epoch by a changed copy, and wakes all who wait for it. It does nothing in another epoch.
func (k *Clearing) change(epoch uint64, f func(*view)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.epoch != epoch {
		return false
	}
	k.replace(f)
	return true
}

func (k *Clearing) replace(f func(*view)) {
	next := *k.view
	f(&next)
	k.view = &next
	close(k.news)
	k.news = make(chan struct{})
}

// primary gives the view if this process may show it now.
func (k *Clearing) primary() (*view, bool) {
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
func (k *Clearing) lock(ctx context.Context) error {
	select {
	case k.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *Clearing) unlock() { <-k.writer }

// put writes under the writer's right. When the outcome is unknown, nothing more is shown until all is written through.
func (k *Clearing) put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sequence, err := k.Store.Put(ctx, epoch, sets)
	if err != nil {
		k.change(epoch, func(v *view) { v.ready = false })
		wake(k.kick)
		k.Log.Warn().Str("event", "write_unclear").Uint64("epoch", epoch).Str("error", err.Error()).Msg("")
	}
	return sequence, err
}

// Run does the primary's work, in each epoch in which this process is it, until ctx ends.
func (k *Clearing) Run(ctx context.Context) {
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
func (k *Clearing) standDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.ready {
		k.replace(func(v *view) { v.ready = false })
		k.Log.Info().Str("event", "stood_down").Uint64("epoch", k.view.epoch).Msg("")
	}
}

// serve brings view and vault map up to date, and tells whether that went well.
func (k *Clearing) serve(ctx context.Context, epoch uint64, t *tender) bool {
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
func (k *Clearing) settle(ctx context.Context, epoch uint64) error {
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
	body, sequence := k.Store.Get(keyCatalog)
	if body != nil {
		c, err := catalog.Parse(body)
		if err != nil {
			return errorx.Decorate(err, "configuration in the control state")
		}
		next.catalog, next.revision = &tierv1.Catalog{Version: sequence, Body: body}, c.Revision
		next.packed = pack(next.catalog)
	}
	if b, sequence := k.Store.Get(keyVaults); b != nil {
		m := &tierv1.Vaults{}
		if err := proto.Unmarshal(b, m); err != nil {
			return errorx.Decorate(err, "vault map in the control state")
		}
		m.Version = sequence
		next.vaults = m
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view.epoch == epoch { // back in touch in the same epoch
		next.endpoints, next.members = k.view.endpoints, k.view.members
	} else {
		k.counter.endpoints, k.counter.members = 0, 0
	}
	k.replace(func(v *view) { *v = next })
	k.Log.Info().Str("event", "primary").Uint64("epoch", epoch).Int64("revision", next.revision).Msg("")
	return nil
}

// version numbers what is not part of the state: it rises within an epoch and from one to the next.
func version(epoch uint64, counter *uint64) uint64 {
	*counter++
	return epoch<<24 | *counter
}

// gather shows the members of the core where they have changed.
func (k *Clearing) gather(epoch uint64) {
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
		v.members = &tierv1.Members{Version: version(epoch, &k.counter.members), List: list}
	})
}
