package peers

import (
	"fmt"
	stdlog "log"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// Route is where another sender is reached whose own address does not lead there: behind a translation of addresses, or at the
// other end of a tunnel. It holds for TCP and UDP alike, and for membership and exchange each by its own line.
type Route struct{ Address, Via string }

// RouteError is a table of routes that can't be used.
type RouteError struct{ Problem string }

// Error gives the problem.
func (e *RouteError) Error() string { return e.Problem }

// maxRoutes bounds a table; a fleet has two lines for each member.
const maxRoutes = 2048 // lines; a fleet has two for each member

// RouteTable is routes by address.
type RouteTable map[string]string

// NewRouteTable makes a table, of addresses that senders may talk at without TLS. Its errors name the line: a *RouteError, or
// one that wraps that of CheckLoopback.
func NewRouteTable(all []Route) (RouteTable, error) {
	if len(all) > maxRoutes {
		return nil, &RouteError{fmt.Sprintf("%d lines of reach; %d are the most", len(all), maxRoutes)}
	}
	t := RouteTable{}
	for i, r := range all {
		for _, a := range []struct{ key, addr string }{{"address", r.Address}, {"via", r.Via}} {
			if err := CheckLoopback(a.addr); err != nil {
				return nil, fmt.Errorf("reach %d: %s = %q: %w", i+1, a.key, a.addr, err)
			}
		}
		if other, twice := t[r.Address]; twice {
			return nil, &RouteError{fmt.Sprintf("reach %d: %s is reached at %s already", i+1, r.Address, other)}
		}
		t[r.Address] = r.Via
	}
	return t, nil
}

// Resolve is where an address is reached from here: itself, if there is no route.
func (t RouteTable) Resolve(addr string) string {
	if via, ok := t[addr]; ok {
		return via
	}
	return addr
}

// transport is the membership's network transport, by way of the table. What others answer comes by their own tables.
type transport struct {
	*memberlist.NetTransport
	routes RouteTable
}

var _ memberlist.NodeAwareTransport = transport{}

// newTransport listens at an address for membership, TCP and UDP.
func newTransport(at netip.AddrPort, routes RouteTable, log *stdlog.Logger) (transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{at.Addr().String()}, BindPort: int(at.Port()), Logger: log})
	return transport{t, routes}, err
}

// WriteTo sends a packet to where addr is reached.
func (t transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.routes.Resolve(addr))
}

// WriteToAddress sends a packet to where a is reached.
func (t transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.routes.Resolve(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout connects to where addr is reached.
func (t transport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.routes.Resolve(addr), limit)
}

// DialAddressTimeout connects to where a is reached.
func (t transport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	a.Addr = t.routes.Resolve(a.Addr)
	return t.NetTransport.DialAddressTimeout(a, limit)
}
