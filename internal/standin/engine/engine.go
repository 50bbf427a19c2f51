// Package engine is a stand-in for a model engine. It serves engineapi.
//
// It simulates the timing of a real engine without a model: continuous batching, chunked
// prefill, priorities, a prefix cache in limited memory, resume and cancel, KV export and
// import, delayed cache events with gaps, a delayed load report, and orders. Its output
// is a function of the prompt alone (ExpectedText).
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
	"github.com/bluebellscale/bluebellscale/internal/standin/vmlist"
)

// Nominal speeds and times. Options.TimeScale converts nominal to real time.
const (
	// PrefillTokensPerSec is the nominal speed of prefill.
	PrefillTokensPerSec = 8000
	// PrefillChunk is the maximum number of prompt tokens in one step.
	PrefillChunk = 2000
	// DecodeStep is the nominal duration of a step that produces one token for each running
	// request.
	DecodeStep = 30 * time.Millisecond

	defaultMaxRunning      = 16
	defaultMaxQueued       = 256
	defaultBlocks          = 4096
	defaultKVBytesPerToken = 128 << 10
	defaultEventLag        = 200 * time.Millisecond
	defaultLoadReportLag   = 500 * time.Millisecond
	defaultWeightLoadTime  = 20 * time.Second
	defaultStreamRetention = time.Minute
	defaultHeartbeat       = 500 * time.Millisecond
)

// WeightStore counts the replicas that load weights concurrently. *vmlist.List
// implements it.
type WeightStore interface {
	Report(vmlist.LoadReport) vmlist.LoadResponse
}

// Options configures New. Zero fields take defaults.
type Options struct {
	Name            string // replica name in reports to the weight store
	Incarnation     uint64 // 0: derived from the clock
	Model           request.Model
	Version         request.Version
	Role            string
	TimeScale       float64       // real seconds per nominal second
	MaxRunning      int           // maximum number of requests in the batch
	MaxQueued       int           // maximum number of requests waiting for the batch
	TotalBlocks     int           // capacity of the prefix cache
	KVBytesPerToken int64         // bytes of KV cache per token
	EventLag        time.Duration // delay of cache events
	LoadReportLag   time.Duration // interval at which the load report is renewed
	WeightLoadTime  time.Duration // duration of a weight load at full speed
	StreamRetention time.Duration // real time for which a finished stream stays readable
	Heartbeat       time.Duration // real time between comments on an idle stream
	ChecksEpoch     bool          // reject orders with an old epoch
	WeightStore     WeightStore   // nil: concurrent loads do not slow each other down
	Switches        *fault.Switches
}

