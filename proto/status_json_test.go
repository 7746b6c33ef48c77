package proto_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/golden"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TestStatusJSON_Golden compares the field names and enum value names in the JSON that status --json prints for operators with the golden
// file.
func TestStatusJSON_Golden(t *testing.T) {
	var out strings.Builder
	describeJSON(&out, (&tierv1.StatusReply{}).ProtoReflect().Descriptor(), "")
	golden.Assert(t, out.String(), "status_json.golden")
}

// describeJSON writes one line for each field of a message and of its nested messages: its path in JSON and its type. An enum field has one
// line for each value, with the value's name instead of the type.
func describeJSON(out *strings.Builder, message protoreflect.MessageDescriptor, path string) {
	var names []string
	for i := range message.Fields().Len() {
		names = append(names, message.Fields().Get(i).JSONName())
	}
	slices.Sort(names)
	for _, name := range names {
		field := message.Fields().ByJSONName(name)
		fieldPath := path + "." + name
		if field.IsList() {
			fieldPath += "[]"
		}
		switch {
		case field.Message() != nil:
			describeJSON(out, field.Message(), fieldPath)
		case field.Enum() != nil:
			for i := range field.Enum().Values().Len() {
				fmt.Fprintf(out, "%s %s\n", fieldPath, field.Enum().Values().Get(i).Name())
			}
		default:
			fmt.Fprintf(out, "%s %s\n", fieldPath, field.Kind())
		}
	}
}
