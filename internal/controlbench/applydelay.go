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
	measuredEdits = 25
	// tablePollInterval is the interval at which the table revision of a daemon is polled.
	// It is the resolution of the measured delays.
	tablePollInterval = 5 * time.Millisecond
)

// applyDelay measures the time from the commit of a table change until every daemon has
// applied it.
func (b Bench) applyDelay(ctx context.Context) error {
	for _, n := range []int{3, 8} {
		if err := b.measureApplyDelay(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) measureApplyDelay(ctx context.Context, n int) error {
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
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range measuredEdits {
		took, err := c.timeEdit(ctx, benchOrg, i+100)
		if err != nil {
			return err
		}
		_ = times.RecordValue(took.Microseconds())
		if err := sleep.For(ctx, time.Duration(i%7)*100*time.Millisecond); err != nil {
			return err
		}
	}
	prefix := fmt.Sprintf("in_force_daemons_%d", n)
	b.printValue(prefix+"_edits", measuredEdits)
	b.printValue(prefix+"_p50_ms", float64(times.ValueAtQuantile(50))/1000)
	b.printValue(prefix+"_max_ms", float64(times.Max())/1000)
	return nil
}

// timeEdit changes one row and returns the time from the commit of the change until the
// last daemon has applied it.
func (c *cluster) timeEdit(ctx context.Context, org string, weight int) (time.Duration, error) {
	revision, err := c.setWeight(ctx, org, weight)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	failures := make([]error, len(c.daemons))
	var wg sync.WaitGroup
	for i, d := range c.daemons {
		wg.Go(func() { failures[i] = c.waitRevision(ctx, d, revision) })
	}
	wg.Wait()
	return time.Since(accepted), errors.Join(failures...)
}

// setWeight changes the weight of one organisation and returns the new revision of the
// page that holds its row.
func (c *cluster) setWeight(ctx context.Context, org string, weight int) (uint64, error) {
	result, err := c.editor.Set(ctx, table.SetRequest{
		Sheet: table.SheetOrganisations,
		ID:    org,
		Cells: []table.CellValue{{Column: "weight", Value: strconv.Itoa(weight)}},
	})
	return uint64(result.Revision), errors.Wrap(err, "edit")
}

func (c *cluster) waitRevision(ctx context.Context, d *process, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		var state table.State
		if err := c.getJSON(ctx, d.addresses[1]+table.StatePath, &state); err != nil {
			return err
		}
		if state.Revision >= revision {
			return nil
		}
		if err := sleep.For(ctx, tablePollInterval); err != nil {
			return errors.Wrapf(err, "%s has not applied revision %d", d.name, revision)
		}
	}
}
