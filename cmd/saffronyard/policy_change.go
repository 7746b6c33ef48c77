package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/sender"
)

// errAborted reports a policy change that took effect on no sender.
var errAborted = errors.New("aborted: it took effect on no sender")

// changeUnknownError reports a submitted change whose outcome the command could not determine.
type changeUnknownError struct {
	id    uint64
	cause error // nil: the command's wait timed out
}

// Error returns the text for the operator.
func (e *changeUnknownError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("change %d is submitted; its outcome is not known yet", e.id)
	}
	return fmt.Sprintf("change %d is submitted; its outcome is not known: %v", e.id, e.cause)
}

// Unwrap returns the request's error, nil after a time-out.
func (e *changeUnknownError) Unwrap() error { return e.cause }

const (
	// changePollInterval is the pause between two polls of a change under way.
	changePollInterval = 20 * time.Millisecond
	// changeGrace is how much longer than the change's own time-out the command waits for the outcome.
	changeGrace = time.Minute
)

// policyChange is a change of the policy as an operator proposes it.
type policyChange struct {
	base     uint64 // the version that the change replaces
	restored uint64 // the earlier version whose document is proposed again; 0: none
	document []byte
	why      string        // kept in the history
	wait     time.Duration // the change is aborted unless all senders have staged it by then
	dryRun   bool
	quiet    bool // no progress on standard error
}

// addFlags adds the flags that all commands that change the policy share.
func (p *policyChange) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.why, "why", "", "the reason, kept with it")
	c.Flags().DurationVar(&p.wait, "wait", 30*time.Second, "give up if it is not staged everywhere by then")
	c.Flags().BoolVar(&p.dryRun, "dry-run", false, "say what would change, and change nothing")
	c.Flags().BoolVar(&p.quiet, "quiet", false, "no progress")
}

// printDiff prints how a document differs from the policy in force, and how many of this sender's pending messages that affects.
func (s *senderClient) printDiff(c *cobra.Command, r fleet.Report, p *fleetpolicy.Policy) error {
	inForce, err := parseDocument(r.Policy.Document)
	if err != nil {
		return err
	}
	var pending []sender.PendingCount
	if err := s.request(http.MethodGet, "/held", nil, &pending); err != nil {
		return err
	}
	counts := map[fleetpolicy.Call]int{}
	for _, h := range pending {
		counts[fleetpolicy.Call{Destination: h.Destination, Tenant: h.Tenant}] += h.Messages
	}
	lines := fleetpolicy.Diff(inForce, p)
	total, byDestination := fleetpolicy.AffectedBySwitch(inForce, p).CountMessages(counts)
	return s.print(c, struct {
		Base    uint64                     `json:"base"`
		Lines   []string                   `json:"lines"`
		Touched int                        `json:"held_messages_touched"`
		By      []fleetpolicy.MessageCount `json:"by_destination,omitempty"`
	}{r.Policy.Version, lines, total, byDestination}, func(w io.Writer) {
		if len(lines) == 0 {
			fmt.Fprintf(w, "nothing differs from version %d\n", r.Policy.Version)
		}
		for _, l := range lines {
			fmt.Fprintln(w, l)
		}
		if total > 0 {
			fmt.Fprintf(w, "of the messages that this sender holds %d are touched\n", total)
		}
		for _, b := range byDestination {
			fmt.Fprintf(w, "  %d for destination %d\n", b.Messages, b.Destination)
		}
	})
}

// propose submits a document and polls the change until it is in force or aborted.
func (s *senderClient) propose(c *cobra.Command, p policyChange) error {
	q := url.Values{"base": {strconv.FormatUint(p.base, 10)}, "back": {strconv.FormatUint(p.restored, 10)}, "wait": {p.wait.String()}, "why": {p.why}}
	var accepted struct{ Change uint64 }
	if err := s.request(http.MethodPost, "/policy/propose?"+q.Encode(), p.document, &accepted); err != nil {
		return err
	}
	id, printed := accepted.Change, ""
	for end := time.Now().Add(p.wait + changeGrace); time.Now().Before(end); time.Sleep(changePollInterval) {
		r, err := s.report()
		if err != nil {
			return &changeUnknownError{id: id, cause: err}
		}
		for _, past := range r.Policy.History {
			if past.ID != id {
				continue
			}
			if past.Version == 0 {
				return fmt.Errorf("change %d is %w: %s", id, errAborted, past.AbortReason)
			}
			return s.print(c, past, func(w io.Writer) { fmt.Fprintf(w, "version %d is in force\n", past.Version) })
		}
		if line := changeProgress(r); !p.quiet && line != printed {
			printed = line
			fmt.Fprintf(c.ErrOrStderr(), "change %d: %s\n", id, line)
		}
	}
	return &changeUnknownError{id: id}
}

// changeProgress describes the state of a change and the lease holders that it waits for, as this sender reports them.
func changeProgress(r fleet.Report) string {
	o := r.Policy.Open
	if o == nil {
		return "handed in"
	}
	line := "it is being staged"
	if o.Frozen {
		line = "it is about to take hold"
	}
	for _, w := range o.WaitingOn {
		line += fmt.Sprintf("; waits for %s %s, whose lease has %v left", orElse(w.Name, "holders of an earlier leader's leases"), w.Reason, w.Remaining.Round(time.Second))
	}
	return line
}
