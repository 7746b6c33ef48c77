package simulation

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"dockshift.example/dockshift/internal/tier/simulation/virtualtime"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// recoveryTime is how long after the last fault everything is well again.
const recoveryTime = 12 * time.Second

// ordersRepeated is how many orders are sent again at the end.
const ordersRepeated = 10

// drainLimit is how long whatever was under way may last at the end. The clock of a bubble stands once its first function
// has returned, so that this is waited for in it.
const drainLimit = 10 * time.Second

// Options change how a script is played.
type Options struct {
	Seams  Seams
	Ignore []Rule    // that are not checked
	Trace  io.Writer // what processes log and the simulator does, with the time; nil: nowhere. It is written to from many goroutines
}

// Result tells how a script went.
type Result struct {
	Broken   *Violation    // the promise that was broken first, and ended the play; nil: all is well
	Virtual  time.Duration // time that passed in the bubble
	Messages int
	Orders   int // acknowledged
	Turns    int // served
}

// Play plays a script in a bubble of its own time. The error tells that the simulator itself failed.
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

// result tells how the play went.
func (w *world) result() Result {
	r := Result{Virtual: w.now()}
	w.mu.Lock()
	r.Broken = w.broken
	w.mu.Unlock()
	w.network.mu.Lock()
	r.Messages = w.network.messages
	w.network.mu.Unlock()
	w.checks.orders.mu.Lock()
	r.Orders = w.checks.orders.confirmed
	w.checks.orders.mu.Unlock()
	w.checks.turns.mu.Lock()
	r.Turns = w.checks.turns.served
	w.checks.turns.mu.Unlock()
	return r
}

// play brings the system up, has the script befall it, and checks at the end that all is well again.
func (w *world) play() {
	w.outside("platform", platformIP).start()
	w.outside("endpoint", endpointIP).start()
	for i := range w.script.Core {
		w.place(coreName(i), roleControlPlane, i)
	}
	for i := range w.script.Stores {
		w.place(storeName(i), roleTurnStore, i)
	}
	for i := range w.script.Gateways {
		w.place(gatewayName(i), roleGateway, i)
	}
	for _, kind := range []roleName{roleControlPlane, roleTurnStore, roleGateway} {
		for _, m := range w.kind(kind) {
			m.start()
		}
	}
	for i := range operatorCount {
		o := newOperator(w, fmt.Sprint(operatorPrefix, i+1), fmt.Sprint(outsideNet, 10+i))
		w.load.Go(o.run)
	}
	w.pause(time.Second)
	w.mu.Lock()
	w.bootstrap = false
	w.mu.Unlock()
	var faults sync.WaitGroup
	for _, f := range w.script.Faults {
		faults.Go(func() { w.befall(f) })
	}
	faults.Wait()
	w.note("all faults are over")
	w.pause(recoveryTime)
	close(w.calm)
	w.load.Wait()
	if !w.ending() {
		w.recovered()
	}
	w.end()
}

// end ends all that runs.
func (w *world) end() {
	w.network.set(func() { w.network.closed = true })
	for _, m := range append(append(w.kind(roleControlPlane), w.kind(roleTurnStore)...), w.kind(roleGateway)...) {
		m.disk.set(false, false)
	}
	w.cancel()
	w.running.Wait()
	time.Sleep(drainLimit)
}

// recovered checks that orders and turns are served, that nothing is missing, and that every partition has all its copies.
func (w *world) recovered() {
	w.note("recovered?")
	o := newOperator(w, operatorPrefix+"last", watcherIP)
	if !o.read() {
		w.report(RuleRecovery, "no read is answered")
	}
	w.checks.orders.end(o.known)
	last := w.checks.orders.begin(w.now(), o.known, o.known+10)
	if !o.send(last) && last.refused == 0 {
		w.report(RuleRecovery, "no order is acknowledged")
	}
	w.ordersAgain(o)
	w.copies()
	w.turnsStand()
	w.mu.Lock()
	retiring, retired := w.retiring, w.retired
	w.mu.Unlock()
	if retiring != "" && !retired {
		w.report(RuleRecovery, "%s is not empty yet", retiring)
	}
}

