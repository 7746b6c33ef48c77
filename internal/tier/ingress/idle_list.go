package ingress

// idleList is a linked list of the idle connections, in order of idle time, longest first.
type idleList struct {
	first, last *conn
	n           int
}

// add appends a connection.
func (l *idleList) add(c *conn) {
	c.listed, c.prev, c.next = true, l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
	l.n++
}

// remove removes a connection, if it is listed.
func (l *idleList) remove(c *conn) {
	if !c.listed {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.listed, c.prev, c.next = false, nil, nil
	l.n--
}
