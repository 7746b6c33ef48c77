package controlplane

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// endpointList is what a primary knows of the platform's list, which it reads page by page. What a page tells is taken at once:
// that an endpoint drains, or that one is new. What no page told is gone, and that is known only when the last page of a
// reading has come. Until then an address may stand there for its former instance as well: a request names the instance
// that it is for, and another refuses it. It has no clock and no lock of its own.
type endpointList struct {
	minPushInterval time.Duration // from one push to the next within a reading, at least
	quickScan       time.Duration // a reading that takes no longer is pushed at its end, if the one before took no longer either
	entries         map[string]listedEndpoint
	scan            uint64        // number of the reading that is under way, or was the last
	complete        bool          // a reading has come to its end: known is a whole list
	changed         bool          // since the last push
	lastPush        time.Time     // the last push; zero: none
	scanBegan       time.Time     // the reading
	lastScanTime    time.Duration // the last that came to its end
}

// listedEndpoint is an endpoint as it was read last.
type listedEndpoint struct {
	endpoint *tierv1.Endpoint
	readAt   time.Time
	scan     uint64 // number of that reading
}

func newEndpointList(pushGap, quick time.Duration) endpointList {
	return endpointList{minPushInterval: pushGap, quickScan: quick, entries: map[string]listedEndpoint{}}
}

// beginScan starts a reading. One that was given up before its end leaves what it has told, and nothing is gone by it.
func (l *endpointList) beginScan(now time.Time) {
	l.scan++
	l.scanBegan = now
}

// addPage takes one page of the reading that is under way.
func (l *endpointList) addPage(now time.Time, page []*tierv1.Endpoint) {
	for _, endpoint := range page {
		before, known := l.entries[endpoint.Instance]
		if known && before.scan == l.scan && before.endpoint.Draining && !endpoint.Draining {
			// The list changed while it was read, and has the instance on two pages: one that drains does not return.
			endpoint = proto.Clone(endpoint).(*tierv1.Endpoint)
			endpoint.Draining = true
		}
		if !known || !sameEndpoint(before.endpoint, endpoint) {
			l.changed = true
		}
		l.entries[endpoint.Instance] = listedEndpoint{endpoint, now, l.scan}
	}
}

// endScan takes the end of the list: what this reading has not shown is gone.
func (l *endpointList) endScan(now time.Time) {
	l.lastScanTime, l.scanBegan = now.Sub(l.scanBegan), time.Time{}
	for instance, one := range l.entries {
		if one.scan != l.scan {
			delete(l.entries, instance)
			l.changed = true
		}
	}
	if !l.complete {
		l.complete, l.changed = true, true // also an empty list is news
	}
}

// pushDelay tells whether there is something to push, and how long it is to wait: changes that come close to each other go
// together. Without a whole list there is nothing to push, as whoever got a part would take the rest for gone.
func (l *endpointList) pushDelay(now time.Time) (delay time.Duration, pending bool) {
	if !l.changed || !l.complete {
		return 0, false
	}
	if l.lastPush.IsZero() {
		return 0, true
	}
	delay = l.minPushInterval - now.Sub(l.lastPush)
	if !l.scanBegan.IsZero() && l.lastScanTime <= l.quickScan { // its end is near, and one push is less for all sessions
		delay = max(delay, l.quickScan-now.Sub(l.scanBegan))
	}
	return max(0, delay), true
}

// push gives the list that goes out now.
func (l *endpointList) push(now time.Time) []*tierv1.Endpoint {
	l.changed, l.lastPush = false, now
	return l.list(now)
}

// list gives all endpoints in the order of instances. Those that were read some time ago have been getting warmer since.
func (l *endpointList) list(now time.Time) []*tierv1.Endpoint {
	list := make([]*tierv1.Endpoint, 0, len(l.entries))
	for _, one := range l.entries {
		list = append(list, one.agedTo(now))
	}
	slices.SortFunc(list, func(a, b *tierv1.Endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// agedTo gives the endpoint as it is now.
func (one listedEndpoint) agedTo(now time.Time) *tierv1.Endpoint {
	elapsed := uint64(max(0, now.Sub(one.readAt)).Milliseconds())
	cold := uint64(one.endpoint.SlowStartRemainingMs)
	if cold == 0 || elapsed == 0 {
		return one.endpoint
	}
	warmer := proto.Clone(one.endpoint).(*tierv1.Endpoint)
	warmer.SlowStartRemainingMs = uint32(cold - min(cold, elapsed))
	return warmer
}

// sameEndpoint tells whether two entries differ in nothing but that b is warmer than a.
func sameEndpoint(a, b *tierv1.Endpoint) bool {
	if b.SlowStartRemainingMs > a.SlowStartRemainingMs {
		return false
	}
	if a.SlowStartRemainingMs == b.SlowStartRemainingMs {
		return proto.Equal(a, b)
	}
	c := proto.Clone(a).(*tierv1.Endpoint)
	c.SlowStartRemainingMs = b.SlowStartRemainingMs
	return proto.Equal(c, b)
}
