package controlplane

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// endpointList is what a primary knows of the platform's list, which it scans page by page. What a page has is taken at
// once: that an endpoint drains, or that one is new. What is on no page is removed, and that is known only when the last page
// of a scan has come. Until then an address may be listed for its former instance as well: a request names the instance that
// it is for, and another rejects it. The list has no clock and no lock of its own.
type endpointList struct {
	minPushInterval time.Duration             // within a scan
	quickScan       time.Duration             // a scan that takes no longer is pushed at its end, if the one before took no longer either
	entries         map[string]listedEndpoint // by instance
	scan            uint64                    // number of the scan that is under way, or was the last
	complete        bool                      // a scan has come to its end: entries is a complete list
	changed         bool                      // since the last push
	lastPush        time.Time                 // zero: none
	scanBegan       time.Time                 // of the scan that is under way; zero: none is
	lastScanTime    time.Duration             // of the last scan that came to its end
}

// listedEndpoint is an endpoint as it was read last.
type listedEndpoint struct {
	endpoint *tierv1.Endpoint
	readAt   time.Time
	scan     uint64 // number of that scan
}

// newEndpointList returns a list before its first scan.
func newEndpointList(minPushInterval, quickScan time.Duration) endpointList {
	return endpointList{minPushInterval: minPushInterval, quickScan: quickScan, entries: map[string]listedEndpoint{}}
}

// beginScan begins a scan. One that was given up before its end leaves what it has added, and removes nothing.
func (l *endpointList) beginScan(now time.Time) {
	l.scan++
	l.scanBegan = now
}

// addPage adds one page of the scan that is under way.
func (l *endpointList) addPage(now time.Time, page []*tierv1.Endpoint) {
	for _, endpoint := range page {
		before, known := l.entries[endpoint.Instance]
		if known && before.scan == l.scan && before.endpoint.Draining && !endpoint.Draining {
			// The list changed during the scan, and has the instance on two pages: one that drains does not return.
			endpoint = proto.Clone(endpoint).(*tierv1.Endpoint)
			endpoint.Draining = true
		}
		if !known || !sameEndpoint(before.endpoint, endpoint) {
			l.changed = true
		}
		l.entries[endpoint.Instance] = listedEndpoint{endpoint, now, l.scan}
	}
}

// endScan ends a scan: what it has not shown is removed.
func (l *endpointList) endScan(now time.Time) {
	l.lastScanTime, l.scanBegan = now.Sub(l.scanBegan), time.Time{}
	for instance, one := range l.entries {
		if one.scan != l.scan {
			delete(l.entries, instance)
			l.changed = true
		}
	}
	if !l.complete {
		l.complete, l.changed = true, true // also an empty list is a change
	}
}

// pushDelay tells whether there is something to push, and how long it is to wait: changes that come close to each other are
// pushed together. Before a complete list there is nothing to push, as a session would take the rest for removed.
func (l *endpointList) pushDelay(now time.Time) (delay time.Duration, pending bool) {
	if !l.changed || !l.complete {
		return 0, false
	}
	if l.lastPush.IsZero() {
		return 0, true
	}
	delay = l.minPushInterval - now.Sub(l.lastPush)
	if !l.scanBegan.IsZero() && l.lastScanTime <= l.quickScan { // its end is near, and one push costs all sessions less
		delay = max(delay, l.quickScan-now.Sub(l.scanBegan))
	}
	return max(0, delay), true
}

// push returns the list that is pushed now.
func (l *endpointList) push(now time.Time) []*tierv1.Endpoint {
	l.changed, l.lastPush = false, now
	return l.list(now)
}

// list returns all endpoints in the order of instances. The slow start of those that were read some time ago has gone on since.
func (l *endpointList) list(now time.Time) []*tierv1.Endpoint {
	list := make([]*tierv1.Endpoint, 0, len(l.entries))
	for _, one := range l.entries {
		list = append(list, one.agedTo(now))
	}
	slices.SortFunc(list, func(a, b *tierv1.Endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// agedTo returns the endpoint as it is now, by the time since it was read.
func (entry listedEndpoint) agedTo(now time.Time) *tierv1.Endpoint {
	elapsed := uint64(max(0, now.Sub(entry.readAt)).Milliseconds())
	remaining := uint64(entry.endpoint.SlowStartRemainingMs)
	if remaining == 0 || elapsed == 0 {
		return entry.endpoint
	}
	aged := proto.Clone(entry.endpoint).(*tierv1.Endpoint)
	aged.SlowStartRemainingMs = uint32(remaining - min(remaining, elapsed))
	return aged
}

// sameEndpoint tells whether two entries differ in nothing but that the slow start of b has gone on.
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
