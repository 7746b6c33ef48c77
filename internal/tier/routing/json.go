package routing

import (
	"encoding/json"
	"errors"
	"fmt"
)

// jsonTable is the JSON form of a configuration. A nil pointer is a missing field.
type jsonTable struct {
	Revision *float64       `json:"revision"`
	Routes   *[]jsonRoute   `json:"routes"`
	Services *[]jsonService `json:"services"`
	Limits   jsonLimits     `json:"limits"`
}

// jsonRoute is the JSON form of a Route. Times are in the unit of the JSON name, milliseconds or seconds.
type jsonRoute struct {
	Name           string                `json:"name"`
	Hostname       string                `json:"hostname"`
	Prefix         string                `json:"path_prefix"`
	Type           *string               `json:"route_type"`
	Timeout        *float64              `json:"timeout_ms"`
	TargetLatency  float64               `json:"target_latency_ms"`
	Priority       float64               `json:"priority"`
	Attempts       float64               `json:"max_attempts"`
	Service        *string               `json:"service_name"`
	Split          []jsonWeightedService `json:"traffic_split"`
	Persisted      bool                  `json:"persisted"`
	Retention      float64               `json:"retention_s"`
	Affinity       bool                  `json:"session_affinity"`
	Resumable      bool                  `json:"resumable"`
	EventGapTarget float64               `json:"gap_aim_ms"`
}

// jsonWeightedService is the JSON form of a WeightedService.
type jsonWeightedService struct {
	Service string  `json:"service_name"`
	Weight  float64 `json:"weight"`
}

// jsonService is the JSON form of a Service.
type jsonService struct {
	Name           string      `json:"name"`
	HealthPath     string      `json:"health_path"`
	MaxConnections float64     `json:"max_connections"`
	Engine         *jsonEngine `json:"inference_engine"`
}

// jsonEngine is the JSON form of an Engine.
type jsonEngine struct {
	Capacity       float64     `json:"capacity"`
	CacheTokens    float64     `json:"cache_tokens"`
	TokensPerEvent float64     `json:"tokens_per_event"`
	Models         []jsonModel `json:"models"`
}

// jsonModel is a model that an engine runs.
type jsonModel struct {
	Name string `json:"name"`
}

// jsonLimits is the JSON form of Limits.
type jsonLimits struct {
	MaxHeader     float64 `json:"max_header_bytes"`
	MaxBody       float64 `json:"max_body_bytes"`
	HeaderTimeout float64 `json:"header_timeout_ms"`
	IdleTimeout   float64 `json:"idle_timeout_ms"`
}

// decode decodes a body. A field of the wrong type is added to found and stays zero; after a syntax error ok is false.
func decode(body []byte, found *findings) (document jsonTable, ok bool) {
	err := json.Unmarshal(body, &document)
	if err == nil {
		return document, true
	}
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			found.add(fmt.Sprintf("byte %d", syntax.Offset), "%s", syntax)
		} else {
			found.add("body", "%s", err)
		}
		return document, false
	}
	// The decoder reports only the first wrong type, without the index of its entry: decode the parts one by one.
	var parts struct {
		Routes   json.RawMessage `json:"routes"`
		Services json.RawMessage `json:"services"`
		Limits   json.RawMessage `json:"limits"`
		Revision json.RawMessage `json:"revision"`
	}
	before := len(found.list)
	if decodePart("body", body, &parts, found) {
		decodePart("revision", parts.Revision, new(float64), found)
		decodePart("limits", parts.Limits, new(jsonLimits), found)
		decodeEntries[jsonRoute]("routes", parts.Routes, found)
		decodeEntries[jsonService]("services", parts.Services, found)
	}
	if len(found.list) == before {
		found.add(wrong.Field, "is a %s", wrong.Value)
	}
	return document, true
}

// decodeEntries decodes the entries of a list one by one.
func decodeEntries[T any](path string, raw json.RawMessage, found *findings) {
	var entries []json.RawMessage
	if !decodePart(path, raw, &entries, found) {
		return
	}
	for i, e := range entries {
		decodePart(fmt.Sprintf("%s[%d]", path, i), e, new(T), found)
	}
}

// decodePart decodes one part into to. A field of the wrong type is added to found, and the result is false.
func decodePart(path string, raw json.RawMessage, to any, found *findings) bool {
	if len(raw) == 0 {
		return true
	}
	err := json.Unmarshal(raw, to)
	if err == nil {
		return true
	}
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		found.add(path, "%s", err)
		return false
	}
	if wrong.Field != "" {
		path += "." + wrong.Field
	}
	found.add(path, "is a %s", wrong.Value)
	return false
}
