package controlplane

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// endpointList is the primary's copy of the platform's list, which the primary scans page by page. Endpoints of a page that are
// new or draining take effect at once. An endpoint that is on no page is removed, but only at the end of a scan. Until then an
// address may also be listed for its former instance. This is safe because a request names its instance, and any other instance
// rejects the request. Times are passed in, and the caller serializes access.
type endpointList struct {
	minPushInterval time.Duration             // minimum time between pushes within a scan
	quickScan       time.Duration             // a scan up to this duration is pushed at its end, if the previous scan was as short
	entries         map[string]listedEndpoint // by instance
	scan            uint64                    // number of the current or last scan
	complete        bool                      // a scan has ended: entries is a complete list
	changed         bool                      // entries have changed since the last push
	lastPush        time.Time                 // zero: no push yet
	scanBegan       time.Time                 // start of the current scan; zero: no scan is under way
	lastScanTime    time.Duration             // duration of the last scan that ended
}

// listedEndpoint is an endpoint as it was read last.
type listedEndpoint struct {
	endpoint *tierv1.Endpoint
	readAt   time.Time
	scan     uint64 // number of the scan that read it
}

// newEndpointList returns a list before its first scan.
func newEndpointList(minPushInterval, quickScan time.Duration) endpointList {
	return endpointList{minPushInterval: minPushInterval, quickScan: quickScan, entries: map[string]listedEndpoint{}}
}

// beginScan begins a scan. A scan that is abandoned before its end keeps what it has added, and removes nothing.
func (l *endpointList) beginScan(now time.Time) {
	l.scan++
	l.scanBegan = now
}

// addPage adds one page of the scan that is under way.
func (l *endpointList) addPage(now time.Time, page []*tierv1.Endpoint) {
	for _, endpoint := range page {
		before, known := l.entries[endpoint.Instance]
		if known && before.scan == l.scan && before.endpoint.Draining && !endpoint.Draining {
			// The list changed during the scan, and the instance is on two pages: within a scan draining is final.
			endpoint = proto.Clone(endpoint).(*tierv1.Endpoint)
			endpoint.Draining = true
		}
		if !known || !sameEndpoint(before.endpoint, endpoint) {
			l.changed = true
		}
		l.entries[endpoint.Instance] = listedEndpoint{endpoint, now, l.scan}
	}
}

// endScan ends a scan, and removes the endpoints that were on none of its pages.
func (l *endpointList) endScan(now time.Time) {
	l.lastScanTime, l.scanBegan = now.Sub(l.scanBegan), time.Time{}
	for instance, entry := range l.entries {
		if entry.scan != l.scan {
			delete(l.entries, instance)
			l.changed = true
		}
	}
	if !l.complete {
		l.complete, l.changed = true, true // the first complete list is a change even if it is empty
	}
}

// pushDelay returns whether there is something to push, and after what delay: changes that come close to each other are pushed
// together. Before the first complete list nothing is pushed, as sessions would treat the missing endpoints as removed.
func (l *endpointList) pushDelay(now time.Time) (delay time.Duration, pending bool) {
	if !l.changed || !l.complete {
		return 0, false
	}
	if l.lastPush.IsZero() {
		return 0, true
	}
	delay = l.minPushInterval - now.Sub(l.lastPush)
	if !l.scanBegan.IsZero() && l.lastScanTime <= l.quickScan { // the scan will end soon, and a single push costs the sessions less
		delay = max(delay, l.quickScan-now.Sub(l.scanBegan))
	}
	return max(0, delay), true
}

// push records a push, and returns the list to be pushed.
func (l *endpointList) push(now time.Time) []*tierv1.Endpoint {
	l.changed, l.lastPush = false, now
	return l.list(now)
}

// list returns all endpoints, sorted by instance. Their remaining slow start is reduced by the time since they were read.
func (l *endpointList) list(now time.Time) []*tierv1.Endpoint {
	list := make([]*tierv1.Endpoint, 0, len(l.entries))
	for _, entry := range l.entries {
		list = append(list, entry.agedTo(now))
	}
	slices.SortFunc(list, func(a, b *tierv1.Endpoint) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// agedTo returns the endpoint with its remaining slow start reduced by the time since it was read.
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

// sameEndpoint reports whether two entries are equal, except that b may have less slow start remaining than a.
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
