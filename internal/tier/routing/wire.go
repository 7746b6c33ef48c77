package routing

import (
	"encoding/json"
	"errors"
	"fmt"
)

// wire is the configuration as sent; pointers tell what is missing.
type wire struct {
	Revision *float64       `json:"revision"`
	Routes   *[]wireRoute   `json:"routes"`
	Services *[]wireService `json:"services"`
	Limits   wireLimits     `json:"limits"`
}

// wireRoute is a route as sent. Spans are in the unit that the name tells.
type wireRoute struct {
	Name      string      `json:"name"`
	Hostname  string      `json:"hostname"`
	Prefix    string      `json:"path_prefix"`
	Type      *string     `json:"route_type"`
	Timeout   *float64    `json:"timeout_ms"`
	Aim       float64     `json:"target_latency_ms"`
	Priority  float64     `json:"priority"`
	Attempts  float64     `json:"max_attempts"`
	Service   *string     `json:"service_name"`
	Split     []wireShare `json:"traffic_split"`
	Persisted bool        `json:"persisted"`
	Retention float64     `json:"retention_s"`
	Affinity  bool        `json:"session_affinity"`
	Resumable bool        `json:"resumable"`
	GapAim    float64     `json:"gap_aim_ms"`
}

// wireShare is one service of a traffic split.
type wireShare struct {
	Service string  `json:"service_name"`
	Weight  float64 `json:"weight"`
}

// wireService is a service as sent.
type wireService struct {
	Name           string      `json:"name"`
	HealthPath     string      `json:"health_path"`
	MaxConnections float64     `json:"max_connections"`
	Engine         *wireEngine `json:"inference_engine"`
}

// wireEngine is what a configuration says of a service's engines. CacheTokens is the memory of one of them.
type wireEngine struct {
	Capacity       float64     `json:"capacity"`
	CacheTokens    float64     `json:"cache_tokens"`
	TokensPerEvent float64     `json:"tokens_per_event"`
	Models         []wireModel `json:"models"`
}

// wireModel is a model that an engine holds.
type wireModel struct {
	Name string `json:"name"`
}

// wireLimits are the limits as sent.
type wireLimits struct {
	MaxHeader     float64 `json:"max_header_bytes"`
	MaxBody       float64 `json:"max_body_bytes"`
	HeaderTimeout float64 `json:"header_timeout_ms"`
	IdleTimeout   float64 `json:"idle_timeout_ms"`
}

// decode reads the body whole. What has the wrong type is a finding and is left at zero; damaged JSON ends it.
func decode(body []byte, found *findings) (w wire, ok bool) {
	err := json.Unmarshal(body, &w)
	if err == nil {
		return w, true
	}
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			found.add(fmt.Sprintf("byte %d", syntax.Offset), "%s", syntax)
		} else {
			found.add("body", "%s", err)
		}
		return w, false
	}
	// The decoder tells only the first wrong type, and not in which entry: read the parts one by one.
	var parts struct {
		Routes   json.RawMessage `json:"routes"`
		Services json.RawMessage `json:"services"`
		Limits   json.RawMessage `json:"limits"`
		Revision json.RawMessage `json:"revision"`
	}
	before := len(found.list)
	if typed("body", body, &parts, found) {
		typed("revision", parts.Revision, new(float64), found)
		typed("limits", parts.Limits, new(wireLimits), found)
		each[wireRoute]("routes", parts.Routes, found)
		each[wireService]("services", parts.Services, found)
	}
	if len(found.list) == before {
		found.add(wrong.Field, "is a %s", wrong.Value)
	}
	return w, true
}

// each reads the entries of a list one by one.
func each[T any](place string, raw json.RawMessage, found *findings) {
	var entries []json.RawMessage
	if !typed(place, raw, &entries, found) {
		return
	}
	for i, e := range entries {
		typed(fmt.Sprintf("%s[%d]", place, i), e, new(T), found)
	}
}

// typed reads one part and notes where its type is wrong.
func typed(place string, raw json.RawMessage, to any, found *findings) bool {
	if len(raw) == 0 {
		return true
	}
	err := json.Unmarshal(raw, to)
	if err == nil {
		return true
	}
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		found.add(place, "%s", err)
		return false
	}
	if wrong.Field != "" {
		place += "." + wrong.Field
	}
	found.add(place, "is a %s", wrong.Value)
	return false
}
