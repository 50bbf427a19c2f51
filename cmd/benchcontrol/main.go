// Command benchcontrol measures the overhead of the control plane and of relaying streams.
// Daemons and stand-ins run as separate processes. It prints name=value lines.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/controlbench"
)

func main() {
	app := &cli.App{
		Name:      "benchcontrol",
		Usage:     "measure the overhead of the control plane",
		ArgsUsage: "[MEASUREMENT...] of fleet, inforce, targets, table, looks, relay; default: all",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the executables"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "benchcontrol:", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	names := c.Args().Slice()
	if len(names) == 0 {
		names = controlbench.Names()
	}
	bench := controlbench.Bench{BinDir: c.String("bin"), Out: os.Stdout}
	for _, name := range names {
		if err := bench.Run(c.Context, name); err != nil {
			return err
		}
	}
	return nil
}
