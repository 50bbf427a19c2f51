// Package engineapi holds the messages of a model engine's HTTP interface, as used
// by the target client and served by the engine stand-in. All bodies are JSON;
// streams are server-sent events whose data is one Frame.
//
//	POST   /v1/completions           CompletionRequest -> stream of Frame
//	GET    /v1/streams/{id}?from=N   resume: frames from sequence N on
//	DELETE /v1/streams/{id}          cancel
//	GET    /v1/load                  Load (lags)
//	GET    /v1/events?after=N        EventPage (late, may have gaps)
//	GET    /v1/blocks                Snapshot
//	POST   /v1/kv/export             ExportRequest -> ExportResponse
//	POST   /v1/kv/import             ImportRequest -> ImportResponse
//	POST   /v1/orders                Order -> OrderResponse, 409 for an old epoch
//	GET    /v1/state                 State
package engineapi

import (
	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Paths of the interface.
const (
	PathCompletions = "/v1/completions"
	PathStreams     = "/v1/streams/"
	PathLoad        = "/v1/load"
	PathEvents      = "/v1/events"
	PathBlocks      = "/v1/blocks"
	PathExport      = "/v1/kv/export"
	PathImport      = "/v1/kv/import"
	PathOrders      = "/v1/orders"
	PathState       = "/v1/state"
)

// CompletionRequest asks for a completion.
type CompletionRequest struct {
	RequestID request.ID      `json:"request_id"`
	Model     request.Model   `json:"model"`
	Version   request.Version `json:"version"` // refused with Error code wrong_version if another is loaded
	CacheSalt string          `json:"cache_salt"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"` // lower runs first
}

// Frame is one event of a stream. Seq counts from 0 without holes; the last frame
// has Done set and carries Usage or Error.
type Frame struct {
	RequestID request.ID      `json:"request_id"`
	Seq       int             `json:"seq"`
	Text      string          `json:"text,omitempty"`
	Version   request.Version `json:"version"`
	Done      bool            `json:"done,omitempty"`
	Usage     *Usage          `json:"usage,omitempty"`
	Error     *Error          `json:"error,omitempty"`
}

// Usage counts the tokens of a finished stream.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"` // prompt tokens that were not recomputed
	OutputTokens int `json:"output_tokens"`
}

// Error is a refusal or failure by the engine. Started is false only if the engine
// did not begin the request.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Started bool   `json:"started"`
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Codes of Error.
const (
	CodeWrongVersion  = "wrong_version"
	CodeStaleEpoch    = "stale_epoch"
	CodeBusy          = "busy"
	CodeLeaving       = "leaving"
	CodeUnknownStream = "unknown_stream"
	CodeBadRequest    = "bad_request"
)

// Load is a lagging report of an engine's work.
type Load struct {
	Incarnation   uint64          `json:"incarnation"`
	Model         request.Model   `json:"model"`
	Version       request.Version `json:"version"`
	Running       int             `json:"running"`
	Queued        int             `json:"queued"`
	PrefillTokens int             `json:"prefill_tokens"` // waiting to be prefilled
	UsedBlocks    int             `json:"used_blocks"`
	TotalBlocks   int             `json:"total_blocks"`
	AgeMillis     int64           `json:"age_ms"` // how old this report is
	Leaving       bool            `json:"leaving"`
}

// EventKind says what happened to blocks.
type EventKind string

const (
	// BlocksStored reports blocks that entered the prefix cache.
	BlocksStored EventKind = "stored"
	// BlocksRemoved reports evicted blocks.
	BlocksRemoved EventKind = "removed"
	// BlocksCleared reports that the whole cache was dropped.
	BlocksCleared EventKind = "cleared"
)

// CacheEvent reports a change of the prefix cache. Seq counts from 1 in one incarnation.
type CacheEvent struct {
	Seq    uint64       `json:"seq"`
	Kind   EventKind    `json:"kind"`
	Blocks []block.Hash `json:"blocks,omitempty"`
}

// EventPage answers a question for events. A first event beyond after+1 is a gap.
type EventPage struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	Next        uint64       `json:"next"` // sequence of the newest event known to this page
}

// Snapshot is the whole content of the prefix cache at sequence Seq.
type Snapshot struct {
	Incarnation uint64       `json:"incarnation"`
	Seq         uint64       `json:"seq"`
	Blocks      []block.Hash `json:"blocks"`
}

// ExportRequest asks the engine to write blocks to a store VM. The engine writes
// the blocks only; the caller commits the manifest afterwards.
type ExportRequest struct {
	StoreAddress string       `json:"store_address"` // host:port
	Prefix       string       `json:"prefix"`        // block names are Prefix + hash
	Blocks       []block.Hash `json:"blocks"`
}

// ExportResponse lists what was written, in order; a block that had been evicted
// ends the list.
type ExportResponse struct {
	Written []ExportedBlock `json:"written"`
}

// ExportedBlock describes one block in a store.
type ExportedBlock struct {
	Hash   block.Hash `json:"hash"`
	Length int64      `json:"length"` // bytes
	Digest string     `json:"digest"` // SHA-256 of the content, hexadecimal
}

// ImportRequest asks the engine to read blocks from a store VM into its cache. Each
// block must match its length and digest; the first that does not ends the import.
type ImportRequest struct {
	StoreAddress string          `json:"store_address"`
	Prefix       string          `json:"prefix"`
	CacheSalt    string          `json:"cache_salt"`
	Version      request.Version `json:"version"`
	Blocks       []ExportedBlock `json:"blocks"`
}

// ImportResponse says how many leading blocks are now in the cache.
type ImportResponse struct {
	Imported int   `json:"imported"`
	Bytes    int64 `json:"bytes"`
	Corrupt  int   `json:"torn"` // blocks that failed length or digest
}

// OrderKind says what an order changes.
type OrderKind string

const (
	// OrderLoadVersion loads a weight version.
	OrderLoadVersion OrderKind = "load_version"
	// OrderLoadAdapter loads an adapter.
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderSetRole changes the role.
	OrderSetRole OrderKind = "set_role"
)

// Order tells an engine to change. Epoch is the fencing number: engines that check
// refuse an epoch below the highest seen. OperationID makes a repeat harmless.
type Order struct {
	OperationID string          `json:"operation_id"`
	Epoch       uint64          `json:"epoch"`
	Kind        OrderKind       `json:"kind"`
	Model       request.Model   `json:"model,omitempty"`
	Version     request.Version `json:"version,omitempty"`
	Adapter     string          `json:"adapter,omitempty"`
	Role        string          `json:"role,omitempty"`
}

// OrderResponse acknowledges an order; loading goes on after it.
type OrderResponse struct {
	Accepted bool `json:"accepted"`
}

// State is what an engine is and does now.
type State struct {
	Incarnation  uint64          `json:"incarnation"`
	Model        request.Model   `json:"model"`
	Version      request.Version `json:"version"`
	Loading      request.Version `json:"loading,omitempty"` // version being loaded
	Role         string          `json:"role"`
	Adapters     []string        `json:"adapters,omitempty"`
	HighestEpoch uint64          `json:"highest_epoch"`
	ChecksEpoch  bool            `json:"checks_epoch"`
	LastOrder    string          `json:"last_order,omitempty"`
}
