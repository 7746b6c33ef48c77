package calls

import "net"

// LimitedConn is a connection that reads no more than it may, so that a peer can't make us hold a head without
// end or a body of gigabytes. What is left is set anew for each request or answer.
type LimitedConn struct {
	net.Conn
	Remaining   int   // bytes that may be read yet
	ErrExceeded error // what reads beyond that give
}

func (b *LimitedConn) Read(p []byte) (int, error) {
	if b.Remaining <= 0 {
		return 0, b.ErrExceeded
	}
	n, err := b.Conn.Read(p[:min(len(p), b.Remaining)])
	b.Remaining -= n
	return n, err
}
