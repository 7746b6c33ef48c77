package process

import (
	"net/http"
	"sync"

	"saffronyard.example/saffronyard/internal/tier/rpc"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// dialer returns a function that returns the client for an address (host:port). There is one client for each address, and all
// share one pool of connections.
func dialer[T any](client *http.Client, connect func(url string, client *http.Client) T) func(address string) T {
	var mu sync.Mutex
	clients := map[string]T{}
	return func(address string) T {
		mu.Lock()
		defer mu.Unlock()
		known, ok := clients[address]
		if !ok {
			known = connect("http://"+address, client)
			clients[address] = known
		}
		return known
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

// DialControlPlane returns a function that returns a client of the control-plane process at an internal address, for the
// command line.
func DialControlPlane() func(address string) tierv1.ControlPlane {
	return dialer(rpc.NewClient(), dialControlPlane)
}
