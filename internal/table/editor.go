package table

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/platform"
)

// ErrRowNotFound reports that the table does not contain a row.
var ErrRowNotFound = errors.New("table: row not found")

// ErrService reports that the key-value service failed. Earlier writes of the same Apply
// stay in effect, and a new plan contains the remaining changes.
var ErrService = errors.New("table: key-value service failed")

// EditorOptions configures an Editor.
type EditorOptions struct {
	KV       platform.KV
	Operator string           // operator name recorded in row histories
	Now      func() time.Time // nil: time.Now
	NewID    func() string    // returns the id of a write; nil: random
	Logger   hclog.Logger     // nil: no logs
}

// Editor reads and edits the table in the key-value service for one operator.
type Editor struct {
	kv       platform.KV
	operator string
	now      func() time.Time
	newID    func() string
	log      hclog.Logger
}

// NewEditor returns an Editor.
func NewEditor(o EditorOptions) *Editor {
	e := &Editor{kv: o.KV, operator: o.Operator, now: o.Now, newID: o.NewID, log: o.Logger}
	if e.now == nil {
		e.now = time.Now
	}
	if e.newID == nil {
		e.newID = rand.Text
	}
	if e.log == nil {
		e.log = hclog.NewNullLogger()
	}
	return e
}

// storedPage is a page with its revision in the key-value service.
type storedPage struct {
	page     *page
	revision platform.Revision
}

// storedTable holds all pages of the key-value service by name.
type storedTable map[string]storedPage

func (t storedTable) record(sheet Sheet, id string) *record {
	stored, ok := t[PageName(sheet, id)]
	if !ok {
		return nil
	}
	return stored.page.get(id)
}

// rows returns the rows that are not removed.
func (t storedTable) rows() sheetRows {
	all := make(sheetRows)
	for name, stored := range t {
		sheet, _ := sheetOfPage(name)
		for _, r := range stored.page.Records {
			if !r.Removed {
				all.put(Row{Sheet: sheet, ID: r.ID, Cells: r.Cells})
			}
		}
	}
	return all
}

func serviceError(err error, operation string) error {
	return errors.Mark(errors.Wrap(err, operation), ErrService)
}

func (e *Editor) load(ctx context.Context) (storedTable, error) {
	entries, _, err := e.kv.List(ctx, KeyPrefix)
	if err != nil {
		return nil, serviceError(err, "table: list pages")
	}
	table := make(storedTable, len(entries))
	for _, entry := range entries {
		name := strings.TrimPrefix(entry.Key, KeyPrefix)
		p, err := decodePage(name, entry.Value)
		if err != nil {
			return nil, err
		}
		table[name] = storedPage{page: p, revision: entry.Revision}
	}
	return table, nil
}

// loadPage reads one page. A page that was never written is returned empty, at revision 0.
func (e *Editor) loadPage(ctx context.Context, name string, sheet Sheet) (storedPage, error) {
	entry, err := e.kv.Get(ctx, KeyPrefix+name)
	if errors.Is(err, platform.ErrNotFound) {
		return storedPage{page: newPage(name, sheet)}, nil
	}
	if err != nil {
		return storedPage{}, serviceError(err, "table: read page "+name)
	}
	p, err := decodePage(name, entry.Value)
	if err != nil {
		return storedPage{}, err
	}
	return storedPage{page: p, revision: entry.Revision}, nil
}

// StoredRow is a stored row with its revision.
type StoredRow struct {
	Row
	Revision uint64 `json:"revision"`
}

// Get returns one stored row, or ErrRowNotFound.
func (e *Editor) Get(ctx context.Context, sheet Sheet, id string) (StoredRow, error) {
	stored, err := e.loadPage(ctx, PageName(sheet, id), sheet)
	if err != nil {
		return StoredRow{}, err
	}
	r := stored.page.get(id)
	if r == nil || r.Removed {
		return StoredRow{}, errors.Wrapf(ErrRowNotFound, "%s %s", sheet, id)
	}
	return StoredRow{Row: Row{Sheet: sheet, ID: id, Cells: r.Cells}, Revision: r.Revision}, nil
}

