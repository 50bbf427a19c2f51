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

// Config is one run's fleet and policy.
type Config struct {
	Seed          int64
	Targets       int
	Stores        int
	PrefillRate   float64 // tokens a second of one target
	BytesPerToken int64
	TargetBlocks  int           // accelerator memory of one target
	LinkSpeed     float64       // bytes of all links, relative to what the returns ask for
	DiskSpeed     float64       // a disk's rate relative to its link's
	StoreMemory   float64       // share of all context bytes that fits into the stores' memory
	StoreDisk     float64       // share of all context bytes that fits on the stores' disks
	SlowFrom      time.Duration // from here on the first store's link is slower by SlowFactor
	SlowUntil     time.Duration
	SlowFactor    float64
	EventLag      time.Duration
	EventLoss     float64
	MeasureFrom   time.Duration
	Placement     placement.Params
	Retention     retention.Params
	Disabled      Disabled
}

// Disabled switches decisions off, to show what each gives.
type Disabled struct {
	Restore        bool // the naive twin: the least loaded target, no store
	Demotion       bool // a full memory frees instead
	Promotion      bool
	Prefetch       bool
	Budget         bool // background transfers join the link's queue whole, at once
	ReturnTime     bool // evict by last use instead of expected return
	ImportDeadline bool // wait for an import however long it takes
	Events         bool // ignore cache events
	// Overdue learns a link's rate only from transfers that ended.
	Overdue bool
}

// Result is what the callers of returning contexts saw.
type Result struct {
	TTFT                []time.Duration // in order of arrival
	EarlierTokens       int64           // tokens of earlier prompts
	Recomputed          int64           // of these
	LinkBytes           int64           // carried by all links while measured
	LinkCapacity        float64         // bytes that the links could carry while measured
	BackgroundBytes     [2]int64        // bytes prefetched and exported while measured
	Unanswered          int             // returns without an answer at the end of the run
	TimedOutImports     int
	PlanKinds           [4]int // plans by placement.Kind
	ResidenceMismatches int    // answers with fewer cached blocks than remembered
}

// RecomputedShare returns the share of earlier tokens that was computed again.
func (r *Result) RecomputedShare() float64 { return float64(r.Recomputed) / float64(r.EarlierTokens) }

// sim is one run.
type sim struct {
	clock     clock
	config    Config
	random    *rand.Rand
	engines   []*engine
	byTarget  map[request.TargetID]*engine
	stores    []*storeVM
	byStore   map[request.StoreID]*storeVM
	dir       *contextdir.Directory
	links     *placement.Links
	costs     *placement.PrefillRates
	residence map[request.TargetID]*retention.Residence
	names     int
	owners    map[string]*contextTrace    // by manifest
	fetched   map[*contextTrace]time.Time // last use before the latest prefetch
	exporting map[*contextTrace]bool
	kept      []contextdir.StoredContext // reused by tend
	result    Result
}

// Run plays a trace.
func Run(c Config, t *Trace) Result {
	s := newSim(c, t)
	for _, v := range t.visits {
		s.clock.at(v.at, func() { s.arrive(v) })
	}
	if !c.Disabled.Restore {
		s.clock.at(0, s.tend)
	}
	if c.SlowUntil > 0 {
		s.clock.at(c.SlowFrom, func() { s.stores[0].link.rate /= c.SlowFactor })
		s.clock.at(c.SlowUntil, func() { s.stores[0].link.rate *= c.SlowFactor })
	}
	s.clock.run(c.MeasureFrom)
	before := s.carried()
	s.clock.run(t.load.Until)
	s.result.LinkBytes = s.carried() - before
	for _, st := range s.stores {
		s.result.LinkCapacity += st.link.rate * (t.load.Until - c.MeasureFrom).Seconds()
	}
	s.clock.run(t.load.Until + time.Minute) // let those in flight finish
	s.result.Unanswered = t.returns(c.MeasureFrom) - len(s.result.TTFT)
	return s.result
}

func newSim(c Config, t *Trace) *sim {
	s := &sim{
		config:    c,
		random:    rand.New(rand.NewSource(c.Seed)),
		byTarget:  map[request.TargetID]*engine{},
		byStore:   map[request.StoreID]*storeVM{},
		dir:       contextdir.New(contextdir.Params{}),
		links:     placement.NewLinks(),
		costs:     placement.NewPrefillRates(c.PrefillRate),
		residence: map[request.TargetID]*retention.Residence{},
		owners:    map[string]*contextTrace{},
		fetched:   map[*contextTrace]time.Time{},
		exporting: map[*contextTrace]bool{},
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
	rate := c.LinkSpeed * t.askedPerSecond(c.MeasureFrom) * float64(c.BytesPerToken) / float64(c.Stores)
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
		e.lastEvent = func(event engineapi.CacheEvent) { s.publish(e, event) }
	}
}

func (s *sim) addStore(id request.StoreID, rate, shareBytes float64) {
	st := &storeVM{
		id:     id,
		link:   channel{clock: &s.clock, rate: rate},
		disk:   channel{clock: &s.clock, rate: rate * s.config.DiskSpeed},
		budget: retention.NewBudget(s.config.Retention, rate),
	}
	st.room = retention.StoreUsage{
		Store:       id,
		MemoryTotal: int64(s.config.StoreMemory * shareBytes),
		DiskTotal:   int64(s.config.StoreDisk * shareBytes),
	}
	if s.config.Disabled.Demotion {
		st.room.DiskTotal = 0
	}
	s.links.Configure(id, rate)
	s.stores = append(s.stores, st)
	s.byStore[id] = st
}

// publish delivers a cache event late, or loses it.
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

func (s *sim) carried() int64 {
	var sum int64
	for _, st := range s.stores {
		sum += st.link.carried
	}
	return sum
}

func (s *sim) blockBytes() int64 { return s.config.BytesPerToken * block.TokensPerBlock }
