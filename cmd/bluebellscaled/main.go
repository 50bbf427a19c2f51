// Bluebellscaled is the daemon of bluebellscale.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/config"
	"github.com/bluebellscale/bluebellscale/internal/daemon"
	"github.com/bluebellscale/bluebellscale/internal/version"
)

func main() {
	app := &cli.App{
		Name:    "bluebellscaled",
		Usage:   "serve prompts that return after long gaps",
		Version: version.String(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings in INI", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.StringFlag{Name: "addr-file", Usage: "write the addresses for callers and peers to this file, for ports given by the system"},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bluebellscaled:", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	settings, err := config.Load(c.String("config"))
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Println("The settings are valid.")
		return nil
	}
	d, err := daemon.New(settings, newLogger(settings.Log))
	if err != nil {
		return err
	}
	if path := c.String("addr-file"); path != "" {
		if err := d.WriteAddresses(path); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Run(ctx)
}

func newLogger(l config.Log) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "bluebellscaled",
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.JSON,
		Output:     os.Stderr,
	})
}
