package features

import (
	"fmt"
	"slices"
)

// Lines returns a description of the functions that the file turns on. 'saffronyard check' prints it, and it is logged at the start.
func (f *Features) Lines() []string {
	lines := slices.Concat(f.Quiet.lines(), f.Events.lines(), f.Delivery.lines(), f.Undelivered.lines(), f.Knowledge.lines(), f.Peers.lines(),
		f.Undelivered.ruleLines(), f.Fleet.lines(), f.Work.lines(), f.DNS.lines())
	if lines == nil {
		return []string{"nothing is on: the sender does as without the file"}
	}
	return lines
}

func (q *Quiet) lines() []string {
	if q == nil {
		return nil
	}
	return []string{fmt.Sprintf("quiet: destinations fold after %v", q.FoldAfter.D())}
}

func (e *Events) lines() []string {
	if e == nil {
		return nil
	}
	return []string{fmt.Sprintf("events: CloudEvents are accepted at POST /events by %d rules; outcomes are remembered for %v, at most %d", len(e.Rules), e.Remember.D(), e.RememberMost)}
}

func (d *Delivery) lines() (lines []string) {
	if d == nil {
		return nil
	}
	for _, t := range d.To {
		targets := "all destinations"
		if len(t.Destinations)+len(t.Kinds) > 0 {
			targets = fmt.Sprintf("destinations %v, kinds %v", t.Destinations, t.Kinds)
		}
		line := fmt.Sprintf("delivery: %s as %s to %s", targets, t.Form, t.Path)
		if t.Validate {
			line += ", validated as " + t.Origin
		}
		lines = append(lines, line)
	}
	return lines
}

func (u *Undelivered) lines() []string {
	if u == nil {
		return nil
	}
	folder := u.Folder
	if folder == "" {
		folder = "the state folder's undelivered"
	}
	return []string{fmt.Sprintf("undelivered: stored in %s, at most %d bytes, for %v", folder, u.Bytes, u.Age.D())}
}

func (u *Undelivered) ruleLines() (lines []string) {
	if u == nil {
		return nil
	}
	for _, r := range u.Resend {
		when := fmt.Sprintf("once the receiver has been healthy for %v", r.WellFor.D())
		if r.ByHand {
			when = "by hand"
		}
		lines = append(lines, fmt.Sprintf("undelivered: rule %s: resent %s, at %v of the receiver's rate, at most %d times, then %s", r.Name, when, r.Share, r.Most, r.Then))
	}
	return lines
}

func (k *Knowledge) lines() []string {
	if k == nil {
		return nil
	}
	return []string{fmt.Sprintf("knowledge: a snapshot of the observations of receivers is written every %v, at most %d bytes", k.Every.D(), k.Bytes)}
}

func (p *Peers) lines() []string {
	if p == nil {
		return nil
	}
	keys := "unencrypted"
	if p.KeysFile != "" {
		keys = "with the keys in " + p.KeysFile
	}
	return []string{fmt.Sprintf("peers: cluster %s, membership at %s %s, %d seeds; facts are exchanged at %s; at most %d peers are followed", p.Cluster, p.Listen, keys, len(p.Seeds), p.Exchange, p.Follow)}
}
