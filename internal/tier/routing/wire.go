package routing

import (
	"encoding/json"
	"errors"
	"fmt"
)

// wireTable is a configuration as sent. A nil pointer is a field that is missing.
type wireTable struct {
	Revision *float64       `json:"revision"`
	Routes   *[]wireRoute   `json:"routes"`
	Services *[]wireService `json:"services"`
	Limits   wireLimits     `json:"limits"`
}

// wireRoute is a route as sent. Times are in the unit of the JSON name, milliseconds or seconds.
type wireRoute struct {
	Name          string      `json:"name"`
	Hostname      string      `json:"hostname"`
	Prefix        string      `json:"path_prefix"`
	Type          *string     `json:"route_type"`
	Timeout       *float64    `json:"timeout_ms"`
	TargetLatency float64     `json:"target_latency_ms"`
	Priority      float64     `json:"priority"`
	Attempts      float64     `json:"max_attempts"`
	Service       *string     `json:"service_name"`
	Split         []wireShare `json:"traffic_split"`
	Persisted     bool        `json:"persisted"`
	Retention     float64     `json:"retention_s"`
	Affinity      bool        `json:"session_affinity"`
	Resumable     bool        `json:"resumable"`
	GapAim        float64     `json:"gap_aim_ms"`
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

// wireEngine is the engine of each endpoint of a service, as sent.
type wireEngine struct {
	Capacity       float64     `json:"capacity"`
	CacheTokens    float64     `json:"cache_tokens"`
	TokensPerEvent float64     `json:"tokens_per_event"`
	Models         []wireModel `json:"models"`
}

// wireModel is a model that an engine runs.
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

// decode decodes the body. A field of the wrong type is a finding and stays zero; after a syntax error ok is false.
func decode(body []byte, found *findings) (sent wireTable, ok bool) {
	err := json.Unmarshal(body, &sent)
	if err == nil {
		return sent, true
	}
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			found.report(fmt.Sprintf("byte %d", syntax.Offset), "%s", syntax)
		} else {
			found.report("body", "%s", err)
		}
		return sent, false
	}
	// The decoder reports the first wrong type only, and not in which entry: decode the parts one by one.
	var parts struct {
		Routes   json.RawMessage `json:"routes"`
		Services json.RawMessage `json:"services"`
		Limits   json.RawMessage `json:"limits"`
		Revision json.RawMessage `json:"revision"`
	}
	before := len(found.list)
	if decodePart("body", body, &parts, found) {
		decodePart("revision", parts.Revision, new(float64), found)
		decodePart("limits", parts.Limits, new(wireLimits), found)
		decodeEntries[wireRoute]("routes", parts.Routes, found)
		decodeEntries[wireService]("services", parts.Services, found)
	}
	if len(found.list) == before {
		found.report(wrong.Field, "is a %s", wrong.Value)
	}
	return sent, true
}

// decodeEntries decodes the entries of a list one by one.
func decodeEntries[T any](place string, raw json.RawMessage, found *findings) {
	var entries []json.RawMessage
	if !decodePart(place, raw, &entries, found) {
		return
	}
	for i, e := range entries {
		decodePart(fmt.Sprintf("%s[%d]", place, i), e, new(T), found)
	}
}

// decodePart decodes one part and reports a field of the wrong type. It returns false where there was one.
func decodePart(place string, raw json.RawMessage, to any, found *findings) bool {
	if len(raw) == 0 {
		return true
	}
	err := json.Unmarshal(raw, to)
	if err == nil {
		return true
	}
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		found.report(place, "%s", err)
		return false
	}
	if wrong.Field != "" {
		place += "." + wrong.Field
	}
	found.report(place, "is a %s", wrong.Value)
	return false
}
