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

const maxRoutes = 2048 // lines; a fleet has two for each member

// RouteTable is a table of them by address.
type RouteTable map[string]string

// NewRouteTable makes the table, of addresses that may be talked to without TLS.
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

// Resolve is where an address is reached from here.
func (t RouteTable) Resolve(addr string) string {
	if via, ok := t[addr]; ok {
		return via
	}
	return addr
}

// transport is membership's, by way of the table. What others answer comes by their own tables.
type transport struct {
	*memberlist.NetTransport
	routes RouteTable
}

var _ memberlist.NodeAwareTransport = transport{}

func newTransport(at netip.AddrPort, to RouteTable, log *stdlog.Logger) (transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{at.Addr().String()}, BindPort: int(at.Port()), Logger: log})
	return transport{t, to}, err
}

func (t transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.NetTransport.WriteTo(b, t.routes.Resolve(addr))
}

func (t transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	a.Addr = t.routes.Resolve(a.Addr)
	return t.NetTransport.WriteToAddress(b, a)
}

func (t transport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return t.NetTransport.DialTimeout(t.routes.Resolve(addr), limit)
}

func (t transport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	a.Addr = t.routes.Resolve(a.Addr)
	return t.NetTransport.DialAddressTimeout(a, limit)
}
