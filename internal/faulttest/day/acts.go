package day

import (
	"fmt"
	"slices"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
	"saffronyard.example/saffronyard/internal/faulttest/fleet"
	"saffronyard.example/saffronyard/internal/faulttest/platform"
	"saffronyard.example/saffronyard/internal/faulttest/script"
	"saffronyard.example/saffronyard/internal/faulttest/traffic"
)

func (d *Day) logKitFailure(format string, args ...any) {
	d.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: fmt.Sprintf(format, args...)})
}

// background runs f in a goroutine that Close waits for, and logs its error as a failure of the kit.
func (d *Day) background(f func() error) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		if err := f(); err != nil && d.ctx.Err() == nil {
			d.logKitFailure("%v", err)
		}
	}()
}

// runActs performs the acts of the plan at their times.
func (d *Day) runActs() {
	for _, a := range d.plan.Acts {
		if !traffic.Sleep(d.ctx, a.At-d.log.Now()) {
			return
		}
		d.do(a)
	}
}

// do performs one act of the plan.
func (d *Day) do(a script.Act) {
	switch a.Do {
	case "trouble", "end":
		d.applyFault(a)
	case "replace":
		for _, dest := range a.Dests {
			d.replace(dest)
		}
	case "down", "up":
		d.discovery.Down(a.Do == "down")
	case "late":
		d.mu.Lock()
		d.delay += a.Delay
		d.mu.Unlock()
	case "punctual":
		d.mu.Lock()
		d.delay -= a.Delay
		d.mu.Unlock()
	case "move":
		d.moveDiscovery()
	case "join":
		s, err := d.addSender(a.Sender)
		if err != nil {
			d.logKitFailure("%v", err)
			return
		}
		d.background(func() error { return s.Start(true) })
	case "link":
		for _, w := range a.Ways {
			d.links.Set(name(w.From), name(w.To), a.Link)
		}
	case "reset":
		for _, w := range a.Ways {
			d.links.Reset(name(w.From), name(w.To))
		}
	case "pause":
		d.senders[a.Sender].Suspend()
	case "resume":
		d.senders[a.Sender].Resume()
	case "keep":
		d.background(d.senders[a.Sender].SaveSnapshot)
	case "kill", "restart", "lose", "old":
		s := d.senders[a.Sender]
		d.background(func() error { return d.restart(s, a.Do) })
	}
}

// applyFault begins or ends a fault at receivers.
func (d *Day) applyFault(a script.Act) {
	begins := a.Do == "trouble"
	for _, dest := range a.Dests {
		if a.Fault.Kind == fault.Drain {
			d.drain(dest, a.Only, begins)
		}
		if begins {
			d.receivers[dest].Begin(a.Number, a.Fault)
		} else {
			d.receivers[dest].End(a.Number, a.Fault)
		}
	}
}

// moveDiscovery gives discovery another address for each sender that is ready and makes these senders reload their configuration.
func (d *Day) moveDiscovery() {
	for i, s := range slices.Clone(d.senders) {
		if !s.Ready() {
			continue // its next process gets the current address in its configuration
		}
		d.background(func() error {
			addr, err := d.discovery.Move(s.Name)
			if err != nil {
				return err
			}
			config, err := d.config(i, addr, platform.Targets{Full: true, Servers: []platform.Target{}}, 0)
			if err != nil {
				return err
			}
			return s.Reload(config)
		})
	}
}

// restart ends a sender's process as the act (kill, restart, lose or old) requires, and starts the next process after a pause.
func (d *Day) restart(s *fleet.Sender, act string) error {
	pause := fleet.DownTime
	switch act {
	case "old":
		if err := s.Kill(false); err != nil {
			return err
		}
		if err := s.RestoreSnapshot(); err != nil {
			return err
		}
		d.registry.Lost(s.Name)
	case "restart":
		s.Term()
	case "lose":
		pause = lostMachineDelay
		if err := s.Kill(true); err != nil {
			return err
		}
		d.registry.Lost(s.Name)
	default:
		if err := s.Kill(false); err != nil {
			return err
		}
	}
	if !traffic.Sleep(d.ctx, pause) {
		return nil
	}
	return s.Start(act == "lose")
}

// updateList changes an entry of the list in the background, after the delay of discovery.
func (d *Day) updateList(t platform.Target) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	d.background(func() error {
		if traffic.Sleep(d.ctx, delay) {
			d.discovery.Set(t)
		}
		return nil
	})
}

// drain begins or ends a drain of a receiver's first endpoints, as many as only says, or of all if only is 0. If drains of an endpoint
// overlap, the endpoint serves again only when all of them are over.
func (d *Day) drain(dest, only int, begins bool) {
	for i, e := range d.receivers[dest].Endpoints() {
		if only > 0 && i >= only {
			return
		}
		d.mu.Lock()
		was := d.draining[e.ID]
		if begins {
			d.draining[e.ID]++
		} else if was > 0 {
			d.draining[e.ID]--
		}
		is := d.draining[e.ID]
		d.mu.Unlock()
		switch {
		case was == 0 && is == 1:
			d.updateList(d.target(dest, e, platform.Draining))
		case was == 1 && is == 0:
			d.updateList(d.target(dest, e, platform.Serving))
		}
	}
}

// replace replaces a receiver's first endpoint: it lists a new endpoint, and the old one drains and is later removed from the list
// and stopped.
func (d *Day) replace(dest int) {
	r := d.receivers[dest]
	all := r.Endpoints()
	if len(all) == 0 {
		return
	}
	old := all[0]
	next, err := r.Add()
	if err != nil {
		d.logKitFailure("%v", err)
		return
	}
	d.updateList(d.target(dest, next, platform.Serving))
	d.updateList(d.target(dest, old, platform.Draining))
	d.background(func() error {
		if !traffic.Sleep(d.ctx, removeAfter) {
			return nil
		}
		d.updateList(d.target(dest, old, platform.Deleted))
		if traffic.Sleep(d.ctx, removeAfter) {
			r.Remove(old)
		}
		return nil
	})
}
