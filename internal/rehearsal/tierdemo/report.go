package tierdemo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Report is what a rehearsal has shown.
type Report struct {
	Begun       time.Duration // until the tier took clients
	Calm        time.Duration // of Lasted, the rest being trouble and its end
	Lasted      time.Duration
	Rate        float64       // programs a second
	Processor   time.Duration // longest time that the machine kept the rehearsal waiting for the processor,
	Disk        time.Duration // and for the disk to sync
	Interrupted bool
	Counts      Counts
	Seconds     []Second
	Failures    []string // the first reasons why programs failed
	Events      []Event
	Takeovers   []Takeover
	Verdicts    []Verdict
}

// Broken is the number of rules that were broken.
func (r *Report) Broken() (n int) {
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			n++
		}
	}
	return n
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	c := r.Counts
	fmt.Fprintf(w, "ready after\t%.2f s\n", r.Begun.Seconds())
	fmt.Fprintf(w, "played\t%.1f s, %.1f s of them calm, %.3g programs a second\n", r.Lasted.Seconds(), min(r.Calm, r.Lasted).Seconds(), r.Rate)
	fmt.Fprintf(w, "programs\t%d asked, %d whole, %d ended by their budget, %d failed\n", c.Asked, c.Whole, c.Spent, c.Failed)
	if c.Ended > 0 {
		fmt.Fprintf(w, "\t%d were under way at the end\n", c.Ended)
	}
	for _, why := range r.Failures {
		fmt.Fprintf(w, "\tfailed: %s\n", why)
	}
	fmt.Fprintf(w, "turns\t%d whole, %d of them late (first event after %v)\n", c.Turns, c.Late, aimTime)
	fmt.Fprintf(w, "first event\tp50 %s, p99 %s, longest %s\n", ms(c.FirstP50), ms(c.FirstP99), ms(c.FirstMost))
	fmt.Fprintf(w, "this machine\tkept all waiting for the processor %s, for the disk %s at most\n", ms(r.Processor), ms(r.Disk))
	for _, t := range r.Takeovers {
		if t.Done {
			fmt.Fprintf(w, "take-over\t%s, after %s was stopped: %s\n", t.Work, t.Node, ms(t.Took))
		} else {
			fmt.Fprintf(w, "take-over\t%s, after %s was stopped: not within %s\n", t.Work, t.Node, ms(t.Took))
		}
	}
	for i, v := range r.Verdicts {
		label := ""
		if i == 0 {
			label = "rules"
		}
		fmt.Fprintf(w, "%s\t%s: %s\n", label, v.Rule, v.say())
		for _, how := range v.How {
			fmt.Fprintf(w, "\t  %s\n", how)
		}
	}
	if r.Interrupted {
		fmt.Fprintf(w, "\tinterrupted: what came after is not known\n")
	}
}

func (v Verdict) say() string {
	switch {
	case v.Broken > 0:
		return fmt.Sprintf("BROKEN %d times (%d checks)", v.Broken, v.Checked)
	case v.Checked == 0:
		return "not seen (0 checks)"
	}
	return fmt.Sprintf("kept (%d checks)", v.Checked)
}
