package script

import (
	"math/rand/v2"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/links"
)

// Link is a fault of the links between senders: cut, refuse, slow, trickle, freeze or reset; lose, repeat and reorder affect
// datagrams only.
type Link struct {
	Do       string  `toml:"do"`
	At       Span    `toml:"at"`
	For      Span    `toml:"for"`    // required, but not allowed for reset
	From     string  `toml:"from"`   // n0, n1, ..., "all", or "one" for a random sender
	To       string  `toml:"to"`     // likewise; a sender other than From
	Both     bool    `toml:"both"`   // the other direction too
	Delay    Span    `toml:"delay"`  // slow
	Jitter   Span    `toml:"jitter"` // slow
	Rate     int     `toml:"rate"`   // trickle: bytes a second; default 200
	After    int     `toml:"after"`  // freeze: bytes that pass before the link stops; default 100
	Fraction float64 `toml:"share"`  // lose, repeat, reorder: probability for each datagram, independently; default 0.3

	where string
}

func (l *Link) check() error {
	setDefault(&l.Rate, 200)
	setDefault(&l.After, 100)
	if (l.Do == "lose" || l.Do == "repeat" || l.Do == "reorder") && l.Fraction == 0 {
		l.Fraction = 0.3
	} else if l.Fraction != 0 && l.Do != "lose" && l.Do != "repeat" && l.Do != "reorder" {
		return invalid(l.where, "share is allowed only with lose, repeat and reorder")
	}
	if l.Fraction < 0 || l.Fraction > 1 {
		return invalid(l.where, "share = %v is not in [0, 1]", l.Fraction)
	}
	switch l.Do {
	case "cut", "refuse", "trickle", "freeze", "lose", "repeat", "reorder":
	case "slow":
		if l.Delay+l.Jitter <= 0 {
			return invalid(l.where, "slow needs delay or jitter")
		}
	case "reset":
		if l.For != 0 {
			return invalid(l.where, `reset has no duration: the key "for" is not allowed`)
		}
	default:
		return invalid(l.where, "unknown do = %q; want cut, refuse, slow, trickle, freeze, reset, lose, repeat or reorder", l.Do)
	}
	if l.Do != "reset" && l.For == 0 {
		return invalid(l.where, `%s needs the key "for"`, l.Do)
	}
	if l.From == "" || l.To == "" {
		return invalid(l.where, "%s needs from and to: \"n0\", \"all\" or \"one\"", l.Do)
	}
	if l.From == l.To && l.From != "all" && l.From != "one" {
		return invalid(l.where, "from and to are both %q: a sender has no link to itself", l.From)
	}
	if l.Rate < 1 || l.After < 1 {
		return invalid(l.where, "rate and after must be over 0")
	}
	return nil
}

func (l *Link) condition() links.Condition {
	switch l.Do {
	case "cut":
		return links.Condition{Blocked: true}
	case "refuse":
		return links.Condition{Refuse: true}
	case "trickle":
		return links.Condition{Rate: l.Rate}
	case "freeze":
		return links.Condition{Freeze: l.After}
	case "lose":
		return links.Condition{Loss: l.Fraction}
	case "repeat":
		return links.Condition{Repeat: l.Fraction}
	case "reorder":
		return links.Condition{Reorder: l.Fraction}
	}
	return links.Condition{Delay: l.Delay.D(), Jitter: l.Jitter.D()}
}

// Way is one direction of the link between two senders.
type Way struct{ From, To int }

// ways resolves the directions that a link's fault affects.
func (p *Plan) ways(l Link, rng *rand.Rand) ([]Way, error) {
	a, b := rng.IntN(p.Senders), rng.IntN(max(1, p.Senders-1)) // always drawn, so that a change of this fault does not change later draws
	if b >= a {
		b++
	}
	end := func(name string, drawn int) ([]int, error) {
		switch name {
		case "all":
			var all []int
			for i := range p.Senders {
				all = append(all, i)
			}
			return all, nil
		case "one":
			return []int{drawn}, nil
		}
		i, err := p.senderIndex(name, l.where)
		return []int{i}, err
	}
	from, err := end(l.From, a)
	if err != nil {
		return nil, err
	}
	to, err := end(l.To, b)
	if err != nil {
		return nil, err
	}
	var ways []Way
	for _, f := range from {
		for _, t := range to {
			if f != t {
				ways = append(ways, Way{f, t})
				if l.Both {
					ways = append(ways, Way{t, f})
				}
			}
		}
	}
	if len(ways) == 0 {
		return nil, invalid(l.where, "there is no link between %q and %q", l.From, l.To)
	}
	return ways, nil
}

func (p *Plan) linkActs(all []Link, rng *rand.Rand) error {
	for _, l := range all {
		ways, err := p.ways(l, rng)
		if err != nil {
			return err
		}
		a := Act{At: l.At.D(), Do: "link", Ways: ways, Link: l.condition()}
		if l.Do == "reset" {
			a.Do = "reset"
		}
		p.Acts = append(p.Acts, a)
		if l.Do != "reset" {
			p.Acts = append(p.Acts, Act{At: l.At.D() + l.For.D(), Do: "link", Ways: ways})
		}
	}
	return nil
}

// check checks an action on a sender process.
func (c *Sender) check() error {
	switch c.Do {
	case "kill", "restart", "lose", "keep", "old", "pause":
		if c.Which == "" {
			return invalid(c.where, "%s needs which = \"n0\" or \"all\"", c.Do)
		}
	case "join":
		if c.Which != "" {
			return invalid(c.where, "join does not allow which: the sender has no name yet")
		}
	default:
		return invalid(c.where, "unknown do = %q; want kill, restart, lose, keep, old, pause or join", c.Do)
	}
	if (c.Do == "pause") != (c.For > 0) {
		return invalid(c.where, `the key "for" is required for pause and not allowed otherwise`)
	}
	return nil
}

// String names an act in the printed plan.
func (a Act) String() string {
	switch a.Do {
	case "trouble", "end":
		return a.Do + " " + a.Fault.Kind.String()
	case "link":
		return a.Link.String()
	}
	return a.Do
}

// Who returns the names of the senders and links that an act affects; it is empty for an act that affects receivers or discovery.
func (a Act) Who() []string {
	var names []string
	for _, w := range a.Ways {
		names = append(names, name(w.From)+">"+name(w.To))
	}
	switch a.Do {
	case "kill", "restart", "lose", "join", "keep", "old", "pause", "resume":
		names = append(names, name(a.Sender))
	}
	return names
}

func name(sender int) string { return "n" + strconv.Itoa(sender) }

// suspendActs returns the acts that begin and end a pause.
func suspendActs(a Act, span time.Duration) []Act {
	end := a
	end.At, end.Do = a.At+span, "resume"
	return []Act{a, end}
}
