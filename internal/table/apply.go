package table

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// pageAttempts bounds the attempts to write one page. An attempt fails if another operator
// wrote the page concurrently or if the outcome of the write is unknown.
const pageAttempts = 16

// ErrBusy reports that concurrent writes of other operators exhausted the attempts to write a
// page; none of its changes were written.
var ErrBusy = errors.New("table: page was written concurrently in every attempt")

// ApplyResult summarises the execution of a plan.
type ApplyResult struct {
	Written   int               `json:"written"`   // rows written
	Unchanged int               `json:"unchanged"` // rows that already had the planned cells
	Revision  platform.Revision `json:"revision"`  // of the last written page; 0: none
}

// pageChanges holds the changes of one page in one phase: additions and changes, or removals.
type pageChanges struct {
	name    string
	sheet   Sheet
	changes []Change
}

// groupChanges orders changes so that a row is added before the rows that refer to it, and
// removed after them. The key-value service has no transactions over several pages, so
// daemons may read the table between two page writes; with this order a row never refers to
// one that does not exist yet.
func groupChanges(changes []Change) []pageChanges {
	var groups []pageChanges
	appendChange := func(c Change) {
		name := PageName(c.Sheet, c.ID)
		last := len(groups) - 1
		if last < 0 || groups[last].name != name {
			groups = append(groups, pageChanges{name: name, sheet: c.Sheet})
			last++
		}
		groups[last].changes = append(groups[last].changes, c)
	}
	appendSheets := func(sheets []Sheet, removals bool) {
		for _, sheet := range sheets {
			var selected []Change
			for _, c := range changes {
				if c.Sheet == sheet && (c.Kind == EditRemove) == removals {
					selected = append(selected, c)
				}
			}
			slices.SortStableFunc(selected, func(a, b Change) int { return comparePages(a, b) })
			for _, c := range selected {
				appendChange(c)
			}
		}
	}
	sheets := Sheets()
	appendSheets(sheets, false)
	slices.Reverse(sheets)
	appendSheets(sheets, true)
	return groups
}

// Apply writes a plan. If another operator has edited rows since the plan was made, Apply
// returns all of them as Conflicts and writes nothing. Only a conflict that arises during the
// writes leaves earlier pages written; the result counts them. When Apply returns nil, the
// key-value service has stored every change.
func (e *Editor) Apply(ctx context.Context, plan *Plan) (ApplyResult, error) {
	var result ApplyResult
	stored, err := e.load(ctx)
	if err != nil {
		return result, err
	}
	if err := checkPlan(stored, plan); err != nil {
		return result, err
	}
	stamp := editStamp{id: e.newID(), operator: e.operator, time: e.now().UTC()}
	for _, group := range groupChanges(plan.Changes) {
		if err := e.applyPage(ctx, group, stamp, &result); err != nil {
			return result, err
		}
	}
	e.log.Info("Table written", "rows", result.Written, "revision", result.Revision)
	return result, nil
}

// checkPlan returns the plan's conflicts, or the problems of the table that would result.
// Both can arise after planning, because other operators may have written in the meantime.
func checkPlan(stored storedTable, plan *Plan) error {
	var conflicts Conflicts
	resulting := stored.rows()
	for _, c := range plan.Changes {
		current := stored.record(c.Sheet, c.ID)
		if conflict := detectConflict(c, current); conflict != nil && !isApplied(c, current) {
			conflicts = append(conflicts, conflict)
			continue
		}
		if c.Kind == EditRemove {
			delete(resulting[c.Sheet], c.ID)
			continue
		}
		resulting.put(Row{Sheet: c.Sheet, ID: c.ID, Cells: c.After})
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	return problemsToError(checkConstraints(resulting))
}

func (e *Editor) applyPage(ctx context.Context, group pageChanges, stamp editStamp, result *ApplyResult) error {
	for range pageAttempts {
		stored, err := e.loadPage(ctx, group.name, group.sheet)
		if err != nil {
			return err
		}
		edited, written, err := editPage(stored.page, group.changes, stamp)
		if err != nil {
			return err
		}
		unchanged := len(group.changes) - edited - written
		if edited == 0 {
			result.Written += written
			result.Unchanged += unchanged
			result.Revision = max(result.Revision, stored.revision)
			return nil
		}
		value, err := stored.page.encode()
		if err != nil {
			return err
		}
		revision, err := e.kv.CompareAndSwap(ctx, KeyPrefix+group.name, stored.revision, value, "")
		// An error means either that the write took effect but its response was lost, or
		// that another operator wrote a row of the page first. Reading the page again
		// distinguishes them: this editor's edit has its stamp in the row's history, and a
		// row that another operator edited has a different revision than the one seen.
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUncertain) {
			e.log.Debug("Page write failed; retrying with a fresh read", "page", group.name, "reason", err)
			continue
		}
		if err != nil {
			return serviceError(err, "table: write page "+group.name)
		}
		result.Written += edited + written
		result.Unchanged += unchanged
		result.Revision = max(result.Revision, revision)
		return nil
	}
	return errors.Wrapf(ErrBusy, "page %s", group.name)
}

