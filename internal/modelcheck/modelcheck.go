// Package modelcheck explores every order of events of a model, an explicit-state model checker for tests: the model plays the code that
// ships, and says which promise a state breaks. Steps are counted from the first state; states are told apart by their keys.
package modelcheck

import "slices"

// Key identifies a state: 128 bits of hash, so that two states that differ are not taken for one in practice.
type Key [2]uint64

// Model is what is explored. A state W is not changed once it was given.
type Model[W any] interface {
	// First is the state before the first step.
	First() W
	// Key is equal for states that can't be told apart from now on.
	Key(W) Key
	// Next visits each state that one step leads to, with the step's name, and which promise it breaks; "" for none.
	Next(w W, visit func(step string, next W, broken string))
}

// Result is what an exploration found.
type Result struct {
	States int      // visited
	Layers []int    // how many states were first reached by 1, 2, ... steps; complete layers only
	Broken string   // the first promise that was broken; "" for none
	Trace  []string // the steps that lead there
}

// Explore visits states breadth first, up to so many steps from the first, and stops at maxStates or at the first broken promise, whose trace
// is a shortest one.
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

// Reach visits all states that so many steps lead to, breadth first, for spaces that are too large to be visited to their end. It keeps no
// traces.
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

// Walk visits all states depth first, which needs the least memory, and stops at maxStates or at the first broken promise.
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
