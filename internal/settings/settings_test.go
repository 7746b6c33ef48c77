package settings

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/wire"
)

// The same settings as nested JSON and as lines of path=value are read alike.
func TestFlatten_SameSettingsAsTheWire(t *testing.T) {
	const lines = `balancers=2
costs.handshake=0.06
discovery=on_request
familyInfo.callsOut=18
familyInfo.fades=halving
familyInfo.notes=full:_wait__0_if_none
familyInfo.perCall=1,3
familyInfo.routesApart=false,true
familyInfo.toll=0.0
limits.cancel=true
limits.connIdle=15000.0
limits.maxRetryAfter=2000.5
models=processor,retailer
orgs.count=2
orgs.0.allowancePerS=14.0
orgs.0.name=a
orgs.0.share=0.38
orgs.1.allowancePerS=9.0
orgs.1.name=b
orgs.1.share=0.62
services.count=1
services.0.effect=idempotency_key
services.0.giveUp=28000.0
services.0.name=card-event
zones=x,y_z`
	const nested = `{"balancers":2,"costs":{"handshake":0.06},"discovery":"on_request",
"familyInfo":{"callsOut":18,"fades":"halving","notes":"full: wait, 0 if none","perCall":[1,3],"routesApart":[false,true],"toll":[0.0]},
"limits":{"cancel":true,"connIdle":15000.0,"maxRetryAfter":2000.5},"models":["processor","retailer"],
"orgs":[{"allowancePerS":14.0,"name":"a","share":0.38},{"allowancePerS":9.0,"name":"b","share":0.62}],
"services":[{"effect":"idempotency_key","giveUp":28000.0,"name":"card-event"}],"zones":["x","y z"],"unknown":null}`
	want, err := wire.ParseSettings(lines)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Flatten([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	s := Translate(got)
	if got.Err() != nil || s.Slots != 18 || s.MaxRetryAfter != 2000500*time.Microsecond || !s.ExponentialDecay || !s.Kinds[1].PerEndpointRoutes ||
		s.Kinds[1].MaxBatch != 3 || s.Classes[0].Idempotency != brain.IdempotentByKey || s.Tenants[1].Allowance != 9 || !s.RequestsEndpoints {
		t.Errorf("%v: %+v", got.Err(), s)
	}
}

func TestFlatten_UnreadableValues(t *testing.T) {
	if _, err := Flatten([]byte(`{"step":`)); err == nil {
		t.Error("a truncated object is accepted")
	}
	env, err := Flatten([]byte(`{"step":"soon"}`))
	if err != nil {
		t.Fatal(err)
	}
	if Translate(env); env.Err() == nil || !strings.Contains(env.Err().Error(), "step") {
		t.Errorf("an unreadable step: %v", env.Err())
	}
}
