package proto_test

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TestTierWireFormat compares everything that two processes of different releases must agree on with the golden file: the paths of the
// methods, and the numbers and types of the fields of their messages. Names of messages, fields and enum values are not on the wire.
func TestTierWireFormat(t *testing.T) {
	golden.Assert(t, describeServices(tierv1.File_saffronyard_tier_v1_tier_proto), "tier_wire.golden")
}

// TestTierPathPrefixes checks that the path prefixes of the generated servers are those that describeServices writes.
func TestTierPathPrefixes(t *testing.T) {
	services := tierv1.File_saffronyard_tier_v1_tier_proto.Services()
	for i, server := range []tierv1.TwirpServer{tierv1.NewControlPlaneServer(nil), tierv1.NewElectionServer(nil), tierv1.NewTurnStoreServer(nil)} {
		assert.Equal(t, server.PathPrefix(), "/twirp/"+string(services.Get(i).FullName())+"/")
	}
	assert.Equal(t, services.Len(), 3)
}

// describeServices returns three lines for each method of a file's services: its path, its request's fields and its reply's fields.
func describeServices(file protoreflect.FileDescriptor) string {
	var out strings.Builder
	for i := range file.Services().Len() {
		service := file.Services().Get(i)
		for j := range service.Methods().Len() {
			method := service.Methods().Get(j)
			fmt.Fprintf(&out, "/twirp/%s/%s\n  request %s\n  reply %s\n", service.FullName(), method.Name(),
				describeMessage(method.Input(), nil), describeMessage(method.Output(), nil))
		}
	}
	return out.String()
}

// describeMessage returns the numbers and types of a message's fields, in order of their numbers, those of nested messages included.
// A message nested in itself is written as ^ and the depth of its outer occurrence, where 0 is the outermost message.
func describeMessage(message protoreflect.MessageDescriptor, enclosing []protoreflect.FullName) string {
	for depth, name := range enclosing {
		if name == message.FullName() {
			return fmt.Sprintf("^%d", depth)
		}
	}
	enclosing = append(enclosing[:len(enclosing):len(enclosing)], message.FullName())
	byNumber := map[protoreflect.FieldNumber]protoreflect.FieldDescriptor{}
	highest := protoreflect.FieldNumber(0)
	for i := range message.Fields().Len() {
		field := message.Fields().Get(i)
		byNumber[field.Number()] = field
		highest = max(highest, field.Number())
	}
	var fields []string
	for number := protoreflect.FieldNumber(1); number <= highest; number++ {
		if field := byNumber[number]; field != nil {
			fields = append(fields, describeField(field, enclosing))
		}
	}
	return "{" + strings.Join(fields, " ") + "}"
}

// describeField returns the number, cardinality and type of a field; of an enum, the numbers of its values.
func describeField(field protoreflect.FieldDescriptor, enclosing []protoreflect.FullName) string {
	described := fmt.Sprintf("%d:%s %s", field.Number(), field.Cardinality(), field.Kind())
	if field.IsPacked() {
		described += " packed"
	}
	if oneof := field.ContainingOneof(); oneof != nil {
		described += fmt.Sprintf(" oneof%d", oneof.Index())
	}
	switch {
	case field.IsMap():
		return described + " map" + describeMessage(field.Message(), enclosing)
	case field.Message() != nil:
		return described + describeMessage(field.Message(), enclosing)
	case field.Enum() != nil:
		for i := range field.Enum().Values().Len() {
			described += fmt.Sprintf(",%d", field.Enum().Values().Get(i).Number())
		}
	}
	return described
}
