package ctl

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/table"
)

// rowArgs returns the arguments SHEET and ROW.
func rowArgs(c *cli.Context) (table.Sheet, string, error) {
	if c.NArg() < 2 {
		return "", "", usagef("%s: want SHEET and ROW; flags must precede them", c.Command.FullName())
	}
	sheet, err := table.ParseSheet(c.Args().Get(0))
	if err != nil {
		return "", "", usagef("%s", err)
	}
	return sheet, c.Args().Get(1), nil
}

// rowView is the JSON output of a row.
type rowView struct {
	Sheet    table.Sheet       `json:"sheet"`
	ID       string            `json:"id"`
	Revision uint64            `json:"revision"`
	Cells    map[string]string `json:"cells"`
}

func (t *tool) getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print a row and its revision", ArgsUsage: "SHEET ROW", Flags: tableFlags(),
		Description: "Example:\n  bluebellctl table get organisations acme",
		Action: t.editorAction(func(ctx context.Context, c *cli.Context, e *table.Editor) error {
			sheet, id, err := rowArgs(c)
			if err != nil {
				return err
			}
			row, err := e.Get(ctx, sheet, id)
			if err != nil {
				return err
			}
			view := rowView{Sheet: sheet, ID: id, Revision: row.Revision, Cells: make(map[string]string)}
			g := grid{header: []string{"COLUMN", "VALUE"}}
			for i, column := range table.Columns(sheet) {
				view.Cells[column] = row.Cells[i]
				g.rows = append(g.rows, []string{column, displayCell(row.Cells[i])})
			}
			g.rows = append(g.rows, []string{"(revision)", strconv.FormatUint(row.Revision, 10)})
			return t.print(c, view, g)
		}),
	}
}

func revisionFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagRevision, Usage: "the row's revision that the edit is based on; default: the current one"}
}

func (t *tool) setCommand() *cli.Command {
	return &cli.Command{
		Name: "set", Usage: "change cells of a row", ArgsUsage: "SHEET ROW COLUMN=VALUE...", Flags: tableFlags(revisionFlag()),
		Description: "With --revision, as printed by get, the edit is refused with exit code 3, and both values\n" +
			"are printed, if another operator has edited the row since.\n\n" +
			"Example:\n  bluebellctl table set --revision 7 organisations acme weight=20 burst=40",
		Action: t.editorAction(func(ctx context.Context, c *cli.Context, e *table.Editor) error {
			sheet, id, err := rowArgs(c)
			if err != nil {
				return err
			}
			cells, err := parseCells(c.Args().Slice()[2:])
			if err != nil {
				return err
			}
			result, err := e.Set(ctx, table.SetRequest{Sheet: sheet, ID: id, SeenRevision: c.Uint64(flagRevision), Cells: cells})
			if err != nil {
				return err
			}
			return t.printResult(c, result)
		}),
	}
}

func parseCells(args []string) ([]table.CellValue, error) {
	if len(args) == 0 {
		return nil, usagef("want COLUMN=VALUE")
	}
	var cells []table.CellValue
	for _, arg := range args {
		column, value, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, usagef("%q is not COLUMN=VALUE; flags must precede the arguments", arg)
		}
		cells = append(cells, table.CellValue{Column: column, Value: value})
	}
	return cells, nil
}

func (t *tool) removeCommand() *cli.Command {
	return &cli.Command{
		Name: "remove", Usage: "remove a row", ArgsUsage: "SHEET ROW", Flags: tableFlags(revisionFlag()),
		Description: "Example:\n  bluebellctl table remove targets engine-7",
		Action: t.editorAction(func(ctx context.Context, c *cli.Context, e *table.Editor) error {
			sheet, id, err := rowArgs(c)
			if err != nil {
				return err
			}
			result, err := e.Remove(ctx, sheet, id, c.Uint64(flagRevision))
			if err != nil {
				return err
			}
			return t.printResult(c, result)
		}),
	}
}

func (t *tool) historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "print a row's last edits", ArgsUsage: "SHEET ROW", Flags: tableFlags(),
		Description: "Example:\n  bluebellctl table history organisations acme",
		Action: t.editorAction(func(ctx context.Context, c *cli.Context, e *table.Editor) error {
			sheet, id, err := rowArgs(c)
			if err != nil {
				return err
			}
			history, err := e.History(ctx, sheet, id)
			if err != nil {
				return err
			}
			return t.print(c, history, historyGrid(history))
		}),
	}
}

func historyGrid(history []table.Edit) grid {
	g := grid{header: []string{"REVISION", "WHEN", "WHO", "CHANGE", "COLUMN", "OLD", "NEW"}}
	for _, edit := range history {
		head := []string{strconv.FormatUint(edit.Revision, 10), edit.Time.Format(time.RFC3339), edit.Operator, string(edit.Kind)}
		if len(edit.Cells) == 0 {
			g.rows = append(g.rows, append(head, "", "", ""))
		}
		for _, cell := range edit.Cells {
			row := append(append([]string{}, head...), cell.Column, displayCell(cell.Old), displayCell(cell.New))
			g.rows = append(g.rows, row)
		}
	}
	return g
}
