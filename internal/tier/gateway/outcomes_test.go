package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/upstream"
)

func TestDecisive(t *testing.T) {
	notRun := func() *upstream.Result { return &upstream.Result{Outcome: upstream.NotSent} }
	mayHave := func() *upstream.Result { return &upstream.Result{Outcome: upstream.Broken, Written: true} }
	for _, test := range []struct {
		name       string
		last, next *upstream.Result
		wantLast   bool
	}{
		{"the first result", nil, notRun(), false},
		{"the first result, which may have run", nil, mayHave(), false},
		{"neither has run", notRun(), notRun(), false},
		{"the later one may have run", notRun(), mayHave(), false},
		{"both may have run", mayHave(), mayHave(), false},
		{"only the earlier one may have run", mayHave(), notRun(), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			want := test.next
			if test.wantLast {
				want = test.last
			}
			assert.Assert(t, decisive(test.last, test.next) == want)
		})
	}
}
