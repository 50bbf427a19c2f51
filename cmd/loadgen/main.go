// Command loadgen sends load to daemons and checks their responses. It prints name=value
// lines. Its exit status is 1 if a guarantee was violated and 2 if the run failed.
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
	exitViolation = 1
	exitError     = 2
)

func main() {
	app := &cli.App{
		Name:   "loadgen",
		Usage:  "send load to daemons and check their responses",
		Flags:  flags(),
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(exitError)
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "daemon", Required: true, Usage: "ip:port of a daemon; may be repeated"},
		&cli.StringSliceFlag{Name: "service-standin", Usage: "ip:port of a plain service stand-in; may be repeated"},
		&cli.StringSliceFlag{Name: "org", Required: true, Usage: "organisation as id=bearer key; may be repeated"},
		&cli.StringFlag{Name: "model"},
		&cli.Int64Flag{Name: "seed", Value: 1},
		&cli.StringFlag{Name: "run-id", Usage: "part of contexts and idempotency keys; default: the start time"},
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
		&cli.DurationFlag{Name: "patience", Value: loadgen.DefaultRequestTimeout, Usage: "limit for a request with all its attempts"},
		&cli.DurationFlag{Name: "silent-after", Value: loadgen.DefaultIdleTimeout, Usage: "an attempt fails after this time without a byte"},
		&cli.DurationFlag{Name: "max-backoff", Usage: "upper bound of the wait before a retry; 0: none"},
		&cli.IntFlag{Name: "mark-after", Usage: "number of ended requests at which the mark file is written"},
		&cli.StringFlag{Name: "mark-file", Usage: "file that is written when mark-after requests have ended"},
		&cli.StringFlag{Name: "endings-file", Usage: "file that receives a line for each request: unix_ms took_ms tries outcome"},
		&cli.StringFlag{Name: "log-level", Value: "warn"},
	}
}

func run(c *cli.Context) error {
	orgs, err := parseOrgs(c.StringSlice("org"))
	if err != nil {
		return err
	}
	endings, err := newEndingsFile(c.String("endings-file"))
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
		OnSettled:      newMarkWriter(c.Int("mark-after"), c.String("mark-file")),
		OnEnd:          endings.write,
	})
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if report.Failed() {
		return cli.Exit("a guarantee was violated", exitViolation)
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

// newMarkWriter returns a function that writes the mark file when the number of ended
// requests equals after.
func newMarkWriter(after int, path string) func(int) {
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
