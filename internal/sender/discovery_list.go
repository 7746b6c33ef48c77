package sender

import (
	"encoding/json"
	"fmt"
	"io"
)

// decodeTargets decodes an endpoint list entry by entry, so that a long list is not in memory as text as well. Zones, kinds and
// states, which many entries share, are interned.
func decodeTargets(r io.Reader) (Targets, error) {
	var t Targets
	interned := map[string]string{}
	intern := func(s *string) {
		if known, ok := interned[*s]; ok {
			*s = known
		} else if len(interned) < 1000 {
			interned[*s] = *s
		}
	}
	d := json.NewDecoder(r)
	if err := expectDelim(d, json.Delim('{')); err != nil {
		return t, err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return t, err
		}
		switch key {
		case "version":
			err = d.Decode(&t.Version)
		case "full":
			err = d.Decode(&t.Full)
		case "servers":
			var first json.Token
			if first, err = d.Token(); err != nil || first == nil { // null is an empty list
				break
			}
			if first != json.Delim('[') {
				return t, &listFormatError{fmt.Sprintf("servers is not a list but %v", first)}
			}
			for d.More() {
				var line Target
				if err := d.Decode(&line); err != nil {
					return t, fmt.Errorf("line %d: %w", len(t.Servers)+1, err)
				}
				intern(&line.Zone)
				intern(&line.Kind)
				intern(&line.State)
				t.Servers = append(t.Servers, line)
			}
			err = expectDelim(d, json.Delim(']'))
		default:
			err = d.Decode(new(json.RawMessage))
		}
		if err != nil {
			return t, fmt.Errorf("%v: %w", key, err)
		}
	}
	return t, expectDelim(d, json.Delim('}'))
}

// expectDelim reads the delimiter want.
func expectDelim(d *json.Decoder, want json.Delim) error {
	got, err := d.Token()
	if err == nil && got != want {
		err = &listFormatError{fmt.Sprintf("got %v, want %v", got, want)}
	}
	return err
}
