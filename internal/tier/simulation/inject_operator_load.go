package simulation

import (
	"fmt"
	"sync"
)

// changeConcurrently has two operators send pairs of changes to one revision on the same base revision. Each operator begins at a
// different machine.
func (w *world) changeConcurrently(f Fault) {
	w.trace("%s", f.Kind)
	var rivals [2]*operator
	for i := range rivals {
		name := fmt.Sprintf("%srival-%d-%d", operatorPrefix, f.AtMS, i+1)
		rivals[i] = newOperator(w, name, fmt.Sprint(rivalsNet, w.nextRivalAddress()))
		rivals[i].next = i
	}
	for begun := w.now(); w.now()-begun < f.duration() && !w.ending(); {
		w.sleep(minRetryDelay)
		if !rivals[0].read() {
			continue
		}
		base := rivals[0].knownRevision
		var pair sync.WaitGroup
		for _, o := range rivals {
			pair.Go(func() { o.send(w.checks.configuration.begin(w.now(), base, base+1)) })
		}
		pair.Wait()
	}
	w.trace("%s is over", f.Kind)
}

// nextRivalAddress returns the last part of a new address for an operator of changeConcurrently.
func (w *world) nextRivalAddress() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addresses[rivalsNet]++
	return w.addresses[rivalsNet]
}

// withBusyOperators has the operators change the configuration without pause for the duration of a fault.
func (w *world) withBusyOperators(f Fault) {
	w.trace("%s", f.Kind)
	w.addBusyOperators(1)
	w.sleep(f.duration())
	w.addBusyOperators(-1)
	w.trace("%s is over", f.Kind)
}

// addBusyOperators changes the number of active faults that keep operators busy.
func (w *world) addBusyOperators(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busyOperatorFaults += by
}

// operatorsBusy reports whether operators change the configuration without pause.
func (w *world) operatorsBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busyOperatorFaults > 0
}
