package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/miekg/dns"

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

const updateTimeout = 5 * time.Second

// zoneCommand works on zone files, on a sender that runs, and on a name server.
func zoneCommand(args []string, getenv func(string) string, in io.Reader, out, errs io.Writer) int {
	usage := func() int {
		fmt.Fprint(errs, zoneUsage)
		return 2
	}
	if len(args) == 0 {
		return usage()
	}
	f := flag.NewFlagSet("saffronyard zone "+args[0], flag.ContinueOnError)
	f.SetOutput(errs)
	fail := func(err error) int {
		fmt.Fprintf(errs, "zone %s: %v\n", args[0], err)
		return 2
	}
	switch args[0] {
	case "check", "diff":
		origin := f.String("origin", "", "the zone's `name`; default: the file's, without its ending")
		if f.Parse(args[1:]) != nil {
			return 2
		}
		if want := map[string]int{"check": 1, "diff": 2}[args[0]]; f.NArg() != want {
			return usage()
		}
		var zones []*zone.Zone
		for _, path := range f.Args() {
			z, err := readZone(path, *origin)
			if err != nil {
				return fail(err)
			}
			zones = append(zones, z)
		}
		if args[0] == "check" {
			fmt.Fprintf(out, "%s: serial %d, %d records\n", zones[0].Origin(), zones[0].Serial(), zones[0].Records())
			return 0
		}
		if zones[0].Origin() != zones[1].Origin() {
			return fail(fmt.Errorf("they are of two zones, %s and %s", zones[0].Origin(), zones[1].Origin()))
		}
		return showDiff(zone.Diff(zones[0], zones[1]), out)
	case "show":
		state := f.String("state", getenv("EDGE_STATE"), "the sender's state `folder`; default $EDGE_STATE")
		asJSON := f.Bool("json", false, "JSON in place of tables")
		if f.Parse(args[1:]) != nil {
			return 2
		}
		if *state == "" || f.NArg() > 0 {
			return usage()
		}
		raw, err := overSocket(filepath.Join(*state, sender.SocketName), "/zones")
		if err == nil && *asJSON {
			_, err = out.Write(raw)
		} else if err == nil {
			err = showZones(raw, out)
		}
		if err != nil {
			fmt.Fprintf(errs, "zone show: %v\n", err)
			return 1
		}
		return 0
	case "update":
		name := f.String("zone", "", "the zone's `name`")
		server := f.String("server", "127.0.0.1:53", "the name server's `address:port`")
		keysFile := f.String("keys", "", "a `file` of keys, a line each: NAME ALGORITHM SECRET")
		key := f.String("key", "", "the `name` of the key that signs it")
		if f.Parse(args[1:]) != nil {
			return 2
		}
		if *name == "" || (*key == "") != (*keysFile == "") {
			return usage()
		}
		lines := f.Args()
		if len(lines) == 0 {
			for s := bufio.NewScanner(in); s.Scan(); {
				lines = append(lines, s.Text())
			}
		}
		m, err := updateOf(*name, lines)
		if err != nil {
			return fail(err)
		}
		rcode, err := sendUpdate(m, *server, *keysFile, *key)
		if err != nil {
			return fail(err)
		}
		fmt.Fprintln(out, dns.RcodeToString[rcode])
		if rcode != dns.RcodeSuccess {
			return 1
		}
		return 0
	}
	return usage()
}

