package contextdir

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

const (
	defaultMaxContexts = 120_000
	defaultMaxTargets  = 8
	// overestimatesBeforeSnapshot is the number of consecutive answers with fewer cached
	// tokens than recorded after which the directory marks the target as unconfirmed.
	overestimatesBeforeSnapshot = 3
)

// Params bounds a Directory. Zero values select the defaults.
type Params struct {
	MaxContexts          int // contexts recorded; the least recently used is evicted first
	MaxTargetsPerContext int // targets recorded for one context; the oldest is evicted first
}

func (p Params) withDefaults() Params {
	if p.MaxContexts <= 0 {
		p.MaxContexts = defaultMaxContexts
	}
	if p.MaxTargetsPerContext <= 0 {
		p.MaxTargetsPerContext = defaultMaxTargets
	}
	return p
}

// Copy is an exported copy of a context's leading blocks in a store VM.
type Copy struct {
	Manifest   string // name of the manifest object, never reused
	Generation uint64
	Store      request.StoreID
	Tier       storeapi.Tier
	Blocks     int   // leading blocks that the manifest commits
	Bytes      int64 // bytes of these blocks
	// Shared marks a copy that another context owns. This context shares a prefix with the
	// owner and must not free the copy.
	Shared bool
}

// Resident is the estimated number of leading blocks in a target's accelerator memory.
type Resident struct {
	Target      request.TargetID
	Blocks      int
	Unconfirmed bool // blocks may be outdated after an event gap or overestimates
}

// LookupResult is the recorded state of a prompt's context. Its slices belong to the caller.
type LookupResult struct {
	KnownBlocks int // leading blocks of the chain that the directory has recorded
	Resident    []Resident
	Copies      []Copy
	LastUse     time.Time // zero if the context is new
	Gaps        Gaps
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// RequestSnapshot requests the target's Snapshot, to be passed to OnSnapshot.
	RequestSnapshot ActionKind = iota
	// FreeManifest deletes a manifest that no context uses any longer, and then its blocks.
	FreeManifest
)

// String returns the name used in logs and dumps.
func (k ActionKind) String() string {
	if k == RequestSnapshot {
		return "ask-snapshot"
	}
	return "free-manifest"
}

// Action is an effect that the user of the directory executes.
type Action struct {
	Kind   ActionKind
	Target request.TargetID // AskSnapshot
	Copy   Copy             // FreeManifest
}

// Correction compares a target's answer with the recorded blocks.
type Correction struct {
	Assumed int // leading blocks recorded as resident before the answer
	Actual  int // leading blocks that the target reported as cached
	Actions []Action
}
