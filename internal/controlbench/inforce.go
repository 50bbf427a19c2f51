package controlbench

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	editsMeasured = 25
	// tablePoll is how often a daemon is asked for its table; times are that coarse.
	tablePoll = 5 * time.Millisecond
)

// inForce measures the time from the acceptance of a change of the table until each
// daemon has it in force.
func (b Bench) inForce(ctx context.Context) error {
	for _, n := range []int{3, 8} {
		if err := b.inForceOf(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) inForceOf(ctx context.Context, n int) error {
	c, err := newCluster(ctx, b.BinDir)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.apply(ctx, sheets{organisations: organisationRow(benchOrg, benchKey, "")}); err != nil {
		return err
	}
	if err := c.startDaemons(ctx, n); err != nil {
		return err
	}
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range editsMeasured {
		took, err := c.editInForce(ctx, benchOrg, i+100)
		if err != nil {
			return err
		}
		_ = times.RecordValue(took.Microseconds())
		if err := sleep.For(ctx, time.Duration(i%7)*100*time.Millisecond); err != nil {
			return err
		}
	}
	prefix := fmt.Sprintf("in_force_daemons_%d", n)
	b.line(prefix+"_edits", editsMeasured)
	b.line(prefix+"_p50_ms", float64(times.ValueAtQuantile(50))/1000)
	b.line(prefix+"_max_ms", float64(times.Max())/1000)
	return nil
}

// editInForce changes one row and returns how long after its acceptance the last daemon
// had it in force.
func (c *cluster) editInForce(ctx context.Context, org string, weight int) (time.Duration, error) {
	revision, err := c.edit(ctx, org, weight)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	failures := make([]error, len(c.daemons))
	var all sync.WaitGroup
	for i, d := range c.daemons {
		all.Go(func() { failures[i] = c.waitRevision(ctx, d, revision) })
	}
	all.Wait()
	return time.Since(accepted), errors.Join(failures...)
}

// edit changes one row and returns the revision of its page.
func (c *cluster) edit(ctx context.Context, org string, weight int) (uint64, error) {
	result, err := c.editor.Set(ctx, table.SetRequest{
		Sheet: table.SheetOrganisations,
		ID:    org,
		Cells: []table.CellValue{{Column: "weight", Value: strconv.Itoa(weight)}},
	})
	return uint64(result.Revision), errors.Wrap(err, "edit")
}

func (c *cluster) waitRevision(ctx context.Context, d *process, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		var state table.State
		if err := c.get(ctx, d.addresses[1]+table.StatePath, &state); err != nil {
			return err
		}
		if state.Revision >= revision {
			return nil
		}
		if err := sleep.For(ctx, tablePoll); err != nil {
			return errors.Wrapf(err, "%s lacks revision %d", d.name, revision)
		}
	}
}
