// Command bluebellscaled runs the daemon of bluebellscale.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/config"
	"github.com/bluebellscale/bluebellscale/internal/daemon"
	"github.com/bluebellscale/bluebellscale/internal/logging"
	"github.com/bluebellscale/bluebellscale/internal/version"
	"github.com/bluebellscale/bluebellscale/platform"
)

func main() {
	app := &cli.App{
		Name:    "bluebellscaled",
		Usage:   "route prompts whose contexts return after long gaps",
		Version: version.String(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "INI file with the settings"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.StringFlag{Name: "addr-file", Usage: "write the addresses for callers and peers to this file; use it with ports chosen by the system"},
		},
		Action: run,
		Commands: []*cli.Command{{
			Name:   "platform",
			Usage:  "serve on the users' platform with the settings that the platform provides",
			Action: runOnPlatform,
		}},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bluebellscaled:", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	if c.String("config") == "" {
		return cli.Exit("bluebellscaled: --config is required", 2)
	}
	settings, err := config.Load(c.String("config"))
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Println("The settings are valid.")
		return nil
	}
	debug.SetMemoryLimit(daemon.SoftMemoryLimit(settings.Daemon))
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

// runOnPlatform serves until SIGTERM or SIGINT. It logs to standard output, from which the
// platform collects the logs.
func runOnPlatform(c *cli.Context) error {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	log := logging.New(logging.Options{Name: "bluebellscaled", Level: hclog.Info, Output: os.Stdout})
	defer log.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	d, err := platform.NewDaemon(settings, log)
	if err != nil {
		return err
	}
	go reloadOnSignal(reload, d)
	return d.Run(ctx)
}

// reloadOnSignal reloads the settings at each signal.
func reloadOnSignal(signals <-chan os.Signal, d *platform.Daemon) {
	for range signals {
		d.Reload(os.Getenv(platform.SettingsVariable))
	}
}

func newLogger(l config.Log) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       "bluebellscaled",
		Level:      hclog.LevelFromString(l.Level),
		JSONFormat: l.JSON,
		Output:     os.Stderr,
	})
}
