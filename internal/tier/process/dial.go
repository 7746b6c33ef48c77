package process

import (
	"net/http"
	"sync"

	"dockshift.example/dockshift/internal/tier/rpcserver"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// dialer gives a client for an address (host:port). Clients are made once for each address and share one pool of connections.
func dialer[T any](client *http.Client, connect func(url string, client *http.Client) T) func(address string) T {
	var mu sync.Mutex
	known := map[string]T{}
	return func(address string) T {
		mu.Lock()
		defer mu.Unlock()
		c, ok := known[address]
		if !ok {
			c = connect("http://"+address, client)
			known[address] = c
		}
		return c
	}
}

func dialControlPlane(url string, client *http.Client) tierv1.ControlPlane {
	return tierv1.NewControlPlaneProtobufClient(url, client)
}

func dialElection(url string, client *http.Client) tierv1.Election {
	return tierv1.NewElectionProtobufClient(url, client)
}

func dialTurnStore(url string, client *http.Client) tierv1.TurnStore {
	return tierv1.NewTurnStoreProtobufClient(url, client)
}

// DialControlPlane gives clients of control-plane processes by their internal addresses, as the command line uses them.
func DialControlPlane() func(address string) tierv1.ControlPlane {
	return dialer(rpcserver.NewClient(), dialControlPlane)
}
