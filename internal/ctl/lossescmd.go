package ctl

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/losses"
)

const (
	flagSpan     = "span"
	flagWindows  = "windows"
	defaultSpan  = 2 * time.Second
	defaultWorst = 10
	// causesTold is the number of causes that are told of each window.
	causesTold = 4
)

// lossesCommand counts from daemons' logs where callers were served badly.
func (t *tool) lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "count from daemons' logs what was refused, late or broken off, when and why", ArgsUsage: "[FILE...]",
		Description: "Each FILE is a log of daemons; without one the standard input is read.\n\n" +
			"Example:\n  bluebellctl losses --span 2s logs/*.log",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.DurationFlag{Name: flagSpan, Value: defaultSpan, Usage: "length of a window"},
			&cli.IntFlag{Name: flagWindows, Value: defaultWorst, Usage: "how many windows are told, the worst first"},
		},
		Action: func(c *cli.Context) error {
			o := losses.Options{WindowLength: c.Duration(flagSpan), MaxWindows: c.Int(flagWindows), MaxCauses: causesTold}
			if o.WindowLength <= 0 || o.MaxWindows < 0 {
				return usagef("--%s must be above 0, --%s not below", flagSpan, flagWindows)
			}
			table, err := t.countLosses(o, c.Args().Slice())
			if err != nil {
				return err
			}
			return t.print(c, table, gridOfLosses(table))
		},
	}
}

func (t *tool) countLosses(o losses.Options, files []string) (*losses.Summary, error) {
	if len(files) == 0 {
		return losses.Count(o, t.deps.Stdin)
	}
	var logs []io.Reader
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "FILE")
		}
		defer f.Close()
		logs = append(logs, f)
	}
	return losses.Count(o, logs...)
}

// gridOfLosses lists all causes first, and then the worst windows.
func gridOfLosses(table *losses.Summary) grid {
	g := grid{header: []string{"WHEN", "ENDED", "LOST", "HOW", "ROUTE", "CAUSE"}}
	for _, l := range table.Losses {
		g.rows = append(g.rows, []string{"all", fmt.Sprint(table.Ended), fmt.Sprint(l.Count), string(l.Kind), l.Route, l.Cause})
	}
	for _, w := range table.Windows {
		for _, l := range w.Largest {
			g.rows = append(g.rows, []string{
				w.From.Format(time.TimeOnly), fmt.Sprintf("%d, lost %d", w.Ended, w.Lost), fmt.Sprint(l.Count), string(l.Kind), l.Route, l.Cause,
			})
		}
	}
	return g
}
