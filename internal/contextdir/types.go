package contextdir

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/storeapi"
)

const (
	defaultMaxContexts = 120_000
	defaultMaxTargets  = 8
	// wrongAnswersBeforeSnapshot is how many answers in a row may show fewer cached
	// tokens than remembered before the target's whole part is doubted.
	wrongAnswersBeforeSnapshot = 3
)

// Params bounds a Directory. Zero values stand for the defaults.
type Params struct {
	MaxContexts          int // contexts kept; the least recently used is forgotten first
	MaxTargetsPerContext int // targets remembered for one context, the newest stay
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
	Manifest   string // name of the manifest object, unique for ever
	Generation uint64
	Store      request.StoreID
	Tier       storeapi.Tier
	Blocks     int   // leading blocks that the manifest commits
	Bytes      int64 // bytes of these blocks
	// Shared marks a copy that another context owns: this one extends a part of it and
	// must not free it.
	Shared bool
}

// Resident says how many leading blocks a target is believed to hold in accelerator memory.
type Resident struct {
	Target      request.TargetID
	Blocks      int
	Unconfirmed bool // an event gap or wrong answers put the target's part in doubt
}

// LookupResult is what is known about a prompt's context. Its slices belong to the caller.
type LookupResult struct {
	KnownBlocks int // leading blocks of the chain that the directory remembers
	Resident    []Resident
	Copies      []Copy
	LastUse     time.Time // zero if the context is new
	Gaps        Gaps
}

// ActionKind says what an Action asks for.
type ActionKind int

const (
	// RequestSnapshot asks for the target's Snapshot, to be handed to OnSnapshot.
	RequestSnapshot ActionKind = iota
	// FreeManifest asks to delete a manifest and then its blocks: no context uses it any longer.
	FreeManifest
)

// String returns the name used in logs and dumps.
func (k ActionKind) String() string {
	if k == RequestSnapshot {
		return "ask-snapshot"
	}
	return "free-manifest"
}

// Action is an effect that the directory asks its shell for.
type Action struct {
	Kind   ActionKind
	Target request.TargetID // AskSnapshot
	Copy   Copy             // FreeManifest
}

// Correction compares a target's answer with what was remembered.
type Correction struct {
	Assumed int // leading blocks believed resident before the answer
	Actual  int // leading blocks that the target reported as cached
	Actions []Action
}
