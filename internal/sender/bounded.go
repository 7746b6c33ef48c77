package sender

import "net"

// bounded is a connection that reads no more than it may, so that a peer can't make us hold a head without
// end or a body of gigabytes. What is left is set anew for each request or answer.
type bounded struct {
	net.Conn
	left int   // bytes that may be read yet
	over error // what reads beyond that give
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, b.over
	}
	n, err := b.Conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
