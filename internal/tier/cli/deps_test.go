package cli

import (
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The tier implements consensus, membership, discovery, replication and proxying itself: no library for them may be linked.
func TestDependencies_NoTierLibraries(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{.ImportPath}}", "saffronyard.example/saffronyard/cmd/serving-tier").Output()
	assert.NilError(t, err)
	deps := strings.Fields(string(out))
	assert.Assert(t, len(deps) > 100, "%d packages listed", len(deps))
	forbidden := []string{"raft", "memberlist", "serf", "gossip", "paxos", "etcd", "zookeeper", "consul", "grpc", "nats", "olric", "dragonboat",
		"bbolt", "badger", "rqlite", "envoy", "traefik", "caddy", "fasthttp", "oxy", "libp2p", "discovery", "mdns"}
	for _, dep := range deps {
		if !strings.Contains(dep, ".") || strings.HasPrefix(dep, "vendor/") { // standard library
			continue
		}
		for _, part := range strings.Split(strings.ToLower(dep), "/") {
			for _, b := range forbidden {
				assert.Assert(t, !strings.Contains(part, b) || strings.HasPrefix(dep, "saffronyard.example/"), "%s is linked", dep)
			}
		}
	}
	// No package of this module may use the standard library's reverse proxy.
	out, err = exec.Command("go", "list", "-deps", "-f", `{{.ImportPath}} {{join .Imports ","}}`, "saffronyard.example/saffronyard/cmd/serving-tier").Output()
	assert.NilError(t, err)
	for line := range strings.Lines(string(out)) {
		name, imports, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(name, "saffronyard.example/") {
			assert.Assert(t, !strings.Contains(imports, "net/http/httputil"), "%s imports net/http/httputil", name)
		}
	}
}
