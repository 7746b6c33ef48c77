package wire

import (
	"math"
	"strconv"
	"strings"
)

// Settings holds the settings of one instance by path, and the error of the first value that could not be read.
type Settings struct {
	values map[string]string
	err    error
}

// maxItems bounds the .count of a list, so that a wrong count can't use up memory.
const maxItems = 4096

// ParseSettings splits lines of path=value. The error is a *SettingsSyntaxError.
func ParseSettings(text string) (*Settings, error) {
	s := &Settings{values: map[string]string{}}
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &SettingsSyntaxError{Line: n + 1}
		}
		s.values[key] = value
	}
	return s, nil
}

// Err returns a *SettingError for the first value that could not be read, or nil.
func (s *Settings) Err() error { return s.err }

func (s *Settings) fail(key, want string) {
	if s.err == nil {
		s.err = &SettingError{Key: key, Value: s.values[key], Want: want}
	}
}

// Text returns a value unchanged, "" if absent.
func (s *Settings) Text(key string) string { return s.values[key] }

// Float reads a number, 0 if absent.
func (s *Settings) Float(key string) float64 {
	v, ok := s.values[key]
	if !ok {
		return 0
	}
	return s.float(key, v)
}

func (s *Settings) float(key, v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		s.fail(key, "a number")
		return 0
	}
	return f
}

// Int reads a whole number, 0 if absent.
func (s *Settings) Int(key string) int {
	f := s.Float(key)
	if f != math.Trunc(f) || math.Abs(f) > 1<<40 {
		s.fail(key, "a whole number")
		return 0
	}
	return int(f)
}

// Bool reads true or false, false if absent.
func (s *Settings) Bool(key string) bool {
	switch s.values[key] {
	case "true":
		return true
	case "false", "":
		return false
	}
	s.fail(key, "true or false")
	return false
}

// Enum reads one of a few words and returns its index, 0 if absent.
func (s *Settings) Enum(key string, words ...string) int {
	v, ok := s.values[key]
	if !ok {
		return 0
	}
	for i, w := range words {
		if v == w {
			return i
		}
	}
	s.fail(key, "one of "+strings.Join(words, ", "))
	return 0
}

// List reads a comma-separated list.
func (s *Settings) List(key string) []string {
	if s.values[key] == "" {
		return nil
	}
	return strings.Split(s.values[key], ",")
}

// Floats reads a comma-separated list of numbers.
func (s *Settings) Floats(key string) []float64 {
	var out []float64
	for _, v := range s.List(key) {
		out = append(out, s.float(key, v))
	}
	return out
}

// Bools reads a comma-separated list of true and false.
func (s *Settings) Bools(key string) []bool {
	var out []bool
	for _, v := range s.List(key) {
		if v != "true" && v != "false" {
			s.fail(key, "a list of true and false")
		}
		out = append(out, v == "true")
	}
	return out
}

// Count reads the length of a list of objects, from key.count.
func (s *Settings) Count(key string) int {
	n := s.Int(key + ".count")
	if n < 0 || n > maxItems {
		s.fail(key+".count", "a whole number from 0 to 4096")
		return 0
	}
	return n
}
