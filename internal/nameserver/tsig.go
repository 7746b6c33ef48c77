package nameserver

import (
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"
)

// send signs an answer to a signed message (RFC 8945 5.3) and sends it.
func (s *server) send(w dns.ResponseWriter, r *dns.Msg, t *dns.TSIG) {
	if t != nil {
		r.SetTsig(t.Hdr.Name, t.Algorithm, maxFudgeSeconds, time.Now().Unix())
	}
	if err := w.WriteMsg(r); err != nil {
		s.log.Debug("an answer can't be sent", "to", w.RemoteAddr().String(), "err", err)
	}
}

// verifyTSIG returns the TSIG error of a message (RFC 8945 5.2): BADKEY, BADSIG or BADTIME, in this order. The time of signing must be
// within the message's fudge of now, and within maxFudgeSeconds.
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

// rejectSigned sends an answer with a TSIG error (RFC 8945 5.2.2 and 5.2.3): unsigned for BADKEY and BADSIG, signed and with the server's
// time for BADTIME.
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
