package cli

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestStatus_RoleAndRisk(t *testing.T) {
	record := &tierv1.View{Epoch: 7, Primary: "a", Backups: []string{"b"}, Members: []*tierv1.Member{{Folder: "a", Node: "core-1"}}}
	for _, c := range []struct {
		name  string
		reply *tierv1.StatusReply
		want  []string
		never string
	}{
		{"backup", &tierv1.StatusReply{Self: &tierv1.Member{Folder: "b", Node: "core-2"}, Record: record}, []string{"core-2 backup"}, "losses"},
		{"witness", &tierv1.StatusReply{Self: &tierv1.Member{Folder: "c", Node: "core-3"}, Record: record}, []string{"core-3 witness"}, "losses"},
		{"primary, all well", &tierv1.StatusReply{Self: &tierv1.Member{Folder: "a", Node: "core-1"}, Primary: true, Record: record,
			Risk: &tierv1.Risk{Losses: 1, PartitionsBorne: 1, ControlBorne: 1, ControlMembers: 3}},
			[]string{"core-1 primary", "control state 1 of 1 (3 members)", "partitions 1 of 1"}, "at risk"},
		{"partitions at risk", &tierv1.StatusReply{Primary: true, Risk: &tierv1.Risk{Losses: 1, Partitions: 12, ControlBorne: 1,
			PartitionsForMs: 1200, PartitionsUntilMs: 2800}}, []string{"partitions 0 of 1", "12 partitions for 1.2s, until 2.8s from now at most"}, "overdue"},
		{"overdue", &tierv1.StatusReply{Primary: true, Risk: &tierv1.Risk{Losses: 1, Partitions: 1, PartitionsBorne: -1, ControlBorne: 1,
			PartitionsForMs: 9000, PartitionsUntilMs: -5000}}, []string{"partitions -1 of 1", "1 partitions for 9s, overdue by 5s"}, "until"},
		{"control state at risk", &tierv1.StatusReply{Primary: true, Risk: &tierv1.Risk{Losses: 1, PartitionsBorne: 1, ControlMembers: 3, ControlChanging: true}},
			[]string{"a change of members under way", "control state: 0 copies beside the primary's, absent members: none"}, "partitions for"},
		{"a member is absent", &tierv1.StatusReply{Primary: true, Risk: &tierv1.Risk{Losses: 1, PartitionsBorne: 1, ControlMembers: 3, ControlCopies: 1,
			ControlAbsent: []string{"10.0.0.2:7680"}}}, []string{"control state: 1 copies beside the primary's, absent members: 10.0.0.2:7680"}, "change"},
		{"out of touch", &tierv1.StatusReply{Primary: true, Risk: &tierv1.Risk{Losses: 1, ControlBorne: -1}}, []string{"control state unknown of 1"}, "change"},
		{"a turn store's full disk", &tierv1.StatusReply{Primary: true, Sessions: []*tierv1.Session{
			{Node: "store-1", Role: "turnstore", Disk: tierv1.DiskState_DISK_SOUND}, {Node: "store-2", Role: "turnstore", Disk: tierv1.DiskState_DISK_FULL}}},
			[]string{"session store-1 turnstore configuration 0 endpoints 0 turn stores 0 silent 0 ms session", "silent 0 ms not sound: disk full"}, "stuck"},
		{"a turn store's stuck disk", &tierv1.StatusReply{Primary: true, Sessions: []*tierv1.Session{{Role: "turnstore", Disk: tierv1.DiskState_DISK_STUCK}}},
			[]string{"not sound: disk stuck"}, "full"},
		{"a turn store's failing disk", &tierv1.StatusReply{Primary: true, Sessions: []*tierv1.Session{{Role: "turnstore", Disk: tierv1.DiskState_DISK_FAILING}}},
			[]string{"not sound: disk failing"}, "full"},
		{"a state of a later version", &tierv1.StatusReply{Primary: true, Sessions: []*tierv1.Session{{Role: "turnstore", Disk: tierv1.DiskState_DISK_STUCK + 1}}},
			[]string{"not sound: disk failing"}, "full"},
		{"an older turn store", &tierv1.StatusReply{Primary: true, Sessions: []*tierv1.Session{{Role: "turnstore"}}},
			[]string{"silent 0 ms"}, "sound"},
		{"a disk that fails", &tierv1.StatusReply{DiskError: "no space left on device"}, []string{"disk no space left on device"}, "losses"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			printStatus(&out, "10.0.0.1:7680", c.reply)
			text := strings.Join(strings.Fields(out.String()), " ") // the width of columns varies
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(text, want), "%q is not in %s", want, out.String())
			}
			assert.Assert(t, !strings.Contains(text, c.never), out.String())
		})
	}
}

// The JSON of status names the state of a turn store's disk.
func TestStatus_JSONIncludesDiskState(t *testing.T) {
	out := protojson.Format(&tierv1.StatusReply{Sessions: []*tierv1.Session{{Node: "store-1", Role: "turnstore", Disk: tierv1.DiskState_DISK_STUCK}}})
	assert.Assert(t, strings.Contains(out, `"DISK_STUCK"`), out)
}
