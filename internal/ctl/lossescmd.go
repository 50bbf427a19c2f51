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
	flagSpan       = "span"
	flagWindows    = "windows"
	defaultSpan    = 2 * time.Second
	defaultWindows = 10
	// causesPerWindow is the number of causes listed for each window.
	causesPerWindow = 4
)

// lossesCommand returns a command that counts refused, late and broken-off requests in
// daemons' logs.
func (t *tool) lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "count refused, late and broken-off requests in daemons' logs by time and cause", ArgsUsage: "[FILE...]",
		Description: "Each FILE is a log of one or more daemons. Without FILE, standard input is read.\n\n" +
			"Example:\n  bluebellctl losses --span 2s logs/*.log",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.DurationFlag{Name: flagSpan, Value: defaultSpan, Usage: "length of a window"},
			&cli.IntFlag{Name: flagWindows, Value: defaultWindows, Usage: "number of windows to list, worst first"},
		},
		Action: func(c *cli.Context) error {
			o := losses.Options{WindowLength: c.Duration(flagSpan), MaxWindows: c.Int(flagWindows), MaxCauses: causesPerWindow}
			if o.WindowLength <= 0 || o.MaxWindows < 0 {
				return usagef("--%s must be positive and --%s must not be negative", flagSpan, flagWindows)
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

// gridOfLosses lists the causes over the whole time first, and then those of the worst
// windows.
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
