package nameserver

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

const (
	notifyAttempts = 5
	notifyBackoff  = time.Second // after the first failure; it doubles (RFC 1996 3.6 asks for time-outs and retries)
	notifyTimeout  = 2 * time.Second
)

// notifier sends NOTIFY (RFC 1996) to secondaries, with one goroutine for each secondary of each zone. Changes while a NOTIFY is being sent
// are coalesced into one further NOTIFY, which has the newest serial.
type notifier struct {
	log   *slog.Logger
	keys  *Keyring
	ctx   context.Context
	done  sync.WaitGroup
	wakes map[*managedZone][]chan struct{}
}

func newNotifier(ctx context.Context, zones []*managedZone, keys *Keyring, log *slog.Logger) *notifier {
	n := &notifier{log: log, keys: keys, ctx: ctx, wakes: map[*managedZone][]chan struct{}{}}
	for _, z := range zones {
		for _, to := range z.config.Notify {
			wake := make(chan struct{}, 1)
			n.wakes[z] = append(n.wakes[z], wake)
			n.done.Add(1)
			go func() {
				defer n.done.Done()
				for {
					select {
					case <-ctx.Done():
						return
					case <-wake:
						n.notify(z, to)
					}
				}
			}()
		}
	}
	return n
}

func (n *notifier) zoneChanged(z *managedZone) {
	for _, wake := range n.wakes[z] {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

func (n *notifier) notify(z *managedZone, to string) {
	pause := notifyBackoff
	for try := range notifyAttempts {
		current := z.current.Load()
		if current.Zone == nil {
			return
		}
		m := new(dns.Msg).SetNotify(z.config.Name)
		m.Answer = zone.CopyRecords([]dns.RR{current.SOA()})
		if z.config.NotifyKey != "" {
			if err := n.keys.Sign(m, z.config.NotifyKey, time.Now().Unix()); err != nil {
				n.log.Error("a secondary can't be notified", "zone", z.config.Name, "to", to, "err", err)
				return
			}
		}
		c := dns.Client{Net: "udp", Timeout: notifyTimeout, TsigProvider: n.keys}
		r, _, err := c.ExchangeContext(n.ctx, m, to)
		if err == nil && r.Rcode == dns.RcodeSuccess || n.ctx.Err() != nil {
			return
		}
		if try == notifyAttempts-1 {
			n.log.Warn("a secondary could not be notified; it will detect the change by its refresh timer", "zone", z.config.Name, "to", to, "err", err)
			return
		}
		select {
		case <-n.ctx.Done():
			return
		case <-time.After(pause):
			pause *= 2
		}
	}
}
