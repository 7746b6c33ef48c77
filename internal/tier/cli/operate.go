package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"saffronyard.example/saffronyard/internal/tier/process"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// statusTimeout is how long a control-plane process may take to answer.
const statusTimeout = 2 * time.Second

// checkCmd checks settings files and configurations.
type checkCmd struct {
	Files []string `arg:"" optional:"" help:"Files to check: settings (.yaml, .yml), and configurations as operators send them (.json)." type:"existingfile"`
	Table bool     `help:"Print the table of settings: field, type, default."`
}

// Run implements the command. It prints the findings; its error contains the number of files with findings.
func (command checkCmd) Run() error {
	if command.Table {
		fmt.Print(settings.Describe())
	}
	if len(command.Files) == 0 && !command.Table {
		return errNothingToCheck
	}
	bad := 0
	for _, name := range command.Files {
		if err := checkFile(name); err != nil {
			bad++
			fmt.Printf("%s: %v\n", name, err)
			continue
		}
		fmt.Printf("%s: right\n", name)
	}
	if bad > 0 {
		return findingsError{files: bad, checked: len(command.Files)}
	}
	return nil
}

// checkFile checks a settings file or, by its extension, a configuration.
func checkFile(name string) error {
	if !strings.HasSuffix(name, ".json") {
		_, err := settings.Load(name)
		return err
	}
	body, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	_, err = routing.Parse(body)
	return err
}

// statusCmd prints the status of control-plane processes.
type statusCmd struct {
	At   []string `help:"Internal addresses (host:port) of control-plane processes; else the seeds of the settings file." placeholder:"ADDRESS"`
	JSON bool     `help:"Print JSON."`
}

// Run implements the command. Its error lists the processes that do not answer.
func (command statusCmd) Run(flags *commandLine) error {
	addresses := command.At
	if len(addresses) == 0 {
		loaded, err := settings.Load(flags.settingsPath())
		if err != nil {
			return err
		}
		addresses = loaded.SeedInternal()
	}
	dial := process.DialControlPlane()
	var failed []string
	for _, address := range addresses {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		reply, err := dial(address).Status(ctx, &tierv1.StatusRequest{})
		cancel()
		if err != nil {
			failed = append(failed, address+": "+err.Error())
			continue
		}
		if command.JSON {
			fmt.Println(protojson.Format(reply))
			continue
		}
		printStatus(os.Stdout, address, reply)
	}
	if len(failed) > 0 {
		return noAnswerError{failed: failed, total: len(addresses)}
	}
	return nil
}

// printStatus prints the status of a control-plane process, as docs/operate/control.md explains it.
func printStatus(out io.Writer, at string, status *tierv1.StatusReply) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintf(table, "%s\t%s\t%s\tepoch %d\tsequence %d\trevision %d\n", at, status.GetSelf().GetNode(), roleIn(status), status.GetRecord().GetEpoch(), status.Sequence, status.Revision)
	if status.DiskError != "" {
		fmt.Fprintf(table, "  disk\t%s\n", status.DiskError)
	}
	for _, member := range status.GetRecord().GetMembers() {
		fmt.Fprintf(table, "  member\t%s\t%s\t%s\n", member.Node, member.Address, member.Zone)
	}
	for _, session := range status.Sessions {
		fmt.Fprintf(table, "  session\t%s\t%s\tconfiguration %d\tendpoints %d\tturn stores %d\tsilent %d ms%s\n", session.Node, session.Role, session.Configuration, session.Endpoints, session.PartitionMap, session.SilentMs, diskFault(session.Disk))
	}
	complete := 0
	for _, partition := range status.GetPartitionMap().GetPartitions() {
		synced := len(partition.Backups) > 0
		for _, backup := range partition.Backups {
			synced = synced && backup.Synced
		}
		if synced {
			complete++
		}
	}
	if partitionMap := status.GetPartitionMap(); partitionMap != nil {
		fmt.Fprintf(table, "  partitions\t%d\twith all copies\t%d\n", len(partitionMap.Partitions), complete)
	}
	if status.Risk != nil {
		printRisk(table, status.Risk)
	}
}

// diskFault returns why a turn store's disk is unhealthy, so that it gets no partitions; empty for a healthy one.
func diskFault(state tierv1.DiskState) string {
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

// roleIn returns the role of a process according to the newest view that it has.
func roleIn(status *tierv1.StatusReply) string {
	switch {
	case status.Primary:
		return "primary"
	case slices.Contains(status.GetRecord().GetBackups(), status.GetSelf().GetFolder()):
		return "backup"
	default:
		return "witness"
	}
}

// printRisk prints how many losses the tier survives now and, if these are fewer than the settings require, until when.
func printRisk(out io.Writer, risk *tierv1.Risk) {
	changing := ""
	if risk.ControlChanging {
		changing = ", a change of members under way"
	}
	control := fmt.Sprint(risk.ControlBorne)
	if risk.ControlBorne < 0 {
		control = "unknown"
	}
	fmt.Fprintf(out, "  losses borne\tcontrol state %s of %d (%d members%s)\tpartitions %d of %d\n",
		control, risk.Losses, risk.ControlMembers, changing, risk.PartitionsBorne, risk.Losses)
	if risk.ControlBorne < int32(risk.Losses) {
		fmt.Fprintf(out, "  at risk\tcontrol state: %d copies beside the primary's, absent members: %s\n", risk.ControlCopies, joinNames(risk.ControlAbsent))
	}
	if risk.Partitions > 0 {
		until := time.Duration(risk.PartitionsUntilMs) * time.Millisecond
		when := fmt.Sprintf("until %v from now at most", until)
		if until < 0 {
			when = fmt.Sprintf("overdue by %v", -until)
		}
		fmt.Fprintf(out, "  at risk\t%d partitions for %v, %s\n", risk.Partitions, time.Duration(risk.PartitionsForMs)*time.Millisecond, when)
	}
}

// joinNames joins names, or returns "none".
func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
