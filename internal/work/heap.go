package work

import "container/heap"

// indexedHeap is a heap that reports each item's index to setIndex, so that any item can be removed.
type indexedHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(x T, at int) // records the index of x; -1: x is not in the heap
}

// Len implements heap.Interface, as do Less, Swap, Push and Pop.
func (o *indexedHeap[T]) Len() int { return len(o.items) }

// Less implements heap.Interface.
func (o *indexedHeap[T]) Less(i, j int) bool { return o.less(o.items[i], o.items[j]) }

// Swap implements heap.Interface.
func (o *indexedHeap[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.setIndex(o.items[i], i)
	o.setIndex(o.items[j], j)
}

// Push implements heap.Interface.
func (o *indexedHeap[T]) Push(x any) {
	v, ok := x.(T)
	if !ok {
		return
	}
	o.setIndex(v, len(o.items))
	o.items = append(o.items, v)
}

// Pop implements heap.Interface.
func (o *indexedHeap[T]) Pop() any {
	n := len(o.items) - 1
	v := o.items[n]
	var zero T
	o.items[n] = zero
	o.items = o.items[:n]
	o.setIndex(v, -1)
	return v
}

func (o *indexedHeap[T]) add(x T) { heap.Push(o, x) }

func (o *indexedHeap[T]) fix(at int) { heap.Fix(o, at) }

func (o *indexedHeap[T]) remove(at int) { heap.Remove(o, at) }

func (o *indexedHeap[T]) top() (x T, ok bool) {
	if len(o.items) == 0 {
		return x, false
	}
	return o.items[0], true
}
