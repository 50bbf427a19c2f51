package table

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// pageAttempts bounds how often the write of one page is tried. Each failed try means
// that another operator wrote the page in between or that the outcome was unknown.
const pageAttempts = 16

// ErrBusy reports a page that other operators kept writing; nothing of this page was
// written.
var ErrBusy = errors.New("table: page kept changing")

// ApplyResult tells what became of a plan.
type ApplyResult struct {
	Written   int               `json:"written"`   // rows written
	Unchanged int               `json:"unchanged"` // rows that already were as wanted
	Revision  platform.Revision `json:"revision"`  // of the last page written; 0: none
}

// pageChanges are the changes of one page in one phase.
type pageChanges struct {
	name    string
	sheet   Sheet
	changes []Change
}

// groupChanges orders changes so that rows are added before the rows that name them and
// removed after. The service has no transaction over pages, so daemons may see the table
// between two pages; in this order a row never names one that is yet to come.
func groupChanges(changes []Change) []pageChanges {
	var groups []pageChanges
	add := func(c Change) {
		name := PageName(c.Sheet, c.ID)
		last := len(groups) - 1
		if last < 0 || groups[last].name != name {
			groups = append(groups, pageChanges{name: name, sheet: c.Sheet})
			last++
		}
		groups[last].changes = append(groups[last].changes, c)
	}
	order := func(sheets []Sheet, removals bool) {
		for _, sheet := range sheets {
			var picked []Change
			for _, c := range changes {
				if c.Sheet == sheet && (c.Kind == EditRemove) == removals {
					picked = append(picked, c)
				}
			}
			slices.SortStableFunc(picked, func(a, b Change) int { return comparePages(a, b) })
			for _, c := range picked {
				add(c)
			}
		}
	}
	sheets := Sheets()
	order(sheets, false)
	slices.Reverse(sheets)
	order(sheets, true)
	return groups
}

// Apply writes a plan. Rows that somebody else edited since the plan was made are
// reported, all of them, as Conflicts, and then nothing is written. Only a
// conflict that comes up during the writing leaves earlier pages written; they are
// counted in the result. When Apply returns nil every change is kept by the service.
func (e *Editor) Apply(ctx context.Context, plan *Plan) (ApplyResult, error) {
	var result ApplyResult
	stored, err := e.load(ctx)
	if err != nil {
		return result, err
	}
	if err := precheck(stored, plan); err != nil {
		return result, err
	}
	stamp := editStamp{id: e.newID(), who: e.who, when: e.now().UTC()}
	for _, group := range groupChanges(plan.Changes) {
		if err := e.applyPage(ctx, group, stamp, &result); err != nil {
			return result, err
		}
	}
	e.log.Info("Table written", "rows", result.Written, "revision", result.Revision)
	return result, nil
}

// precheck looks for conflicts and checks the table as it would become, since other
// operators may have written since the plan was made.
func precheck(stored storedTable, plan *Plan) error {
	var conflicts Conflicts
	after := stored.rows()
	for _, c := range plan.Changes {
		now := stored.record(c.Sheet, c.ID)
		if conflict := conflictOf(c, now); conflict != nil && !isInForce(c, now) {
			conflicts = append(conflicts, conflict)
			continue
		}
		if c.Kind == EditRemove {
			delete(after[c.Sheet], c.ID)
			continue
		}
		after.put(Row{Sheet: c.Sheet, ID: c.ID, Cells: c.After})
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	return checkError(checkAcross(after))
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
		// The failure: the write took effect and its answer was lost, or another operator
		// wrote another row of the page first. Both show as an error here. Reading again
		// settles it: an edit of ours carries our stamp in the row's history, and a row
		// that somebody else edited is at another revision than the one seen.
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUncertain) {
			e.log.Debug("Page read again", "page", group.name, "reason", err)
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

// editPage carries out the changes that are not yet in the page. It returns how many it
// edited and how many an earlier try of this same apply had written.
func editPage(p *page, changes []Change, stamp editStamp) (edited, written int, err error) {
	var conflicts Conflicts
	for _, c := range changes {
		now := p.get(c.ID)
		if now != nil && now.hasEdit(stamp.id) {
			written++
			continue
		}
		if isInForce(c, now) {
			continue
		}
		if conflict := conflictOf(c, now); conflict != nil {
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

// CellValue is a wanted cell.
type CellValue struct {
	Column string
	Value  string
}

// SetRequest asks for new cells of one row.
type SetRequest struct {
	Sheet        Sheet
	ID           string
	SeenRevision uint64 // the row's revision that the operator saw; 0: as it is now
	Cells        []CellValue
}

// Set changes cells of one row in force. It returns ErrNoRow, *CheckError for a wrong
// value, or a conflict if the row is not at the revision seen.
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

// Remove removes one row in force; seen is as in SetRequest.
func (e *Editor) Remove(ctx context.Context, sheet Sheet, id string, seen uint64) (ApplyResult, error) {
	row, err := e.seenRow(ctx, sheet, id, seen)
	if err != nil {
		return ApplyResult{}, err
	}
	change := Change{Kind: EditRemove, Sheet: sheet, ID: id, SeenRevision: row.Revision, Before: row.Cells}
	return e.Apply(ctx, &Plan{Changes: []Change{change}})
}

// seenRow returns a row as it was at the revision that the operator saw; 0 stands for
// the revision in force.
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
				Reason: "no column that can be set", Allowed: joinNames(columns[1:]),
			})
			continue
		}
		cells[i] = v.Value
	}
	canonical, wrong := schemaOf(row.Sheet).canonical(cells)
	for _, w := range wrong {
		problems = append(problems, Problem{
			Sheet: row.Sheet, Row: row.ID, Column: w.column, Value: w.value, Reason: w.reason, Allowed: w.allowed,
		})
	}
	return canonical, checkError(problems)
}
