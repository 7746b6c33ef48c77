package peers

import (
	"fmt"
	stdlog "log"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// Route maps the Address of a peer to the address Via by which it is reached, for a peer behind network address translation or at
// the other end of a tunnel. It applies to both TCP and UDP. Membership and exchange each need a route of their own.
type Route struct{ Address, Via string }

// RouteError reports an invalid table of routes.
type RouteError struct{ Problem string }

// Error returns the problem.
func (e *RouteError) Error() string { return e.Problem }

// maxRoutes bounds a table. A fleet has two routes for each member.
const maxRoutes = 2048

// RouteTable maps an address to the address by which it is reached.
type RouteTable map[string]string

// NewRouteTable makes a table of addresses at which senders may communicate without TLS. Errors name the route: a *RouteError, or
// one that wraps the error of CheckLoopback.
func NewRouteTable(all []Route) (RouteTable, error) {
	if len(all) > maxRoutes {
		return nil, &RouteError{fmt.Sprintf("%d reach entries; the maximum is %d", len(all), maxRoutes)}
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

// Resolve returns the address by which addr is reached: addr itself if it has no route.
func (t RouteTable) Resolve(addr string) string {
	if via, ok := t[addr]; ok {
		return via
	}
	return addr
}

// transport is the membership's network transport with the routes applied to outgoing traffic. Replies use the routes of the peer.
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

// WriteTo sends a packet to the resolved addr.
func (t transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.routes.Resolve(addr))
}

// WriteToAddress sends a packet to the resolved address.
func (t transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.routes.Resolve(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

// DialTimeout connects to the resolved addr.
func (t transport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.routes.Resolve(addr), limit)
}

// DialAddressTimeout connects to the resolved address.
func (t transport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	a.Addr = t.routes.Resolve(a.Addr)
	return t.NetTransport.DialAddressTimeout(a, limit)
}
