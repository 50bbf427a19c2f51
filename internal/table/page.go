package table

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// historyLength is the number of edits that a row retains.
const historyLength = 6

// ErrPageFull reports an edit that would make a page exceed MaxPageBytes even after
// histories were trimmed; the edit was not written.
var ErrPageFull = errors.New("table: page full")

// ErrBadPage reports a stored page that can't be decoded.
var ErrBadPage = errors.New("table: cannot decode stored page")

// CellChange is the text of one cell before and after an edit.
type CellChange struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// EditKind is the effect of an edit on a row.
type EditKind string

// The kinds of edits.
const (
	EditAdd    EditKind = "add"
	EditChange EditKind = "change"
	EditRemove EditKind = "remove"
)

// Edit is one accepted edit of a row.
type Edit struct {
	ID       string       `json:"id"` // id of the write, shared by all rows of one Apply
	Kind     EditKind     `json:"kind"`
	Revision uint64       `json:"revision"` // the row's revision after the edit
	Operator string       `json:"who"`
	Time     time.Time    `json:"when"`
	Cells    []CellChange `json:"cells,omitempty"` // empty for an added row
}

// record is a stored row. A removed row remains as a record without cells, so that an operator
// that read the row earlier gets a conflict that reports the removal.
type record struct {
	ID       string   `json:"id"`
	Revision uint64   `json:"revision"`
	Removed  bool     `json:"removed,omitempty"`
	Cells    []string `json:"cells,omitempty"` // in the order of the page's columns
	History  []Edit   `json:"history,omitempty"`
}

func (r *record) hasEdit(id string) bool {
	return slices.ContainsFunc(r.History, func(e Edit) bool { return e.ID == id })
}

// cellsAt returns the row's cells at an earlier revision by undoing the later edits that the
// history contains.
func (r *record) cellsAt(sheet Sheet, revision uint64) []string {
	columns := Columns(sheet)
	cells := make([]string, len(columns))
	copy(cells, r.Cells)
	for _, edit := range slices.Backward(r.History) {
		if edit.Revision <= revision {
			break
		}
		for _, cell := range edit.Cells {
			if i := slices.Index(columns, cell.Column); i >= 0 {
				cells[i] = cell.Old
			}
		}
	}
	return cells
}

// page is the unit of storage and distribution. Row revisions count the edits of the whole
// page, so that a row never reuses a revision after its removal record was dropped.
type page struct {
	Name    string    `json:"name"`
	Columns []string  `json:"columns"`
	Edits   uint64    `json:"edits"`
	Records []*record `json:"records"` // ordered by id
}

func newPage(name string, sheet Sheet) *page {
	return &page{Name: name, Columns: Columns(sheet)}
}

// decodePage decodes a stored page and reorders its cells to the current columns.
func decodePage(name string, value []byte) (*page, error) {
	sheet, ok := sheetOfPage(name)
	if !ok {
		return nil, errors.Mark(errors.Newf("unknown page %q", name), ErrBadPage)
	}
	p := new(page)
	if err := json.Unmarshal(value, p); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "page %s", name), ErrBadPage)
	}
	if p.Name != name {
		return nil, errors.Mark(errors.Newf("page %s contains page %q", name, p.Name), ErrBadPage)
	}
	if err := p.reorderColumns(Columns(sheet)); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *page) reorderColumns(columns []string) error {
	positions := make([]int, len(columns))
	for i, column := range columns {
		positions[i] = slices.Index(p.Columns, column)
	}
	for _, r := range p.Records {
		if r == nil {
			return errors.Mark(errors.Newf("page %s: null record", p.Name), ErrBadPage)
		}
		if r.Removed {
			continue
		}
		if len(r.Cells) != len(p.Columns) {
			return errors.Mark(errors.Newf("page %s: row %q has %d cells, want %d", p.Name, r.ID, len(r.Cells), len(p.Columns)), ErrBadPage)
		}
		r.Cells = reorderCells(r.Cells, positions)
	}
	p.Columns = columns
	return nil
}

func reorderCells(cells []string, positions []int) []string {
	out := make([]string, len(positions))
	for i, position := range positions {
		if position >= 0 {
			out[i] = cells[position]
		}
	}
	return out
}

func (p *page) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.Records, id, func(r *record, id string) int { return strings.Compare(r.ID, id) })
}

// get returns the record of a row, or nil if the row never existed or its record was dropped.
func (p *page) get(id string) *record {
	i, ok := p.find(id)
	if !ok {
		return nil
	}
	return p.Records[i]
}

// edit applies a change that was checked against the row's revision.
func (p *page) edit(c Change, stamp editStamp) {
	i, ok := p.find(c.ID)
	if !ok {
		p.Records = slices.Insert(p.Records, i, &record{ID: c.ID})
	}
	r := p.Records[i]
	p.Edits++
	r.Revision = p.Edits
	r.Removed = c.Kind == EditRemove
	r.Cells = c.After
	edit := Edit{ID: stamp.id, Kind: c.Kind, Revision: r.Revision, Operator: stamp.operator, Time: stamp.time}
	if c.Kind != EditAdd {
		edit.Cells = c.Cells()
	}
	r.History = append(r.History, edit)
	r.History = lastEdits(r.History, historyLength)
}

func lastEdits(history []Edit, n int) []Edit {
	return history[max(0, len(history)-n):]
}

// encode returns the page's value. If the value exceeds MaxPageBytes, encode drops old
// history first and the records of removed rows next; it never drops other rows.
func (p *page) encode() ([]byte, error) {
	for _, keep := range []int{historyLength, 2, 1} {
		for _, r := range p.Records {
			r.History = lastEdits(r.History, keep)
		}
		value, err := json.Marshal(p)
		if err != nil {
			return nil, errors.Wrapf(err, "page %s", p.Name)
		}
		if len(value) <= MaxPageBytes {
			return value, nil
		}
	}
	p.Records = slices.DeleteFunc(p.Records, func(r *record) bool { return r.Removed })
	value, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrapf(err, "page %s", p.Name)
	}
	if len(value) > MaxPageBytes {
		return nil, errors.Mark(errors.Newf("page %s has %d bytes, limit is %d", p.Name, len(value), MaxPageBytes), ErrPageFull)
	}
	return value, nil
}

func badRow(page, id string, p cellError) error {
	return errors.Mark(errors.Newf("page %s: row %q: column %s = %q: %s", page, id, p.column, p.value, p.reason), ErrBadPage)
}
