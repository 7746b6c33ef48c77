package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	callTimeout  = 500 * time.Millisecond // for one page
	maxPageBytes = 16 << 20
)

// instancePage is one page of the platform's list, the response to GET /instances.
type instancePage struct {
	Instances []instance `json:"instances"`
	Next      *string    `json:"next_page_token"` // null or empty: this is the last page
}

// instance is one entry of the platform's list.
type instance struct {
	ID              string          `json:"instance_id"`
	Service         string          `json:"service_name"`
	Address         string          `json:"address"`
	Zone            string          `json:"zone"`
	Revision        string          `json:"revision"`
	Capacity        float64         `json:"capacity"`
	LifecycleState  string          `json:"lifecycle_state"`
	ColdRemainingMs float64         `json:"cold_remaining_ms"`
	Phase           string          `json:"phase"`
	Models          []instanceModel `json:"models"`
}

// instanceModel is a model that an instance serves.
type instanceModel struct {
	Name     string  `json:"name"`
	Revision float64 `json:"revision"`
}

// lifecycleDraining is the lifecycle state of an instance that is to get no new requests.
const lifecycleDraining = "draining"

// isLast reports whether no page follows.
func (p *instancePage) isLast() bool { return p.Next == nil || *p.Next == "" }

// endpoints returns the entries of a page that have an instance and an address.
func (p *instancePage) endpoints() []*tierv1.Endpoint {
	var list []*tierv1.Endpoint
	for _, entry := range p.Instances {
		if entry.ID == "" || entry.Address == "" {
			continue
		}
		endpoint := &tierv1.Endpoint{Instance: entry.ID, Service: entry.Service, Address: entry.Address, Zone: entry.Zone,
			Capacity: clampUint32(entry.Capacity), Draining: entry.LifecycleState == lifecycleDraining,
			SlowStartRemainingMs: clampUint32(entry.ColdRemainingMs), Revision: entry.Revision, Phase: entry.Phase}
		for _, model := range entry.Models {
			endpoint.Models = append(endpoint.Models, &tierv1.Model{Name: model.Name, Revision: clampUint32(model.Revision)})
		}
		list = append(list, endpoint)
	}
	return list
}

// clampUint32 converts a number, clamped to the range of uint32.
func clampUint32(f float64) uint32 { return uint32(min(max(f, 0), math.MaxUint32)) }

// rateLimitedError reports that the platform rejected a call because of its rate limit.
type rateLimitedError struct {
	status     int
	retryAfter time.Duration // 0: the response has no Retry-After
}

// Error implements error.
func (err rateLimitedError) Error() string {
	return fmt.Sprintf("platform rejected the call by its rate limit with status %d", err.status)
}

// statusError is the status of a response of the platform that is neither 200 nor a rate limit.
type statusError int

// Error implements error.
func (err statusError) Error() string { return fmt.Sprintf("platform returned status %d", int(err)) }

// fetchPage requests one page of the list; an empty token requests the first. The error is a rateLimitedError, a statusError,
// or the error of the call or the decoder.
func (plane *ControlPlane) fetchPage(ctx context.Context, token string) (*instancePage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := url.URL{Scheme: "http", Host: plane.Settings.CloudAddress, Path: "/instances"}
	if token != "" {
		address.RawQuery = url.Values{"page_token": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, err
	}
	reply, err := plane.Cloud.Do(request)
	if err != nil {
		return nil, err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxPageBytes))
	if reply.StatusCode != http.StatusOK {
		return nil, plane.callError(reply)
	}
	if err != nil {
		return nil, err
	}
	page := &instancePage{}
	if err := json.Unmarshal(body, page); err != nil {
		return nil, fmt.Errorf("decode the platform's list: %w", err)
	}
	return page, nil
}

// callError returns the error for a response with a status other than 200. Retry-After is capped at the drain time.
func (plane *ControlPlane) callError(reply *http.Response) error {
	retryAfter := time.Duration(0)
	if seconds, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		retryAfter = time.Duration(min(seconds, plane.Settings.DrainTimeout.Seconds()) * float64(time.Second))
	}
	if reply.StatusCode == http.StatusTooManyRequests || retryAfter > 0 {
		return rateLimitedError{reply.StatusCode, retryAfter}
	}
	return statusError(reply.StatusCode)
}
