package controlplane

import "context"

// decideAndWrite decides on an order and, if the verdict is take, writes it in one step with the decision. decide is called
// twice: an order that will not be written need not wait for the right to write, and one that has waited for it may find
// another view. write is called with the right to write, and tells what became of the order.
//
// It gives the verdict and the view that was decided on, or what write gives. It fails with errNotPrimary or errWriterBusy
// where there was no decision, or as write does.
func decideAndWrite[V comparable](ctx context.Context, plane *ControlPlane, take V, decide func(*view) V,
	write func(context.Context, *view) (V, *view, error)) (V, *view, error) {
	var none V
	v, ok := plane.primary()
	if !ok {
		return none, nil, errNotPrimary
	}
	if verdict := decide(v); verdict != take {
		return verdict, v, nil
	}
	if plane.lockWriter(ctx) != nil {
		return none, nil, errWriterBusy
	}
	defer plane.unlockWriter()
	v, ok = plane.primary()
	if !ok {
		return none, nil, errNotPrimary
	}
	if verdict := decide(v); verdict != take {
		return verdict, v, nil
	}
	return write(ctx, v)
}
