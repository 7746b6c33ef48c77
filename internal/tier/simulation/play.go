package simulation

import (
	"fmt"
	"io"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/tier/simulation/virtualtime"
)

// recoveryTime is how long after the last fault the tier must be healthy again.
const recoveryTime = 12 * time.Second

// changesRepeated is how many acknowledged changes are sent again at the end.
const changesRepeated = 10

// drainWait is how long goroutines may take to end after a play. The clock of a bubble stops once the function that
// virtualtime.Run calls has returned, so that the wait is inside this function.
const drainWait = 10 * time.Second

// Options change how a script is played.
type Options struct {
	Hooks  Hooks
	Ignore []Rule    // rules that are not checked
	Trace  io.Writer // gets the logs of processes and the steps of the simulator, with the virtual time; nil: none. Play serializes writes
}

// Result is the result of a play.
type Result struct {
	Violation   *Violation    // the first violation, which ended the play; nil: none
	VirtualTime time.Duration // from the start to the end of the play
	Messages    int
	Orders      int // acknowledged
	Turns       int // served
}

// Play plays a script in virtual time. An error means that the simulator itself failed.
func Play(script Script, options Options) (Result, error) {
	var result Result
	if options.Trace != nil {
		options.Trace = &lockedWriter{out: options.Trace}
	}
	err := virtualtime.Run(func() {
		w := newWorld(script, options)
		w.play()
		result = w.result()
	})
	return result, err
}

// result returns the result of the play.
func (w *world) result() Result {
	r := Result{VirtualTime: w.now()}
	w.mu.Lock()
	r.Violation = w.violation
	w.mu.Unlock()
	w.network.mu.Lock()
	r.Messages = w.network.messages
	w.network.mu.Unlock()
	w.checks.configuration.mu.Lock()
	r.Orders = w.checks.configuration.confirmed
	w.checks.configuration.mu.Unlock()
	w.checks.turns.mu.Lock()
	r.Turns = w.checks.turns.turnsServed
	w.checks.turns.mu.Unlock()
	return r
}

// play starts the system, injects the faults of the script, and checks at the end that the system has recovered.
func (w *world) play() {
	w.addOutsideMachine("platform", platformIP).start()
	w.addOutsideMachine("endpoint", endpointIP).start()
	for i := range w.script.Core {
		w.addMachine(coreName(i), roleControlPlane, w.script.zoneOf(i, w.script.Core))
	}
	for i := range w.script.Stores {
		w.addMachine(storeName(i), roleTurnStore, w.script.zoneOf(i, w.script.Stores))
	}
	for i := range w.script.Gateways {
		w.addMachine(gatewayName(i), roleGateway, w.script.zoneOf(i, w.script.Gateways))
	}
	for _, kind := range []roleName{roleControlPlane, roleTurnStore, roleGateway} {
		for _, m := range w.machinesOfKind(kind) {
			m.start()
		}
	}
	for i := range operatorCount {
		o := newOperator(w, fmt.Sprint(operatorPrefix, i+1), fmt.Sprint(outsideNet, 10+i))
		w.load.Go(o.run)
	}
	w.sleep(time.Second)
	w.mu.Lock()
	w.bootstrap = false
	w.mu.Unlock()
	var faults sync.WaitGroup
	for _, f := range w.script.Faults {
		faults.Go(func() { w.injectFault(f) })
	}
	faults.Wait()
	w.trace("all faults are over")
	w.sleep(recoveryTime)
	close(w.loadStopped)
	w.load.Wait()
	if !w.ending() {
		w.checkRecovery()
	}
	w.end()
}

// end stops all processes, and waits for their goroutines.
func (w *world) end() {
	w.network.update(func() { w.network.closed = true })
	for _, m := range append(append(w.machinesOfKind(roleControlPlane), w.machinesOfKind(roleTurnStore)...), w.machinesOfKind(roleGateway)...) {
		m.disk.set(false, false)
	}
	w.cancel()
	w.running.Wait()
	time.Sleep(drainWait)
}

// lockedWriter serializes the writes of many goroutines.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(b)
}
