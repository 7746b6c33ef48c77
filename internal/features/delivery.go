package features

import (
	"slices"
	"strings"
)

// Delivery is the format of outgoing messages.
type Delivery struct {
	Source string `toml:"source"` // source of events that are made from plain messages
	Type   string `toml:"type"`   // type of these events; {class} stands for the message's class; default "saffronyard.{class}"
	To     []To   `toml:"to"`
}

// To is the format for some destinations.
type To struct {
	Destinations []uint32 `toml:"destinations"`
	Kinds        []string `toml:"kinds"`
	Form         string   `toml:"form"`
	Path         string   `toml:"path"`         // default "/hook"
	BatchEvents  int      `toml:"batch_events"` // default 20
	BatchBytes   int      `toml:"batch_bytes"`  // default 65536
	Validate     bool     `toml:"validate"`     // request permission with OPTIONS before the first call
	Origin       string   `toml:"origin"`       // WebHook-Request-Origin
	Rate         int      `toml:"rate"`         // WebHook-Request-Rate, requests per minute
}

// maxRate bounds WebHook-Request-Rate, in requests per minute.
const maxRate = 60_000_000

func (d *Delivery) check(doc document) error {
	if d == nil {
		return nil
	}
	setDefault(&d.Type, "saffronyard.{class}")
	if len(d.To) == 0 {
		return doc.errorAt("delivery", 0, "", "delivery names no destinations: it has no [[delivery.to]]")
	}
	events := false
	for i := range d.To {
		t := &d.To[i]
		setDefault(&t.Path, "/hook")
		at := func(key, format string, args ...any) error {
			return doc.errorAt("delivery.to", i, key, "delivery.to %d: %w", i+1, settingError(format, args...))
		}
		if !slices.Contains([]string{"plain", "binary", "structured", "batched"}, t.Form) {
			return at("form", "form = %q is not plain, binary, structured or batched", t.Form)
		}
		events = events || t.Form != "plain"
		if t.Form == "batched" {
			setDefault(&t.BatchEvents, 20)
			setDefault(&t.BatchBytes, 64<<10)
		} else if t.BatchEvents != 0 || t.BatchBytes != 0 {
			return at("batch_events", "batch_events and batch_bytes are for the form batched")
		}
		if t.Form == "batched" && (t.BatchEvents < 1 || t.BatchEvents > maxBatchEvents || t.BatchBytes < 1024 || t.BatchBytes > maxBatchBytes) {
			return at("batch_events", "batch_events is not from 1 to %d, or batch_bytes not from 1024 to %d", maxBatchEvents, maxBatchBytes)
		}
		if t.Form == "plain" && (t.Validate || t.Path != "/hook") {
			return at("form", "plain calls go to /hook and are not validated")
		}
		for _, n := range t.Destinations {
			if n > maxDestination {
				return at("destinations", "destination %d is over %d", n, maxDestination)
			}
		}
		if !printable(t.Path) || !strings.HasPrefix(t.Path, "/") {
			return at("path", "path = %q is not a path: it must begin with / and contain only printable ASCII without blanks", t.Path)
		}
		if t.Validate && (t.Origin == "" || !printable(t.Origin)) {
			return at("origin", "validate needs a printable origin, such as the sender's DNS name: origin = %q", t.Origin)
		}
		if !t.Validate && (t.Origin != "" || t.Rate != 0) {
			return at("origin", "origin and rate are for validate = true")
		}
		if t.Rate < 0 || t.Rate > maxRate {
			return at("rate", "rate = %d is not from 0 to %d requests per minute", t.Rate, maxRate)
		}
	}
	if events && !printable(d.Source) {
		return doc.errorAt("delivery", 0, "source", "delivery.source = %q: events made from plain messages need a source, a URI-reference", d.Source)
	}
	if !printable(d.Type) {
		return doc.errorAt("delivery", 0, "type", "delivery.type = %q is not printable ASCII without blanks", d.Type)
	}
	return nil
}

func printable(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return s != ""
}
