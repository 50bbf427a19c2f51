package table

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Change is one planned edit of a row, with the row as the operator saw it.
type Change struct {
	Kind         EditKind `json:"kind"`
	Sheet        Sheet    `json:"sheet"`
	ID           string   `json:"id"`
	SeenRevision uint64   `json:"seen"`             // the row's revision that the operator saw; 0: it never existed
	Before       []string `json:"before,omitempty"` // cells that the operator saw
	After        []string `json:"after,omitempty"`  // new cells
}

// editStamp identifies the write that edits belong to.
type editStamp struct {
	id       string
	operator string
	time     time.Time
}

func cellAt(cells []string, i int) string {
	if i >= len(cells) {
		return ""
	}
	return cells[i]
}

// Cells returns the cells that the change alters.
func (c Change) Cells() []CellChange {
	var changed []CellChange
	for i, column := range Columns(c.Sheet) {
		before, after := cellAt(c.Before, i), cellAt(c.After, i)
		if before != after {
			changed = append(changed, CellChange{Column: column, Old: before, New: after})
		}
	}
	return changed
}

// String formats the change on one line.
func (c Change) String() string {
	parts := []string{string(c.Kind), string(c.Sheet), c.ID}
	if c.Kind != EditRemove {
		for _, cell := range c.Cells() {
			parts = append(parts, fmt.Sprintf("%s: %q -> %q", cell.Column, cell.Old, cell.New))
		}
	}
	return strings.Join(parts, " ")
}

// Plan lists the edits that make the table equal to a set of files.
type Plan struct {
	Changes []Change `json:"changes"`
}

// Removals counts the rows that the plan removes.
func (p *Plan) Removals() int {
	n := 0
	for _, c := range p.Changes {
		if c.Kind == EditRemove {
			n++
		}
	}
	return n
}

// CellConflict is one cell for which two operators have different values.
type CellConflict struct {
	Column string `json:"column"`
	Seen   string `json:"seen"`   // value that this operator saw
	Mine   string `json:"mine"`   // value that this operator wants to write
	Theirs string `json:"theirs"` // current value
}

// ConflictError reports that another operator has edited the row since this operator read it.
// The edit was not written.
type ConflictError struct {
	Sheet           Sheet          `json:"sheet"`
	ID              string         `json:"id"`
	SeenRevision    uint64         `json:"seen"`
	CurrentRevision uint64         `json:"current"`
	Removed         bool           `json:"removed"` // the row no longer exists
	Operator        string         `json:"who"`     // the last operator that edited the row, if known
	Time            time.Time      `json:"when"`
	Cells           []CellConflict `json:"cells"`
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "table: conflict on %s %s: seen at revision %d, now at %d", e.Sheet, e.ID, e.SeenRevision, e.CurrentRevision)
	if e.Operator != "" {
		fmt.Fprintf(&b, ", edited by %s at %s", e.Operator, e.Time.UTC().Format(time.RFC3339))
	}
	if e.Removed {
		b.WriteString(", removed")
	}
	for _, c := range e.Cells {
		fmt.Fprintf(&b, "; %s: seen %q, yours %q, theirs %q", c.Column, c.Seen, c.Mine, c.Theirs)
	}
	return b.String()
}

// Conflicts holds the conflicts of several rows.
type Conflicts []*ConflictError

// Error implements the error interface.
func (c Conflicts) Error() string {
	lines := make([]string, len(c))
	for i, conflict := range c {
		lines[i] = conflict.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes the conflicts accessible to errors.As.
func (c Conflicts) Unwrap() []error {
	errs := make([]error, len(c))
	for i, conflict := range c {
		errs[i] = conflict
	}
	return errs
}

// detectConflict compares a change with the current record and returns nil if the change may
// be written.
func detectConflict(c Change, current *record) *ConflictError {
	if current == nil {
		current = &record{ID: c.ID, Removed: true}
	}
	if current.Revision == c.SeenRevision {
		return nil
	}
	conflict := &ConflictError{Sheet: c.Sheet, ID: c.ID, SeenRevision: c.SeenRevision, CurrentRevision: current.Revision, Removed: current.Removed}
	if n := len(current.History); n > 0 {
		conflict.Operator = current.History[n-1].Operator
		conflict.Time = current.History[n-1].Time
	}
	for i, column := range Columns(c.Sheet) {
		cell := CellConflict{Column: column, Seen: cellAt(c.Before, i), Mine: cellAt(c.After, i), Theirs: cellAt(current.Cells, i)}
		if cell.Mine != cell.Theirs {
			conflict.Cells = append(conflict.Cells, cell)
		}
	}
	return conflict
}

// isApplied reports whether the current record already equals the result of the change.
func isApplied(c Change, current *record) bool {
	if current == nil {
		return c.Kind == EditRemove
	}
	if current.Removed {
		return c.Kind == EditRemove
	}
	return c.Kind != EditRemove && slices.Equal(current.Cells, c.After)
}
