package controlplane

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// entry returns the endpoint for a text with its instance and address, and "!" if it is draining: "i1@a1" or "i1@a1!".
func entry(text string) *tierv1.Endpoint {
	text, draining := strings.CutSuffix(text, "!")
	instance, address, _ := strings.Cut(text, "@")
	return &tierv1.Endpoint{Instance: instance, Address: address, Draining: draining}
}

func entries(texts string) (list []*tierv1.Endpoint) {
	for _, text := range strings.Fields(texts) {
		list = append(list, entry(text))
	}
	return list
}

func entryTexts(list []*tierv1.Endpoint) string {
	var texts []string
	for _, one := range list {
		text := one.Instance + "@" + one.Address
		if one.Draining {
			text += "!"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, " ")
}

// Each step is a page, "end" for the end of the scan, or "begin" for the begin of another scan.
func TestEndpointList_PagesTakenAsTheyCome(t *testing.T) {
	const complete = "i1@a1 i2@a2|i3@a3|end"
	for _, c := range []struct{ name, steps, want string }{
		{"a complete list", complete, "i1@a1 i2@a2 i3@a3"},
		{"an empty list", "end", ""},
		{"draining counts at once", complete + "|begin|i1@a1! i2@a2", "i1@a1! i2@a2 i3@a3"},
		{"a new one counts at once", complete + "|begin|i1@a1 i4@a4", "i1@a1 i2@a2 i3@a3 i4@a4"},
		{"a missing one counts at the end", complete + "|begin|i1@a1|i3@a3", "i1@a1 i2@a2 i3@a3"},
		{"a missing one is removed at the end", complete + "|begin|i1@a1|i3@a3|end", "i1@a1 i3@a3"},
		{"an abandoned scan removes nothing", complete + "|begin|i1@a1!|begin|i1@a1! i2@a2|i3@a3|end", "i1@a1! i2@a2 i3@a3"},
		{"two abandoned scans in turn remove nothing", complete + "|begin|i1@a1|begin|i2@a2", "i1@a1 i2@a2 i3@a3"},
		{"what an abandoned scan added is removed by the next", complete + "|begin|i4@a4|begin|i1@a1 i2@a2|i3@a3|end", "i1@a1 i2@a2 i3@a3"},
		{"moved to a page that was read", complete + "|begin|i1@a1 i2@a2|end", "i1@a1 i2@a2"},
		{"on two pages, draining first", complete + "|begin|i1@a1! i2@a2|i1@a1 i3@a3|end", "i1@a1! i2@a2 i3@a3"},
		{"on two pages, draining later", complete + "|begin|i1@a1 i2@a2|i1@a1! i3@a3|end", "i1@a1! i2@a2 i3@a3"},
		{"ready again in a later scan", complete + "|begin|i1@a1!|begin|i1@a1", "i1@a1 i2@a2 i3@a3"},
		{"an address moves, its former instance is still listed", complete + "|begin|i4@a3", "i1@a1 i2@a2 i3@a3 i4@a3"},
		{"an address moves, its former instance is removed at the end", complete + "|begin|i4@a3|i1@a1 i2@a2|end", "i1@a1 i2@a2 i4@a3"},
		{"an instance has another address", complete + "|begin|i1@a9", "i1@a9 i2@a2 i3@a3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newEndpointList(time.Second, 0)
			now := time.Unix(1000, 0)
			l.beginScan(now)
			for step := range strings.SplitSeq(c.steps, "|") {
				now = now.Add(time.Second)
				switch step {
				case "begin":
					l.beginScan(now)
				case "end":
					l.endScan(now)
				default:
					l.addPage(now, entries(step))
				}
				if _, pending := l.pushDelay(now); pending {
					l.push(now)
				}
			}
			assert.Equal(t, entryTexts(l.list(now)), c.want)
		})
	}
}

