package ctl

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/table"
)

// ErrFile reports a failure to read or write a file.
var ErrFile = errors.New("file access failed")

func kvFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: flagKV, EnvVars: []string{"BLUEBELLSCALE_KV"}, Usage: "host:port of the key-value service; separate several by commas",
	}
}

func tableFlags(more ...cli.Flag) []cli.Flag {
	who := &cli.StringFlag{Name: flagWho, EnvVars: []string{"BLUEBELLSCALE_OPERATOR"}, Usage: "your name in histories; default: the name of the system user"}
	return append([]cli.Flag{kvFlag(), outputFlag(), timeoutFlag(), who}, more...)
}

func (t *tool) tableCommand() *cli.Command {
	return &cli.Command{
		Name: "table", Usage: "read and edit the operators' table",
		Description: "Rows are kept in CSV files under version control: organisations.csv, models.csv,\n" +
			"targets.csv and stores.csv. plan shows what apply would write.\n\n" +
			"Examples:\n" +
			"  bluebellctl table export rows/\n" +
			"  bluebellctl table plan rows/\n" +
			"  bluebellctl table apply rows/ && bluebellctl table wait 10.0.0.11:9001",
		Subcommands: []*cli.Command{
			t.planCommand(), t.applyCommand(), t.exportCommand(), t.getCommand(),
			t.setCommand(), t.removeCommand(), t.historyCommand(), t.waitCommand(),
		},
	}
}

func (t *tool) editor(c *cli.Context) (*table.Editor, error) {
	addresses := c.StringSlice(flagKV)
	if len(addresses) == 0 {
		return nil, usagef("no address of the key-value service: give --kv host:port or set BLUEBELLSCALE_KV")
	}
	who := c.String(flagWho)
	if who == "" {
		who = t.deps.Operator
	}
	return table.NewEditor(table.EditorOptions{KV: t.deps.NewKV(addresses), Operator: who}), nil
}

// editorAction runs a command with an editor and the command's timeout.
func (t *tool) editorAction(run func(ctx context.Context, c *cli.Context, e *table.Editor) error) cli.ActionFunc {
	return func(c *cli.Context) error {
		e, err := t.editor(c)
		if err != nil {
			return err
		}
		ctx, cancel := withTimeout(c)
		defer cancel()
		return run(ctx, c, e)
	}
}

// readFiles reads the given CSV files, or those of the sheets in a given directory.
func readFiles(paths []string) ([]table.File, error) {
	var files []table.File
	for _, path := range paths {
		names, err := sheetFiles(path)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				return nil, errors.Mark(err, ErrFile)
			}
			files = append(files, table.File{Name: name, Data: data})
		}
	}
	if len(files) == 0 {
		return nil, usagef("no sheets given; want a directory or files such as organisations.csv")
	}
	return files, nil
}

func sheetFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Mark(err, ErrFile)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var names []string
	for _, sheet := range table.Sheets() {
		name := filepath.Join(path, sheet.FileName())
		if _, err := os.Stat(name); err == nil {
			names = append(names, name)
		}
	}
	return names, nil
}

func (t *tool) planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "show what apply would write", ArgsUsage: "DIR | FILE...", Flags: tableFlags(),
		Description: "Example:\n  bluebellctl table plan rows/",
		Action: t.editorAction(func(ctx context.Context, c *cli.Context, e *table.Editor) error {
			plan, err := planFromArgs(ctx, c, e)
			if err != nil {
				return err
			}
			return t.print(c, plan, planGrid(plan))
		}),
	}
}

func planFromArgs(ctx context.Context, c *cli.Context, e *table.Editor) (*table.Plan, error) {
	files, err := readFiles(c.Args().Slice())
	if err != nil {
		return nil, err
	}
	return e.Plan(ctx, files)
}

func planGrid(plan *table.Plan) grid {
	g := grid{header: []string{"CHANGE", "SHEET", "ROW", "COLUMN", "OLD", "NEW"}}
	for _, change := range plan.Changes {
		if change.Kind == table.EditRemove {
			g.rows = append(g.rows, []string{string(change.Kind), string(change.Sheet), change.ID, "", "", ""})
			continue
		}
		for _, cell := range change.Cells() {
			row := []string{string(change.Kind), string(change.Sheet), change.ID, cell.Column, displayCell(cell.Old), displayCell(cell.New)}
			g.rows = append(g.rows, row)
		}
	}
	return g
}

