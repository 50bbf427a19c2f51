// Command loadgen drives callers against daemons and checks their answers. It prints
// lines of name=value and exits with 1 if a promise was broken, with 2 if it could not
// measure.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/loadgen"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	exitBroken     = 1
	exitUnmeasured = 2
)

func main() {
	app := &cli.App{
		Name:   "loadgen",
		Usage:  "drive callers against daemons and check their answers",
		Flags:  flags(),
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitUnmeasured)
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "daemon", Required: true, Usage: "ip:port of a daemon; repeat for more"},
		&cli.StringSliceFlag{Name: "service-standin", Usage: "ip:port of a plain service stand-in; repeat for more"},
		&cli.StringSliceFlag{Name: "org", Required: true, Usage: "organisation as id=bearer key; repeat for more"},
		&cli.StringFlag{Name: "model"},
		&cli.Int64Flag{Name: "seed", Value: 1},
		&cli.StringFlag{Name: "run-id", Usage: "part of contexts and idempotency keys; default: from the clock"},
		&cli.IntFlag{Name: "contexts", Value: 4, Usage: "contexts of each organisation"},
		&cli.IntFlag{Name: "turns", Value: 4, Usage: "completions on each context"},
		&cli.IntFlag{Name: "context-tokens", Value: 8000},
		&cli.IntFlag{Name: "turn-tokens", Value: 64},
		&cli.IntFlag{Name: "max-tokens", Value: 32},
		&cli.DurationFlag{Name: "gap", Value: time.Second, Usage: "mean time between turns of a context"},
		&cli.StringFlag{Name: "service", Usage: "plain service to call"},
		&cli.IntFlag{Name: "calls", Usage: "service calls of each organisation"},
		&cli.IntFlag{Name: "callers", Value: 2, Usage: "callers that share an organisation's calls"},
		&cli.DurationFlag{Name: "call-gap", Value: 200 * time.Millisecond},
		&cli.IntFlag{Name: "call-body", Value: 64, Usage: "bytes"},
		&cli.DurationFlag{Name: "patience", Value: loadgen.DefaultRequestTimeout, Usage: "until an unanswered request counts as lost"},
		&cli.DurationFlag{Name: "silent-after", Value: loadgen.DefaultIdleTimeout, Usage: "longest time without a byte"},
		&cli.DurationFlag{Name: "max-backoff", Usage: "longest wait before a retry; 0: as the answer says"},
		&cli.IntFlag{Name: "mark-after", Usage: "write the mark file once so many requests are settled"},
		&cli.StringFlag{Name: "mark-file", Usage: "file that tells a script how far the run is"},
		&cli.StringFlag{Name: "endings-file", Usage: "file that gets a line a request: unix_ms took_ms tries outcome"},
		&cli.StringFlag{Name: "log-level", Value: "warn"},
	}
}

func run(c *cli.Context) error {
	orgs, err := parseOrgs(c.StringSlice("org"))
	if err != nil {
		return err
	}
	endings, err := newEndings(c.String("endings-file"))
	if err != nil {
		return err
	}
	defer endings.close()
	report, err := loadgen.Run(c.Context, loadgen.Config{
		Daemons:        c.StringSlice("daemon"),
		Services:       c.StringSlice("service-standin"),
		Orgs:           orgs,
		Model:          request.Model(c.String("model")),
		Seed:           c.Int64("seed"),
		RunID:          c.String("run-id"),
		Contexts:       c.Int("contexts"),
		Turns:          c.Int("turns"),
		ContextTokens:  c.Int("context-tokens"),
		TurnTokens:     c.Int("turn-tokens"),
		MaxTokens:      c.Int("max-tokens"),
		Gap:            c.Duration("gap"),
		Service:        c.String("service"),
		Calls:          c.Int("calls"),
		Callers:        c.Int("callers"),
		CallGap:        c.Duration("call-gap"),
		CallBody:       c.Int("call-body"),
		RequestTimeout: c.Duration("patience"),
		IdleTimeout:    c.Duration("silent-after"),
		MaxBackoff:     c.Duration("max-backoff"),
		Logger:         hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(c.String("log-level")), Output: os.Stderr}),
		OnSettled:      marker(c.Int("mark-after"), c.String("mark-file")),
		OnEnd:          endings.write,
	})
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if report.Failed() {
		return cli.Exit("a promise was broken", exitBroken)
	}
	return nil
}

func parseOrgs(texts []string) ([]loadgen.Org, error) {
	var orgs []loadgen.Org
	for _, text := range texts {
		id, key, ok := strings.Cut(text, "=")
		if !ok || id == "" || key == "" {
			return nil, errors.Newf("--org %q: want id=key", text)
		}
		orgs = append(orgs, loadgen.Org{ID: request.OrgID(id), Key: key})
	}
	return orgs, nil
}

// marker returns a function that writes the mark file at one count of requests.
func marker(after int, path string) func(int) {
	if path == "" {
		return nil
	}
	return func(settled int) {
		if settled != after {
			return
		}
		if err := os.WriteFile(path, fmt.Appendln(nil, settled), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, "loadgen: mark file:", err)
		}
	}
}
