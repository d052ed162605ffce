package counter

// Cursor is how far one peer has been told of a table. The zero value is that
// of a new link: the peer is told everything once, rows of dead origins
// included, and then only of this process's own rows as they change.
type Cursor struct {
	sent Version
	// caughtUp tells that the peer was told everything once.
	caughtUp bool
}

// Reset has the peer told everything once more, which makes good whatever was
// lost when an origin died between two messages.
func (c *Cursor) Reset() { *c = Cursor{} }

// CaughtUp tells whether the peer was told everything once.
func (c *Cursor) CaughtUp() bool { return c.caughtUp }

// Next returns up to limit rows that the peer has to be told, and moves the
// cursor past them. With relay, rows of other origins are told all along.
func (t *Table) Next(c *Cursor, limit int, relay bool) []Row {
	rows, next := t.ChangedSince(c.sent, limit, relay || !c.caughtUp)
	c.sent = next
	if next == t.version {
		c.caughtUp = true
	}
	return rows
}
