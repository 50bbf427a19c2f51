package policysim

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/contextdir"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Config configures the fleet and the policies of a run.
type Config struct {
	Seed          int64
	Targets       int
	Stores        int
	PrefillRate   float64 // tokens per second of one target
	BytesPerToken int64
	TargetBlocks  int           // accelerator memory of one target
	LinkSpeed     float64       // bandwidth of all store links, as a multiple of the bytes per second that importing all returning prompts needs
	DiskSpeed     float64       // rate of a disk, relative to that of its link
	StoreMemory   float64       // share of all context bytes that fits into the memory of the stores
	StoreDisk     float64       // share of all context bytes that fits on the disks of the stores
	SlowFrom      time.Duration // start of the period in which the first store's link is slower by SlowFactor
	SlowUntil     time.Duration
	SlowFactor    float64
	EventLag      time.Duration
	EventLoss     float64
	MeasureFrom   time.Duration
	Placement     placement.Params
	Retention     retention.Params
	Disabled      Disabled
}

// Disabled disables single decisions, to measure the effect of each.
type Disabled struct {
	Restore        bool // naive placement: use the least loaded target and no store
	Demotion       bool // free copies instead when memory is full
	Promotion      bool
	Prefetch       bool
	Budget         bool // send background transfers in one piece, without waiting for the budget
	ReturnTime     bool // evict by last use instead of expected return
	ImportDeadline bool // wait for imports without a deadline
	Events         bool // ignore cache events
	// Overdue ignores overdue transfers: the rate of a link is learned only from ended ones.
	Overdue bool
}

// Result holds the measurements of a run. Latencies and tokens are those of returning contexts.
type Result struct {
	TTFT                []time.Duration // in order of their answers
	EarlierTokens       int64           // tokens that the previous prompts of the contexts had
	Recomputed          int64           // tokens of EarlierTokens that were prefilled again
	LinkBytes           int64           // transferred by all links during the measurement
	LinkCapacity        float64         // bytes that all links could have transferred during the measurement
	BackgroundBytes     [2]int64        // bytes prefetched and exported during the measurement
	Unanswered          int             // returning prompts without an answer at the end of the run
	TimedOutImports     int
	PlanKinds           [4]int // number of plans, indexed by placement.Kind
	ResidenceMismatches int    // answers with fewer cached blocks than the directory assumed
}

// RecomputedShare returns the share of earlier tokens that were prefilled again.
func (r *Result) RecomputedShare() float64 { return float64(r.Recomputed) / float64(r.EarlierTokens) }

// sim is the state of a run.
type sim struct {
	clock             clock
	config            Config
	random            *rand.Rand
	engines           []*engine
	byTarget          map[request.TargetID]*engine
	stores            []*storeVM
	byStore           map[request.StoreID]*storeVM
	dir               *contextdir.Directory
	links             *placement.Links
	prefillRates      *placement.PrefillRates
	residence         map[request.TargetID]*retention.Residence
	manifestCount     int
	contextByManifest map[string]*contextTrace
	prefetchedAfter   map[*contextTrace]time.Time // last use of the context at its latest prefetch
	exporting         map[*contextTrace]bool
	storedContexts    []contextdir.StoredContext // buffer that maintainStores reuses
	result            Result
}

// Run simulates a trace.
func Run(c Config, t *Trace) Result {
	s := newSim(c, t)
	for _, v := range t.visits {
		s.clock.at(v.at, func() { s.arrive(v) })
	}
	if !c.Disabled.Restore {
		s.clock.at(0, s.maintainStores)
	}
	if c.SlowUntil > 0 {
		s.clock.at(c.SlowFrom, func() { s.stores[0].link.rate /= c.SlowFactor })
		s.clock.at(c.SlowUntil, func() { s.stores[0].link.rate *= c.SlowFactor })
	}
	s.clock.run(c.MeasureFrom)
	before := s.transferredBytes()
	s.clock.run(t.load.Until)
	s.result.LinkBytes = s.transferredBytes() - before
	for _, st := range s.stores {
		s.result.LinkCapacity += st.link.rate * (t.load.Until - c.MeasureFrom).Seconds()
	}
	s.clock.run(t.load.Until + time.Minute) // let calls in flight finish
	s.result.Unanswered = t.countReturns(c.MeasureFrom) - len(s.result.TTFT)
	return s.result
}

