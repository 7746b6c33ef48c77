package controlplane

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// instancePage is one page of the platform's answer.
type instancePage struct {
	Instances []struct {
		Instance  string  `json:"instance_id"`
		Service   string  `json:"service_name"`
		Address   string  `json:"address"`
		Zone      string  `json:"zone"`
		Revision  string  `json:"revision"`
		Capacity  float64 `json:"capacity"`
		State     string  `json:"lifecycle_state"`
		ColdForMs float64 `json:"cold_remaining_ms"`
		Phase     string  `json:"phase"`
		Models    []struct {
			Name     string  `json:"name"`
			Revision float64 `json:"revision"`
		} `json:"models"`
	} `json:"instances"`
	Next *string `json:"next_page_token"`
}

// endpoints gives the entries of a page that can be used.
func (p *instancePage) endpoints() []*tierv1.Endpoint {
	var list []*tierv1.Endpoint
	for _, i := range p.Instances {
		if i.Instance == "" || i.Address == "" {
			continue
		}
		one := &tierv1.Endpoint{Instance: i.Instance, Service: i.Service, Address: i.Address, Zone: i.Zone,
			Capacity: clampUint32(i.Capacity), Draining: i.State == "draining", SlowStartRemainingMs: clampUint32(i.ColdForMs),
			Revision: i.Revision, Phase: i.Phase}
		for _, m := range i.Models {
			one.Models = append(one.Models, &tierv1.Model{Name: m.Name, Revision: clampUint32(m.Revision)})
		}
		list = append(list, one)
	}
	return list
}

func clampUint32(f float64) uint32 { return uint32(min(max(f, 0), math.MaxUint32)) }

// errPlatformRefuses is the type of the error of a call that the platform refuses, as too many came.
var errPlatformRefuses = errorx.NewType(errorx.NewNamespace("platform"), "refuses")

// fetchPage asks for one page of the list.
func (plane *ControlPlane) fetchPage(ctx context.Context, token string) (p *instancePage, wait time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at := url.URL{Scheme: "http", Host: plane.Settings.CloudAddress, Path: "/instances"}
	if token != "" {
		at.RawQuery = url.Values{"page_token": {token}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at.String(), nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := plane.Cloud.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if resp.StatusCode != http.StatusOK {
		if s, bad := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); bad == nil && s > 0 {
			wait = time.Duration(min(s, plane.Settings.DrainTimeout.Seconds()) * float64(time.Second))
		}
		if resp.StatusCode == http.StatusTooManyRequests || wait > 0 {
			return nil, wait, errPlatformRefuses.New("the platform answered %d", resp.StatusCode)
		}
		return nil, 0, errorx.ExternalError.New("the platform answered %d", resp.StatusCode)
	}
	if err != nil {
		return nil, 0, err
	}
	p = &instancePage{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, 0, errorx.IllegalFormat.Wrap(err, "list of the platform")
	}
	return p, 0, nil
}
