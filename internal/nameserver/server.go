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

// What one who asks may cost.
const (
	maxTCPConns        = 256             // connections
	tcpReadTimeout     = 2 * time.Second // for the first message of one
	tcpIdleTimeout     = 8 * time.Second // for the next
	maxTCPQueries      = 10_000          // messages on one
	tcpWriteTimeout    = 5 * time.Second // an answer is taken within this
	maxUDPConcurrent   = 64              // messages; more are dropped
	maxUDPBytes        = 1232            // bytes of an answer: it fits any path unfragmented
	maxAmplification   = 4               // an unsigned question is answered with so many times its size at most
	tsigBytes          = 160             // bytes of an answer's TSIG
	minUDPBytes        = 64              // bytes; enough to say that the answer is cut off
	maxTransfers       = 4               // at once
	maxReplays         = 10_000          // signatures remembered
	transferChunkBytes = 16 << 10        // of a transfer's message
)

// server answers for zones.
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

// hostedZone is a zone with what may be done to it.
type hostedZone struct {
	*managedZone
	transferKeys map[string]bool        // keys that may have it whole
	grants       map[string]*zone.Grant // keys that may change it
	secondary    *secondary             // nil without a primary
}

// counters are for operators.
type counters struct {
	queries, updates, refused, notifies, transfers, dropped atomic.Int64
}

func newServer(zones map[string]*hostedZone, keys *Keyring, log *slog.Logger, clock func() time.Duration) *server {
	return &server{zones: zones, keys: keys, log: log, clock: clock, udpSlots: make(chan struct{}, maxUDPConcurrent),
		transfers: make(chan struct{}, maxTransfers), replays: zone.Replays{MaxEntries: maxReplays}}
}

// listen begins to answer at an address, by UDP and TCP at the same port.
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
				s.log.Error("the name server has ended", "err", err)
			}
		}()
	}
	<-started // Shutdown before that would find no server
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

