package day

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"saffronyard.example/saffronyard/internal/faulttest/platform"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// zoneFile simulates the operators' DNS: a zone file with the addresses of the receivers, which each change replaces atomically. Each
// receiver has two names, and both list each address: a sender that treated them as two endpoints would overload the receiver.
type zoneFile struct {
	path   string
	serial int
}

const zoneName = "kit"

// services are the service labels under which a receiver is listed.
var services = [...]string{"_hooks", "_notices"}

// features returns the text of a features file that makes a sender follow the zone file.
func (z *zoneFile) features(plan *script.Plan) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[dns]\n[[dns.zone]]\nname = %q\nfile = %q\n", zoneName, z.path)
	for i, r := range plan.Receivers {
		for _, service := range services {
			fmt.Fprintf(&b, "[[dns.member]]\ndestination = %d\nname = \"%s._r%d.%s\"\nsrv = true\nkind = %q\nzone = \"a\"\n", i, service, i, zoneName, r.Kind)
		}
	}
	return b.String()
}

// write replaces the zone file with one that lists the endpoints, each as an SRV record under both names of its receiver.
func (z *zoneFile) write(all []platform.Target) error {
	z.serial++
	var b strings.Builder
	fmt.Fprintf(&b, "$ORIGIN %s.\n@ 1 IN SOA ns hostmaster %d 60 10 300 1\n@ 1 IN NS ns\n", zoneName, z.serial)
	var hosts []string
	for _, t := range all {
		host, port, err := net.SplitHostPort(t.Addr)
		if err != nil {
			return err
		}
		name := "h-" + strings.ReplaceAll(host, ".", "-")
		for _, service := range services {
			fmt.Fprintf(&b, "%s._r%d 1 IN SRV 0 1 %s %s\n", service, t.Cell, port, name)
		}
		if !slices.Contains(hosts, name) {
			hosts = append(hosts, name)
			fmt.Fprintf(&b, "%s 1 IN A %s\n", name, host)
		}
	}
	if err := os.WriteFile(z.path+".new", []byte(b.String()), 0o644); err != nil {
		return err
	}
	return os.Rename(z.path+".new", z.path)
}
