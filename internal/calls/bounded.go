package calls

import "net"

// Bounded is a connection that reads no more than it may, so that a peer can't make us hold a head without
// end or a body of gigabytes. What is left is set anew for each request or answer.
type Bounded struct {
	net.Conn
	Left int   // bytes that may be read yet
	Over error // what reads beyond that give
}

func (b *Bounded) Read(p []byte) (int, error) {
	if b.Left <= 0 {
		return 0, b.Over
	}
	n, err := b.Conn.Read(p[:min(len(p), b.Left)])
	b.Left -= n
	return n, err
}