func TestEndpointList_NoPushBeforeFirstCompleteList(t *testing.T) {
	l := newEndpointList(time.Second, 0)
	now := time.Unix(1000, 0)
	l.beginScan(now)
	l.addPage(now, entries("i1@a1 i2@a2!"))
	_, pending := l.pushDelay(now)
	assert.Assert(t, !pending, "sessions would treat the other endpoints as removed")
	l.endScan(now)
	delay, pending := l.pushDelay(now)
	assert.Assert(t, pending && delay == 0)
}

// Changes of pages that come close to each other are pushed together, and what has not changed is not pushed.
func TestEndpointList_PushesKeepMinimumInterval(t *testing.T) {
	l := newEndpointList(time.Second, 0)
	now := time.Unix(1000, 0)
	l.beginScan(now)
	l.addPage(now, entries("i1@a1 i2@a2 i3@a3"))
	l.endScan(now)
	l.push(now)
	l.beginScan(now)
	l.addPage(now, entries("i1@a1"))
	_, pending := l.pushDelay(now)
	assert.Assert(t, !pending)
	now = now.Add(300 * time.Millisecond)
	l.addPage(now, entries("i2@a2!"))
	delay, pending := l.pushDelay(now)
	assert.Assert(t, pending && delay == 700*time.Millisecond, "%v", delay)
	now = now.Add(delay)
	l.addPage(now, entries("i3@a3!"))
	delay, pending = l.pushDelay(now)
	assert.Assert(t, pending && delay == 0)
	assert.Equal(t, entryTexts(l.push(now)), "i1@a1 i2@a2! i3@a3!")
	l.endScan(now)
	_, pending = l.pushDelay(now)
	assert.Assert(t, !pending)
}

// The changes of a quick scan are pushed at its end, or when the scan turns out to take longer.
func TestEndpointList_QuickScanPushedAtItsEnd(t *testing.T) {
	const quick = 800 * time.Millisecond
	l := newEndpointList(100*time.Millisecond, quick)
	now := time.Unix(1000, 0)
	l.beginScan(now)
	l.addPage(now, entries("i1@a1 i2@a2"))
	now = now.Add(quick)
	l.endScan(now)
	l.push(now)
	now = now.Add(time.Second)
	l.beginScan(now)
	l.addPage(now, entries("i1@a1!"))
	delay, pending := l.pushDelay(now)
	assert.Assert(t, pending && delay == quick, "%v", delay)
	now = now.Add(quick + time.Millisecond)
	delay, pending = l.pushDelay(now)
	assert.Assert(t, pending && delay == 0, "%v", delay)
	l.push(now)
	l.endScan(now)
	now = now.Add(time.Second)
	l.beginScan(now)
	l.addPage(now, entries("i2@a2!"))
	delay, pending = l.pushDelay(now)
	assert.Assert(t, pending && delay == 0, "the previous scan was slow: %v", delay)
}

// The remaining slow start of an entry is reduced by the time since its page was read.
func TestEndpointList_SlowStartGoesOnBetweenScans(t *testing.T) {
	l := newEndpointList(time.Second, 0)
	now := time.Unix(1000, 0)
	l.beginScan(now)
	cold := entry("i1@a1")
	cold.SlowStartRemainingMs = 2000
	l.addPage(now, []*tierv1.Endpoint{cold, entry("i2@a2")})
	l.endScan(now)
	l.push(now)
	assert.Equal(t, l.list(now.Add(500 * time.Millisecond))[0].SlowStartRemainingMs, uint32(1500))
	assert.Equal(t, l.list(now.Add(5 * time.Second))[0].SlowStartRemainingMs, uint32(0))
	assert.Equal(t, cold.SlowStartRemainingMs, uint32(2000), "the shared entry was modified")
	l.beginScan(now)
	l.addPage(now.Add(time.Second), []*tierv1.Endpoint{{Instance: "i1", Address: "a1", SlowStartRemainingMs: 1000}})
	_, pending := l.pushDelay(now.Add(time.Second))
	assert.Assert(t, !pending, "a list in which only slow starts decreased is pushed")
}

