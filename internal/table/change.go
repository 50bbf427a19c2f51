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
	After        []string `json:"after,omitempty"`  // cells wanted
}

// editStamp identifies the writer of edits.
type editStamp struct {
	id   string
	who  string
	when time.Time
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

// String returns the change on one line.
func (c Change) String() string {
	parts := []string{string(c.Kind), string(c.Sheet), c.ID}
	if c.Kind != EditRemove {
		for _, cell := range c.Cells() {
			parts = append(parts, fmt.Sprintf("%s: %q -> %q", cell.Column, cell.Old, cell.New))
		}
	}
	return strings.Join(parts, " ")
}

// Plan lists the edits that bring the table to the state of some files.
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

// CellConflict is one cell on which two operators differ.
type CellConflict struct {
	Column string `json:"column"`
	Seen   string `json:"seen"`   // what this operator saw
	Mine   string `json:"mine"`   // what this operator wants
	Theirs string `json:"theirs"` // what is in force now
}

// ConflictError tells an operator that somebody else edited the row since it was read.
// The edit was not written.
type ConflictError struct {
	Sheet           Sheet          `json:"sheet"`
	ID              string         `json:"id"`
	SeenRevision    uint64         `json:"seen"`
	CurrentRevision uint64         `json:"current"`
	Removed         bool           `json:"removed"` // the row is gone
	Operator        string         `json:"who"`     // the last editor, if known
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

// Unwrap lets errors.As find a *ConflictError.
func (c Conflicts) Unwrap() []error {
	errs := make([]error, len(c))
	for i, conflict := range c {
		errs[i] = conflict
	}
	return errs
}

// conflictOf compares a change with the record in force and returns nil if the change
// may be written.
func conflictOf(c Change, now *record) *ConflictError {
	if now == nil {
		now = &record{ID: c.ID, Removed: true}
	}
	if now.Revision == c.SeenRevision {
		return nil
	}
	conflict := &ConflictError{Sheet: c.Sheet, ID: c.ID, SeenRevision: c.SeenRevision, CurrentRevision: now.Revision, Removed: now.Removed}
	if n := len(now.History); n > 0 {
		conflict.Operator = now.History[n-1].Operator
		conflict.Time = now.History[n-1].Time
	}
	for i, column := range Columns(c.Sheet) {
		cell := CellConflict{Column: column, Seen: cellAt(c.Before, i), Mine: cellAt(c.After, i), Theirs: cellAt(now.Cells, i)}
		if cell.Mine != cell.Theirs {
			conflict.Cells = append(conflict.Cells, cell)
		}
	}
	return conflict
}

// isInForce tells whether the row already is as the change wants it.
func isInForce(c Change, now *record) bool {
	if now == nil {
		return c.Kind == EditRemove
	}
	if now.Removed {
		return c.Kind == EditRemove
	}
	return c.Kind != EditRemove && slices.Equal(now.Cells, c.After)
}
