package controlbench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// settleTime is how long a cluster runs after its start before it is measured, so
	// that leases, assignments and connections are stable.
	settleTime   = 5 * time.Second
	windowLength = 5 * time.Second
)

// Bench runs the measurements.
type Bench struct {
	BinDir string    // directory of the executables
	Out    io.Writer // receives the results
}

// Names returns the names of the measurements in the order in which they run.
func Names() []string { return []string{"fleet", "inforce", "targets", "table", "looks", "relay"} }

// Run runs one measurement.
func (b Bench) Run(ctx context.Context, measurement string) error {
	run, ok := map[string]func(context.Context) error{
		"fleet":   b.fleet,
		"inforce": b.applyDelay,
		"targets": b.targets,
		"table":   b.table,
		"looks":   b.targetViews,
		"relay":   b.relay,
	}[measurement]
	if !ok {
		return errors.Newf("unknown measurement %q; allowed: %v", measurement, Names())
	}
	return errors.Wrap(run(ctx), measurement)
}

func (b Bench) printValue(name string, value float64) { fmt.Fprintf(b.Out, "%s=%.4g\n", name, value) }

func (b Bench) printRates(prefix string, s rates) {
	b.printValue(prefix+"_kv_reads_s", s.reads)
	b.printValue(prefix+"_kv_writes_s", s.writes)
	b.printValue(prefix+"_kv_watches_s", s.watches)
	b.printValue(prefix+"_kv_bytes_s", s.kvBytes)
	b.printValue(prefix+"_cpu_pct_mean", s.cpuMean)
	b.printValue(prefix+"_cpu_pct_max", s.cpuMax)
	b.printValue(prefix+"_rss_mb_max", s.residentMax)
	b.printValue(prefix+"_peer_bytes_s", s.peerBytes)
	b.printValue(prefix+"_requests_s", s.requests)
}
