package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/explain"
)

// explainCommand tells a request's way from daemons' logs.
func (t *tool) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "say from daemons' logs why a request ended as it did", ArgsUsage: "REQUEST-ID [FILE...]",
		Description: "Each FILE is the log of one daemon, which is named after it; without one the standard input is read.\n\n" +
			"Example:\n  bluebellctl explain 9b4516b08769a240 logs/*.log",
		Flags: []cli.Flag{outputFlag()},
		Action: func(c *cli.Context) error {
			if !c.Args().Present() {
				return usagef("REQUEST-ID is missing")
			}
			way, err := t.explainFiles(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			if c.String(flagOutput) == outputTable {
				if _, err := fmt.Fprintln(t.deps.Stdout, way.Summary); err != nil {
					return errors.Wrap(err, "write")
				}
			}
			return t.print(c, way, gridOfWay(way))
		},
	}
}

func (t *tool) explainFiles(request string, files []string) (*explain.RequestHistory, error) {
	if len(files) == 0 {
		return explain.Explain(request, []explain.Log{{Daemon: "stdin", Text: t.deps.Stdin}})
	}
	var logs []explain.Log
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "FILE")
		}
		defer f.Close()
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		logs = append(logs, explain.Log{Daemon: name, Text: f})
	}
	return explain.Explain(request, logs)
}

func gridOfWay(w *explain.RequestHistory) grid {
	g := grid{header: []string{"TIME", "DAEMON", "MS", "WHAT", "REPLICA", "HOW", "WHY"}}
	for _, l := range w.Lines {
		how := strings.TrimSpace(strings.Join([]string{l.Outcome, l.Code}, " "))
		if l.Status != 0 {
			how = strings.TrimSpace(fmt.Sprint(how, " ", l.Status))
		}
		why := l.Why
		for _, more := range []string{l.Error, l.Cause} {
			if more != "" {
				why = strings.TrimSpace(why + " " + more)
			}
		}
		g.rows = append(g.rows, []string{l.At.Format(time.StampMilli), l.Daemon, fmt.Sprint(l.AfterMs), l.Message, l.Replica, how, why})
	}
	return g
}