// ordersAgain checks that orders which were acknowledged are so again, though others were taken on top of them.
func (w *world) ordersAgain(o *operator) {
	for _, old := range w.checks.orders.newest(ordersRepeated) {
		if !o.send(old) && !w.ending() {
			w.report(RuleRepeat, "%v was acknowledged, and is not when it comes again", old)
		}
	}
}

// copies checks that each partition of the newest map has its copies, all on turn stores that are there.
func (w *world) copies() {
	ctx, cancel := context.WithTimeout(w.ctx, answerLimit)
	defer cancel()
	leader := w.leader()
	if leader == nil {
		w.report(RuleRecovery, "nobody is primary")
		return
	}
	watcher := newOperator(w, "watcher", watcherIP)
	status, err := watcher.process.dialControlPlane(at(leader.ip, internalPort)).Status(ctx, &tierv1.StatusRequest{})
	if err != nil || status.PartitionMap == nil {
		w.report(RuleRecovery, "the primary shows no map: %v", err)
		return
	}
	alive, keeps := map[string]bool{}, map[string]bool{}
	for _, m := range w.kind(roleTurnStore) {
		if p, _ := m.process(); p != nil {
			alive[p.role.(*turnStoreRole).store.Folder()] = true
		}
	}
	short := 0
	for _, p := range status.PartitionMap.Partitions {
		synced := 0
		keeps[p.Primary] = true
		for _, c := range p.Backups {
			keeps[c.Folder] = true
		}
		if alive[p.Primary] {
			synced++
		}
		for _, c := range p.Backups {
			if c.Synced && alive[c.Folder] {
				synced++
			}
		}
		if !alive[p.Primary] || synced < w.script.Losses+1 {
			short++
		}
	}
	if short > 0 {
		w.report(RuleRecovery, "%d partitions lack copies", short)
	}
	for folder := range alive {
		if !keeps[folder] && !slices.Contains(status.PartitionMap.Retiring, w.nodeOf(folder)) {
			w.report(RuleRecovery, "%s runs and keeps nothing", w.nodeOf(folder))
		}
	}
}

// nodeOf gives the machine on which a folder is.
func (w *world) nodeOf(folder string) string {
	for _, m := range w.kind(roleTurnStore) {
		if p, _ := m.process(); p != nil && p.role.(*turnStoreRole).store.Folder() == folder {
			return m.name
		}
	}
	return ""
}

// turnsStand checks that all turns that were kept are still there, and that all that is charged still is.
func (w *world) turnsStand() {
	gateways := w.kind(roleGateway)
	p, _ := gateways[0].process()
	if p == nil {
		w.report(RuleRecovery, "%s does not run", gateways[0].name)
		return
	}
	g := p.role.(*gatewayRole)
	for _, last := range w.checks.turns.newest() {
		probe := w.checks.turns.begin(&program{name: "probe of " + last, budget: programBudget}, last, 1, 1)
		if !g.carry(probe, true) {
			w.report(RuleRecovery, "no turn that goes on from %s is served", last)
		}
	}
	for _, p := range w.checks.turns.charged() {
		least := w.checks.turns.least(p)
		probe := w.checks.turns.begin(p, "", programBudget-min(least, programBudget)+1, 1)
		if verdict, _ := g.begin(probe); verdict != tierv1.Verdict_SPENT {
			w.report(RuleBudget, "%s: %d tokens are charged of %d, and %d more are answered %v", p.name, least, p.budget, probe.most, verdict)
		}
	}
}

// least is what is charged to a program in any case.
func (c *turns) least(p *program) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.leastCharge()
}

// newest gives the last kept turn of each program.
func (c *turns) newest() (ids []string) {
	for _, p := range c.charged() {
		if kept := c.kept(p); len(kept) > 0 {
			ids = append(ids, kept[len(kept)-1])
		}
	}
	return ids
}

// charged gives all programs, in the order of their names.
func (c *turns) charged() (list []*program) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.programs {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *program) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

// lockedWriter lets many goroutines write lines.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(b)
}
