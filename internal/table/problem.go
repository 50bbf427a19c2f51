package table

import (
	"fmt"
	"strings"
)

// Problem is one error in a file, row or cell.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // 1-based; 0: the whole file
	Sheet   Sheet  `json:"sheet,omitempty"`
	Row     string `json:"row,omitempty"`
	Column  string `json:"column,omitempty"`
	Value   string `json:"value,omitempty"`
	Reason  string `json:"reason"`
	Allowed string `json:"allowed,omitempty"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Row != "" {
		fmt.Fprintf(&b, "row %q: ", p.Row)
	}
	if p.Column != "" {
		fmt.Fprintf(&b, "column %s = %q: ", p.Column, p.Value)
	}
	b.WriteString(p.Reason)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

// CheckError lists all problems of the given files or edit. No row of them was written.
type CheckError struct {
	Problems []Problem
}

// Error implements the error interface.
func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "table: rejected, no row was written:\n  " + strings.Join(lines, "\n  ")
}

func problemsToError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &CheckError{Problems: problems}
}
