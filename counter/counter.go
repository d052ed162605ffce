package counter

import (
	"fmt"
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// Period numbers the periods in which one workspace is backlogged. It only increases.
type Period uint32

// Row is the service that one origin has given one workspace in one period. A row with an
// empty origin is a base row: it holds the base level of the period, and reports that the
// workspace is backlogged now. Rows may arrive in any order.
type Row struct {
	Workspace identifier.Workspace
	Period    Period
	// Base is the level at which the period started. It is zero in the row of an origin.
	Base identifier.Cost
	// Origin is the agent that gave the service.
	Origin identifier.Origin
	// Charged is the service charged. It never decreases within a period.
	Charged identifier.Cost
	// Refunded is the part of Charged that was refunded. It never decreases within a
	// period.
	Refunded identifier.Cost
}

// Check returns an error if a decoded row is not valid: if it has no workspace, a
// negative amount, or more refunded than charged.
func (r Row) Check() error {
	if r.Workspace == "" {
		return fmt.Errorf("counter row has no workspace")
	}
	if r.Charged < 0 || r.Base < 0 || r.Refunded < 0 {
		return fmt.Errorf("counter row of workspace %q has a negative amount", r.Workspace)
	}
	if r.Refunded > r.Charged {
		return fmt.Errorf("counter row of workspace %q refunds %d of a charge of %d", r.Workspace, r.Refunded, r.Charged)
	}
	return nil
}

// Version orders the changes of one table. It only increases.
type Version uint64

// Config configures a Table.
type Config struct {
	// Self is the origin under which this process records charges.
	Self identifier.Origin
}

// Table holds the rows that one process knows. It is not safe for concurrent use.
type Table struct {
	self       identifier.Origin
	workspaces map[identifier.Workspace]*workspaceState
	version    Version
}

// workspaceState is the state of one workspace.
type workspaceState struct {
	period Period
	base   identifier.Cost
	// baseVersion is the version at which period or base last changed.
	baseVersion Version
	// rows holds the rows of the current period.
	rows map[identifier.Origin]*rowState
	// sum is the total of charged less refunded over all rows.
	sum identifier.Cost
	// version is the version of the latest change of any row or of the base row.
	version Version
	// lastBacklogged is when this process or a peer last reported the workspace as
	// backlogged.
	lastBacklogged identifier.Instant
}

// rowState holds the amounts of one row and the version of its latest change.
type rowState struct {
	charged  identifier.Cost
	refunded identifier.Cost
	version  Version
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{self: cfg.Self, workspaces: map[identifier.Workspace]*workspaceState{}}
}

// Level returns the level of workspace w. It is zero for an unknown workspace.
func (t *Table) Level(w identifier.Workspace) identifier.Cost {
	s := t.workspaces[w]
	if s == nil {
		return 0
	}
	return s.base + s.sum
}

// Charge records c of service by this process for workspace w. An amount that is not
// positive is ignored.
func (t *Table) Charge(w identifier.Workspace, c identifier.Cost) {
	if c <= 0 {
		return
	}
	s := t.workspace(w)
	t.changedOwnRow(s).charged += c
	s.sum += c
}

// Refund refunds c of a charge whose estimate was too high. It refunds at most what this
// process has charged in the current period and not yet refunded.
func (t *Table) Refund(w identifier.Workspace, c identifier.Cost) {
	s := t.workspace(w)
	row := s.rows[t.self]
	if row == nil || c <= 0 {
		return
	}
	c = min(c, row.charged-row.refunded)
	t.changedOwnRow(s).refunded += c
	s.sum -= c
}

// Rebase starts a new period of workspace w at level base and drops its rows.
func (t *Table) Rebase(w identifier.Workspace, base identifier.Cost) {
	s := t.workspace(w)
	t.startPeriod(s, s.period+1, base)
}

// MarkBacklogged records that workspace w is backlogged now, and marks its base row as
// changed to report that to the peers. It does nothing if this process or a peer has
// reported it within backlogReportInterval.
func (t *Table) MarkBacklogged(now identifier.Instant, w identifier.Workspace) {
	s := t.workspace(w)
	if s.lastBacklogged != 0 && now.Sub(s.lastBacklogged) < backlogReportInterval {
		return
	}
	s.lastBacklogged = now
	t.version++
	s.baseVersion = t.version
	s.version = t.version
}

// IsBacklogged reports whether any process has reported workspace w as backlogged within
// backlogTTL.
func (t *Table) IsBacklogged(now identifier.Instant, w identifier.Workspace) bool {
	s := t.workspaces[w]
	return s != nil && s.lastBacklogged != 0 && now.Sub(s.lastBacklogged) < backlogTTL
}

const (
	// backlogReportInterval is how often the processes together report a workspace as
	// backlogged.
	backlogReportInterval = time.Second
	// backlogTTL is how long such a report counts. It spans several reports, so that a
	// lost message does no harm.
	backlogTTL = 4 * time.Second
)

// Merge merges a row from a peer and reports whether it changed the table.
func (t *Table) Merge(now identifier.Instant, r Row) bool {
	s := t.workspace(r.Workspace)
	if r.Origin.Target == "" && r.Period >= s.period {
		s.lastBacklogged = now
	}
	if r.Period < s.period {
		return false
	}
	changed := false
	if r.Period > s.period {
		t.startPeriod(s, r.Period, r.Base)
		changed = true
	}
	if r.Base > s.base {
		t.version++
		s.base = r.Base
		s.baseVersion = t.version
		s.version = t.version
		changed = true
	}
	if r.Origin.Target == "" || r.Charged == 0 {
		return changed
	}
	return t.mergeRow(s, r) || changed
}

// ChangedSince returns up to limit rows changed after version v, in the order of their
// changes, and the version to continue from. It includes rows of other origins only if
// relay is set.
func (t *Table) ChangedSince(v Version, limit int, relay bool) ([]Row, Version) {
	var found []versionedRow
	for w, s := range t.workspaces {
		if s.version <= v {
			continue
		}
		found = s.appendChanged(found, w, v, t.self, relay)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].less(found[j]) })
	next := t.version
	if len(found) > limit {
		found = found[:limit]
		next = found[limit-1].version
	}
	rows := make([]Row, len(found))
	for i, f := range found {
		rows[i] = f.row
	}
	return rows, next
}

