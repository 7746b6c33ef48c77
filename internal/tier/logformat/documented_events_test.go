package logformat

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// operatorsPage is the page that lists the events of the log.
const operatorsPage = "../../../docs/operate/tier.md"

// documentedEvent is the documentation of an event on the operators' page: its level and its fields, in the files of the tier with
// a path prefix.
type documentedEvent struct {
	event, level string
	pathPrefix   string // of the file; empty: any file
	fields       []string
}

var documentedEvents = []documentedEvent{
	{"started", "Info", "", []string{"role", "node"}}, {"started", "Info", "process/turnstore", []string{"folder"}},
	{"settings_read", "Info", "", nil}, {"settings", "Error", "", []string{"error"}},
	{"session", "Info", "", nil}, {"session_lost", "Warn", "", []string{"why"}}, {"primary_distant", "Warn", "", nil},
	{"configuration", "Info", "", []string{"revision", "version"}}, {"catalog_unreadable", "Error", "", []string{"error"}},
	{"configuration_damaged", "Error", "", []string{"error"}}, {"endpoints_damaged", "Error", "", []string{"error"}},
	{"readiness", "Info", "", []string{"ready"}}, {"leaving", "Info", "", []string{"node"}}, {"left", "Info", "", []string{"node"}},
	{"turnstores", "Info", "", nil}, {"primary", "Info", "", []string{"epoch", "revision", "orders"}}, {"stood_down", "Info", "", nil},
	{"settle_failed", "Warn", "", []string{"error"}}, {"write_unclear", "Warn", "", []string{"error"}}, {"write_refused", "Warn", "", []string{"error"}},
	{"gateways_behind", "Info", "", []string{"lacking"}}, {"retire", "Info", "", []string{"node"}}, {"retired", "Info", "", []string{"node"}},
	{"platform_silent", "Warn", "", []string{"error"}}, {"platform_answers", "Info", "", nil},
	{"turnstore_deposed", "Info", "", []string{"partition", "epoch"}}, {"turnstore_compacted", "Info", "", []string{"before", "after", "took"}},
	{"turnstore_compact_failed", "Warn", "", []string{"error"}}, {"turnstore_disk_failed", "Error", "", []string{"error"}},
	{"turnstore_disk_stuck", "Error", "", nil}, {"turnstore_disk_recovered", "Info", "", []string{"after"}},
	{"disk_failed", "Error", "", []string{"error"}}, {"disk_recovered", "Info", "", nil}, {"record_refused", "Error", "", []string{"error"}},
	{"disk_stuck", "Error", "", []string{"for"}}, {"disk_released", "Info", "", nil},
	{"coordination_loaded", "Info", "", []string{"epoch", "locks", "counters", "keys"}}, {"coordination_unclear", "Warn", "", []string{"epoch", "error"}},
	{"coordination_unreadable", "Error", "", []string{"error"}},
	{"control", "Info", "", nil}, {"wal_tail_cut", "Warn", "", nil}, {"rpc_server_ended", "Error", "", []string{"error"}},
}

// logCall is one statement that logs an event.
type logCall struct {
	path, event, level string
	fields             []string
	message            bool // it ends with a message that is not empty
}

// TestDocumentedEvents checks that the events of the operators' page are those that the tier logs, each with a message, and with
// the level and the fields that the page documents.
func TestDocumentedEvents(t *testing.T) {
	calls := logCalls(t)
	logged, documented := map[string]bool{}, map[string]bool{}
	for _, call := range calls {
		assert.Check(t, call.message, "%s: event %s has no message", call.path, call.event)
		if call.level != "Debug" {
			logged[call.event] = true
		}
	}
	for _, want := range documentedEvents {
		documented[want.event] = true
		found := false
		for _, call := range calls {
			if call.event != want.event || !strings.HasPrefix(call.path, want.pathPrefix) {
				continue
			}
			found = true
			assert.Check(t, call.level == want.level, "%s: event %s is logged as %s, but documented as %s", call.path, call.event, call.level, want.level)
			for _, field := range want.fields {
				assert.Check(t, slices.Contains(call.fields, field), "%s: event %s has no field %s", call.path, call.event, field)
			}
		}
		assert.Check(t, found, "event %s is not logged", want.event)
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(documented)), eventsOfPage(t))
	assert.DeepEqual(t, slices.Sorted(maps.Keys(logged)), eventsOfPage(t))
}

