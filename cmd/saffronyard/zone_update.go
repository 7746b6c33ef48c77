package main

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/nameserver"
	"saffronyard.example/saffronyard/internal/zone"
)

// updateTimeout bounds each step of an update's exchange: connect, write and read.
const updateTimeout = 5 * time.Second

// Errors of updates.
var (
	errEmptyUpdate    = errors.New("nothing to do: the update has no lines")
	errAddSyntax      = errors.New("add NAME TTL TYPE DATA")
	errAnswerUnsigned = errors.New("the answer is not signed")
)

// update is 'update': one signed update (RFC 2136) of a name server's zone; the exit code is 1 if the server refuses it.
func (r *zoneRequest) update() int {
	f := r.flagSet()
	name := f.String("zone", "", "the zone's `name`")
	server := f.String("server", "127.0.0.1:53", "the name server's `address:port`")
	keysFile := f.String("keys", "", "a `file` of keys, a line each: NAME ALGORITHM SECRET")
	key := f.String("key", "", "the `name` of the key that signs it")
	if f.Parse(r.args) != nil {
		return 2
	}
	if *name == "" || (*key == "") != (*keysFile == "") {
		return r.usage()
	}
	lines := f.Args()
	if len(lines) == 0 {
		for s := bufio.NewScanner(r.in); s.Scan(); {
			lines = append(lines, s.Text())
		}
	}
	m, err := newUpdate(*name, lines)
	if err != nil {
		return r.fail(err)
	}
	rcode, err := sendUpdate(m, *server, *keysFile, *key)
	if err != nil {
		return r.fail(err)
	}
	fmt.Fprintln(r.out, dns.RcodeToString[rcode])
	if rcode != dns.RcodeSuccess {
		return 1
	}
	return 0
}

// newUpdate builds an update message from lines (RFC 2136 2.4 and 2.5).
func newUpdate(name string, lines []string) (*dns.Msg, error) {
	if !zone.IsName(name) {
		return nil, invalidInput("%q is not a zone name", name)
	}
	m := new(dns.Msg).SetUpdate(zone.Name(name))
	changes := 0
	for i, line := range lines {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := addUpdateLine(m, words); err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		changes++
	}
	if changes == 0 {
		return nil, errEmptyUpdate
	}
	return m, nil
}

// addUpdateLine adds one line to an update: a record to add or delete, or a prerequisite.
func addUpdateLine(m *dns.Msg, words []string) error {
	verb, args := words[0], words[1:]
	if len(args) == 0 {
		return invalidInput("%s: the name is missing", verb)
	}
	name := zone.Name(args[0])
	if !zone.IsName(name) {
		return invalidInput("%q is not a domain name", args[0])
	}
	if verb == "add" {
		return addRecord(m, name, args[1:])
	}
	bare, full, err := parseTarget(name, args[1:])
	if err != nil {
		return err
	}
	target := []dns.RR{bare}
	switch {
	case verb == "delete" && full != nil:
		m.Remove([]dns.RR{full})
	case verb == "delete" && len(args) == 2:
		m.RemoveRRset(target)
	case verb == "delete":
		m.RemoveName(target)
	case verb == "need" && full != nil:
		m.Used([]dns.RR{full})
	case verb == "need" && len(args) == 2:
		m.RRsetUsed(target)
	case verb == "need":
		m.NameUsed(target)
	case verb == "need-no" && len(args) == 2:
		m.RRsetNotUsed(target)
	case verb == "need-no" && len(args) == 1:
		m.NameNotUsed(target)
	default:
		return invalidInput("%q: the commands are add, delete, need and need-no", strings.Join(words, " "))
	}
	return nil
}

// addRecord adds a record of name to the update; args are TTL TYPE DATA.
func addRecord(m *dns.Msg, name string, args []string) error {
	if len(args) < 3 {
		return errAddSyntax
	}
	if _, err := strconv.ParseUint(args[0], 10, 31); err != nil {
		return invalidInput("%q is not a time to live in seconds", args[0])
	}
	rr, err := dns.NewRR(name + " " + args[0] + " IN " + strings.Join(args[1:], " "))
	if err != nil {
		return err
	}
	m.Insert([]dns.RR{rr})
	return nil
}

// parseTarget parses [TYPE [DATA]] of a name: bare contains the name and the type; full is the complete record, nil without DATA.
func parseTarget(name string, args []string) (bare *dns.ANY, full dns.RR, err error) {
	bare = &dns.ANY{Hdr: dns.RR_Header{Name: name}}
	if len(args) > 0 {
		rrtype, ok := dns.StringToType[args[0]]
		if !ok {
			return nil, nil, invalidInput("%q is not a record type", args[0])
		}
		bare.Hdr.Rrtype = rrtype
	}
	if len(args) > 1 {
		if full, err = dns.NewRR(name + " 0 IN " + strings.Join(args, " ")); err != nil {
			return nil, nil, err
		}
	}
	return bare, full, nil
}

// sendUpdate sends an update over TCP, signed if key is not empty, and returns the answer's response code.
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
		return 0, &serverError{text: fmt.Sprintf("the server answers %s; signature error: %s", dns.RcodeToString[r.Rcode], dns.RcodeToString[int(t.Error)])}
	}
	if err != nil {
		return 0, err
	}
	if key != "" && r.IsTsig() == nil && r.Rcode == dns.RcodeSuccess {
		return 0, errAnswerUnsigned
	}
	return r.Rcode, nil
}
