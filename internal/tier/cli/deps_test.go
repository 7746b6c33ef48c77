package cli

import (
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Agreement, membership, discovery, replication and proxying are the tier's own work: no library for them is linked.
func TestDependencies_NoTierLibraries(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{.ImportPath}}", "saffronyard.example/saffronyard/cmd/serving-tier").Output()
	assert.NilError(t, err)
	deps := strings.Fields(string(out))
	assert.Assert(t, len(deps) > 100, "%d packages listed", len(deps))
	bad := []string{"raft", "memberlist", "serf", "gossip", "paxos", "etcd", "zookeeper", "consul", "grpc", "nats", "olric", "dragonboat",
		"bbolt", "badger", "rqlite", "envoy", "traefik", "caddy", "fasthttp", "oxy", "libp2p", "discovery", "mdns"}
	for _, dep := range deps {
		if !strings.Contains(dep, ".") || strings.HasPrefix(dep, "vendor/") { // the language's own
			continue
		}
		for _, part := range strings.Split(strings.ToLower(dep), "/") {
			for _, b := range bad {
				assert.Assert(t, !strings.Contains(part, b) || strings.HasPrefix(dep, "saffronyard.example/"), "%s is linked", dep)
			}
		}
	}
	// The reverse proxy of the standard library isn't used by packages of our own.
	out, err = exec.Command("go", "list", "-deps", "-f", `{{.ImportPath}} {{join .Imports ","}}`, "saffronyard.example/saffronyard/cmd/serving-tier").Output()
	assert.NilError(t, err)
	for line := range strings.Lines(string(out)) {
		name, imports, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(name, "saffronyard.example/") {
			assert.Assert(t, !strings.Contains(imports, "net/http/httputil"), "%s imports net/http/httputil", name)
		}
	}
}
