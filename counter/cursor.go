package counter

// Cursor is the version up to which the rows of a table were sent to one peer. The zero
// value is that of a new link: the peer is sent all rows once, including those of dead
// origins, and then only this process's own rows as they change.
type Cursor struct {
	sent Version
	// caughtUp is whether all rows were sent once.
	caughtUp bool
}

// Reset makes Next send all rows once more. This recovers what was lost when an origin
// died between two messages.
func (c *Cursor) Reset() { *c = Cursor{} }

// CaughtUp reports whether all rows were sent once.
func (c *Cursor) CaughtUp() bool { return c.caughtUp }

// Next returns up to limit rows to send to the peer, and moves the cursor past them. With
// relay, it always includes rows of other origins.
func (t *Table) Next(c *Cursor, limit int, relay bool) []Row {
	rows, next := t.ChangedSince(c.sent, limit, relay || !c.caughtUp)
	c.sent = next
	if next == t.version {
		c.caughtUp = true
	}
	return rows
}
