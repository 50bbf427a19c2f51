package controlbench

import (
	"context"
	"fmt"
	"strconv"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// Load of the fleet measurement: about ten requests per second for each daemon.
const (
	contextsPerDaemon = 2 // for each of two organisations
	callersPerDaemon  = 1
)

// fleet measures idle and loaded daemons for several numbers of daemons.
func (b Bench) fleet(ctx context.Context) error {
	for _, n := range []int{2, 4, 8, 16} {
		if err := b.measureFleet(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) measureFleet(ctx context.Context, n int) error {
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
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	idle, err := c.observe(ctx, windowLength)
	if err != nil {
		return err
	}
	b.printRates(fmt.Sprintf("daemons_%d_idle", n), idle)
	load, err := c.startLoad(n)
	if err != nil {
		return err
	}
	defer load.stop()
	if err := sleep.For(ctx, settleTime/2); err != nil {
		return err
	}
	loaded, err := c.observe(ctx, windowLength)
	if err != nil {
		return err
	}
	b.printRates(fmt.Sprintf("daemons_%d_load", n), loaded)
	return nil
}

// startLoad starts callers of the model and of a plain service. They run until the
// returned process is stopped.
func (c *cluster) startLoad(daemons int) (*process, error) {
	args := []string{
		"--org", "fonografos=other-key",
		"--service", benchService, "--calls", "1000000", "--callers", strconv.Itoa(callersPerDaemon * daemons), "--call-gap", "500ms",
	}
	for _, s := range c.services {
		args = append(args, "--service-standin", s.addresses[0])
	}
	return c.startPromptLoad(daemons, args...)
}

// startPromptLoad starts callers of the model and adds args to the flags of loadgen.
func (c *cluster) startPromptLoad(daemons int, args ...string) (*process, error) {
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
