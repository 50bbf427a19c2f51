// Command standin runs a stand-in for one platform component, for tests and demos. Each
// stand-in serves its fault switches at /fault.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
)

func main() {
	app := &cli.App{
		Name:  "standin",
		Usage: "run a stand-in for a platform component",
		Commands: []*cli.Command{
			engineCommand(),
			serviceCommand(),
			storeCommand(),
			vmlistCommand(),
			kvCommand(),
			askCommand(),
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// commonFlags returns the flags of every stand-in, followed by its own flags.
func commonFlags(own ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.StringFlag{Name: "addr-file", Usage: "file to write the actual address to"},
		&cli.Int64Flag{Name: "seed", Value: 1, Usage: "seed of the fault switches"},
	}, own...)
}

func newSwitches(c *cli.Context) *fault.Switches {
	return fault.New(fault.Options{Seed: c.Int64("seed")})
}

// serve runs a handler until the process is interrupted or the server stops.
func serve(c *cli.Context, switches *fault.Switches, handler http.Handler) error {
	server, err := fault.Serve(c.String("listen"), switches, handler)
	if err != nil {
		return err
	}
	defer server.Close()
	if err := announce(c, server.Address()); err != nil {
		return err
	}
	select {
	case <-c.Context.Done():
	case <-server.Done():
	}
	return nil
}

// announce writes the actual address to standard output and to the address file.
func announce(c *cli.Context, address string) error {
	fmt.Println(address)
	return writeAddress(c.String("addr-file"), address)
}

// writeAddress writes an address to a file, unless path is empty. It writes a temporary
// file and renames it, so that a reader that waits for the file never reads a partial
// address.
func writeAddress(path, address string) error {
	if path == "" {
		return nil
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), ".addr-*")
	if err != nil {
		return errors.Wrap(err, "address file")
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.WriteString(address + "\n")
	err = errors.CombineErrors(err, temporary.Close())
	if err != nil {
		return errors.Wrap(err, "address file")
	}
	return errors.Wrap(os.Rename(temporary.Name(), path), "address file")
}
