package sender

import (
	"encoding/json"
	"fmt"
	"io"
)

// decodeTargets reads a list line by line: a long one is not held as text as well. The words that its lines share are held
// once.
func decodeTargets(r io.Reader) (Targets, error) {
	var t Targets
	words := map[string]string{}
	once := func(s *string) {
		if known, ok := words[*s]; ok {
			*s = known
		} else if len(words) < 1000 {
			words[*s] = *s
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
				return t, &listFormatError{fmt.Sprintf("servers is no list but %v", first)}
			}
			for d.More() {
				var line Target
				if err := d.Decode(&line); err != nil {
					return t, fmt.Errorf("line %d: %w", len(t.Servers)+1, err)
				}
				once(&line.Zone)
				once(&line.Kind)
				once(&line.State)
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

// expectDelim reads one delimiter.
func expectDelim(d *json.Decoder, want json.Delim) error {
	got, err := d.Token()
	if err == nil && got != want {
		err = &listFormatError{fmt.Sprintf("%v where %v is wanted", got, want)}
	}
	return err
}
