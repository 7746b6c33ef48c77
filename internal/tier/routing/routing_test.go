package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
)

var ignoreUnexported = cmpopts.IgnoreUnexported(Route{})

func tableOf(t testing.TB, prefixes ...string) *Table {
	t.Helper()
	var routes []string
	for i, hostPrefix := range prefixes {
		host, prefix, _ := strings.Cut(hostPrefix, "/")
		routes = append(routes, fmt.Sprintf(`{"name":"%d","hostname":%q,"path_prefix":%q,"timeout_ms":1,"service_name":"s"}`, i, host, "/"+prefix))
	}
	c, err := Parse([]byte(`{"revision":1,"services":[{"name":"s"}],"routes":[` + strings.Join(routes, ",") + `]}`))
	assert.NilError(t, err)
	return c
}

func TestTable_Match(t *testing.T) {
	c := tableOf(t, "a.example/", "a.example/x/", "a.example/x/y/", "b.example/x/", "a.example/xx/", "[::1]/v6/")
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/", "0"},
		{"a.example", "/x", "0"},
		{"a.example", "/x/", "1"},
		{"a.example", "/x/z", "1"},
		{"a.example", "/x/y", "1"},
		{"a.example", "/x/y/", "2"},
		{"a.example", "/x/y/z/?q=/", "2"},
		{"a.example", "/x?/y/", "0"},
		{"a.example", "/X/y/", "0"},
		{"a.example", "/%78/y/", "0"},
		{"a.example", "//x/", "0"},
		{"a.example", "/xx/1", "4"},
		{"a.example", "", ""},
		{"a.example", "x/", ""},
		{"A.Example:8149", "/x/1", "1"},
		{"b.example", "/", ""},
		{"b.example", "/x/", "3"},
		{"b.example:", "/x/", "3"},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
		{"a.example.", "/x/", ""},
		{"[::1]:80", "/v6/", "5"},
		{"[::1]", "/v6/", "5"},
	} {
		got := ""
		if r := c.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, test.want, "%s %s", test.host, test.path)
	}
}

// Match returns the same route as a linear search.
func TestTable_MatchAgainstSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	path := func() string {
		var b strings.Builder
		for range rng.IntN(6) {
			b.WriteString([]string{"/", "a", "b", "/a/", "/b/"}[rng.IntN(5)])
		}
		return b.String()
	}
	for range 200 {
		prefixes := map[string]bool{}
		for range 30 {
			prefixes[fmt.Sprintf("h%d/%s", rng.IntN(2), strings.TrimPrefix(strings.Trim(path(), "/")+"/", "/"))] = true
		}
		var list []string
		for p := range prefixes {
			list = append(list, p)
		}
		c := tableOf(t, list...)
		for range 50 {
			host, p := fmt.Sprintf("h%d", rng.IntN(3)), "/"+path()
			var want *Route
			for _, r := range c.Routes {
				if r.Host == host && strings.HasPrefix(p, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
					want = r
				}
			}
			assert.Check(t, c.Match(host, p) == want, "%s %s", host, p)
		}
	}
}

func TestTable_MatchDoesNotAllocate(t *testing.T) {
	c := tableOf(t, "a.example/x/", "a.example/yy/")
	assert.Equal(t, testing.AllocsPerRun(100, func() { c.Match("a.example:80", "/yy/1?x") }), 0.0)
}

func TestRoute_Pick(t *testing.T) {
	r := &Route{Split: []WeightedService{{"zero", 0}, {"a", 90}, {"none", 0}, {"b", 10}, {"last", 0}}, cumulativeWeights: []float64{0, 0.9, 0.9, 1, 1}}
	assert.Equal(t, r.Pick(0), "a")
	assert.Equal(t, r.Pick(math.MaxUint64), "b")
	rng := rand.New(rand.NewPCG(3, 4))
	counts := map[string]int{}
	for range 10000 {
		counts[r.Pick(rng.Uint64())]++
	}
	assert.Equal(t, len(counts), 2)
	assert.Check(t, counts["b"] > 850 && counts["b"] < 1150, "%v", counts)
}

func BenchmarkParse(b *testing.B) {
	var prefixes []string
	for i := range 2000 {
		prefixes = append(prefixes, fmt.Sprintf("h%d.example/p%d/", i%20, i))
	}
	body := tableOf(b, prefixes...).Raw
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	var prefixes []string
	for i := range 2000 {
		prefixes = append(prefixes, fmt.Sprintf("h%d.example/p%d/", i%20, i))
	}
	c := tableOf(b, prefixes...)
	for b.Loop() {
		c.Match("h7.example", "/p1007/2f")
	}
}
