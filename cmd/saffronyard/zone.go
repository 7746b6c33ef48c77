package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"saffronyard.example/saffronyard/internal/nameserver"
	"saffronyard.example/saffronyard/internal/sender"
	"saffronyard.example/saffronyard/internal/zone"
)

const zoneUsage = `saffronyard zone check [-origin NAME] FILE        what is wrong with a zone file, or how many records it has
saffronyard zone diff [-origin NAME] A B          what makes B of A; 1 if they differ
saffronyard zone show [-state FOLDER] [-json]     zones and members of a sender that runs
saffronyard zone update -zone NAME [-server ADDRESS:PORT] [-keys FILE -key NAME] [LINE ...]
    sends one signed update; lines are arguments, or come from standard input:
    add NAME TTL TYPE DATA      delete NAME [TYPE [DATA]]
    need NAME [TYPE [DATA]]     need-no NAME [TYPE]
`

// zoneRequest is a zone command before its flags are parsed.
type zoneRequest struct {
	verb   string
	args   []string
	getenv func(string) string
	in     io.Reader
	out    io.Writer
	errs   io.Writer
}

// zoneCommand is 'saffronyard zone': commands on zone files, on a running sender, and on a name server.
func zoneCommand(args []string, getenv func(string) string, in io.Reader, out, errs io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errs, zoneUsage)
		return 2
	}
	r := zoneRequest{verb: args[0], args: args[1:], getenv: getenv, in: in, out: out, errs: errs}
	switch r.verb {
	case "check", "diff":
		return r.compareFiles()
	case "show":
		return r.show()
	case "update":
		return r.update()
	}
	return r.usage()
}

func (r *zoneRequest) usage() int {
	fmt.Fprint(r.errs, zoneUsage)
	return 2
}

// fail prints an error and returns the exit code for it.
func (r *zoneRequest) fail(err error) int {
	fmt.Fprintf(r.errs, "zone %s: %v\n", r.verb, err)
	return 2
}

func (r *zoneRequest) flagSet() *flag.FlagSet {
	f := flag.NewFlagSet("saffronyard zone "+r.verb, flag.ContinueOnError)
	f.SetOutput(r.errs)
	return f
}

// compareFiles is 'check FILE' and 'diff A B'; the exit code of diff is 1 if they differ.
func (r *zoneRequest) compareFiles() int {
	f := r.flagSet()
	origin := f.String("origin", "", "the zone's `name`; default: the file's, without its ending")
	if f.Parse(r.args) != nil {
		return 2
	}
	if want := map[string]int{"check": 1, "diff": 2}[r.verb]; f.NArg() != want {
		return r.usage()
	}
	var zones []*zone.Zone
	for _, path := range f.Args() {
		z, err := readZone(path, *origin)
		if err != nil {
			return r.fail(err)
		}
		zones = append(zones, z)
	}
	if r.verb == "check" {
		fmt.Fprintf(r.out, "%s: serial %d, %d records\n", zones[0].Origin(), zones[0].Serial(), zones[0].Records())
		return 0
	}
	if zones[0].Origin() != zones[1].Origin() {
		return r.fail(invalidInput("the files are of two zones, %s and %s", zones[0].Origin(), zones[1].Origin()))
	}
	return printDelta(zone.Diff(zones[0], zones[1]), r.out)
}

// show is 'show': the zones and members of a running sender.
func (r *zoneRequest) show() int {
	f := r.flagSet()
	state := f.String("state", r.getenv("EDGE_STATE"), "the sender's state `folder`; default $EDGE_STATE")
	asJSON := f.Bool("json", false, "JSON in place of tables")
	if f.Parse(r.args) != nil {
		return 2
	}
	if *state == "" || f.NArg() > 0 {
		return r.usage()
	}
	raw, err := getFromSocket(filepath.Join(*state, sender.SocketName), "/zones")
	if err == nil && *asJSON {
		_, err = r.out.Write(raw)
	} else if err == nil {
		err = printZones(raw, r.out)
	}
	if err != nil {
		fmt.Fprintf(r.errs, "zone show: %v\n", err)
		return 1
	}
	return 0
}

// readZone reads a zone file. Without an origin the zone's name is the file's name without its ending, as in example.org.zone.
func readZone(path, origin string) (*zone.Zone, error) {
	if origin == "" {
		origin = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	if !zone.IsName(origin) {
		return nil, invalidInput("%q is not a zone name", origin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	root, err := os.OpenRoot(filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	defer root.Close()
	return zone.Parse(bufio.NewReader(file), origin, filepath.Base(path), root.FS(), nameserver.DefaultMaxRecords)
}

// printDelta prints the difference between two zones and returns the exit code: 1 if they differ.
func printDelta(d *zone.Delta, out io.Writer) int {
	if d.Records() == 0 {
		return 0
	}
	fmt.Fprintf(out, "serial %d to %d\n", d.From, d.To)
	for _, rr := range d.Removed {
		fmt.Fprintln(out, "-", rr)
	}
	for _, rr := range d.Added {
		fmt.Fprintln(out, "+", rr)
	}
	return 1
}

func printZones(raw []byte, out io.Writer) error {
	var r nameserver.Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	where := "no server"
	if r.Address != "" {
		where = "served at " + r.Address
	}
	fmt.Fprintf(out, "%d zones, %s; %d questions, %d updates, %d NOTIFYs, %d transfers, %d refused, %d dropped\n", len(r.Zones), where,
		r.Counts["queries"], r.Counts["updates"], r.Counts["notifies"], r.Counts["transfers"], r.Counts["refused"], r.Counts["dropped"])
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ZONE\tSTATE\tSERIAL\tRECORDS\tFOR\tFROM\tFAULT")
	for _, z := range r.Zones {
		fault := z.Fault
		if z.Behind {
			fault = strings.TrimSpace("the file lacks updates " + fault)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", z.Name, z.State, z.Serial, z.Records, formatMillis(z.ForMS), z.From, fault)
	}
	fmt.Fprintln(w, "\nDESTINATION\tNAME\tANSWER\tENDPOINTS")
	for _, m := range r.Members {
		answer := m.Answer
		if m.Retained {
			answer += ", held"
		}
		var at []string
		for _, l := range m.Lines {
			at = append(at, l.Addr+" "+strings.ToLower(l.State))
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", m.Destination, m.Name, answer, strings.Join(at, ", "))
	}
	return w.Flush()
}
