package measurer

import (
	"buckthorndrum/counter"
	"buckthorndrum/messenger"
)

// publishOften publishes an agent's counters as often as its budget allows.
func (o *ours) publishOften(a *oursAgent) {
	pacer := counter.Pacer{Budget: counter.DefaultBudget}
	o.w.clock.after(pacer.Interval(o.publish(a)), func() { o.publishOften(a) })
}

// publish sends an agent's counters to the others of its pool and returns how
// many bytes that took.
func (o *ours) publish(a *oursAgent) int {
	if a.target.dead {
		return 0
	}
	bytes := 0
	for _, b := range o.agents {
		if a == b || a.target.pool != b.target.pool {
			continue
		}
		c := a.cursors[b]
		if c == nil {
			c = &counter.Cursor{}
			a.cursors[b] = c
		}
		before := *c
		rows := a.table.Next(c, maxRows, false)
		if len(rows) == 0 {
			continue
		}
		bytes += o.send(string(a.target.name), string(b.target.name), messenger.Frame{Counters: &messenger.Counters{Rows: rows}})
		if o.cutAgents(a, b) || b.target.dead {
			c.Reset() // The link is lost, and a new one starts anew.
			continue
		}
		if o.lossy && o.w.rng.Float64() < lossRate {
			*c = before
			continue
		}
		o.merge(a, b, rows)
		if o.lossy && o.w.rng.Float64() < doubleRate {
			o.merge(a, b, rows)
		}
	}
	return bytes
}

func (o *ours) merge(a, b *oursAgent, rows []counter.Row) {
	life := b.lives
	o.w.clock.after(o.w.delay(a.index, b.index), func() {
		if b.lives != life {
			return
		}
		for _, r := range rows {
			b.table.Merge(o.w.clock.now, r)
		}
	})
}

// maxRows bounds the rows in one message.
const maxRows = 512
