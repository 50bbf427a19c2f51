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

// explainCommand returns a command that reconstructs a request's history from daemons' logs.
func (t *tool) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain a request's outcome from daemons' logs", ArgsUsage: "REQUEST-ID [FILE...]",
		Description: "Each FILE is the log of one daemon and its base name is that daemon's name. Without FILE, standard input is read.\n\n" +
			"Example:\n  bluebellctl explain 9b4516b08769a240 logs/*.log",
		Flags: []cli.Flag{outputFlag()},
		Action: func(c *cli.Context) error {
			if !c.Args().Present() {
				return usagef("REQUEST-ID is missing")
			}
			history, err := t.explainFiles(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			if c.String(flagOutput) == outputTable {
				if _, err := fmt.Fprintln(t.deps.Stdout, history.Summary); err != nil {
					return errors.Wrap(err, "write")
				}
			}
			return t.print(c, history, gridOfRequestHistory(history))
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

func gridOfRequestHistory(h *explain.RequestHistory) grid {
	g := grid{header: []string{"TIME", "DAEMON", "MS", "WHAT", "REPLICA", "HOW", "WHY"}}
	for _, l := range h.Lines {
		how := strings.TrimSpace(strings.Join([]string{l.Outcome, l.Code}, " "))
		if l.Status != 0 {
			how = strings.TrimSpace(fmt.Sprint(how, " ", l.Status))
		}
		why := l.Why
		for _, detail := range []string{l.Error, l.Cause} {
			if detail != "" {
				why = strings.TrimSpace(why + " " + detail)
			}
		}
		g.rows = append(g.rows, []string{l.At.Format(time.StampMilli), l.Daemon, fmt.Sprint(l.AfterMs), l.Message, l.Replica, how, why})
	}
	return g
}
