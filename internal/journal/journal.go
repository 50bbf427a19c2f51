package journal

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/kvapi"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// MaxBody is the largest result body that is kept, in bytes. The repeat of a call
// with a larger one is told ErrResultNotKept.
const MaxBody = 8 << 10

const (
	defaultPartitions = 16
	defaultKeep       = 24 * time.Hour

	// commitInterval is the mean time between two writes of a busy partition: it bounds
	// the write rate. After a quiet time commitBurst writes may follow at once.
	commitInterval = 100 * time.Millisecond
	commitBurst    = 4
	retryInterval  = 250 * time.Millisecond // after a failed step
	idleInterval   = time.Second            // looks at the lease and old keys
	stepTimeout    = 5 * time.Second
	scanInterval   = 2 * time.Second
	clockSkew      = 10 * time.Minute

	// A head is sent whole with every write, so results leave it early.
	sealBytes   = 32 << 10
	headBytes   = 640 << 10
	pageBytes   = 512 << 10
	maxPages    = 16
	maxOutcomes = 10_000

	leasePrefix = "journal/"
	configKey   = "journal/config"
)

// A head is at most its entries, up to one result above the bound, and page names.
var _ [kvapi.MaxValue - headBytes - MaxBody - maxPages*64 - platform.EnvelopeOverhead]struct{}

// Options of New.
type Options struct {
	KV         platform.KV
	Leases     *lease.Manager
	Self       request.DaemonID
	Address    string        // peer address of this daemon
	Partitions int           // the same for all daemons, for good; zero: 16
	Retention  time.Duration // for which a key is known after its result, or its try if in doubt; zero: 24 h
	Standby    Standby       // zero: this daemon always takes part
	Logger     hclog.Logger
	Metrics    tally.Scope
	Now        func() time.Time // nil: time.Now
}

// Holder is the daemon that holds a partition.
type Holder struct {
	ID      request.DaemonID
	Address string // peer address
	Epoch   uint64
}

// Journal holds the partitions that fall to this daemon. It is safe for concurrent use.
type Journal struct {
	opts    Options
	limits  limits
	logger  hclog.Logger
	metrics tally.Scope
	workers []*worker

	scanning sync.Mutex // serialises scans

	mu        sync.Mutex
	preferred func(partition int) bool
	holders   map[string]lease.Holder // by lease name, as of scanned
	scanned   time.Time
	failed    time.Time // when a scan last failed
	checked   bool      // the number of partitions is that of the service
	stopping  bool
}

// New returns a journal that holds nothing until Run.
func New(opts Options) *Journal {
	if opts.Partitions <= 0 {
		opts.Partitions = defaultPartitions
	}
	if opts.Retention <= 0 {
		opts.Retention = defaultKeep
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	j := &Journal{
		opts:      opts,
		limits:    defaultLimits(opts.Retention),
		logger:    opts.Logger.Named("journal"),
		metrics:   opts.Metrics.SubScope("journal"),
		preferred: func(int) bool { return true },
		holders:   map[string]lease.Holder{},
	}
	for i := range opts.Partitions {
		j.workers = append(j.workers, newWorker(j, i))
	}
	return j
}

func defaultLimits(keep time.Duration) limits {
	return limits{
		keep:     keep,
		head:     headBytes,
		seal:     sealBytes,
		page:     pageBytes,
		pages:    maxPages,
		maxBody:  MaxBody,
		skew:     clockSkew,
		outcomes: maxOutcomes,
	}
}

// Partition returns the partition of a key.
func (j *Journal) Partition(org request.OrgID, key string) int {
	return int(xxhash.Sum64String(string(org)+"\x00"+key) % uint64(j.opts.Partitions))
}

// SetPreferred tells which partitions this daemon should hold. It is a soft place:
// two daemons that disagree cost a change of holder, nothing else.
func (j *Journal) SetPreferred(preferred func(partition int) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.preferred = preferred
}

// Run takes, keeps and yields partitions until ctx ends. The lease manager's Run must
// go on beside it.
func (j *Journal) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, w := range j.workers {
		wg.Go(func() { w.run(ctx) })
	}
	defer wg.Wait()
	for {
		err := j.timedScan(ctx)
		if errors.Is(err, ErrPartitionCount) {
			j.logger.Error("Journal not run", "error", err)
			<-ctx.Done()
			return err
		}
		if sleep.For(ctx, scanInterval) != nil {
			return nil
		}
	}
}

func (j *Journal) timedScan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return j.Scan(ctx)
}

// Step does one round of the work of each partition. Run does it all the time;
// drivers of virtual time call it themselves.
func (j *Journal) Step(ctx context.Context) {
	for _, w := range j.workers {
		w.step(ctx)
	}
}

// Shutdown writes what waits to be written and releases the partitions, so that
// others take them at once. New keys are refused from now on. It waits for tickets to
// be concluded until ctx ends; close the lease manager after it.
func (j *Journal) Shutdown(ctx context.Context) error {
	j.mu.Lock()
	j.stopping = true
	j.mu.Unlock()
	j.scanning.Lock()
	defer j.scanning.Unlock()
	for _, w := range j.workers {
		w.flush(ctx)
		w.drop(ctx, "Partition released")
	}
	return ctx.Err()
}

// flush steps the partition until it is idle or ctx ends.
func (w *worker) flush(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		done := w.lease == nil || !w.core.loaded || w.core.idle()
		w.mu.Unlock()
		if done {
			return
		}
		w.step(ctx)
		_ = sleep.For(ctx, flushInterval) // the loop asks the context itself
	}
}

const flushInterval = 10 * time.Millisecond

func (j *Journal) isStopping() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stopping
}

func (j *Journal) countWrite(w *write, err error) {
	kind := "head"
	if w.page != nil {
		kind = "page"
	}
	j.metrics.Counter(kind + "_writes").Inc(1)
	j.metrics.Counter(kind + "_bytes").Inc(int64(len(w.value)))
	if err != nil {
		j.metrics.Counter(kind + "_failures").Inc(1)
	}
}

// checkPartitions makes the first daemon's number of partitions the one for good.
func (j *Journal) checkPartitions(ctx context.Context) error {
	want := strconv.Itoa(j.opts.Partitions)
	e, err := j.opts.KV.Get(ctx, configKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		_, err = j.opts.KV.CompareAndSwap(ctx, configKey, 0, []byte(want), "")
		return err
	case err != nil:
		return err
	case string(e.Value) != want:
		return errors.Wrapf(ErrPartitionCount, "the service has %s, the settings %s", e.Value, want)
	}
	return nil
}