// displayCell returns the text of a cell in a grid, with a mark for an empty cell.
func displayCell(text string) string {
	if text == "" {
		return absentCell
	}
	return text
}

func (t *tool) applyCommand() *cli.Command {
	limit := &cli.IntFlag{Name: flagMaxRemove, Value: defaultMaxRemove, Usage: "refuse a plan that removes more rows"}
	return &cli.Command{
		Name: "apply", Usage: "write the sheets into the table", ArgsUsage: "DIR | FILE...", Flags: tableFlags(limit),
		Description: "Rows that are missing in a given file are removed. When the command exits with 0, every\n" +
			"row is written; daemons apply it within seconds (see wait).\n\n" +
			"Example:\n  bluebellctl table apply rows/",
		Action: t.editorAction(func(ctx context.Context, c *cli.Context, e *table.Editor) error {
			plan, err := planFromArgs(ctx, c, e)
			if err != nil {
				return err
			}
			// Applying a file that was truncated by an editor or a bad merge would remove
			// most organisations. Such a plan has many removals, so their number is limited.
			if n := plan.Removals(); n > c.Int(flagMaxRemove) {
				return errors.Newf("the plan removes %d rows, more than --%s %d; nothing was written", n, flagMaxRemove, c.Int(flagMaxRemove))
			}
			result, err := e.Apply(ctx, plan)
			if err != nil {
				return errors.Wrapf(err, "%d rows written", result.Written)
			}
			return t.printResult(c, result)
		}),
	}
}

func (t *tool) printResult(c *cli.Context, result table.ApplyResult) error {
	g := grid{header: []string{"WRITTEN", "UNCHANGED", "REVISION"}}
	g.rows = [][]string{{strconv.Itoa(result.Written), strconv.Itoa(result.Unchanged), fmt.Sprint(result.Revision)}}
	return t.print(c, result, g)
}

const (
	exportDirMode  = 0o755
	exportFileMode = 0o644
)

func (t *tool) exportCommand() *cli.Command {
	return &cli.Command{
		Name: "export", Usage: "write the table as CSV files", ArgsUsage: "DIR", Flags: tableFlags(),
		Description: "Example:\n  bluebellctl table export rows/",
		Action: t.editorAction(func(ctx context.Context, c *cli.Context, e *table.Editor) error {
			dir, err := oneArg(c, "DIR")
			if err != nil {
				return err
			}
			files, err := e.Export(ctx)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(dir, exportDirMode); err != nil {
				return errors.Mark(err, ErrFile)
			}
			g := grid{header: []string{"FILE", "BYTES"}}
			var names []string
			for _, file := range files {
				path := filepath.Join(dir, file.Name)
				if err := os.WriteFile(path, file.Data, exportFileMode); err != nil {
					return errors.Mark(err, ErrFile)
				}
				names = append(names, path)
				g.rows = append(g.rows, []string{path, strconv.Itoa(len(file.Data))})
			}
			return t.print(c, names, g)
		}),
	}
}

func (t *tool) waitCommand() *cli.Command {
	only := &cli.BoolFlag{Name: flagOnly, Usage: "query only the given daemons, not the members that they know"}
	return &cli.Command{
		Name: "wait", Usage: "wait until all live daemons have applied the table", ArgsUsage: "ADDR...", Flags: tableFlags(only),
		Description: "ADDR is a daemon's peer address. The command also queries the live members that this daemon knows.\n\n" +
			"Example:\n  bluebellctl table wait --timeout 15s 10.0.0.11:9001",
		Action: t.editorAction(t.wait),
	}
}

func (t *tool) wait(ctx context.Context, c *cli.Context, e *table.Editor) error {
	addresses := c.Args().Slice()
	if len(addresses) == 0 {
		return usagef("want at least one ADDR")
	}
	if !c.Bool(flagOnly) {
		live, err := t.liveAddresses(ctx, addresses)
		if err != nil {
			return err
		}
		addresses = live
	}
	states, waitErr := e.WaitUntilApplied(ctx, addresses, t.deps.Client)
	g := grid{header: []string{"DAEMON", "IN_FORCE", "REVISION", "ERROR"}}
	for _, s := range states {
		row := []string{s.Address, strconv.FormatBool(s.Applied), strconv.FormatUint(s.State.Revision, 10), displayCell(s.Err)}
		g.rows = append(g.rows, row)
	}
	if err := t.print(c, states, g); err != nil {
		return err
	}
	return waitErr
}
