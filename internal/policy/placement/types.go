package placement

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Params holds the weights and limits of a deployment.
type Params struct {
	// RecomputeWeight is the cost of recomputing one token, in seconds of time to first
	// token.
	RecomputeWeight float64
	// LinkWeight is the cost of transferring one byte, in seconds of time to first token.
	LinkWeight float64
	// MaxImportSlowdown limits the time to first token of a plan with an import, as a
	// multiple of the time that the best target would need to prefill the whole prompt.
	MaxImportSlowdown float64
	// Overlap states that targets prefill the tail while the head is being imported. It
	// is off where the daemon sends the prompt only after its import has ended.
	Overlap bool
	// PrefillChunkTokens is the number of tokens that a target prefills in one step.
	PrefillChunkTokens int
	// ImportLatency is the fixed cost of an import.
	ImportLatency time.Duration
	// SlotWait is the expected wait for one running request to end. It applies once per
	// request ahead when the target runs its maximum number of requests.
	SlotWait time.Duration
	// ContentionWait is added to the expected time of a new request for each request that
	// the target already runs or imports blocks for, since the target interleaves their steps.
	ContentionWait time.Duration
	// Restrictions excludes options from placement; the zero value allows all.
	Restrictions Restrictions
}

// Restrictions excludes options from placement, for measurements and emergencies.
type Restrictions struct {
	NoReuse  bool // ignore blocks in accelerator memory
	NoImport bool // never import
	NoSplit  bool // import all copied blocks or none
	NoQueue  bool // ignore the link's queue
}

// Atlas returns the profile that prioritizes time to first token.
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

// Fonografos returns the profile that prioritizes a low share of recomputed tokens.
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
	Deadline      time.Duration // time left until the first token is due; zero: none
	// TieBreak is an arbitrary number that selects among targets with equal scores.
	// Without it, all daemons would choose the first idle target of the list.
	TieBreak uint64
}

// Candidate is a target that could run the prompt.
type Candidate struct {
	ID                  request.TargetID
	FailureDomain       string
	Version             request.Version // loaded weight version
	QueuedPrefillTokens int             // queued at the load report, plus granted since
	Running             int
	Waiting             int
	MaxRunning          int  // zero: unlimited
	ResidentBlocks      int  // leading blocks of the prompt in accelerator memory
	Unconfirmed         bool // ResidentBlocks may be outdated and is ignored
	Down                bool
	Leaving             bool
	PrefillRate         float64 // tokens per second, see PrefillRates
}

// Copy is a store VM's copy of the prompt's leading blocks.
type Copy struct {
	Store  request.StoreID
	Blocks int
	Link   LinkState
	// TierBytesPerSec limits the read rate of a copy on disk; zero: only the link limits it.
	TierBytesPerSec float64
}

// LinkState is the current state of a store VM's link, as seen by a new import that a
// caller waits for.
type LinkState struct {
	BytesPerSec float64
	QueuedBytes int64 // ahead of the new import
	Down        bool
}

// Kind is the method by which a target obtains the KV cache of a prompt.
type Kind int

const (
	// Prefill computes the whole prompt.
	Prefill Kind = iota
	// Reuse uses the resident blocks and prefills the rest.
	Reuse
	// ImportWhole imports all blocks that the copy shares with the prompt.
	ImportWhole
	// ImportHead imports leading blocks of the copy and prefills the rest.
	ImportHead
)

var kindNames = [...]string{"prefill", "reuse", "import-whole", "import-head"}

// String returns the name used in logs and dumps.
func (k Kind) String() string { return kindNames[k] }

// Option is one target with its best Kind of placement.
type Option struct {
	Target       request.TargetID
	Kind         Kind
	ReuseBlocks  int             // leading blocks already resident
	ImportBlocks int             // leading blocks resident after the import; zero: no import
	Store        request.StoreID // source of the import
	PromptBlocks int             // complete blocks of the prompt
	Overlapped   bool            // the target prefills while the import runs
	LinkBytes    int64           // bytes that the import transfers
	Recomputed   int             // tokens to prefill
	Expected     time.Duration   // time to first token
	ImportTime   time.Duration   // expected duration of the import, queueing included
	Score        float64         // seconds, lower is better
}

// maxOptions is the number of options that a plan ranks.
const maxOptions = 4

// Plan is the choice for one prompt.
type Plan struct {
	Option
	Found bool // false: no candidate can run the prompt
	// ImportDeadline is the time from now after which the daemon cancels an unfinished
	// import and lets the target prefill.
	ImportDeadline     time.Duration
	PrefillChunkTokens int
	MissesDeadline     bool // Expected exceeds the request's deadline
	// Alternatives are the next best options, for a retry on another target.
	Alternatives []Option
}
