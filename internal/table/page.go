package table

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// historyLength is how many edits of a row are kept.
const historyLength = 6

// ErrPageFull reports an edit that would make a page larger than MaxPageBytes even
// without histories; it was not written.
var ErrPageFull = errors.New("table: page full")

// ErrBadPage reports a stored page that can't be decoded.
var ErrBadPage = errors.New("table: stored page can't be decoded")

// CellChange is one cell's text before and after an edit.
type CellChange struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// EditKind tells what an edit does to a row.
type EditKind string

// The kinds of edits.
const (
	EditAdd    EditKind = "add"
	EditChange EditKind = "change"
	EditRemove EditKind = "remove"
)

// Edit is one accepted edit of a row.
type Edit struct {
	ID       string       `json:"id"` // identity of the write, the same for all rows of one apply
	Kind     EditKind     `json:"kind"`
	Revision uint64       `json:"revision"` // the row's revision after the edit
	Operator string       `json:"who"`
	Time     time.Time    `json:"when"`
	Cells    []CellChange `json:"cells,omitempty"` // empty for an added row
}

// record is a row as stored. A removed row stays as a record without cells, so that an
// operator who still sees the row is told that it was removed.
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

// cellsAt returns the row's cells at an earlier revision by undoing later edits, as far
// as the history reaches.
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

// page is the unit of storage and distribution. Row revisions count the edits of the
// whole page, so that a row that was removed and forgotten never gets an old revision
// again.
type page struct {
	Name    string    `json:"name"`
	Columns []string  `json:"columns"`
	Edits   uint64    `json:"edits"`
	Records []*record `json:"records"` // ordered by id
}

func newPage(name string, sheet Sheet) *page {
	return &page{Name: name, Columns: Columns(sheet)}
}

// decodePage reads a stored page and brings its cells into the order of today's columns.
func decodePage(name string, value []byte) (*page, error) {
	sheet, ok := sheetOfPage(name)
	if !ok {
		return nil, errors.Mark(errors.Newf("no page %q", name), ErrBadPage)
	}
	p := new(page)
	if err := json.Unmarshal(value, p); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "page %s", name), ErrBadPage)
	}
	if p.Name != name {
		return nil, errors.Mark(errors.Newf("page %s holds page %q", name, p.Name), ErrBadPage)
	}
	if err := p.reorder(Columns(sheet)); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *page) reorder(columns []string) error {
	places := make([]int, len(columns))
	for i, column := range columns {
		places[i] = slices.Index(p.Columns, column)
	}
	for _, r := range p.Records {
		if r == nil {
			return errors.Mark(errors.Newf("page %s: empty record", p.Name), ErrBadPage)
		}
		if r.Removed {
			continue
		}
		if len(r.Cells) != len(p.Columns) {
			return errors.Mark(errors.Newf("page %s: row %q has %d cells, want %d", p.Name, r.ID, len(r.Cells), len(p.Columns)), ErrBadPage)
		}
		r.Cells = pick(r.Cells, places)
	}
	p.Columns = columns
	return nil
}

func pick(cells []string, places []int) []string {
	out := make([]string, len(places))
	for i, place := range places {
		if place >= 0 {
			out[i] = cells[place]
		}
	}
	return out
}

func (p *page) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.Records, id, func(r *record, id string) int { return strings.Compare(r.ID, id) })
}

// get returns the record of a row, nil if it never existed or is forgotten.
func (p *page) get(id string) *record {
	i, ok := p.find(id)
	if !ok {
		return nil
	}
	return p.Records[i]
}

// edit carries out a change that was checked against the row's revision.
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
	edit := Edit{ID: stamp.id, Kind: c.Kind, Revision: r.Revision, Operator: stamp.who, Time: stamp.when}
	if c.Kind != EditAdd {
		edit.Cells = c.Cells()
	}
	r.History = append(r.History, edit)
	r.History = lastEdits(r.History, historyLength)
}

func lastEdits(history []Edit, n int) []Edit {
	return history[max(0, len(history)-n):]
}

// encode returns the page's value. A page above the limit loses old history first and
// removed rows then; rows in force are never dropped.
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
		return nil, errors.Mark(errors.Newf("page %s would hold %d bytes, at most %d", p.Name, len(value), MaxPageBytes), ErrPageFull)
	}
	return value, nil
}

func badRow(page, id string, p cellError) error {
	return errors.Mark(errors.Newf("page %s: row %q: column %s = %q: %s", page, id, p.column, p.value, p.reason), ErrBadPage)
}