func (o Options) withDefaults() Options {
	setDefault(&o.Incarnation, uint64(time.Now().UnixNano()))
	setDefault(&o.TimeScale, 1)
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.MaxQueued, defaultMaxQueued)
	setDefault(&o.TotalBlocks, defaultBlocks)
	setDefault(&o.KVBytesPerToken, defaultKVBytesPerToken)
	setDefault(&o.EventLag, defaultEventLag)
	setDefault(&o.LoadReportLag, defaultLoadReportLag)
	setDefault(&o.WeightLoadTime, defaultWeightLoadTime)
	setDefault(&o.StreamRetention, defaultStreamRetention)
	setDefault(&o.Heartbeat, defaultHeartbeat)
	if o.Switches == nil {
		o.Switches = fault.New(fault.Options{})
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats holds counters of an engine's work, for assertions in tests.
type Stats struct {
	Accepted             int   `json:"accepted"`
	AcceptedWhileLeaving int   `json:"accepted_while_leaving"`
	PrefilledTokens      int64 `json:"prefilled_tokens"`
	ReusedTokens         int64 `json:"reused_tokens"`
	ImportedBlocks       int64 `json:"imported_blocks"`
	ExportedBlocks       int64 `json:"exported_blocks"`
	ImportedBytes        int64 `json:"imported_bytes"`
	ExportedBytes        int64 `json:"exported_bytes"`
	OrdersApplied        int   `json:"orders_obeyed"`
	OrdersRefused        int   `json:"orders_refused"`
}

// Engine is one replica. Close stops its goroutines.
type Engine struct {
	opts     Options
	switches *fault.Switches
	client   *http.Client
	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
	wake     chan struct{}

	mu               sync.Mutex
	cache            *cache
	events           eventLog
	streams          map[request.ID]*stream
	queue            []*stream // by priority, then arrival
	running          []*stream // by priority, then arrival
	arrivals         uint64
	swappedFrames    map[request.ID]engineapi.Frame // by lending stream: the frame that it sends in exchange
	state            engineapi.State
	appliedOrders    map[string]struct{}
	load             engineapi.Load
	loadAt           time.Time
	cancelWeightLoad context.CancelFunc
	stats            Stats
}

// New starts a replica.
func New(o Options) *Engine {
	o = o.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		opts:             o,
		switches:         o.Switches,
		client:           newStoreClient(),
		ctx:              ctx,
		stop:             stop,
		wake:             make(chan struct{}, 1),
		cache:            newCache(o.TotalBlocks),
		streams:          make(map[request.ID]*stream),
		swappedFrames:    make(map[request.ID]engineapi.Frame),
		appliedOrders:    make(map[string]struct{}),
		cancelWeightLoad: func() {},
		state: engineapi.State{
			Incarnation: o.Incarnation,
			Model:       o.Model,
			Version:     o.Version,
			Role:        o.Role,
			ChecksEpoch: o.ChecksEpoch,
		},
	}
	e.events.lag = e.scaleTime(o.EventLag)
	e.updateLoadReport()
	e.work.Add(2)
	go e.runBatches()
	go e.refreshLoadReport()
	return e
}

// Start starts a replica and serves it on address. If o.Switches is nil, the replica gets
// switches whose Die stops both the server and the replica.
func Start(address string, o Options) (*Engine, *fault.Server, error) {
	ownSwitches := o.Switches == nil
	if ownSwitches {
		o.Switches = fault.New(fault.Options{Seed: int64(o.Incarnation)})
	}
	e := New(o)
	server, err := fault.Serve(address, o.Switches, e.Handler())
	if err != nil {
		e.Close()
		return nil, nil, err
	}
	if ownSwitches {
		o.Switches.SetDie(func() {
			e.stop()
			go server.Close()
		})
	}
	return e, server, nil
}

// Close stops the replica. Open streams end without a last frame.
func (e *Engine) Close() {
	e.stop()
	e.work.Wait()
	e.client.CloseIdleConnections()
}

// Switches returns the replica's fault switches.
func (e *Engine) Switches() *fault.Switches { return e.switches }

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// scaleTime converts a nominal duration to real time with the time scale and the slow
// factor.
func (e *Engine) scaleTime(nominal time.Duration) time.Duration {
	return e.switches.Scale(time.Duration(float64(nominal) * e.opts.TimeScale))
}

func (e *Engine) blockBytes() int64 { return e.opts.KVBytesPerToken * block.TokensPerBlock }

// sleep waits for d and reports whether ctx is still active.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	return sleep.For(ctx, d) == nil
}

func (e *Engine) notifyWork() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) publishEventLocked(kind engineapi.EventKind, blocks []block.Hash) {
	if len(blocks) == 0 && kind != engineapi.BlocksCleared {
		return
	}
	e.events.add(time.Now(), kind, blocks, e.switches.TakeSkippedEvent())
}

// insertLocked adds blocks to the cache, publishes the changes as cache events, and
// returns those of the blocks that are now cached.
func (e *Engine) insertLocked(hashes []block.Hash) []block.Hash {
	var removed, stored, cached []block.Hash
	for _, h := range hashes {
		known := e.cache.has(h)
		evicted, ok := e.cache.insert(h)
		removed = append(removed, evicted...)
		if !ok {
			continue
		}
		cached = append(cached, h)
		if !known {
			stored = append(stored, h)
		}
		// Hold the block until all are inserted, so that no block evicts another block of
		// its own chain.
		e.cache.acquire(h)
	}
	e.cache.release(cached)
	e.publishEventLocked(engineapi.BlocksRemoved, removed)
	e.publishEventLocked(engineapi.BlocksStored, stored)
	return cached
}