// History returns the retained edits of a row, oldest first, including those of a removed row.
func (e *Editor) History(ctx context.Context, sheet Sheet, id string) ([]Edit, error) {
	stored, err := e.loadPage(ctx, PageName(sheet, id), sheet)
	if err != nil {
		return nil, err
	}
	r := stored.page.get(id)
	if r == nil {
		return nil, errors.Wrapf(ErrRowNotFound, "%s %s", sheet, id)
	}
	return r.History, nil
}

// Export returns all stored rows as files for which Plan returns no changes.
func (e *Editor) Export(ctx context.Context) ([]File, error) {
	stored, err := e.load(ctx)
	if err != nil {
		return nil, err
	}
	rows := stored.rows()
	var files []File
	for _, sheet := range Sheets() {
		file, err := FormatFile(sheet, sortedValues(rows[sheet]))
		if err != nil {
			return nil, errors.Wrapf(err, "table: export %s", sheet)
		}
		files = append(files, file)
	}
	return files, nil
}

// Plan compares files with the stored table. Sheets without a file stay unchanged; a stored
// row that its sheet's file lacks is removed. Plan rejects all files with a *CheckError if any
// of them is invalid.
func (e *Editor) Plan(ctx context.Context, files []File) (*Plan, error) {
	wanted, err := ParseFiles(files)
	if err != nil {
		return nil, err
	}
	stored, err := e.load(ctx)
	if err != nil {
		return nil, err
	}
	resulting := stored.rows()
	plan := new(Plan)
	for _, sheet := range Sheets() {
		rows, given := wanted[sheet]
		if !given {
			continue
		}
		plan.Changes = append(plan.Changes, planSheet(stored, sheet, resulting[sheet], rows)...)
		resulting[sheet] = rows
	}
	if err := problemsToError(checkConstraints(resulting)); err != nil {
		return nil, err
	}
	return plan, nil
}

// ParseFiles reads files of different sheets and reports the problems of all files.
func ParseFiles(files []File) (map[Sheet]map[string]Row, error) {
	parsed := make(map[Sheet]map[string]Row)
	var problems []Problem
	for _, file := range files {
		sheet, rows, err := ParseFile(file)
		var check *CheckError
		if errors.As(err, &check) {
			problems = append(problems, check.Problems...)
			continue
		}
		if _, duplicate := parsed[sheet]; duplicate {
			problems = append(problems, Problem{File: file.Name, Reason: "duplicate file for sheet " + string(sheet)})
		}
		parsed[sheet] = make(map[string]Row, len(rows))
		for _, row := range rows {
			parsed[sheet][row.ID] = row
		}
	}
	return parsed, problemsToError(problems)
}

func planSheet(stored storedTable, sheet Sheet, before, wanted map[string]Row) []Change {
	var changes []Change
	for _, row := range sortedValues(wanted) {
		old, exists := before[row.ID]
		change := Change{Kind: EditAdd, Sheet: sheet, ID: row.ID, After: row.Cells}
		if exists {
			change.Kind = EditChange
			change.Before = old.Cells
		}
		if exists && slices.Equal(old.Cells, row.Cells) {
			continue
		}
		change.SeenRevision = seenRevision(stored, sheet, row.ID)
		changes = append(changes, change)
	}
	for _, row := range sortedValues(before) {
		if _, kept := wanted[row.ID]; !kept {
			seen := seenRevision(stored, sheet, row.ID)
			changes = append(changes, Change{Kind: EditRemove, Sheet: sheet, ID: row.ID, SeenRevision: seen, Before: row.Cells})
		}
	}
	return changes
}

func seenRevision(stored storedTable, sheet Sheet, id string) uint64 {
	if r := stored.record(sheet, id); r != nil {
		return r.Revision
	}
	return 0
}
