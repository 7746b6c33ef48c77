package work

import "container/heap"

// ordered is a heap of things that know their place in it.
type ordered[T any] struct {
	list []T
	less func(a, b T) bool
	put  func(x T, at int) // notes the place; -1: none
}

func (o *ordered[T]) Len() int           { return len(o.list) }
func (o *ordered[T]) Less(i, j int) bool { return o.less(o.list[i], o.list[j]) }
func (o *ordered[T]) Swap(i, j int) {
	o.list[i], o.list[j] = o.list[j], o.list[i]
	o.put(o.list[i], i)
	o.put(o.list[j], j)
}

// Push is heap.Interface's.
func (o *ordered[T]) Push(x any) {
	v, ok := x.(T)
	if !ok {
		return
	}
	o.put(v, len(o.list))
	o.list = append(o.list, v)
}

// Pop is heap.Interface's.
func (o *ordered[T]) Pop() any {
	n := len(o.list) - 1
	v := o.list[n]
	var none T
	o.list[n] = none
	o.list = o.list[:n]
	o.put(v, -1)
	return v
}

func (o *ordered[T]) add(x T)       { heap.Push(o, x) }
func (o *ordered[T]) fix(at int)    { heap.Fix(o, at) }
func (o *ordered[T]) remove(at int) { heap.Remove(o, at) }
func (o *ordered[T]) top() (x T, ok bool) {
	if len(o.list) == 0 {
		return x, false
	}
	return o.list[0], true
}
