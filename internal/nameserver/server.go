package nameserver

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// Bounds on the resources that clients can use.
const (
	maxTCPConns        = 256             // open connections
	tcpReadTimeout     = 2 * time.Second // until the first message of a connection
	tcpIdleTimeout     = 8 * time.Second // until the next message
	maxTCPQueries      = 10_000          // messages on one connection
	tcpWriteTimeout    = 5 * time.Second // until an answer is written
	maxUDPConcurrent   = 64              // concurrent messages; more are dropped
	maxUDPBytes        = 1232            // bytes of an answer: it fits any path unfragmented
	maxAmplification   = 4               // ratio of the sizes of an answer and its unsigned question
	tsigBytes          = 160             // bytes reserved for an answer's TSIG
	minUDPBytes        = 64              // bytes that an answer may always have: enough for a truncated answer
	maxTransfers       = 4               // concurrent transfers
	maxReplays         = 10_000          // signatures remembered against replay
	transferChunkBytes = 16 << 10        // bytes in one message of a transfer
)

// server answers queries, updates, transfers and NOTIFYs for zones.
type server struct {
	zones map[string]*hostedZone
	keys  *Keyring
	log   *slog.Logger
	clock func() time.Duration

	udp, tcp  *dns.Server
	listener  *limitedListener
	packets   net.PacketConn
	udpSlots  chan struct{}
	transfers chan struct{}

	mu      sync.Mutex
	replays zone.Replays

	counts counters
	done   sync.WaitGroup
}

// hostedZone is a zone with its access rules: which keys may change and transfer it.
type hostedZone struct {
	*managedZone
	transferKeys map[string]bool        // keys that may transfer the zone
	grants       map[string]*zone.Grant // by key: the names and types that it may change
	secondary    *secondary             // nil without a primary
}

// counters are the totals that Report returns.
type counters struct {
	queries, updates, refused, notifies, transfers, dropped atomic.Int64
}

func newServer(zones map[string]*hostedZone, keys *Keyring, log *slog.Logger, clock func() time.Duration) *server {
	return &server{zones: zones, keys: keys, log: log, clock: clock, udpSlots: make(chan struct{}, maxUDPConcurrent),
		transfers: make(chan struct{}, maxTransfers), replays: zone.Replays{MaxEntries: maxReplays}}
}

// listen starts serving at an address, by UDP and TCP on the same port.
func (s *server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("dns: %w", err)
	}
	p, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		return errors.Join(fmt.Errorf("dns: %w", err), l.Close())
	}
	s.listener, s.packets = &limitedListener{Listener: l, maxConns: maxTCPConns, conns: map[*clientConn]struct{}{}}, p
	s.udp = &dns.Server{PacketConn: p, Handler: dns.HandlerFunc(s.serveUDP), TsigProvider: s.keys, UDPSize: dns.DefaultMsgSize, MsgAcceptFunc: accept}
	s.tcp = &dns.Server{Listener: s.listener, Handler: dns.HandlerFunc(s.serveTCP), TsigProvider: s.keys, MsgAcceptFunc: accept,
		ReadTimeout: tcpReadTimeout, IdleTimeout: func() time.Duration { return tcpIdleTimeout }, MaxTCPQueries: maxTCPQueries}
	started := make(chan struct{}, 2)
	for _, one := range []*dns.Server{s.udp, s.tcp} {
		one.NotifyStartedFunc = func() { started <- struct{}{} }
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			if err := one.ActivateAndServe(); err != nil {
				s.log.Error("the name server has stopped", "err", err)
			}
		}()
	}
	<-started // wait until both run, as Shutdown fails on a server that has not started
	<-started
	return nil
}

func (s *server) addr() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

func (s *server) close() error {
	if s.udp == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.listener.closeAll()
	err := errors.Join(s.udp.ShutdownContext(ctx), s.tcp.ShutdownContext(ctx))
	s.done.Wait()
	return err
}

// accept decides by a message's header whether to unpack the message. The counts of an update need no bound: no more records are unpacked
// than the message contains.
func accept(h dns.Header) dns.MsgAcceptAction {
	const qr = 1 << 15
	if h.Bits&qr != 0 {
		return dns.MsgIgnore
	}
	switch int(h.Bits>>11) & 0xf {
	case dns.OpcodeQuery, dns.OpcodeNotify:
		if h.Qdcount != 1 || h.Ancount > 1 || h.Nscount > 1 || h.Arcount > 2 {
			return dns.MsgReject
		}
	case dns.OpcodeUpdate:
		if h.Qdcount != 1 {
			return dns.MsgReject
		}
	default:
		return dns.MsgRejectNotImplemented
	}
	return dns.MsgAccept
}

func (s *server) serveUDP(w dns.ResponseWriter, m *dns.Msg) {
	select {
	case s.udpSlots <- struct{}{}:
		defer func() { <-s.udpSlots }()
		s.serve(w, m, true)
	default:
		s.counts.dropped.Add(1)
	}
}

func (s *server) serveTCP(w dns.ResponseWriter, m *dns.Msg) { s.serve(w, m, false) }

// serve answers one message.
func (s *server) serve(w dns.ResponseWriter, m *dns.Msg, udp bool) {
	defer func() { // a message from the network must not be able to crash the sender
		if p := recover(); p != nil {
			s.log.Error("answering a message panicked", "from", w.RemoteAddr().String(), "panic", p, "stack", string(debug.Stack()))
		}
	}()
	if len(m.Question) != 1 { // the header has a count of 1, but the library accepts a message that ends before the question
		w.WriteMsg(new(dns.Msg).SetRcodeFormatError(m))
		return
	}
	t := m.IsTsig()
	signed := ""
	r := new(dns.Msg).SetReply(m)
	if m.Opcode == dns.OpcodeUpdate {
		r.Question, r.Answer, r.Ns, r.Extra = m.Question, nil, nil, nil
	}
	if t != nil {
		if code := s.verifyTSIG(w, t); code != dns.RcodeSuccess {
			s.counts.refused.Add(1)
			s.log.Warn("a signed message is refused", "from", w.RemoteAddr().String(), "key", t.Hdr.Name, "why", dns.RcodeToString[int(code)])
			r.Rcode = dns.RcodeNotAuth
			s.rejectSigned(w, r, t, code)
			return
		}
		signed = zone.Name(t.Hdr.Name)
	}
	switch m.Opcode {
	case dns.OpcodeUpdate:
		s.counts.updates.Add(1)
		r.Rcode = s.update(m, t, signed, w.RemoteAddr().String())
	case dns.OpcodeNotify:
		s.counts.notifies.Add(1)
		r.Rcode = s.receiveNotify(m, signed, w.RemoteAddr())
		r.Authoritative = r.Rcode == dns.RcodeSuccess
	default:
		s.counts.queries.Add(1)
		if k := m.Question[0].Qtype; k == dns.TypeAXFR || k == dns.TypeIXFR {
			if s.transferOut(w, m, r, signed, udp) {
				return
			}
		} else {
			s.answer(m, r)
		}
	}
	if udp {
		s.fitUDP(m, r, signed != "")
	}
	s.send(w, r, t)
}