// readZone reads a zone file; without an origin its name is the file's, as in example.org.zone.
func readZone(path, origin string) (*zone.Zone, error) {
	if origin == "" {
		origin = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	if !zone.Label(origin) {
		return nil, fmt.Errorf("%q is no zone's name", origin)
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
	return zone.Parse(bufio.NewReader(file), origin, filepath.Base(path), root.FS(), nameserver.DefaultRecords)
}

func showDiff(d *zone.Delta, out io.Writer) int {
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

func showZones(raw []byte, out io.Writer) error {
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
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", z.Name, z.State, z.Serial, z.Records, millis(z.ForMS), z.From, fault)
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

// updateOf makes an update of lines (RFC 2136 2.4 and 2.5).
func updateOf(name string, lines []string) (*dns.Msg, error) {
	if !zone.Label(name) {
		return nil, fmt.Errorf("%q is no zone's name", name)
	}
	m := new(dns.Msg).SetUpdate(zone.Name(name))
	changes := 0
	for i, line := range lines {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := updateLine(m, words); err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		changes++
	}
	if changes == 0 {
		return nil, errors.New("there is nothing to do: no line")
	}
	return m, nil
}

func updateLine(m *dns.Msg, words []string) error {
	verb, args := words[0], words[1:]
	if len(args) == 0 {
		return fmt.Errorf("%s what?", verb)
	}
	name := zone.Name(args[0])
	if !zone.Label(name) {
		return fmt.Errorf("%q is no name", args[0])
	}
	if verb == "add" {
		if len(args) < 4 {
			return errors.New("add NAME TTL TYPE DATA")
		}
		if _, err := strconv.ParseUint(args[1], 10, 31); err != nil {
			return fmt.Errorf("%q is no time to live in seconds", args[1])
		}
		rr, err := dns.NewRR(name + " " + args[1] + " IN " + strings.Join(args[2:], " "))
		if err != nil {
			return err
		}
		m.Insert([]dns.RR{rr})
		return nil
	}
	bare := &dns.ANY{Hdr: dns.RR_Header{Name: name}}
	var full dns.RR
	if len(args) > 1 {
		kind, ok := dns.StringToType[args[1]]
		if !ok {
			return fmt.Errorf("%q is no type", args[1])
		}
		bare.Hdr.Rrtype = kind
	}
	if len(args) > 2 {
		rr, err := dns.NewRR(name + " 0 IN " + strings.Join(args[1:], " "))
		if err != nil {
			return err
		}
		full = rr
	}
	one := []dns.RR{bare}
	switch {
	case verb == "delete" && full != nil:
		m.Remove([]dns.RR{full})
	case verb == "delete" && len(args) == 2:
		m.RemoveRRset(one)
	case verb == "delete":
		m.RemoveName(one)
	case verb == "need" && full != nil:
		m.Used([]dns.RR{full})
	case verb == "need" && len(args) == 2:
		m.RRsetUsed(one)
	case verb == "need":
		m.NameUsed(one)
	case verb == "need-no" && len(args) == 2:
		m.RRsetNotUsed(one)
	case verb == "need-no" && len(args) == 1:
		m.NameNotUsed(one)
	default:
		return fmt.Errorf("%q: there are add, delete, need and need-no", strings.Join(words, " "))
	}
	return nil
}

// sendUpdate sends an update by TCP and gives the answer's code.
func sendUpdate(m *dns.Msg, server, keysFile, key string) (int, error) {
	c := dns.Client{Net: "tcp", Timeout: updateTimeout}
	if key != "" {
		keys, err := nameserver.ReadKeys(keysFile)
		if err != nil {
			return 0, err
		}
		ring := nameserver.NewKeyring(keys)
		if err := ring.Sign(m, key, time.Now().Unix()); err != nil {
			return 0, err
		}
		c.TsigProvider = ring
	}
	r, _, err := c.Exchange(m, server)
	if r == nil {
		return 0, err
	}
	if t := r.IsTsig(); t != nil && t.Error != dns.RcodeSuccess {
		return 0, fmt.Errorf("the server answers %s, and of the signature %s", dns.RcodeToString[r.Rcode], dns.RcodeToString[int(t.Error)])
	}
	if err != nil {
		return 0, err
	}
	if key != "" && r.IsTsig() == nil && r.Rcode == dns.RcodeSuccess {
		return 0, errors.New("the answer is not signed")
	}
	return r.Rcode, nil
}
