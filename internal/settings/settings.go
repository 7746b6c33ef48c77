// Package settings translates the settings with which a sender starts into the decision module's Settings. The simulator passes
// them as lines of path=value, the configuration of a real sender as nested JSON with the same names. Both are read through the
// same keys, so that the two cannot diverge. The keys are those of the documentation; only this package maps them to fields.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/wire"
)

// DurationFromMs converts milliseconds to a duration, rounded to a microsecond, the simulator's unit of time.
func DurationFromMs(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	if limit := float64(math.MaxInt64 / 2000); us > limit || us < -limit {
		us = math.Copysign(limit, us)
	}
	return time.Duration(us) * time.Microsecond
}

// Translate reads the settings and ignores unknown keys. If a value cannot be read, env.Err returns the first such error.
func Translate(env *wire.Settings) brain.Settings {
	ms := func(key string) time.Duration { return DurationFromMs(env.Float(key)) }
	s := brain.Settings{
		Senders:           env.Int("balancers"),
		Zone:              env.Int("zone"),
		Slots:             env.Int("familyInfo.callsOut"),
		MaxPending:        env.Int("limits.mostHeld"),
		MaxAttempts:       env.Int("limits.maxAttempts"),
		MayCancel:         env.Bool("limits.cancel"),
		IdleConnTimeout:   ms("limits.connIdle"),
		SendsRetryAfter:   env.Bool("limits.retryAfter"),
		MaxRetryAfter:     ms("limits.maxRetryAfter"),
		RequestsEndpoints: env.Enum("discovery", "pushed", "on_request") == 1,
		StepInterval:      ms("step"),
		OrderingCooldown:  ms("rules.settleAfterDoubt"),
		OverloadMultiple:  env.Float("rules.fallMultiple"),
		SlowStartCapacity: env.Float("rules.startCapacity"),
		OverloadWindow:    ms("rules.overloadFor"),
		SlowStartDuration: ms("rules.cold"),
		OverShareValue:    env.Float("overShareWorth"),
		CrossZoneCost:     env.Float("costs.crossZone"),
		ExponentialDecay:  env.Enum("familyInfo.fades", "linear", "halving") == 1,
		RatingIsLimit:     env.Enum("weights", "none", "nominal", "rough", "live")%3 != 0, // nominal or rough
		ZoneFees:          env.Floats("familyInfo.toll"),
	}
	s.Kinds = kinds(env)
	for i := range env.Count("services") {
		s.Classes = append(s.Classes, class(env, fmt.Sprintf("services.%d.", i)))
	}
	for i := range env.Count("orgs") {
		prefix := fmt.Sprintf("orgs.%d.", i)
		s.Tenants = append(s.Tenants, brain.Tenant{
			Share:     env.Float(prefix + "share"),
			Allowance: env.Float(prefix + "allowancePerS"),
		})
	}
	return s
}

// kinds reads the kinds of destination, by the order of "models".
func kinds(env *wire.Settings) []brain.Kind {
	var all []brain.Kind
	perEndpoint, maxBatch := env.Bools("familyInfo.routesApart"), env.Floats("familyInfo.perCall")
	for i := range env.List("models") {
		k := brain.Kind{MaxBatch: 1}
		if i < len(perEndpoint) {
			k.PerEndpointRoutes = perEndpoint[i]
		}
		if i < len(maxBatch) {
			k.MaxBatch = int(maxBatch[i])
		}
		all = append(all, k)
	}
	return all
}

// class reads a class of message, whose keys begin with prefix.
func class(env *wire.Settings, prefix string) brain.Class {
	ms := func(key string) time.Duration { return DurationFromMs(env.Float(prefix + key)) }
	return brain.Class{
		LatencyTarget:       ms("slo"),
		Deadline:            ms("giveUp"),
		Idempotency:         brain.Idempotency(env.Enum(prefix+"effect", "read_like", "idempotency_key", "non_idempotent")),
		IdempotencyKeyZonal: env.Enum(prefix+"dedupScope", "all", "zone", "cell") != 0,
		IdempotencyKeyTTL:   ms("dedupWindow"),
		Ordered:             env.Bool(prefix + "oneAtATime"),
		Value:               env.Float(prefix + "worth"),
		LateValue:           env.Float(prefix + "lateValue"),
	}
}

// Flatten converts nested JSON to the simulator's form of path=value: a list of plain values is joined by
// commas, a list of objects becomes its length under .count and its items under .0, .1 and so forth.
func Flatten(raw []byte) (*wire.Settings, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var root map[string]any
	if err := d.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var lines []string
	flatten("", root, &lines)
	sort.Strings(lines)
	return wire.ParseSettings(strings.Join(lines, "\n"))
}

// separators replaces the characters that separate lines and list items.
var separators = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func flatten(path string, value any, lines *[]string) {
	switch v := value.(type) {
	case map[string]any:
		for key, item := range v {
			flatten(strings.TrimPrefix(path+"."+key, "."), item, lines)
		}
	case []any:
		var words []string
		for i, item := range v {
			if _, nested := item.(map[string]any); nested {
				flatten(fmt.Sprintf("%s.%d", path, i), item, lines)
			} else {
				words = append(words, separators.Replace(fmt.Sprint(item)))
			}
		}
		if len(v) > 0 && words == nil {
			*lines = append(*lines, fmt.Sprintf("%s.count=%d", path, len(v)))
		} else {
			*lines = append(*lines, path+"="+strings.Join(words, ","))
		}
	case nil:
	default:
		*lines = append(*lines, path+"="+separators.Replace(fmt.Sprint(v)))
	}
}
