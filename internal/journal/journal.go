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

// MaxBody is the size of the largest result body that is kept, in bytes. The repeat of a
// call with a larger body returns ErrResultNotKept.
const MaxBody = 8 << 10

const (
	defaultPartitions = 16
	defaultRetention  = 24 * time.Hour

	// commitInterval is the mean time between two writes of a busy partition and bounds
	// the write rate. After an idle period, commitBurst writes may follow immediately.
	commitInterval = 100 * time.Millisecond
	commitBurst    = 4
	retryInterval  = 250 * time.Millisecond // after a failed step
	idleInterval   = time.Second            // checks the lease and expires keys
	stepTimeout    = 5 * time.Second
	scanInterval   = 2 * time.Second
	maxClockSkew   = 10 * time.Minute

	// Every write sends the complete head. Results therefore move to pages early.
	sealThreshold      = 32 << 10
	maxHeadBytes       = 640 << 10
	maxPageBytes       = 512 << 10
	maxPages           = 16
	maxUnsavedOutcomes = 10_000

	leasePrefix = "journal/"
	configKey   = "journal/config"
)

// The largest head, which may exceed maxHeadBytes by one result and also contains the
// page names, must fit into one value of the KV service.
var _ [kvapi.MaxValue - maxHeadBytes - MaxBody - maxPages*64 - platform.EnvelopeOverhead]struct{}

// Options configures New.
type Options struct {
	KV         platform.KV
	Leases     *lease.Manager
	Self       request.DaemonID
	Address    string        // peer address of this daemon
	Partitions int           // equal on all daemons and never changed; zero: 16
	Retention  time.Duration // of a key after its result, or after its attempt if in doubt; zero: 24 h
	Standby    Standby       // zero: this daemon is never on standby
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

// Journal manages the partitions that this daemon holds. It is safe for concurrent use.
type Journal struct {
	opts    Options
	limits  limits
	logger  hclog.Logger
	metrics tally.Scope
	workers []*worker

	scanMu sync.Mutex // serialises scans

	mu                sync.Mutex
	preferred         func(partition int) bool
	holders           map[string]lease.Holder // by lease name, as of lastScan
	lastScan          time.Time
	lastScanFailure   time.Time // time of the last failed scan
	partitionsChecked bool      // the number of partitions equals that of the KV service
	stopping          bool
}

// New returns a journal that holds no partitions until Run.
func New(opts Options) *Journal {
	if opts.Partitions <= 0 {
		opts.Partitions = defaultPartitions
	}
	if opts.Retention <= 0 {
		opts.Retention = defaultRetention
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
		retention:          keep,
		maxHeadBytes:       maxHeadBytes,
		sealThreshold:      sealThreshold,
		maxPageBytes:       maxPageBytes,
		maxPages:           maxPages,
		maxBody:            MaxBody,
		maxClockSkew:       maxClockSkew,
		maxUnsavedOutcomes: maxUnsavedOutcomes,
	}
}

// Partition returns the partition of a key.
func (j *Journal) Partition(org request.OrgID, key string) int {
	return int(xxhash.Sum64String(string(org)+"\x00"+key) % uint64(j.opts.Partitions))
}

// SetPreferred sets which partitions this daemon should hold. The preference does not
// affect safety: if two daemons disagree, a partition only changes its holder.
func (j *Journal) SetPreferred(preferred func(partition int) bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.preferred = preferred
}

// Run acquires, holds and yields partitions until ctx ends. The lease manager's Run must
// run at the same time.
func (j *Journal) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, w := range j.workers {
		wg.Go(func() { w.run(ctx) })
	}
	defer wg.Wait()
	for {
		err := j.scanWithTimeout(ctx)
		if errors.Is(err, ErrPartitionCount) {
			j.logger.Error("Journal disabled: partition count check failed", "error", err)
			<-ctx.Done()
			return err
		}
		if sleep.For(ctx, scanInterval) != nil {
			return nil
		}
	}
}

func (j *Journal) scanWithTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return j.Scan(ctx)
}

// Step runs one step of each partition. Run steps the partitions itself; drivers of
// virtual time call Step instead.
func (j *Journal) Step(ctx context.Context) {
	for _, w := range j.workers {
		w.step(ctx)
	}
}

// Shutdown refuses new keys, writes all pending entries and releases the partitions,
// which other daemons can then acquire immediately. It waits until all tickets are
// concluded or ctx ends. Close the lease manager after Shutdown.
func (j *Journal) Shutdown(ctx context.Context) error {
	j.mu.Lock()
	j.stopping = true
	j.mu.Unlock()
	j.scanMu.Lock()
	defer j.scanMu.Unlock()
	for _, w := range j.workers {
		w.stepUntilIdle(ctx)
		w.release(ctx, "Journal partition released")
	}
	return ctx.Err()
}

// stepUntilIdle steps the partition until it is idle or ctx ends.
func (w *worker) stepUntilIdle(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		done := w.lease == nil || !w.core.loaded || w.core.idle()
		w.mu.Unlock()
		if done {
			return
		}
		w.step(ctx)
		_ = sleep.For(ctx, flushInterval) // the loop condition checks ctx
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
	if w.seal != nil {
		kind = "page"
	}
	j.metrics.Counter(kind + "_writes").Inc(1)
	j.metrics.Counter(kind + "_bytes").Inc(int64(len(w.value)))
	if err != nil {
		j.metrics.Counter(kind + "_failures").Inc(1)
	}
}

// checkPartitionCount compares the number of partitions with the KV service. The first
// daemon stores its number, which is never changed afterwards.
func (j *Journal) checkPartitionCount(ctx context.Context) error {
	want := strconv.Itoa(j.opts.Partitions)
	e, err := j.opts.KV.Get(ctx, configKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		_, err = j.opts.KV.CompareAndSwap(ctx, configKey, 0, []byte(want), "")
		return err
	case err != nil:
		return err
	case string(e.Value) != want:
		return errors.Wrapf(ErrPartitionCount, "KV service has %s partitions, settings have %s", e.Value, want)
	}
	return nil
}
