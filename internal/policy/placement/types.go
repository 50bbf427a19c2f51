package placement

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Params are the weights and limits of a deployment.
type Params struct {
	// RecomputeWeight is the time to first token, in seconds, that one token not
	// recomputed is worth.
	RecomputeWeight float64
	// LinkWeight is the time to first token, in seconds, that one byte not carried is worth.
	LinkWeight float64
	// MaxImportSlowdown limits the time to first token of a plan with an import, as a multiple of
	// what the best target would need to prefill the whole prompt.
	MaxImportSlowdown float64
	// Overlap tells that targets prefill the tail while the head is being imported. The
	// profiles leave it off: the daemon sends the prompt when its import has ended.
	Overlap bool
	// PrefillChunkTokens is how many tokens targets prefill at a stretch.
	PrefillChunkTokens int
	// ImportLatency is the fixed cost of an import.
	ImportLatency time.Duration
	// SlotWait is the expected wait for one of a target's running requests to end,
	// for each request ahead, when the target runs as many as it can.
	SlotWait time.Duration
	// ContentionWait is what each request that a target runs already, or brings the blocks
	// for, adds to a new one's expected time: its steps are taken turn by turn.
	ContentionWait time.Duration
	// Restrictions switches ways off; the zero value allows all.
	Restrictions Restrictions
}

// Restrictions switches ways of placement off, for measurements and emergencies.
type Restrictions struct {
	NoReuse  bool // ignore blocks in accelerator memory
	NoImport bool // never import
	NoSplit  bool // import whole or not at all
	NoQueue  bool // ignore the link's queue
}

// Atlas returns the profile that puts time to first token first.
func Atlas() Params {
	return Params{
		RecomputeWeight:    2e-5,
		MaxImportSlowdown:  1,
		PrefillChunkTokens: 2000,
		ImportLatency:      5 * time.Millisecond,
		SlotWait:           100 * time.Millisecond,
		ContentionWait:     20 * time.Millisecond,
		Overlap:            true,
	}
}

// Fonografos returns the profile that puts the recomputed share first.
func Fonografos() Params {
	p := Atlas()
	p.RecomputeWeight = 1e-3
	p.MaxImportSlowdown = 1.15
	p.Overlap = false
	return p
}

// Request is the prompt to place.
type Request struct {
	Tokens        int   // of the whole prompt
	BytesPerToken int64 // of KV cache
	Version       request.Version
	Deadline      time.Duration // time left for the first token; zero: none
	// Spread, any number, decides between equal targets. Without it all daemons would
	// send to the first idle target of the list.
	TieBreak uint64
}

// Candidate is a target that could run the prompt.
type Candidate struct {
	ID                  request.TargetID
	FailureDomain       string
	Version             request.Version // loaded weight version
	QueuedPrefillTokens int             // waiting, plus granted since the load report
	Running             int
	Waiting             int
	MaxRunning          int  // zero: unlimited
	ResidentBlocks      int  // leading blocks of the prompt in accelerator memory
	Unconfirmed         bool // its blocks are not counted on
	Down                bool
	Leaving             bool
	PrefillRate         float64 // tokens a second, see Costs
}

// Copy is a store VM's copy of the prompt's leading blocks.
type Copy struct {
	Store  request.StoreID
	Blocks int
	Link   LinkState
	// TierBytesPerSec limits the rate of a copy on disk; zero: no limit besides the link.
	TierBytesPerSec float64
}

// LinkState is what a store VM's link can do for a waiting caller now.
type LinkState struct {
	BytesPerSec float64
	QueuedBytes int64 // ahead of a new import of a waiting caller
	Down        bool
}

// Kind is the way in which a context gets to its target.
type Kind int

const (
	// Prefill computes the whole prompt.
	Prefill Kind = iota
	// Reuse uses the blocks in place and prefills what follows them.
	Reuse
	// ImportWhole imports all that the copy has.
	ImportWhole
	// ImportHead imports a head and prefills the tail meanwhile.
	ImportHead
)

var kindNames = [...]string{"prefill", "reuse", "import-whole", "import-head"}

// String returns the name used in logs and dumps.
func (k Kind) String() string { return kindNames[k] }

// Option is one target with its best way.
type Option struct {
	Target       request.TargetID
	Kind         Kind
	ReuseBlocks  int             // leading blocks already there
	ImportBlocks int             // leading blocks to have after the import; zero: no import
	Store        request.StoreID // to import from
	PromptBlocks int             // whole blocks of the prompt
	Overlapped   bool            // the target computes while the import runs
	LinkBytes    int64           // bytes that the import carries
	Recomputed   int             // tokens to prefill
	Expected     time.Duration   // time to first token
	ImportTime   time.Duration   // expected end of the import
	Score        float64         // seconds, lower is better
}

// maxOptions is how many options a plan ranks.
const maxOptions = 4

// Plan is the choice for one prompt.
type Plan struct {
	Option
	Found bool // false: no candidate can run the prompt
	// ImportDeadline is when, from now, an unfinished import has lost its worth: the
	// daemon then gives it up and lets the target prefill.
	ImportDeadline     time.Duration
	PrefillChunkTokens int
	MissesDeadline     bool // Expected is beyond the request's deadline
	// Alternatives are the next best targets, for a retry elsewhere.
	Alternatives []Option
}
