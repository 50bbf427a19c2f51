package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// Exit codes of Run.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Deps holds the dependencies that the process provides.
type Deps struct {
	NewKV       func(addresses []string) platform.KV // returns a client of the key-value service
	CheckConfig func(path string) error              // validates a daemon's settings file
	Client      *http.Client                         // for daemons' debug endpoints
	Operator    string                               // name recorded in histories of rows
	Version     string
	Stdin       io.Reader // logs, if a command is given no files
	Stdout      io.Writer
	Stderr      io.Writer
}

// usageError reports invalid arguments or flags.
type usageError struct{ reason string }

// Error implements the error interface.
func (e *usageError) Error() string { return e.reason }

func usagef(format string, args ...any) error {
	return &usageError{reason: fmt.Sprintf(format, args...)}
}

// Run runs the tool with the process's arguments and returns the exit code.
func Run(ctx context.Context, args []string, deps Deps) int {
	err := App(deps).RunContext(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(deps.Stderr, "bluebellctl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return ExitConflict
	}
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailure
}

// tool holds the state that commands share.
type tool struct {
	deps Deps
}

// App returns the command-line application.
func App(deps Deps) *cli.App {
	t := &tool{deps: deps}
	app := &cli.App{
		Name:      "bluebellctl",
		Usage:     "edit the operators' table and inspect daemons",
		Writer:    deps.Stdout,
		ErrWriter: deps.Stderr,
		Version:   deps.Version,
		Description: "Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another operator.\n\n" +
			"Examples:\n" +
			"  bluebellctl table plan --kv 10.0.0.5:7400 rows/\n" +
			"  bluebellctl table set --kv 10.0.0.5:7400 organisations acme weight=20\n" +
			"  bluebellctl members 10.0.0.11:9001",
		HideVersion:    true,
		ExitErrHandler: func(*cli.Context, error) {}, // Run chooses the exit code
		OnUsageError:   onUsageError,
		Action:         unknownCommand,
		Commands: []*cli.Command{
			t.tableCommand(),
			t.checkCommand(),
			t.debugCommand("state", "/debug/state", "print a daemon's complete state"),
			t.debugCommand("members", membersPath, "list the members that a daemon knows"),
			t.debugCommand("targets", "/debug/targets", "list the targets with their state as seen by a daemon"),
			t.debugCommand("contexts", "/debug/contexts", "list the contexts that a daemon knows"),
			t.debugCommand("waiting", "/debug/waiting", "list the requests that wait for room at the replicas, by service, priority and organisation"),
			t.drainCommand(),
			t.explainCommand(),
			t.lossesCommand(),
			t.versionCommand(),
		},
	}
	setUsageErrors(app.Commands)
	return app
}

// setUsageErrors makes every command report invalid flags as a usageError.
func setUsageErrors(commands []*cli.Command) {
	for _, c := range commands {
		c.OnUsageError = onUsageError
		if c.Action == nil {
			c.Action = unknownCommand
		}
		setUsageErrors(c.Subcommands)
	}
}

func onUsageError(_ *cli.Context, err error, _ bool) error { return usagef("%s", err) }

func unknownCommand(c *cli.Context) error {
	if c.Args().Present() {
		return usagef("unknown command %q; see %s --help", c.Args().First(), c.App.Name)
	}
	return cli.ShowSubcommandHelp(c)
}

// Names of flags.
const (
	flagKV        = "kv"
	flagOutput    = "output"
	flagTimeout   = "timeout"
	flagRevision  = "revision"
	flagMaxRemove = "max-remove"
	flagOnly      = "only"
	flagWho       = "who"
)

const (
	defaultTimeout   = 30 * time.Second
	defaultMaxRemove = 10
)

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "output format: json or table"}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time limit of the command"}
}

// checkOutput is the JSON output of the check command.
type checkOutput struct {
	File  string `json:"file"`
	Valid bool   `json:"valid"`
}

// versionOutput is the JSON output of the version command.
type versionOutput struct {
	Version string `json:"version"`
}

func (t *tool) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a daemon's settings file", ArgsUsage: "FILE",
		Description: "Lists all invalid settings and exits with code 1 if there are any.\n\n" +
			"Example:\n  bluebellctl check /etc/bluebellscale.ini",
		Flags: []cli.Flag{outputFlag()},
		Action: func(c *cli.Context) error {
			path, err := oneArg(c, "FILE")
			if err != nil {
				return err
			}
			if err := t.deps.CheckConfig(path); err != nil {
				return err
			}
			return t.printLine(c, checkOutput{File: path, Valid: true}, path+": valid")
		},
	}
}

func (t *tool) versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the tool's version",
		Description: "Example:\n  bluebellctl version -o json",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(c *cli.Context) error {
			return t.printLine(c, versionOutput{Version: t.deps.Version}, t.deps.Version)
		},
	}
}

func oneArg(c *cli.Context, name string) (string, error) {
	if c.NArg() != 1 {
		return "", usagef("%s: want one argument, %s; flags must precede it", c.Command.FullName(), name)
	}
	return c.Args().First(), nil
}

// withTimeout returns a context that ends after the command's --timeout.
func withTimeout(c *cli.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Context, c.Duration(flagTimeout))
}
