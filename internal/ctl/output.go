package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v2"
)

// Values of the output flag.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const (
	tablePadding = 2
	// absentCell is the text of an empty or missing cell.
	absentCell = "-"
)

// grid is a table of text with aligned columns.
type grid struct {
	header []string
	rows   [][]string
}

// print writes value as JSON or g as a table, as selected by the output flag.
func (t *tool) print(c *cli.Context, value any, g grid) error {
	switch output := c.String(flagOutput); output {
	case outputJSON:
		return writeJSON(t.deps.Stdout, value)
	case outputTable:
		return writeGrid(t.deps.Stdout, g)
	default:
		return usagef("unknown output %q; allowed: json, table", output)
	}
}

// printLine writes value as JSON or line as text, as selected by the output flag.
func (t *tool) printLine(c *cli.Context, value any, line string) error {
	return t.print(c, value, grid{header: []string{line}})
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func writeGrid(w io.Writer, g grid) error {
	aligned := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	if _, err := fmt.Fprintln(aligned, strings.Join(g.header, "\t")); err != nil {
		return err
	}
	for _, row := range g.rows {
		if _, err := fmt.Fprintln(aligned, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return aligned.Flush()
}

// gridOf returns a grid of any JSON value. It has a row for each object of an array, or for
// each field of an object.
func gridOf(value json.RawMessage) grid {
	if values, ok := parseArray(value); ok {
		return gridOfArray(values)
	}
	fields, ok := parseObject(value)
	if !ok {
		return grid{header: []string{"VALUE"}, rows: [][]string{{cellText(value)}}}
	}
	g := grid{header: []string{"FIELD", "VALUE"}}
	for _, f := range fields {
		g.rows = append(g.rows, []string{f.name, cellText(f.value)})
	}
	return g
}

// gridOfArray returns a grid with a column for each field that occurs in any of the objects,
// in the order of first occurrence.
func gridOfArray(values []json.RawMessage) grid {
	columns := make(map[string]int)
	g := grid{}
	for _, value := range values {
		fields, ok := parseObject(value)
		if !ok {
			fields = []field{{name: "value", value: value}}
		}
		row := slices.Repeat([]string{absentCell}, len(g.header))
		for _, f := range fields {
			i, known := columns[f.name]
			if !known {
				i = len(g.header)
				columns[f.name] = i
				g.header = append(g.header, strings.ToUpper(f.name))
				row = append(row, absentCell)
			}
			row[i] = cellText(f.value)
		}
		g.rows = append(g.rows, row)
	}
	// tabwriter aligns a column only over consecutive lines that contain it.
	for i, row := range g.rows {
		g.rows[i] = append(row, slices.Repeat([]string{absentCell}, len(g.header)-len(row))...)
	}
	return g
}