// editPage applies the changes that the page does not contain yet. It returns how many rows
// it edited and how many an earlier attempt of the same Apply had already written.
func editPage(p *page, changes []Change, stamp editStamp) (edited, written int, err error) {
	var conflicts Conflicts
	for _, c := range changes {
		current := p.get(c.ID)
		if current != nil && current.hasEdit(stamp.id) {
			written++
			continue
		}
		if isApplied(c, current) {
			continue
		}
		if conflict := detectConflict(c, current); conflict != nil {
			conflicts = append(conflicts, conflict)
			continue
		}
		p.edit(c, stamp)
		edited++
	}
	if len(conflicts) > 0 {
		return 0, written, conflicts
	}
	return edited, written, nil
}

// CellValue is the new value of a cell.
type CellValue struct {
	Column string
	Value  string
}

// SetRequest describes new cell values of one row.
type SetRequest struct {
	Sheet        Sheet
	ID           string
	SeenRevision uint64 // the row's revision that the operator saw; 0: the current one
	Cells        []CellValue
}

// Set changes cells of one existing row. It returns ErrRowNotFound, *CheckError for an invalid
// value, or a conflict if the row is not at the seen revision.
func (e *Editor) Set(ctx context.Context, r SetRequest) (ApplyResult, error) {
	seen, err := e.seenRow(ctx, r.Sheet, r.ID, r.SeenRevision)
	if err != nil {
		return ApplyResult{}, err
	}
	cells, err := setCells(seen.Row, r.Cells)
	if err != nil {
		return ApplyResult{}, err
	}
	change := Change{Kind: EditChange, Sheet: r.Sheet, ID: r.ID, SeenRevision: seen.Revision, Before: seen.Cells, After: cells}
	return e.Apply(ctx, &Plan{Changes: []Change{change}})
}

// Remove removes one existing row; seen is as SetRequest.SeenRevision.
func (e *Editor) Remove(ctx context.Context, sheet Sheet, id string, seen uint64) (ApplyResult, error) {
	row, err := e.seenRow(ctx, sheet, id, seen)
	if err != nil {
		return ApplyResult{}, err
	}
	change := Change{Kind: EditRemove, Sheet: sheet, ID: id, SeenRevision: row.Revision, Before: row.Cells}
	return e.Apply(ctx, &Plan{Changes: []Change{change}})
}

// seenRow returns a row as it was at the revision that the operator saw; 0 stands for the
// current revision.
func (e *Editor) seenRow(ctx context.Context, sheet Sheet, id string, seen uint64) (StoredRow, error) {
	stored, err := e.loadPage(ctx, PageName(sheet, id), sheet)
	if err != nil {
		return StoredRow{}, err
	}
	r := stored.page.get(id)
	if r == nil || (r.Removed && seen == 0) {
		return StoredRow{}, errors.Wrapf(ErrRowNotFound, "%s %s", sheet, id)
	}
	if seen == 0 {
		seen = r.Revision
	}
	row := Row{Sheet: sheet, ID: id, Cells: r.cellsAt(sheet, seen)}
	return StoredRow{Row: row, Revision: seen}, nil
}

func setCells(row Row, values []CellValue) ([]string, error) {
	columns := Columns(row.Sheet)
	cells := slices.Clone(row.Cells)
	var problems []Problem
	for _, v := range values {
		i := slices.Index(columns, v.Column)
		if i <= 0 {
			problems = append(problems, Problem{
				Sheet: row.Sheet, Row: row.ID, Column: v.Column, Value: v.Value,
				Reason: "not a settable column", Allowed: joinNames(columns[1:]),
			})
			continue
		}
		cells[i] = v.Value
	}
	canonical, cellErrors := schemaOf(row.Sheet).canonical(cells)
	for _, w := range cellErrors {
		problems = append(problems, Problem{
			Sheet: row.Sheet, Row: row.ID, Column: w.column, Value: w.value, Reason: w.reason, Allowed: w.allowed,
		})
	}
	return canonical, problemsToError(problems)
}
