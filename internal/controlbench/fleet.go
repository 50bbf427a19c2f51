package controlbench

import (
	"context"
	"fmt"
	"strconv"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// Load of the fleet part: about ten requests a second for each daemon.
const (
	contextsPerDaemon = 2 // of each of two organisations
	callersPerDaemon  = 1
)

// fleet measures daemons without work and under load, at several numbers of them.
func (b Bench) fleet(ctx context.Context) error {
	for _, n := range []int{2, 4, 8, 16} {
		if err := b.fleetOf(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) fleetOf(ctx context.Context, n int) error {
	c, err := newCluster(ctx, b.BinDir)
	if err != nil {
		return err
	}
	defer c.close()
	targets, err := c.startTargets(ctx, 3, 2)
	if err != nil {
		return err
	}
	rows := organisationRow(benchOrg, benchKey, benchService) + organisationRow("fonografos", "other-key", benchService)
	if err := c.apply(ctx, sheets{organisations: rows, targets: targets}); err != nil {
		return err
	}
	if err := c.startDaemons(ctx, n); err != nil {
		return err
	}
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	idle, err := c.observe(ctx, window)
	if err != nil {
		return err
	}
	b.lines(fmt.Sprintf("daemons_%d_idle", n), idle)
	load, err := c.startLoad(n)
	if err != nil {
		return err
	}
	defer load.stop()
	if err := sleep.For(ctx, settle/2); err != nil {
		return err
	}
	busy, err := c.observe(ctx, window)
	if err != nil {
		return err
	}
	b.lines(fmt.Sprintf("daemons_%d_load", n), busy)
	return nil
}

// startLoad starts callers of prompts and of a plain service that go on until they are
// stopped.
func (c *cluster) startLoad(daemons int) (*process, error) {
	args := []string{
		"--org", "fonografos=other-key",
		"--service", benchService, "--calls", "1000000", "--callers", strconv.Itoa(callersPerDaemon * daemons), "--call-gap", "500ms",
	}
	for _, s := range c.services {
		args = append(args, "--service-standin", s.addresses[0])
	}
	return c.startPrompts(daemons, args...)
}

// startPrompts starts callers of prompts; args are added to their flags.
func (c *cluster) startPrompts(daemons int, args ...string) (*process, error) {
	args = append(args,
		"--org", benchOrg+"="+benchKey, "--model", benchModel,
		"--contexts", strconv.Itoa(contextsPerDaemon*daemons), "--turns", "100000",
		"--context-tokens", "2000", "--gap", "500ms",
	)
	for _, d := range c.daemons {
		args = append(args, "--daemon", d.addresses[0])
	}
	return c.launch("loadgen", "loadgen", args...)
}
