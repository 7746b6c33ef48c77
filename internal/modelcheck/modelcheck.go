// Package modelcheck is an explicit-state model checker for tests: it explores every order of events of a model, which runs the production
// code and reports the invariant that a state violates. Steps are counted from the initial state; states are distinguished by their keys.
package modelcheck

import "slices"

// Key identifies a state: a hash of 128 bits, so that collisions do not occur in practice.
type Key [2]uint64

// Model is a transition system to explore. A state W must not be modified after it was passed to the checker.
type Model[W any] interface {
	// First returns the initial state.
	First() W
	// Key returns a state's key. States with the same possible futures have equal keys.
	Key(W) Key
	// Next visits each successor of a state, with the step's name and the invariant that the successor violates; "" for none.
	Next(w W, visit func(step string, next W, broken string))
}

// Result is the result of an exploration.
type Result struct {
	States int      // number of visited states
	Layers []int    // how many states were first reached by 1, 2, ... steps; complete layers only
	Broken string   // the first violated invariant; "" for none
	Trace  []string // the steps that lead to the violation
}

// Explore visits states breadth first, up to maxSteps from the initial state, and stops at maxStates or at the first violated invariant. Its
// trace is a shortest one.
func Explore[W any](m Model[W], maxSteps, maxStates int) (r Result) {
	type origin struct {
		parent Key
		step   string
	}
	first := m.First()
	seen := map[Key]origin{m.Key(first): {}}
	for layer := []W{first}; len(layer) > 0 && len(r.Layers) < maxSteps && len(seen) < maxStates; {
		var below []W
		for _, w := range layer {
			parent := m.Key(w)
			m.Next(w, func(step string, next W, broken string) {
				if r.Broken != "" {
					return
				}
				key := m.Key(next)
				if _, ok := seen[key]; ok && broken == "" {
					return
				}
				seen[key] = origin{parent, step}
				if broken != "" {
					r.Broken = broken
					for o := (origin{parent, step}); o.step != ""; o = seen[o.parent] {
						r.Trace = append(r.Trace, o.step)
					}
					slices.Reverse(r.Trace)
					return
				}
				below = append(below, next)
			})
			if r.Broken != "" {
				r.States = len(seen)
				return r
			}
		}
		layer, r.Layers = below, append(r.Layers, len(below))
	}
	r.States = len(seen)
	return r
}

// Reach visits all states that at most maxSteps lead to, breadth first, for state spaces that are too large to be explored completely. It
// records no traces.
func Reach[W any](m Model[W], maxSteps int) (r Result) {
	first := m.First()
	seen := map[Key]struct{}{m.Key(first): {}}
	for layer := []W{first}; len(layer) > 0 && len(r.Layers) < maxSteps && r.Broken == ""; {
		var below []W
		for _, w := range layer {
			m.Next(w, func(_ string, next W, broken string) {
				key := m.Key(next)
				if _, ok := seen[key]; ok && broken == "" {
					return
				}
				seen[key] = struct{}{}
				if broken != "" {
					r.Broken = broken
				}
				below = append(below, next)
			})
		}
		layer, r.Layers = below, append(r.Layers, len(below))
	}
	r.States = len(seen)
	return r
}

// Walk visits all states depth first, which needs the least memory, and stops at maxStates or at the first violated invariant.
func Walk[W any](m Model[W], maxStates int) (r Result) {
	first := m.First()
	seen := map[Key]struct{}{m.Key(first): {}}
	var visit func(w W)
	visit = func(w W) {
		m.Next(w, func(step string, next W, broken string) {
			if r.Broken != "" || len(seen) >= maxStates {
				return
			}
			key := m.Key(next)
			if _, ok := seen[key]; ok && broken == "" {
				return
			}
			seen[key] = struct{}{}
			r.Trace = append(r.Trace, step)
			if r.Broken = broken; r.Broken == "" {
				visit(next)
			}
			if r.Broken == "" {
				r.Trace = r.Trace[:len(r.Trace)-1]
			}
		})
	}
	visit(first)
	r.States = len(seen)
	return r
}
