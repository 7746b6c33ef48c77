package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// errNoOpenChange reports an abort while no change is under way.
var errNoOpenChange = errors.New("no change is under way")

// policyCommand is 'saffronyard policy': the document that operators change for the whole fleet while senders run, and its versions.
func (s *senderClient) policyCommand() *cobra.Command {
	top := &cobra.Command{Use: "policy", Short: "what operators change in service for the whole fleet", RunE: requireSubcommand}
	top.AddCommand(policyCheckCommand(), s.policyDiffCommand(), s.policyProposeCommand(), s.policyStatusCommand(), s.policyAbortCommand(),
		s.policyHistoryCommand(), s.policyShowCommand(), s.policyBackCommand())
	return top
}

func policyCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "what is wrong with a document", Args: exactArgs("FILE"), RunE: func(c *cobra.Command, args []string) error {
		_, _, err := readDocument(args[0])
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%s: it is sound\n", args[0])
		}
		return err
	}}
}

func (s *senderClient) policyDiffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff FILE", Short: "how a document differs from what is in force", Args: exactArgs("FILE"), RunE: func(c *cobra.Command, args []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		p, _, err := readDocument(args[0])
		if err != nil {
			return err
		}
		return s.printDiff(c, r, p)
	}}
}

func (s *senderClient) policyProposeCommand() *cobra.Command {
	var change policyChange
	c := &cobra.Command{Use: "propose FILE", Short: "have a document take hold everywhere, or nowhere", Args: exactArgs("FILE"), RunE: func(c *cobra.Command, args []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		p, raw, err := readDocument(args[0])
		if err != nil {
			return err
		}
		if change.dryRun {
			return s.printDiff(c, r, p)
		}
		change.base, change.document = r.Policy.Version, raw
		return s.propose(c, change)
	}}
	change.addFlags(c)
	return c
}

func (s *senderClient) policyBackCommand() *cobra.Command {
	var change policyChange
	c := &cobra.Command{Use: "back VERSION", Short: "have an earlier version take hold again, as a new one", Args: exactArgs("VERSION"), RunE: func(c *cobra.Command, args []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		version, document, err := findVersion(r, args[0])
		if err != nil {
			return err
		}
		if change.dryRun {
			p, err := parseDocument(document)
			if err != nil {
				return err
			}
			return s.printDiff(c, r, p)
		}
		change.base, change.restored, change.document = r.Policy.Version, version, []byte(document)
		change.why = orElse(change.why, fmt.Sprintf("back to version %d", version))
		return s.propose(c, change)
	}}
	change.addFlags(c)
	return c
}

func (s *senderClient) policyAbortCommand() *cobra.Command {
	var why string
	c := &cobra.Command{Use: "abort", Short: "end the change that is under way", Args: exactArgs(), RunE: func(_ *cobra.Command, _ []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		if r.Policy.Open == nil {
			return errNoOpenChange
		}
		q := url.Values{"change": {strconv.FormatUint(r.Policy.Open.ID, 10)}, "why": {why}}
		return s.request(http.MethodPost, "/policy/abort?"+q.Encode(), nil, &struct{}{})
	}}
	c.Flags().StringVar(&why, "why", "", "the reason, kept with it")
	return c
}

func (s *senderClient) policyStatusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "the version in force, and the change under way", Args: exactArgs(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		return s.print(c, struct {
			Version uint64              `json:"version"`
			Open    *fleet.ChangeReport `json:"open,omitempty"`
		}{r.Policy.Version, r.Policy.Open}, func(w io.Writer) {
			fmt.Fprintf(w, "version %d is in force\n", r.Policy.Version)
			if r.Policy.Open != nil {
				printOpenChange(w, r.Policy.Open)
			}
		})
	}}
}

func printOpenChange(w io.Writer, open *fleet.ChangeReport) {
	phase := "is being staged"
	if open.Frozen {
		phase = "is about to take hold"
	}
	fmt.Fprintf(w, "change %d by %s %s: %s\n", open.ID, open.Author, phase, orElse(open.Reason, "no reason is given"))
	for _, h := range open.WaitingOn {
		fmt.Fprintf(w, "it waits for %s %s, whose lease has %v left\n", orElse(h.Name, "holders of an earlier leader's leases"), h.Reason, h.Remaining.Round(time.Millisecond))
	}
}

func (s *senderClient) policyHistoryCommand() *cobra.Command {
	return &cobra.Command{Use: "history", Short: "the changes that are over", Args: exactArgs(), RunE: func(c *cobra.Command, _ []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		return s.print(c, r.Policy.History, func(w io.Writer) {
			for _, p := range r.Policy.History {
				result := fmt.Sprintf("version %d", p.Version)
				if p.Version == 0 {
					result = "aborted: " + p.AbortReason
				}
				fmt.Fprintf(w, "change %d\tby %s\t%s\t%s\n", p.ID, p.Author, result, p.Reason)
			}
		})
	}}
}

func (s *senderClient) policyShowCommand() *cobra.Command {
	return &cobra.Command{Use: "show [VERSION]", Short: "a version's document; without a number that in force", Args: cobra.MaximumNArgs(1), RunE: func(c *cobra.Command, args []string) error {
		r, err := s.report()
		if err != nil {
			return err
		}
		document := r.Policy.Document
		if len(args) == 1 {
			if _, document, err = findVersion(r, args[0]); err != nil {
				return err
			}
		}
		_, err = io.WriteString(c.OutOrStdout(), document)
		return err
	}}
}

// readDocument reads and parses a policy document from a file.
func readDocument(path string) (*fleetpolicy.Policy, []byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	p, err := fleetpolicy.Parse(path, raw)
	return p, raw, err
}

// parseDocument parses a document that a sender returned.
func parseDocument(document string) (*fleetpolicy.Policy, error) {
	return fleetpolicy.Parse("the version in force", []byte(document))
}

// findVersion returns the document of an earlier version; version 0 is the empty one before the first document.
func findVersion(r fleet.Report, text string) (version uint64, document string, err error) {
	if version, err = strconv.ParseUint(text, 10, 64); err != nil {
		return 0, "", usageError{invalidInput("%q is not a version number", text)}
	}
	if version == 0 {
		return 0, "", nil
	}
	for _, p := range r.Policy.History {
		if p.Version == version {
			if p.Document == "" && version != r.Policy.Version {
				return 0, "", notFound("the document of version %d is no longer stored", version)
			}
			return version, p.Document, nil
		}
	}
	return 0, "", notFound("there is no version %d, or it is no longer in the history", version)
}
