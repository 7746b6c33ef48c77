package tierdemo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Report is the result of a demo.
type Report struct {
	Begun       time.Duration // until the tier accepted clients
	Calm        time.Duration // planned length of the phase without faults, which is part of Lasted
	Lasted      time.Duration // from the start of the traffic to its end
	Rate        float64       // programs a second
	Processor   time.Duration // longest wait of the machine for the processor
	Disk        time.Duration // longest fsync of the machine
	Interrupted bool
	Counts      Counts
	Seconds     []Second
	Failures    []string // reasons why the first programs failed
	Events      []Event
	Takeovers   []Takeover
	Verdicts    []Verdict
}

// Broken returns the number of rules that were broken.
func (report *Report) Broken() (n int) {
	for _, v := range report.Verdicts {
		if v.Broken > 0 {
			n++
		}
	}
	return n
}

// ms formats a duration in milliseconds.
func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// Print writes the report as text.
func (report *Report) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer table.Flush()
	counts := report.Counts
	fmt.Fprintf(table, "ready after\t%.2f s\n", report.Begun.Seconds())
	fmt.Fprintf(table, "played\t%.1f s, %.1f s of them calm, %.3g programs a second\n", report.Lasted.Seconds(), min(report.Calm, report.Lasted).Seconds(), report.Rate)
	fmt.Fprintf(table, "programs\t%d asked, %d whole, %d ended by their budget, %d failed\n", counts.Started, counts.Completed, counts.BudgetExhausted, counts.Failed)
	if counts.Interrupted > 0 {
		fmt.Fprintf(table, "\t%d were under way at the end\n", counts.Interrupted)
	}
	for _, why := range report.Failures {
		fmt.Fprintf(table, "\tfailed: %s\n", why)
	}
	fmt.Fprintf(table, "turns\t%d whole, %d of them late (first event after %v)\n", counts.Turns, counts.Late, latencyTarget)
	fmt.Fprintf(table, "first event\tp50 %s, p99 %s, longest %s\n", ms(counts.FirstP50), ms(counts.FirstP99), ms(counts.FirstMax))
	fmt.Fprintf(table, "this machine\tkept all waiting for the processor %s, for the disk %s at most\n", ms(report.Processor), ms(report.Disk))
	for _, takeover := range report.Takeovers {
		if takeover.Done {
			fmt.Fprintf(table, "take-over\t%s, after %s was stopped: %s\n", takeover.Work, takeover.Node, ms(takeover.Took))
		} else {
			fmt.Fprintf(table, "take-over\t%s, after %s was stopped: not within %s\n", takeover.Work, takeover.Node, ms(takeover.Took))
		}
	}
	for i, verdict := range report.Verdicts {
		label := ""
		if i == 0 {
			label = "rules"
		}
		fmt.Fprintf(table, "%s\t%s: %s\n", label, verdict.Rule, verdict.text())
		for _, how := range verdict.How {
			fmt.Fprintf(table, "\t  %s\n", how)
		}
	}
	if report.Interrupted {
		fmt.Fprintf(table, "\tinterrupted: what came after is not known\n")
	}
}

// text returns the verdict as the report prints it.
func (verdict Verdict) text() string {
	switch {
	case verdict.Broken > 0:
		return fmt.Sprintf("BROKEN %d times (%d checks)", verdict.Broken, verdict.Checked)
	case verdict.Checked == 0:
		return "not seen (0 checks)"
	}
	return fmt.Sprintf("kept (%d checks)", verdict.Checked)
}
