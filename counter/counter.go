package counter

import (
	"fmt"
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// Period numbers the competing periods of one workspace. It only rises.
type Period uint32

// Row is the service that one origin has given one workspace in one period. A
// row with an empty origin has the base level of the period, and tells that the
// workspace competes now. Rows may come in any order.
type Row struct {
	Workspace identifier.Workspace
	Period    Period
	// Base is the level at which the period started, zero in a row of an origin.
	Base identifier.Cost
	// Origin is the agent that gave the service.
	Origin identifier.Origin
	// Value is what was charged. It never falls within a period.
	Value identifier.Cost
	// Refund is what was given back. It never falls and is at most Value.
	Refund identifier.Cost
}

// Check reports whether a decoded row is well formed.
func (r Row) Check() error {
	if r.Workspace == "" {
		return fmt.Errorf("counter row has no workspace")
	}
	if r.Value < 0 || r.Base < 0 || r.Refund < 0 {
		return fmt.Errorf("counter row of workspace %q is negative", r.Workspace)
	}
	if r.Refund > r.Value {
		return fmt.Errorf("counter row of workspace %q gives back %d of %d", r.Workspace, r.Refund, r.Value)
	}
	return nil
}

// Version orders the changes of one table. It only rises.
type Version uint64

// Config sets up a table.
type Config struct {
	// Self is the origin under which this process counts.
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
	rows        map[identifier.Origin]*rowState
	// sum is the total of value less refund over all rows.
	sum identifier.Cost
	// version is the version of the latest change of any row or of the base.
	version Version
	// lastCompeted is when a process last said that the workspace competes.
	lastCompeted identifier.Instant
}

// rowState is one row's value.
type rowState struct {
	value   identifier.Cost
	refund  identifier.Cost
	version Version
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{self: cfg.Self, workspaces: map[identifier.Workspace]*workspaceState{}}
}

// Level returns the level of workspace w, zero if it is not known.
func (t *Table) Level(w identifier.Workspace) identifier.Cost {
	s := t.workspaces[w]
	if s == nil {
		return 0
	}
	return s.base + s.sum
}

// Charge counts c of service by this process for workspace w. An amount that is
// not positive is ignored.
func (t *Table) Charge(w identifier.Workspace, c identifier.Cost) {
	if c <= 0 {
		return
	}
	s := t.workspace(w)
	t.changedOwnRow(s).value += c
	s.sum += c
}

// Refund gives back c of a charge whose estimate was too high. It gives back at
// most what this process has charged in the current period and not refunded.
func (t *Table) Refund(w identifier.Workspace, c identifier.Cost) {
	s := t.workspace(w)
	cl := s.rows[t.self]
	if cl == nil || c <= 0 {
		return
	}
	c = min(c, cl.value-cl.refund)
	t.changedOwnRow(s).refund += c
	s.sum -= c
}

// Rebase starts a new period of workspace w at level base and drops its rows.
func (t *Table) Rebase(w identifier.Workspace, base identifier.Cost) {
	s := t.workspace(w)
	t.startPeriod(s, s.period+1, base)
}

// MarkCompeting notes that workspace w competes here now, and tells the peers so unless
// one of them has said it lately.
func (t *Table) MarkCompeting(now identifier.Instant, w identifier.Workspace) {
	s := t.workspace(w)
	if s.lastCompeted != 0 && now.Sub(s.lastCompeted) < competeReportInterval {
		return
	}
	s.lastCompeted = now
	t.version++
	s.baseVersion = t.version
	s.version = t.version
}

// Competes tells whether workspace w has competed anywhere lately.
func (t *Table) Competes(now identifier.Instant, w identifier.Workspace) bool {
	s := t.workspaces[w]
	return s != nil && s.lastCompeted != 0 && now.Sub(s.lastCompeted) < competeTTL
}

const (
	// competeReportInterval is how often the processes together say of a workspace that it
	// competes.
	competeReportInterval = time.Second
	// competeTTL is how long that holds, so that a lost message does no harm.
	competeTTL = 4 * time.Second
)

// Merge takes in a row from a peer and reports whether it changed anything.
func (t *Table) Merge(now identifier.Instant, r Row) bool {
	s := t.workspace(r.Workspace)
	if r.Origin.Target == "" && r.Period >= s.period {
		s.lastCompeted = now
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
	if r.Origin.Target == "" || r.Value == 0 {
		return changed
	}
	return t.mergeRow(s, r) || changed
}

// ChangedSince returns up to limit rows changed after version v in the order of their
// change, and the version to continue from. Rows of other origins are left out
// unless relay is set.
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

func (t *Table) workspace(w identifier.Workspace) *workspaceState {
	s := t.workspaces[w]
	if s == nil {
		s = &workspaceState{rows: map[identifier.Origin]*rowState{}}
		t.workspaces[w] = s
	}
	return s
}

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
	cl := s.row(t.self)
	t.markChanged(s, cl)
	return cl
}

func (t *Table) markChanged(s *workspaceState, cl *rowState) {
	t.version++
	cl.version = t.version
	s.version = t.version
}

func (t *Table) mergeRow(s *workspaceState, r Row) bool {
	cl := s.row(r.Origin)
	if r.Value <= cl.value && r.Refund <= cl.refund {
		return false
	}
	before := cl.value - cl.refund
	cl.value = max(cl.value, r.Value)
	cl.refund = max(cl.refund, r.Refund)
	s.sum += cl.value - cl.refund - before
	t.markChanged(s, cl)
	return true
}

func (s *workspaceState) row(o identifier.Origin) *rowState {
	cl := s.rows[o]
	if cl == nil {
		cl = &rowState{}
		s.rows[o] = cl
	}
	return cl
}

// versionedRow is a row with the version of its latest change.
type versionedRow struct {
	row     Row
	version Version
}

func (a versionedRow) less(b versionedRow) bool {
	if a.version != b.version {
		return a.version < b.version
	}
	return a.row.Workspace < b.row.Workspace
}

func (s *workspaceState) appendChanged(found []versionedRow, w identifier.Workspace, v Version, self identifier.Origin, relay bool) []versionedRow {
	if s.baseVersion > v {
		found = append(found, versionedRow{Row{Workspace: w, Period: s.period, Base: s.base}, s.baseVersion})
	}
	for o, cl := range s.rows {
		if cl.version <= v || (o != self && !relay) {
			continue
		}
		r := Row{Workspace: w, Period: s.period, Origin: o, Value: cl.value, Refund: cl.refund}
		found = append(found, versionedRow{r, cl.version})
	}
	return found
}
