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

// zoneFile stands in for the operators' DNS: a zone file that says where receivers are, replaced whole with each change. Each
// receiver has two names, and each address is listed at both: a sender that took them for two endpoints would push it over.
type zoneFile struct {
	path   string
	serial int
}

const zoneName = "kit"

// services are the names of a receiver below its own.
var services = [...]string{"_hooks", "_notices"}

// features is what has a sender follow the file.
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

// write lists the endpoints, each as a SRV record of its receiver.
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