// Random lists change during a scan, and some scans are abandoned: the endpoint list never lacks an endpoint that was on the
// platform's list all the time, shows an endpoint as draining as soon as a page does, and equals the platform's list after
// a scan during which that did not change.
func TestEndpointList_RandomPages(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := newEndpointList(time.Second, 0)
		now := time.Unix(1000, 0)
		platform := &randomList{random: random, since: map[string]int{}, scan: -1}
		for range 12 {
			platform.add()
		}
		for reading := range 30 {
			platform.scan = reading
			l.beginScan(now)
			for page := range platform.pages(func() {
				if reading < 29 {
					platform.change()
				}
			}) {
				l.addPage(now, page)
				shown := map[string]*tierv1.Endpoint{}
				for _, one := range l.list(now) {
					shown[one.Instance] = one
				}
				for _, one := range page {
					assert.Assert(t, !one.Draining || shown[one.Instance].Draining, "seed %d: %s", seed, one.Instance)
				}
				for _, one := range platform.list {
					before := platform.since[one.Instance]+1 < platform.scansEnded // a complete scan began after it was added
					assert.Assert(t, !before || shown[one.Instance] != nil, "seed %d: %s was dropped", seed, one.Instance)
				}
				now = now.Add(100 * time.Millisecond)
			}
			if platform.abandoned {
				continue
			}
			l.endScan(now)
			platform.scansEnded = reading + 1
		}
		sorted := slices.Clone(platform.list)
		slices.SortFunc(sorted, func(a, b *tierv1.Endpoint) int { return strings.Compare(a.Instance, b.Instance) })
		assert.Equal(t, entryTexts(l.list(now)), entryTexts(sorted), "seed %d", seed)
	}
}

// randomList is a platform's list, sorted by instance, in which each page begins after the last instance of the previous page.
type randomList struct {
	random     *rand.Rand
	list       []*tierv1.Endpoint
	since      map[string]int // by instance: the scan during which it was added, -1 before the first
	count      int
	scan       int // the current scan
	scansEnded int // one more than the last scan that ended
	abandoned  bool
}

func (d *randomList) add() {
	d.count++
	one := entry(fmt.Sprintf("i%04d-%d@a%d", d.random.IntN(10000), d.count, d.count))
	d.list = append(d.list, one)
	d.since[one.Instance] = d.scan
}

func (d *randomList) change() {
	switch at := d.random.IntN(len(d.list)); d.random.IntN(6) {
	case 0:
		d.add()
	case 1: // only draining endpoints are removed
		if d.list[at].Draining && len(d.list) > 4 {
			d.list = slices.Delete(d.list, at, at+1)
		}
	case 2:
		d.list[at] = &tierv1.Endpoint{Instance: d.list[at].Instance, Address: d.list[at].Address, Draining: true}
	}
}

// pages returns the list page by page, and calls changed after each page.
func (d *randomList) pages(changed func()) func(yield func([]*tierv1.Endpoint) bool) {
	return func(yield func([]*tierv1.Endpoint) bool) {
		size, after := 1+d.random.IntN(5), ""
		d.abandoned = false
		for {
			var page []*tierv1.Endpoint
			slices.SortFunc(d.list, func(a, b *tierv1.Endpoint) int { return strings.Compare(a.Instance, b.Instance) })
			for _, one := range d.list {
				if one.Instance > after && len(page) < size {
					page = append(page, one)
				}
			}
			if len(page) == 0 {
				return
			}
			after = page[len(page)-1].Instance
			if !yield(page) {
				return
			}
			changed()
			if d.scansEnded > 0 && d.scan < 29 && d.random.IntN(20) == 0 {
				d.abandoned = true
				return
			}
		}
	}
}
