package settings

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/joomcode/errorx"
)

// Parse reads the text of a settings file; see Load.
func Parse(body []byte) (Settings, error) {
	s := defaults()
	var tree map[string]any
	if err := yaml.Unmarshal(body, &tree); err != nil {
		return s, Invalid.New("bad YAML: %s", yaml.FormatError(err, false, false))
	}
	var found []error
	lines := lineIndex(body)
	for _, e := range table {
		value, place := lookup(tree, e.path)
		var problem string
		switch {
		case place != "":
			problem = "is not a map"
		case value != nil:
			place = e.path
			problem = e.read(&s, value)
		case e.fallback == nil:
			place = e.path
			problem = "is missing"
		}
		if problem != "" {
			found = append(found, finding(lines, place, problem))
		}
	}
	if len(found) > 0 {
		return s, errorx.WrapMany(Invalid, fmt.Sprintf("settings with %d findings", len(found)), unique(found)...)
	}
	return s, nil
}

// defaults gives the settings of an empty file.
func defaults() Settings {
	var s Settings
	for _, e := range table {
		if e.fallback != nil {
			_ = e.read(&s, e.fallback) // a test holds that each passes its own check
		}
	}
	return s
}

// lookup gives the value at a path, nil if it is missing or null. Where a part on the way is no map, blocked tells which.
func lookup(tree map[string]any, path string) (value any, blocked string) {
	parts := strings.Split(path, ".")
	for i, part := range parts {
		value = tree[part]
		if i == len(parts)-1 || value == nil {
			break
		}
		next, ok := value.(map[string]any)
		if !ok {
			return nil, strings.Join(parts[:i+1], ".")
		}
		tree = next
	}
	return value, ""
}

func finding(lines map[string]int, place, problem string) error {
	if line := lines[place]; line > 0 {
		return Invalid.New("%s (line %d) %s", place, line, problem)
	}
	return Invalid.New("%s %s", place, problem)
}

// unique leaves out findings that say the same.
func unique(found []error) []error {
	seen := map[string]bool{}
	var out []error
	for _, err := range found {
		if !seen[err.Error()] {
			seen[err.Error()] = true
			out = append(out, err)
		}
	}
	return out
}

// lineIndex gives the line of each field, by path.
func lineIndex(body []byte) map[string]int {
	lines := map[string]int{}
	file, err := parser.ParseBytes(body, 0)
	if err != nil {
		return lines
	}
	for _, doc := range file.Docs {
		index(doc.Body, "", lines)
	}
	return lines
}

func index(node ast.Node, path string, lines map[string]int) {
	var values []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	}
	for _, v := range values {
		key := strings.Trim(v.Key.String(), `"'`)
		if path != "" {
			key = path + "." + key
		}
		lines[key] = v.Key.GetToken().Position.Line
		index(v.Value, key, lines)
	}
}

// Describe gives the table of settings as text: field, type with unit, default, meaning.
func Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-34s %-14s %-10s %s\n", "field", "type", "default", "meaning")
	for _, e := range table {
		fallback := "required"
		if e.fallback != nil {
			fallback = shown(e.fallback)
		}
		fmt.Fprintf(&b, "%-34s %-14s %-10s %s\n", e.path, e.kind, fallback, e.about)
	}
	return b.String()
}