// workspace returns the state of workspace w, and creates it if needed.
func (t *Table) workspace(w identifier.Workspace) *workspaceState {
	s := t.workspaces[w]
	if s == nil {
		s = &workspaceState{rows: map[identifier.Origin]*rowState{}}
		t.workspaces[w] = s
	}
	return s
}

// startPeriod sets the period and base of s and drops its rows.
func (t *Table) startPeriod(s *workspaceState, p Period, base identifier.Cost) {
	t.version++
	s.period = p
	s.base = base
	s.baseVersion = t.version
	s.version = t.version
	s.sum = 0
	clear(s.rows)
}

// changedOwnRow returns this process's row of s, marked as changed.
func (t *Table) changedOwnRow(s *workspaceState) *rowState {
	row := s.row(t.self)
	t.markChanged(s, row)
	return row
}

// markChanged gives row and s a new version.
func (t *Table) markChanged(s *workspaceState, row *rowState) {
	t.version++
	row.version = t.version
	s.version = t.version
}

// mergeRow raises the row of r's origin to the amounts of r, and reports whether one of
// them was higher.
func (t *Table) mergeRow(s *workspaceState, r Row) bool {
	row := s.row(r.Origin)
	if r.Charged <= row.charged && r.Refunded <= row.refunded {
		return false
	}
	before := row.charged - row.refunded
	row.charged = max(row.charged, r.Charged)
	row.refunded = max(row.refunded, r.Refunded)
	s.sum += row.charged - row.refunded - before
	t.markChanged(s, row)
	return true
}

// row returns the row of origin o, and creates it if needed.
func (s *workspaceState) row(o identifier.Origin) *rowState {
	row := s.rows[o]
	if row == nil {
		row = &rowState{}
		s.rows[o] = row
	}
	return row
}

// versionedRow is a row with the version of its latest change.
type versionedRow struct {
	row     Row
	version Version
}

// less orders rows by version, and the rows of one version by workspace.
func (a versionedRow) less(b versionedRow) bool {
	if a.version != b.version {
		return a.version < b.version
	}
	return a.row.Workspace < b.row.Workspace
}

// appendChanged appends the rows of workspace w changed after version v to found. It
// includes rows of origins other than self only if relay is set.
func (s *workspaceState) appendChanged(found []versionedRow, w identifier.Workspace, v Version, self identifier.Origin, relay bool) []versionedRow {
	if s.baseVersion > v {
		found = append(found, versionedRow{Row{Workspace: w, Period: s.period, Base: s.base}, s.baseVersion})
	}
	for o, row := range s.rows {
		if row.version <= v || (o != self && !relay) {
			continue
		}
		r := Row{Workspace: w, Period: s.period, Origin: o, Charged: row.charged, Refunded: row.refunded}
		found = append(found, versionedRow{r, row.version})
	}
	return found
}