// accept looks at a message's head. Counts are bounded by the message itself: what is announced and not there can't be read.
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
	defer func() { // whoever can send a message must not be able to end the sender
		if p := recover(); p != nil {
			s.log.Error("a message can't be answered", "from", w.RemoteAddr().String(), "panic", p, "stack", string(debug.Stack()))
		}
	}()
	if len(m.Question) != 1 { // one is announced; the library takes a message that ends before it
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

// send signs an answer to a signed message (RFC 8945 5.3) and sends it.
func (s *server) send(w dns.ResponseWriter, r *dns.Msg, t *dns.TSIG) {
	if t != nil {
		r.SetTsig(t.Hdr.Name, t.Algorithm, maxFudgeSeconds, time.Now().Unix())
	}
	if err := w.WriteMsg(r); err != nil {
		s.log.Debug("an answer can't be sent", "to", w.RemoteAddr().String(), "err", err)
	}
}

// verifyTSIG is RFC 8945 5.2: BADKEY, BADSIG or BADTIME, in this order. A message may be as old as its fudge says, and no more
// than five minutes.
func (s *server) verifyTSIG(w dns.ResponseWriter, t *dns.TSIG) uint16 {
	switch err := w.TsigStatus(); {
	case errors.Is(err, dns.ErrSecret), errors.Is(err, dns.ErrKeyAlg):
		return dns.RcodeBadKey
	case errors.Is(err, dns.ErrTime):
		return dns.RcodeBadTime
	case err != nil:
		return dns.RcodeBadSig
	}
	if now := time.Now().Unix(); now-int64(t.TimeSigned) > maxFudgeSeconds || int64(t.TimeSigned)-now > maxFudgeSeconds {
		return dns.RcodeBadTime
	}
	return dns.RcodeSuccess
}

// rejectSigned is RFC 8945 5.2.2 and 5.2.3: an unsigned TSIG with the error for a key or signature that is not known, a signed one
// with our time for one out of time.
func (s *server) rejectSigned(w dns.ResponseWriter, r *dns.Msg, t *dns.TSIG, code uint16) {
	r.SetTsig(t.Hdr.Name, t.Algorithm, t.Fudge, int64(t.TimeSigned))
	if sig := r.IsTsig(); sig != nil {
		sig.Error = code
		if code == dns.RcodeBadTime {
			sig.OtherLen = 6
			sig.OtherData = fmt.Sprintf("%012x", time.Now().Unix())
		}
	}
	if err := w.WriteMsg(r); err != nil {
		s.log.Debug("an answer can't be sent", "to", w.RemoteAddr().String(), "err", err)
	}
}

// fitUDP makes an answer by UDP no longer than one who asks takes, and to one who is not known no longer than a few times
// the question: whoever forges an address gains little by it.
func (s *server) fitUDP(m, r *dns.Msg, signed bool) {
	size := dns.MinMsgSize
	if opt := m.IsEdns0(); opt != nil {
		size = max(size, int(opt.UDPSize()))
	}
	size = min(size, maxUDPBytes)
	if signed {
		size -= tsigBytes
	} else {
		size = min(size, max(minUDPBytes, maxAmplification*m.Len()))
	}
	r.Truncate(max(size, dns.MinMsgSize))
	if r.Len() > size { // the library cuts to no less than 512 bytes
		r.Answer, r.Ns, r.Extra, r.Truncated = nil, nil, optOnly(r), true
	}
}

func optOnly(r *dns.Msg) []dns.RR {
	if opt := r.IsEdns0(); opt != nil {
		return []dns.RR{opt}
	}
	return nil
}

// find gives the zone for a name: the one with the longest origin.
func (s *server) find(name string) *hostedZone {
	for name = zone.Name(name); ; {
		if z := s.zones[name]; z != nil {
			return z
		}
		off, end := dns.NextLabel(name, 0)
		if end {
			return s.zones["."]
		}
		name = name[off:]
	}
}

func (s *server) answer(m, r *dns.Msg) {
	q := m.Question[0]
	if opt := m.IsEdns0(); opt != nil {
		r.SetEdns0(maxUDPBytes, false)
		if opt.Version() != 0 {
			r.Rcode = dns.RcodeBadVers
			return
		}
	}
	z := s.find(q.Name)
	switch {
	case z == nil || q.Qclass != dns.ClassINET:
		r.Rcode = dns.RcodeRefused
		return
	}
	held := z.current.Load()
	if held.Zone == nil || held.expired {
		r.Rcode = dns.RcodeServerFailure
		return
	}
	a := held.Answer(q.Name, q.Qtype)
	r.Rcode, r.Authoritative = a.Rcode, a.Authority
	r.Answer, r.Ns = zone.CopyRecords(a.Answer), zone.CopyRecords(a.Ns)
	r.Extra = append(zone.CopyRecords(a.Additional), r.Extra...)
}

// update is RFC 2136 3, with TSIG for who may.
func (s *server) update(m *dns.Msg, t *dns.TSIG, signed, from string) int {
	refused := func(rcode int, why string) int {
		s.counts.refused.Add(1)
		s.log.Warn("an update is refused", "from", from, "key", signed, "rcode", dns.RcodeToString[rcode], "why", why)
		return rcode
	}
	if len(m.Question) != 1 || m.Question[0].Qtype != dns.TypeSOA {
		return refused(dns.RcodeFormatError, "the zone section is not one SOA")
	}
	if signed == "" {
		return refused(dns.RcodeRefused, "it is not signed")
	}
	z := s.zones[zone.Name(m.Question[0].Name)]
	if z == nil {
		return refused(dns.RcodeNotAuth, "the zone is not here")
	}
	grant := z.grants[signed]
	if grant == nil {
		return refused(dns.RcodeRefused, "the key may not change the zone")
	}
	now := s.clock()
	s.mu.Lock()
	// A copy is in time for as long as the message itself: until its time of signing and the fudge are over.
	left := time.Duration(int64(t.TimeSigned)+maxFudgeSeconds+1-time.Now().Unix()) * time.Second
	repeat, full := s.replays.Seen(signed, t.MAC, now, now+left)
	s.mu.Unlock()
	if repeat {
		return refused(dns.RcodeNotAuth, "it was sent before")
	}
	if full {
		return refused(dns.RcodeRefused, "more updates than can be remembered")
	}
	err := z.update(m, grant)
	var r *zone.Refusal
	switch {
	case err == nil:
		s.log.Info("an update is taken", "from", from, "key", signed, "zone", z.config.Name, "serial", z.current.Load().Serial())
		return dns.RcodeSuccess
	case errors.As(err, &r):
		return refused(r.Rcode, r.Reason)
	}
	return refused(dns.RcodeServerFailure, err.Error())
}

// receiveNotify is RFC 1996 3: a NOTIFY counts only from the primary, by its address or its key.
func (s *server) receiveNotify(m *dns.Msg, signed string, from net.Addr) int {
	z := s.zones[zone.Name(m.Question[0].Name)]
	if z == nil || z.secondary == nil {
		return dns.RcodeNotAuth
	}
	host, _, _ := net.SplitHostPort(from.String())
	primary, _, _ := net.SplitHostPort(z.config.Primary)
	if z.config.Key != "" && signed != z.config.Key || z.config.Key == "" && host != primary {
		s.counts.refused.Add(1)
		return dns.RcodeRefused
	}
	var serial uint32
	if len(m.Answer) == 1 {
		if soa, ok := m.Answer[0].(*dns.SOA); ok {
			serial = soa.Serial
		}
	}
	z.secondary.notify(serial)
	return dns.RcodeSuccess
}

// transferOut is RFC 5936 and RFC 1995. It reports whether all is sent; else r says why not, or is all there is to say.
func (s *server) transferOut(w dns.ResponseWriter, m, r *dns.Msg, signed string, udp bool) bool {
	q := m.Question[0]
	z := s.zones[zone.Name(q.Name)]
	if z == nil || q.Qclass != dns.ClassINET {
		r.Rcode = dns.RcodeNotAuth
		return false
	}
	if signed == "" || !z.transferKeys[signed] {
		s.counts.refused.Add(1)
		s.log.Warn("a transfer is refused", "zone", z.config.Name, "to", w.RemoteAddr().String(), "key", signed)
		r.Rcode = dns.RcodeRefused
		return false
	}
	var serial uint32
	incremental := false
	if q.Qtype == dns.TypeIXFR && len(m.Ns) == 1 {
		if soa, ok := m.Ns[0].(*dns.SOA); ok {
			serial, incremental = soa.Serial, true
		}
	}
	held, deltas, known := z.changesSince(serial)
	if held.Zone == nil || held.expired {
		r.Rcode = dns.RcodeServerFailure
		return false
	}
	r.Authoritative = true
	if incremental && (udp || !zone.NewerSerial(held.Serial(), serial)) { // RFC 1995 2 and 4: the SOA alone
		r.Answer = zone.CopyRecords([]dns.RR{held.SOA()})
		return false
	}
	if udp || q.Qtype == dns.TypeIXFR && !incremental {
		r.Rcode = dns.RcodeFormatError
		return false
	}
	select {
	case s.transfers <- struct{}{}:
		defer func() { <-s.transfers }()
	default:
		r.Rcode = dns.RcodeServerFailure
		return false
	}
	s.counts.transfers.Add(1)
	var rrs []dns.RR
	size := 0
	for _, d := range deltas {
		size += d.Records()
	}
	if incremental && known && size < held.Records() {
		rrs = zone.Incremental(held.Zone, deltas)
	} else {
		rrs = append(held.List(), held.SOA())
	}
	for len(rrs) > 0 {
		part := new(dns.Msg).SetReply(m)
		part.Authoritative = true
		for bytes := 0; len(rrs) > 0 && bytes < transferChunkBytes; rrs = rrs[1:] {
			part.Answer = append(part.Answer, dns.Copy(rrs[0]))
			bytes += dns.Len(rrs[0])
		}
		t := m.IsTsig()
		part.SetTsig(t.Hdr.Name, t.Algorithm, maxFudgeSeconds, time.Now().Unix())
		if err := w.WriteMsg(part); err != nil {
			s.log.Warn("a transfer was broken off", "zone", z.config.Name, "to", w.RemoteAddr().String(), "err", err)
			w.Close()
			return true
		}
		w.TsigTimersOnly(true)
	}
	w.TsigTimersOnly(false)
	return true
}

// limitedListener is a listener that holds so many connections. At the bound the one goes that has been silent for longest and
// was never answered, or has been idle for longest; with none of either the new one.
type limitedListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

type clientConn struct {
	net.Conn
	listener   *limitedListener
	lastActive atomic.Int64 // Unix nanoseconds of when it came, or was last answered
	answered   atomic.Bool
}

const minIdle = time.Second

func (b *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		a := &clientConn{Conn: c, listener: b}
		a.lastActive.Store(time.Now().UnixNano())
		if b.admit(a) {
			return a, nil
		}
		c.Close()
	}
}

func (b *limitedListener) admit(a *clientConn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.conns) >= b.maxConns {
		var victim *clientConn
		for c := range b.conns {
			if victim == nil || !c.answered.Load() && victim.answered.Load() ||
				c.answered.Load() == victim.answered.Load() && c.lastActive.Load() < victim.lastActive.Load() {
				victim = c
			}
		}
		if victim.answered.Load() && time.Now().UnixNano()-victim.lastActive.Load() < int64(minIdle) {
			return false
		}
		delete(b.conns, victim)
		victim.Conn.Close()
	}
	b.conns[a] = struct{}{}
	return true
}

func (b *limitedListener) closeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Conn.Close()
	}
}

func (c *clientConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(tcpWriteTimeout))
	n, err := c.Conn.Write(p)
	c.answered.Store(true)
	c.lastActive.Store(time.Now().UnixNano())
	return n, err
}

func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
