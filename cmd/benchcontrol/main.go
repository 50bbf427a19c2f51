// Command benchcontrol measures what control costs and what relaying streams costs, with
// daemons and stand-ins as separate processes. It prints lines of name=value.
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
		Usage:     "measure what control costs",
		ArgsUsage: "[PART...] of fleet, inforce, targets, table, looks, relay; none: all",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the programs"},
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
	parts := c.Args().Slice()
	if len(parts) == 0 {
		parts = controlbench.Names()
	}
	bench := controlbench.Bench{BinDir: c.String("bin"), Out: os.Stdout}
	for _, part := range parts {
		if err := bench.Run(c.Context, part); err != nil {
			return err
		}
	}
	return nil
}
