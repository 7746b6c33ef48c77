package main

import (
	"context"
	"errors"
	"fmt"
	"os"
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
		printStatus(a, reply)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d do not answer:\n  %s", len(failed), len(at), strings.Join(failed, "\n  "))
	}
	return nil
}

func printStatus(at string, s *tierv1.StatusReply) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer w.Flush()
	role := "witness"
	if s.Primary {
		role = "primary"
	} else {
		for _, b := range s.GetRecord().GetBackups() {
			if b == s.GetSelf().GetFolder() {
				role = "backup"
			}
		}
	}
	fmt.Fprintf(w, "%s\t%s\t%s\tepoch %d\tsequence %d\trevision %d\n", at, s.GetSelf().GetNode(), role, s.GetRecord().GetEpoch(), s.Sequence, s.Revision)
	for _, m := range s.GetRecord().GetMembers() {
		fmt.Fprintf(w, "  member\t%s\t%s\t%s\n", m.Node, m.Address, m.Zone)
	}
	for _, one := range s.Sessions {
		fmt.Fprintf(w, "  session\t%s\t%s\tcatalog %d\tendpoints %d\tvaults %d\tsilent %d ms\n", one.Node, one.Role, one.Configuration, one.Endpoints, one.PartitionMap, one.SilentMs)
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
}
