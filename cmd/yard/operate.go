package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dockshift.example/dockshift/internal/tier/process"
	"dockshift.example/dockshift/internal/tier/routing"
	"dockshift.example/dockshift/internal/tier/settings"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"google.golang.org/protobuf/encoding/protojson"
)

type checkCmd struct {
	Files []string `arg:"" optional:"" help:"Files to check: settings (.yaml, .yml), and configurations as operators send them (.json)." type:"existingfile"`
	Table bool     `help:"Print the table of settings: field, type, default."`
}

func (k checkCmd) Run() error {
	if k.Table {
		fmt.Print(settings.Describe())
	}
	if len(k.Files) == 0 && !k.Table {
		return errors.New("nothing to check: name files")
	}
	bad := 0
	say := func(name string, err error) {
		if err == nil {
			fmt.Printf("%s: right\n", name)
			return
		}
		bad++
		fmt.Printf("%s: %v\n", name, err)
	}
	for _, name := range k.Files {
		if strings.HasSuffix(name, ".json") {
			body, err := os.ReadFile(name)
			if err == nil {
				_, err = routing.Parse(body)
			}
			say(name, err)
			continue
		}
		_, err := settings.Load(name)
		say(name, err)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d files have findings", bad, len(k.Files))
	}
	return nil
}

type statusCmd struct {
	At   []string `help:"Internal addresses (host:port) of control-plane processes; else the seeds of the settings file." placeholder:"ADDRESS"`
	JSON bool     `help:"Print JSON."`
}

func (k statusCmd) Run(c *cli) error {
	at := k.At
	if len(at) == 0 {
		path := c.Settings
		if path == "" {
			path = settings.Path()
		}
		s, err := settings.Load(path)
		if err != nil {
			return err
		}
		at = s.SeedInternal()
	}
	dial := process.DialControlPlane()
	var failed []string
	for _, a := range at {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		reply, err := dial(a).Status(ctx, &tierv1.StatusRequest{})
		cancel()
		if err != nil {
			failed = append(failed, a+": "+err.Error())
			continue
		}
		if k.JSON {
			fmt.Println(protojson.Format(reply))
			continue
		}
		printStatus(os.Stdout, a, reply)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d do not answer:\n  %s", len(failed), len(at), strings.Join(failed, "\n  "))
	}
	return nil
}

// printStatus writes what a control-plane process told of itself, as docs/operate/control.md explains it.
func printStatus(out io.Writer, at string, s *tierv1.StatusReply) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "%s\t%s\t%s\tepoch %d\tsequence %d\trevision %d\n", at, s.GetSelf().GetNode(), roleIn(s), s.GetRecord().GetEpoch(), s.Sequence, s.Revision)
	if s.DiskError != "" {
		fmt.Fprintf(w, "  disk\t%s\n", s.DiskError)
	}
	for _, m := range s.GetRecord().GetMembers() {
		fmt.Fprintf(w, "  member\t%s\t%s\t%s\n", m.Node, m.Address, m.Zone)
	}
	for _, one := range s.Sessions {
		fmt.Fprintf(w, "  session\t%s\t%s\tconfiguration %d\tendpoints %d\tturn stores %d\tsilent %d ms%s\n", one.Node, one.Role, one.Configuration, one.Endpoints, one.PartitionMap, one.SilentMs, diskTrouble(one.Disk))
	}
	whole := 0
	for _, p := range s.GetPartitionMap().GetPartitions() {
		ok := len(p.Backups) > 0
		for _, b := range p.Backups {
			ok = ok && b.Synced
		}
		if ok {
			whole++
		}
	}
	if v := s.GetPartitionMap(); v != nil {
		fmt.Fprintf(w, "  partitions\t%d\twith all copies\t%d\n", len(v.Partitions), whole)
	}
	if s.Risk != nil {
		printRisk(w, s.Risk)
	}
}

// diskTrouble tells why a turn store's disk is not sound, so that it has no duties; empty for one that is.
func diskTrouble(state tierv1.DiskState) string {
	switch state {
	case tierv1.DiskState_DISK_UNSPECIFIED, tierv1.DiskState_DISK_SOUND:
		return ""
	case tierv1.DiskState_DISK_FULL:
		return "\tnot sound: disk full"
	case tierv1.DiskState_DISK_STUCK:
		return "\tnot sound: disk stuck"
	default:
		return "\tnot sound: disk failing"
	}
}

// roleIn tells what a process is by the newest record that it knows.
func roleIn(s *tierv1.StatusReply) string {
	switch {
	case s.Primary:
		return "primary"
	case slices.Contains(s.GetRecord().GetBackups(), s.GetSelf().GetFolder()):
		return "backup"
	default:
		return "witness"
	}
}

// printRisk writes which losses are borne at this moment, and until when they are fewer than the settings ask for.
func printRisk(w io.Writer, r *tierv1.Risk) {
	changing := ""
	if r.ControlChanging {
		changing = ", a change of members under way"
	}
	control := fmt.Sprint(r.ControlBorne)
	if r.ControlBorne < 0 {
		control = "unknown"
	}
	fmt.Fprintf(w, "  losses borne\tcontrol state %s of %d (%d members%s)\tpartitions %d of %d\n",
		control, r.Losses, r.ControlMembers, changing, r.PartitionsBorne, r.Losses)
	if r.ControlBorne < int32(r.Losses) {
		fmt.Fprintf(w, "  at risk\tcontrol state: %d copies beside the primary's, absent members: %s\n", r.ControlCopies, listed(r.ControlAbsent))
	}
	if r.Partitions > 0 {
		until := time.Duration(r.PartitionsUntilMs) * time.Millisecond
		when := fmt.Sprintf("until %v from now at most", until)
		if until < 0 {
			when = fmt.Sprintf("overdue by %v", -until)
		}
		fmt.Fprintf(w, "  at risk\t%d partitions for %v, %s\n", r.Partitions, time.Duration(r.PartitionsForMs)*time.Millisecond, when)
	}
}

// listed joins names, or tells that there are none.
func listed(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