func newSim(c Config, t *Trace) *sim {
	s := &sim{
		config:            c,
		random:            rand.New(rand.NewSource(c.Seed)),
		byTarget:          map[request.TargetID]*engine{},
		byStore:           map[request.StoreID]*storeVM{},
		dir:               contextdir.New(contextdir.Params{}),
		links:             placement.NewLinks(),
		prefillRates:      placement.NewPrefillRates(c.PrefillRate),
		residence:         map[request.TargetID]*retention.Residence{},
		contextByManifest: map[string]*contextTrace{},
		prefetchedAfter:   map[*contextTrace]time.Time{},
		exporting:         map[*contextTrace]bool{},
	}
	for i := range c.Targets {
		s.addEngine(request.TargetID(fmt.Sprintf("t%02d", i)))
	}
	var allBytes float64
	for _, v := range t.visits {
		if v.before == 0 {
			allBytes += float64(v.blocks*block.TokensPerBlock) * float64(c.BytesPerToken)
		}
	}
	rate := c.LinkSpeed * t.returningTokensPerSecond(c.MeasureFrom) * float64(c.BytesPerToken) / float64(c.Stores)
	for i := range c.Stores {
		s.addStore(request.StoreID(fmt.Sprint("s", i)), rate, allBytes/float64(c.Stores))
	}
	return s
}

func (s *sim) addEngine(id request.TargetID) {
	e := newEngine(id, s.config.PrefillRate, s.config.TargetBlocks)
	s.engines = append(s.engines, e)
	s.byTarget[id] = e
	s.residence[id] = retention.NewResidence(s.config.TargetBlocks)
	if !s.config.Disabled.Events {
		e.onEvent = func(event engineapi.CacheEvent) { s.publish(e, event) }
	}
}

func (s *sim) addStore(id request.StoreID, rate, shareBytes float64) {
	st := &storeVM{
		id:     id,
		link:   channel{clock: &s.clock, rate: rate},
		disk:   channel{clock: &s.clock, rate: rate * s.config.DiskSpeed},
		budget: retention.NewBudget(s.config.Retention, rate),
	}
	st.usage = retention.StoreUsage{
		Store:       id,
		MemoryTotal: int64(s.config.StoreMemory * shareBytes),
		DiskTotal:   int64(s.config.StoreDisk * shareBytes),
	}
	if s.config.Disabled.Demotion {
		st.usage.DiskTotal = 0
	}
	s.links.Configure(id, rate)
	s.stores = append(s.stores, st)
	s.byStore[id] = st
}

// publish delivers a cache event after EventLag, or loses it with probability EventLoss.
func (s *sim) publish(e *engine, event engineapi.CacheEvent) {
	if s.random.Float64() < s.config.EventLoss {
		return
	}
	s.clock.after(s.config.EventLag, func() {
		page := engineapi.EventPage{Incarnation: 1, Events: []engineapi.CacheEvent{event}, Next: event.Seq}
		if len(s.dir.OnEvents(e.id, page)) > 0 {
			s.clock.after(s.config.EventLag, func() { s.dir.OnSnapshot(e.id, e.snapshot()) })
		}
	})
}

func (s *sim) transferredBytes() int64 {
	var sum int64
	for _, st := range s.stores {
		sum += st.link.transferred
	}
	return sum
}

func (s *sim) blockBytes() int64 { return s.config.BytesPerToken * block.TokensPerBlock }
