package tierdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	platformRate  = 40.0 // limit of calls a second to the platform, for each process
	pageSize      = 4    // entries; small, so that lists have several pages
	drainTime     = time.Second
	endpointSlots = 16 // slots of an endpoint
)

// platform is a fake platform: it runs endpoints and lists them.
type platform struct {
	checker *ruleChecker
	ip      string
	address string
	server  *http.Server

	mu       sync.Mutex
	list     []*endpoint
	number   int
	draining sync.WaitGroup
}

// listEntry is an entry of the list.
type listEntry struct {
	Instance             string  `json:"instance_id"`
	Service              string  `json:"service_name"`
	Address              string  `json:"address"`
	Zone                 string  `json:"zone"`
	Revision             string  `json:"revision"`
	Capacity             int     `json:"capacity"`
	State                string  `json:"lifecycle_state"`
	SlowStartRemainingMs float64 `json:"cold_remaining_ms"`
}

// listPage is one page of the list.
type listPage struct {
	Instances []listEntry `json:"instances"`
	Next      *string     `json:"next_page_token"`
}

// startPlatform listens at ip, and lists no endpoints yet.
func startPlatform(checker *ruleChecker, ip string) (*platform, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	platform := &platform{checker: checker, ip: ip, address: listener.Addr().String()}
	platform.server = &http.Server{Handler: http.HandlerFunc(platform.instances)}
	go func() { _ = platform.server.Serve(listener) }()
	return platform, nil
}

// instances serves GET /instances.
func (platform *platform) instances(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(strings.TrimPrefix(r.FormValue("page_token"), "p-"))
	if err != nil && r.FormValue("page_token") != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	zone := r.FormValue("zone")
	page := listPage{Instances: []listEntry{}}
	platform.mu.Lock()
	seen := 0
	for _, endpoint := range platform.list {
		if zone != "" && zone != endpoint.zone {
			continue
		}
		if seen++; seen <= after {
			continue
		}
		if len(page.Instances) == pageSize {
			next := fmt.Sprintf("p-%d", after+pageSize)
			page.Next = &next
			break
		}
		state := "ready"
		if endpoint.draining.Load() {
			state = "draining"
		}
		page.Instances = append(page.Instances, listEntry{Instance: endpoint.instance, Service: endpoint.service, Address: endpoint.address, Zone: endpoint.zone,
			Revision: "v1", Capacity: endpoint.slots, State: state})
	}
	platform.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// add starts an endpoint and lists it.
func (platform *platform) add(service, zone string) error {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.number++
	endpoint, err := startEndpoint(endpointConfig{ip: platform.ip, instance: fmt.Sprintf("i-%s-%d", service, platform.number), service: service, zone: zone,
		slots: endpointSlots, checker: platform.checker})
	if err == nil {
		platform.list = append(platform.list, endpoint)
	}
	return err
}

// release replaces the oldest endpoint by a new one. The old endpoint is listed as draining, serves for one and a half times the
// drain time, and is shut down.
func (platform *platform) release(ctx context.Context) (instance string, err error) {
	platform.mu.Lock()
	var oldest *endpoint
	for _, endpoint := range platform.list {
		if oldest == nil && !endpoint.draining.Load() {
			oldest = endpoint
		}
	}
	platform.mu.Unlock()
	if oldest == nil {
		return "", nil
	}
	if err := platform.add(oldest.service, oldest.zone); err != nil {
		return "", err
	}
	oldest.draining.Store(true)
	platform.draining.Go(func() {
		t := time.NewTimer(drainTime * 3 / 2)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		platform.mu.Lock()
		for i, endpoint := range platform.list {
			if endpoint == oldest {
				platform.list = append(platform.list[:i:i], platform.list[i+1:]...)
				break
			}
		}
		platform.mu.Unlock()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), drainTime)
		defer cancel()
		oldest.shutDown(shutdownCtx)
	})
	return oldest.instance, nil
}

// count returns the number of endpoints that are not draining.
func (platform *platform) count() (n int) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	for _, endpoint := range platform.list {
		if !endpoint.draining.Load() {
			n++
		}
	}
	return n
}

// stop stops the platform and all endpoints.
func (platform *platform) stop() {
	platform.draining.Wait()
	_ = platform.server.Close()
	platform.mu.Lock()
	defer platform.mu.Unlock()
	for _, endpoint := range platform.list {
		_ = endpoint.server.Close()
	}
}
