// Package engineapi defines the messages of a model engine's HTTP interface, used by the target
// client and served by the engine stand-in. All bodies are JSON; streams are server-sent events
// whose data is one Frame each.
//
//	POST   /v1/completions           CompletionRequest -> stream of Frame
//	GET    /v1/streams/{id}?from=N   resume: frames from sequence N on
//	DELETE /v1/streams/{id}          cancel
//	GET    /v1/load                  Load (delayed)
//	GET    /v1/events?after=N        EventPage (delayed, may have gaps)
//	GET    /v1/blocks                Snapshot
//	POST   /v1/kv/export             ExportRequest -> ExportResponse
//	POST   /v1/kv/import             ImportRequest -> ImportResponse
//	POST   /v1/orders                Order -> OrderResponse, 409 for an outdated epoch
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

// CompletionRequest requests a completion.
type CompletionRequest struct {
	RequestID request.ID      `json:"request_id"`
	Model     request.Model   `json:"model"`
	Version   request.Version `json:"version"` // the engine refuses with wrong_version if it has another one loaded
	CacheSalt string          `json:"cache_salt"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Priority  int             `json:"priority"` // lower runs first
}

// Frame is one event of a stream. Seq counts from 0 without gaps. The last frame has Done set and
// carries Usage or Error.
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

// Error is a refusal or failure of the engine. Started is false only if the engine did not start
// the request.
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

// Load is a delayed report of an engine's load.
type Load struct {
	Incarnation   uint64          `json:"incarnation"`
	Model         request.Model   `json:"model"`
	Version       request.Version `json:"version"`
	Running       int             `json:"running"`
	Queued        int             `json:"queued"`
	PrefillTokens int             `json:"prefill_tokens"` // waiting to be prefilled
	UsedBlocks    int             `json:"used_blocks"`
	TotalBlocks   int             `json:"total_blocks"`
	AgeMillis     int64           `json:"age_ms"` // age of this report
	Leaving       bool            `json:"leaving"`
}

// EventKind is the kind of change that a CacheEvent reports.
type EventKind string

const (
	// BlocksStored reports blocks that entered the prefix cache.
	BlocksStored EventKind = "stored"
	// BlocksRemoved reports evicted blocks.
	BlocksRemoved EventKind = "removed"
	// BlocksCleared reports that the whole cache was dropped.
	BlocksCleared EventKind = "cleared"
)

// CacheEvent reports a change of the prefix cache. Seq counts from 1 within an incarnation.
type CacheEvent struct {
	Seq    uint64       `json:"seq"`
	Kind   EventKind    `json:"kind"`
	Blocks []block.Hash `json:"blocks,omitempty"`
}

// EventPage is the response to a request for events. If its first event is beyond after+1, events are missing.
type EventPage struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	Next        uint64       `json:"next"` // sequence number of the newest event as of this page
}

// Snapshot is the complete content of the prefix cache at sequence number Seq.
type Snapshot struct {
	Incarnation uint64       `json:"incarnation"`
	Seq         uint64       `json:"seq"`
	Blocks      []block.Hash `json:"blocks"`
}

// ExportRequest asks the engine to write blocks to a store VM. The engine writes only the blocks;
// the caller commits the manifest afterwards.
type ExportRequest struct {
	StoreAddress string       `json:"store_address"` // host:port
	Prefix       string       `json:"prefix"`        // block names are Prefix + hash
	Blocks       []block.Hash `json:"blocks"`
}

// ExportResponse lists the written blocks in order. The list ends before the first block that had
// been evicted.
type ExportResponse struct {
	Written []ExportedBlock `json:"written"`
}

// ExportedBlock describes one block in a store.
type ExportedBlock struct {
	Hash   block.Hash `json:"hash"`
	Length int64      `json:"length"` // bytes
	Digest string     `json:"digest"` // SHA-256 of the content, hexadecimal
}

// ImportRequest asks the engine to read blocks from a store VM into its cache. The import ends at the
// first block whose length or digest does not match.
type ImportRequest struct {
	StoreAddress string          `json:"store_address"`
	Prefix       string          `json:"prefix"`
	CacheSalt    string          `json:"cache_salt"`
	Version      request.Version `json:"version"`
	Blocks       []ExportedBlock `json:"blocks"`
}

// ImportResponse reports how many leading blocks are now in the cache.
type ImportResponse struct {
	Imported int   `json:"imported"`
	Bytes    int64 `json:"bytes"`
	Corrupt  int   `json:"torn"` // blocks whose length or digest did not match
}

// OrderKind is the kind of change that an Order requests.
type OrderKind string

const (
	// OrderLoadVersion loads a weight version.
	OrderLoadVersion OrderKind = "load_version"
	// OrderLoadAdapter loads an adapter.
	OrderLoadAdapter OrderKind = "load_adapter"
	// OrderSetRole changes the role.
	OrderSetRole OrderKind = "set_role"
)

// Order tells an engine to change its version, adapter or role. Epoch is the fencing number: engines
// that check it refuse an epoch below the highest one seen. OperationID makes a repeated order idempotent.
type Order struct {
	OperationID string          `json:"operation_id"`
	Epoch       uint64          `json:"epoch"`
	Kind        OrderKind       `json:"kind"`
	Model       request.Model   `json:"model,omitempty"`
	Version     request.Version `json:"version,omitempty"`
	Adapter     string          `json:"adapter,omitempty"`
	Role        string          `json:"role,omitempty"`
}

// OrderResponse acknowledges an order. Loading continues after the acknowledgement.
type OrderResponse struct {
	Accepted bool `json:"accepted"`
}

// State is the current state of an engine.
type State struct {
	Incarnation  uint64          `json:"incarnation"`
	Model        request.Model   `json:"model"`
	Version      request.Version `json:"version"`
	Loading      request.Version `json:"loading,omitempty"` // version that is being loaded
	Role         string          `json:"role"`
	Adapters     []string        `json:"adapters,omitempty"`
	HighestEpoch uint64          `json:"highest_epoch"`
	ChecksEpoch  bool            `json:"checks_epoch"`
	LastOrder    string          `json:"last_order,omitempty"`
}
