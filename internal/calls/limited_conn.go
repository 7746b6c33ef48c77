package calls

import "net"

// LimitedConn is a connection that reads at most Remaining bytes, so that a peer can't make us buffer an endless head
// or a body of gigabytes. Remaining must be set for each request or answer.
type LimitedConn struct {
	net.Conn
	Remaining   int   // bytes that may still be read
	ErrExceeded error // returned by a Read beyond them
}

// Read reads from the connection, or returns ErrExceeded.
func (b *LimitedConn) Read(p []byte) (int, error) {
	if b.Remaining <= 0 {
		return 0, b.ErrExceeded
	}
	n, err := b.Conn.Read(p[:min(len(p), b.Remaining)])
	b.Remaining -= n
	return n, err
}
