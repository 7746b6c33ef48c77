package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Settings holds the settings of one instance, and the first trouble met in reading them.
type Settings struct {
	values map[string]string
	err    error
}

// maxItems bounds a list's .count, so that a wrong one costs no memory.
const maxItems = 4096

// ParseSettings splits path=value lines.
func ParseSettings(text string) (*Settings, error) {
	e := &Settings{values: map[string]string{}}
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: no '='", n+1)
		}
		e.values[key] = value
	}
	return e, nil
}

// Err is the first unreadable value met, naming its key.
func (e *Settings) Err() error { return e.err }

func (e *Settings) fail(key, want string) {
	if e.err == nil {
		e.err = fmt.Errorf("setting %s: %q is not %s", key, e.values[key], want)
	}
}

// Text is a value as it stands, "" if absent.
func (e *Settings) Text(key string) string { return e.values[key] }

// Float reads a number, 0 if absent.
func (e *Settings) Float(key string) float64 {
	v, ok := e.values[key]
	if !ok {
		return 0
	}
	return e.float(key, v)
}

func (e *Settings) float(key, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		e.fail(key, "a number")
		return 0
	}
	return f
}

// Int reads a whole number, 0 if absent.
func (e *Settings) Int(key string) int {
	f := e.Float(key)
	if f != math.Trunc(f) || math.Abs(f) > 1<<40 {
		e.fail(key, "a whole number")
		return 0
	}
	return int(f)
}

// Bool reads true or false, false if absent.
func (e *Settings) Bool(key string) bool {
	switch e.values[key] {
	case "true":
		return true
	case "false", "":
		return false
	}
	e.fail(key, "true or false")
	return false
}

// Enum reads one of a few words and gives its place among them, 0 if absent.
func (e *Settings) Enum(key string, words ...string) int {
	v, ok := e.values[key]
	if !ok {
		return 0
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	e.fail(key, "one of "+strings.Join(words, ", "))
	return 0
}

// List reads a comma list.
func (e *Settings) List(key string) []string {
	if e.values[key] == "" {
		return nil
	}
	return strings.Split(e.values[key], ",")
}

// Floats reads a comma list of numbers.
func (e *Settings) Floats(key string) []float64 {
	var out []float64
	for _, v := range e.List(key) {
		out = append(out, e.float(key, v))
	}
	return out
}

// Bools reads a comma list of true and false.
func (e *Settings) Bools(key string) []bool {
	var out []bool
	for _, v := range e.List(key) {
		if v != "true" && v != "false" {
			e.fail(key, "a list of true and false")
		}
		out = append(out, v == "true")
	}
	return out
}

// Count reads the length of a list of objects.
func (e *Settings) Count(key string) int {
	n := e.Int(key + ".count")
	if n < 0 || n > maxItems {
		e.fail(key+".count", "a sensible length")
		return 0
	}
	return n
}
