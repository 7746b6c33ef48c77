package ingress

// idleList is the connections that wait, the longest one first.
type idleList struct {
	first, last *conn
	n           int
}

// add puts a connection at the end of the list.
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

// remove takes a connection out of the list, if it is there.
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