// eventsOfPage returns the events in the first column of the page's table, sorted.
func eventsOfPage(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile(operatorsPage)
	assert.NilError(t, err)
	_, table, found := strings.Cut(string(page), "| `event` | of | means | to do |\n")
	assert.Assert(t, found)
	events := map[string]bool{}
	for line := range strings.Lines(table) {
		if !strings.HasPrefix(line, "|") {
			break
		}
		cell, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), "|")
		for _, name := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cell, -1) {
			events[name[1]] = true
		}
	}
	return slices.Sorted(maps.Keys(events))
}

// logCalls returns all statements of the tier's packages that log an event.
func logCalls(t *testing.T) (calls []logCall) {
	t.Helper()
	files := token.NewFileSet()
	assert.NilError(t, filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative := strings.TrimPrefix(filepath.ToSlash(path), "../")
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok && methodOf(call) == "Str" && literal(call.Args[0]) == "event" {
				calls = append(calls, newLogCall(relative, file, call))
			}
			return true
		})
		return nil
	}))
	return calls
}

// newLogCall returns the logCall of the statement that contains event, a call of Str("event", ...).
func newLogCall(path string, file *ast.File, event *ast.CallExpr) logCall {
	found := logCall{path: path, event: literal(event.Args[1])}
	if level, ok := event.Fun.(*ast.SelectorExpr).X.(*ast.CallExpr); ok {
		found.level = methodOf(level)
	}
	ast.Inspect(enclosingFunction(file, event), func(node ast.Node) bool {
		chain, ok := node.(*ast.CallExpr)
		if !ok || methodOf(chain) != "Msg" || !contains(chain, event) && !continuesLogLine(chain) {
			return true
		}
		found.message = literal(chain.Args[0]) != "" || !isLiteral(chain.Args[0])
		for call := chain; call != nil; call = previousCall(call) {
			switch {
			case methodOf(call) == "Err":
				found.fields = append(found.fields, "error")
			case len(call.Args) > 0:
				found.fields = append(found.fields, literal(call.Args[0]))
			}
		}
		return !contains(chain, event)
	})
	return found
}

// enclosingFunction returns the declaration of the function that a node is in.
func enclosingFunction(file *ast.File, node ast.Node) ast.Node {
	for _, declaration := range file.Decls {
		if contains(declaration, node) {
			return declaration
		}
	}
	return file
}

// contains reports whether a node is within another one.
func contains(outer, inner ast.Node) bool {
	return outer.Pos() <= inner.Pos() && inner.End() <= outer.End()
}

// continuesLogLine reports whether a chain of calls begins with a variable that holds an unfinished log line, rather than with a
// logger.
func continuesLogLine(chain *ast.CallExpr) bool {
	first := chain
	for call := chain; call != nil; call = previousCall(call) {
		first = call
	}
	_, variable := first.Fun.(*ast.SelectorExpr).X.(*ast.Ident)
	return variable && !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, methodOf(first))
}

// previousCall returns the call on whose result another call is made, or nil.
func previousCall(call *ast.CallExpr) *ast.CallExpr {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	previous, _ := selector.X.(*ast.CallExpr)
	if previous == nil || methodOf(previous) == "" {
		return nil
	}
	return previous
}

// methodOf returns the name of the method or function that is called with a selector.
func methodOf(call *ast.CallExpr) string {
	if selector, ok := call.Fun.(*ast.SelectorExpr); ok {
		return selector.Sel.Name
	}
	return ""
}

// isLiteral reports whether an expression is a literal.
func isLiteral(expression ast.Expr) bool {
	_, ok := expression.(*ast.BasicLit)
	return ok
}

// literal returns the value of a literal text, or "".
func literal(expression ast.Expr) string {
	if basic, ok := expression.(*ast.BasicLit); ok && basic.Kind == token.STRING {
		value, _ := strconv.Unquote(basic.Value)
		return value
	}
	return ""
}
