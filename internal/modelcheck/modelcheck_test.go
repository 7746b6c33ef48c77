package modelcheck

import (
	"math"
	"slices"
	"testing"
)

// grid is a model whose states are points; each step moves right or up, and the point bad violates an invariant.
type grid struct {
	size int
	bad  [2]int
}

func (g grid) First() [2]int { return [2]int{} }

func (g grid) Key(p [2]int) Key { return Key{uint64(p[0]), uint64(p[1])} }

func (g grid) Next(p [2]int, visit func(string, [2]int, string)) {
	for i, step := range []string{"right", "up"} {
		if next := p; next[i] < g.size {
			next[i]++
			broken := ""
			if next == g.bad {
				broken = "bad"
			}
			visit(step, next, broken)
		}
	}
}

var nowhere = [2]int{-1, -1}

func TestExplore_VisitsEachStateOnce(t *testing.T) {
	r := Explore(grid{2, nowhere}, math.MaxInt, math.MaxInt)
	if want := []int{2, 3, 2, 1, 0}; r.States != 9 || r.Broken != "" || !slices.Equal(r.Layers, want) {
		t.Errorf("%+v, want 9 states in layers %v", r, want)
	}
	if r := Explore(grid{2, nowhere}, 2, math.MaxInt); r.States != 6 {
		t.Errorf("%d states within 2 steps, want 6", r.States)
	}
}

func TestExplore_ShortestTrace(t *testing.T) {
	r := Explore(grid{5, [2]int{2, 1}}, math.MaxInt, math.MaxInt)
	if r.Broken != "bad" || len(r.Trace) != 3 {
		t.Errorf("%+v, want a trace of 3 steps", r)
	}
	x, y := 0, 0
	for _, step := range r.Trace {
		if step == "right" {
			x++
		} else {
			y++
		}
	}
	if x != 2 || y != 1 {
		t.Errorf("the trace %q leads to %d, %d", r.Trace, x, y)
	}
}

func TestReachAndWalk_AgreeWithExplore(t *testing.T) {
	if r := Reach(grid{2, nowhere}, 2); r.States != 6 || r.Broken != "" {
		t.Errorf("Reach: %+v", r)
	}
	if r := Reach(grid{5, [2]int{2, 1}}, 9); r.Broken != "bad" {
		t.Errorf("Reach: %+v", r)
	}
	if r := Walk(grid{2, nowhere}, math.MaxInt); r.States != 9 || r.Broken != "" || len(r.Trace) != 0 {
		t.Errorf("Walk: %+v", r)
	}
	if r := Walk(grid{5, [2]int{2, 1}}, math.MaxInt); r.Broken != "bad" || len(r.Trace) != 3 {
		t.Errorf("Walk: %+v", r)
	}
}
