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
	settings := defaults()
	var tree map[string]any
	if err := yaml.Unmarshal(body, &tree); err != nil {
		return settings, Invalid.New("bad YAML: %s", yaml.FormatError(err, false, false))
	}
	var found []error
	lines := lineIndex(body)
	for _, entry := range table {
		value, field := lookup(tree, entry.path)
		var problem string
		switch {
		case field != "":
			problem = "is not a map"
		case value != nil:
			field = entry.path
			problem = entry.set(&settings, value)
		case entry.defaultValue == nil:
			field = entry.path
			problem = "is missing"
		}
		if problem != "" {
			found = append(found, newFinding(lines, field, problem))
		}
	}
	if len(found) > 0 {
		return settings, errorx.WrapMany(Invalid, fmt.Sprintf("settings with %d findings", len(found)), unique(found)...)
	}
	return settings, nil
}

// defaults returns the settings of an empty file.
func defaults() Settings {
	var settings Settings
	for _, entry := range table {
		if entry.defaultValue != nil {
			_ = entry.set(&settings, entry.defaultValue) // a test asserts that each default passes its own check
		}
	}
	return settings
}

// lookup returns the value at a path, nil if it is missing or null. If the value at a prefix of the path is not a map,
// blocked is that prefix.
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

// newFinding returns a finding with its field, and its line where that is known.
func newFinding(lines map[string]int, field, problem string) error {
	if line := lines[field]; line > 0 {
		return Invalid.New("%s (line %d) %s", field, line, problem)
	}
	return Invalid.New("%s %s", field, problem)
}

// unique removes findings with the same text as an earlier one.
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

// lineIndex returns the line of each field, by path.
func lineIndex(body []byte) map[string]int {
	lines := map[string]int{}
	file, err := parser.ParseBytes(body, 0)
	if err != nil {
		return lines
	}
	for _, doc := range file.Docs {
		addLines(doc.Body, "", lines)
	}
	return lines
}

// addLines adds the lines of the fields below a node. The path is that of the node.
func addLines(node ast.Node, path string, lines map[string]int) {
	var values []*ast.MappingValueNode
	switch node := node.(type) {
	case *ast.MappingNode:
		values = node.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{node}
	}
	for _, pair := range values {
		key := strings.Trim(pair.Key.String(), `"'`)
		if path != "" {
			key = path + "." + key
		}
		lines[key] = pair.Key.GetToken().Position.Line
		addLines(pair.Value, key, lines)
	}
}

// Describe returns the table of settings as text: field, type with unit, default, meaning.
func Describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-34s %-14s %-10s %s\n", "field", "type", "default", "meaning")
	for _, entry := range table {
		defaultText := "required"
		if entry.defaultValue != nil {
			defaultText = quoted(entry.defaultValue)
		}
		fmt.Fprintf(&text, "%-34s %-14s %-10s %s\n", entry.path, entry.typeName, defaultText, entry.meaning)
	}
	return text.String()
}
